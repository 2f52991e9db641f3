"""One run of the experiments ``uneven`` and ``crowd``, in virtual time."""

import collections
import dataclasses
import random

from hornbeamglade.bench import (
    policymixload,
    policymixpolicies,
    policymixpool,
    policyworkload,
)

DRAIN_S = 20.0
"""Virtual time after the last arrival in which responses may end."""


@dataclasses.dataclass(frozen=True, slots=True)
class MixRun:
    """The result of one run.

    :param results: each request and its outcome.
    :param migrated: runs that were moved from leaving engines.
    """

    scenario: policymixload.MixScenario
    policy: str
    seed: int
    duration_s: float
    results: tuple[tuple[policymixload.MixRequest, policymixpool.Result], ...]
    migrated: int


@dataclasses.dataclass(slots=True)
class _Copy:
    """The KV cache copy that a leaving engine makes now; its link carries one at a time."""

    active: policymixpool.ActiveStream
    target: policymixpool.MixReplica
    ends_at: float


def run(scenario: policymixload.MixScenario, policy: str, seed: int, duration_s: float) -> MixRun:
    """Run one policy in one experiment.

    :param seed: seed of requests, slowdowns and departures, the same for every policy.
    :param duration_s: virtual seconds in which requests arrive.
    """
    pool = policymixpool.replicas(scenario, seed)
    recorder = policymixpool.Recorder(scenario)
    dispatcher = policymixpolicies.dispatcher(scenario, policy, seed, pool, recorder)
    fleet = _Fleet(scenario, seed, pool, dispatcher, recorder)
    arrivals = collections.deque(policymixload.draw_requests(scenario, seed, duration_s))
    total = len(arrivals)
    for step in range(int((duration_s + DRAIN_S) / policyworkload.STEP_S)):
        now = step * policyworkload.STEP_S
        if len(recorder.results) == total:
            break
        fleet.tick(now)
        dispatcher.tick(step, now)
        while arrivals and arrivals[0].at_s <= now:
            dispatcher.dispatch(arrivals.popleft(), now)
        for replica in pool:
            for active in replica.step(step, now, recorder):
                dispatcher.on_finished(replica, active, now)
    results = _with_unfinished(scenario, seed, duration_s, recorder)
    return MixRun(scenario, policy, seed, duration_s, results, recorder.migrated)


def _with_unfinished(
    scenario: policymixload.MixScenario,
    seed: int,
    duration_s: float,
    recorder: policymixpool.Recorder,
) -> tuple[tuple[policymixload.MixRequest, policymixpool.Result], ...]:
    """Return all results; a request without one was not served until the end and failed."""
    ended = {request.work.request_id for request, _ in recorder.results}
    left = [
        (request, policymixpool.Result.FAILED)
        for request in policymixload.draw_requests(scenario, seed, duration_s)
        if request.work.request_id not in ended
    ]
    return (*recorder.results, *left)


class _Fleet:
    """Departures of engines, their replacements, and the migration of runs."""

    def __init__(
        self,
        scenario: policymixload.MixScenario,
        seed: int,
        pool: list[policymixpool.MixReplica],
        dispatcher: policymixpolicies.Dispatcher,
        recorder: policymixpool.Recorder,
    ) -> None:
        self._scenario = scenario
        self._rng = random.Random(f"{scenario.name}/departures/{seed}")
        self._pool = pool
        self._dispatcher = dispatcher
        self._recorder = recorder
        self._copy_by_source: dict[str, _Copy] = {}
        departures = scenario.departures
        self._next_at = float("inf") if departures is None else departures.every_s

    def tick(self, now: float) -> None:
        """Perform the departures, copies and replacements that are due."""
        for replica in self._pool:
            if replica.returns_at <= now:
                replica.restore(self._rng.choice(self._scenario.time_factors), now)
                self._dispatcher.on_replica_restored(replica, now)
            elif not replica.is_up and replica.is_present:
                self._migrate(replica, now)
                if replica.leaves_at <= now:
                    self._copy_by_source.pop(replica.name, None)
                    self._dispatcher.on_replica_lost(replica, replica.fail(), now)
        if now >= self._next_at:
            self._announce(now)

    def _announce(self, now: float) -> None:
        departures = self._scenario.departures
        self._next_at += departures.every_s
        count = round(departures.share * len(self._pool))
        live = [replica for replica in self._pool if replica.is_up]
        # One engine always stays: dispatchers need a place for new requests.
        leaving = self._rng.sample(live, min(count, len(live) - 1))
        for replica in leaving:
            leaves_at = now + self._rng.uniform(*departures.notice_s)
            replica.announce_leaving(leaves_at, leaves_at + departures.replaced_after_s)
        for replica in leaving:
            self._dispatcher.on_leaving(replica, now)

    def _migrate(self, source: policymixpool.MixReplica, now: float) -> None:
        """End a copy that is complete, and start the next one."""
        copy = self._copy_by_source.get(source.name)
        if copy is not None and copy.ends_at > now:
            return
        if copy is not None:
            del self._copy_by_source[source.name]
            self._move(source, copy)
        for active in source.active_by_id.values():
            if active.last_step < 0:
                continue
            target = self._dispatcher.migration_target(source, active, now)
            if target is not None:
                tokens = active.request.work.prompt_tokens + active.produced
                links = 1 if target.domain == source.domain else 2
                ends_at = now + links * tokens * policymixload.COPY_S_PER_TOKEN
                self._copy_by_source[source.name] = _Copy(active, target, ends_at)
                return

    def _move(self, source: policymixpool.MixReplica, copy: _Copy) -> None:
        request_id = copy.active.request.work.request_id
        if request_id not in source.active_by_id or not copy.target.is_present:
            return
        source.cancel(request_id)
        copy.target.adopt(copy.active)
        self._recorder.migrated += 1
