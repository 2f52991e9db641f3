"""The policies that the experiments ``uneven`` and ``crowd`` compare."""

import collections
import collections.abc
import dataclasses
import math
import typing

from hornbeamglade.admission import policies, replicaadmission, urgentreserve
from hornbeamglade.bench import (
    policydispatch,
    policymixload,
    policymixpool,
    policyschedulers,
    policyworkload,
)
from hornbeamglade.core import clocks, codederrors, outcomes
from hornbeamglade.fairness import fairqueue, queuesettings, siteforecast
from hornbeamglade.grants import replicascheduler, schedulerset
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.replicas import departures
from hornbeamglade.routes import objectives
from hornbeamglade.routing import candidates, choice
from hornbeamglade.speeds import enginespeeds
from hornbeamglade.speeds import outlook as outlooklib

LEAST_OUTSTANDING = "least-outstanding"
FIFO = "fifo"
PRESENT = "present"
NEW = "new"
POLICIES = (LEAST_OUTSTANDING, FIFO, PRESENT, NEW)

_MIGRATION_TRIES = 3

FRESH_DIGEST_S = 0.25
"""Age of the digests of the policy ``new``: owners send each other figures this often and pass
them on in each response."""


def migrate_by_memory(
    pool: collections.abc.Iterable[policymixpool.MixReplica], active: policymixpool.ActiveStream
) -> policymixpool.MixReplica | None:
    """Return the engine with the most free memory, if it has room for a run, or None."""
    tokens = active.request.work.prompt_tokens + active.produced
    best = min(pool, key=lambda replica: replica.held_tokens, default=None)
    return best if best is not None and best.has_room(tokens) else None


class LeastOutstanding(policydispatch.LeastOutstanding):
    """Sends each request at once to the engine with the fewest requests."""

    def migration_target(
        self, source: policymixpool.MixReplica, active: policymixpool.ActiveStream, now: float
    ) -> policymixpool.MixReplica | None:
        """Return the engine to which a run of a leaving engine moves, or None."""
        return migrate_by_memory(self.live_replicas(), active)

    def on_leaving(self, replica: policymixpool.MixReplica, now: float) -> None:
        """Handle an engine that announced that it leaves: requests in its queue stay."""
        return


class FirstInFirstOut(policydispatch.Dispatcher):
    """Starts requests in order of arrival, each at the engine with the most free memory."""

    def __init__(self, *arguments: typing.Any) -> None:
        super().__init__(*arguments)
        self._waiting: collections.deque[policymixload.MixRequest] = collections.deque()

    def dispatch(self, request: policymixload.MixRequest, now: float) -> None:
        """Queue a request."""
        self._waiting.append(request)

    def tick(self, step: int, now: float) -> None:
        """Refuse requests that waited too long, and start the others while memory lasts."""
        kept: collections.deque[policymixload.MixRequest] = collections.deque()
        for request in self._waiting:
            if self.deadline(request) <= now:
                self.recorder.record_refusal(request, now)
            else:
                kept.append(request)
        self._waiting = kept
        while self._waiting:
            live = self.live_replicas()
            replica = min(live, key=lambda each: each.held_tokens, default=None)
            request = self._waiting[0]
            if replica is None or not replica.has_room(
                request.work.prompt_tokens + request.answer_tokens
            ):
                return
            replica.submit(self._waiting.popleft())

    def migration_target(
        self, source: policymixpool.MixReplica, active: policymixpool.ActiveStream, now: float
    ) -> policymixpool.MixReplica | None:
        """Return the engine to which a run of a leaving engine moves, or None."""
        return migrate_by_memory(self.live_replicas(), active)

    def on_leaving(self, replica: policymixpool.MixReplica, now: float) -> None:
        """Handle an engine that announced that it leaves: no request waits at engines."""
        return


class Production(policyschedulers.SchedulerDispatcher):
    """The production path with first-event objectives, migrations and departing engines.

    :param queue: limits of the schedulers' queues.
    """

    def __init__(
        self,
        scenario: policymixload.MixScenario,
        pool: list[policymixpool.MixReplica],
        recorder: policymixpool.Recorder,
        seed: int,
        queue: queuesettings.QueueSettings,
    ) -> None:
        settings = replicaadmission.AdmissionSettings(max_running=scenario.max_running)

        def admission(lengths: lengthmodel.LengthModel) -> replicaadmission.ReplicaAdmission:
            return replicaadmission.ReplicaAdmission(scenario.capacity_tokens, lengths, settings)

        super().__init__(scenario, pool, recorder, admission, queue, seed)

    def on_replica_lost(
        self,
        replica: policymixpool.MixReplica,
        active: list[policymixpool.ActiveStream],
        now: float,
    ) -> None:
        """Also release the slots that were reserved for runs that could not be moved in time."""
        for each in active:
            scheduler = self._scheduler_by_request.pop(each.request.work.request_id)
            scheduler.finish(each.request.work.request_id, now)
        super().on_replica_lost(replica, active, now)

    def on_leaving(self, replica: policymixpool.MixReplica, now: float) -> None:
        """Dispatch again the requests that are queued for an engine that leaves."""
        for scheduler in self._schedulers_by_replica[replica.name]:
            for settled in scheduler.drain():
                self.dispatch(self._request_by_id[settled.request_id], now)

    def on_replica_restored(self, replica: policymixpool.MixReplica, now: float) -> None:
        """Create schedulers for the new engine and discard what was learned of the old one."""
        super().on_replica_restored(replica, now)
        self._detector.set_members([name for name in self.replica_by_name if name != replica.name])
        self._detector.set_members(list(self.replica_by_name))

    def migration_target(
        self, source: policymixpool.MixReplica, active: policymixpool.ActiveStream, now: float
    ) -> policymixpool.MixReplica | None:
        """Ask the owners of the emptiest engines for a slot; return the engine, or None."""
        work = active.request.work
        former = self._scheduler_by_request[work.request_id]
        known = [self._candidate(replica, now) for replica in self.live_replicas()]
        known.sort(key=lambda candidate: -candidate.room_tokens)
        for candidate in known[:_MIGRATION_TRIES]:
            scheduler = self._schedulers_by_replica[candidate.replica][0]
            answer = scheduler.admit_migration(work, active.produced, now)
            if isinstance(answer, replicascheduler.Granted):
                former.finish(work.request_id, now)
                self._scheduler_by_request[work.request_id] = scheduler
                return self.replica_by_name[candidate.replica]
        return None

    def _process_queue(
        self,
        replica: policymixpool.MixReplica,
        scheduler: replicascheduler.ReplicaScheduler,
        now: float,
    ) -> None:
        # A run that ends while it is copied holds a slot of the engine that it was to move to.
        super()._process_queue(self.replica_by_name[scheduler.replica], scheduler, now)

    def _is_due(self, taken_at: float, now: float) -> bool:
        return now - taken_at >= self.scenario.digest_lag_s


class NewProduction(Production):
    """The production path with the decisions for uneven engines and surges.

    Explanation
    ===========

    As in production, engines are placed by pace where machines are shared, and requests with
    slack let others pass where objectives are mixed. Both kinds of services refuse by the
    site's forecast and choose by fresh figures.
    """

    def __init__(
        self,
        scenario: policymixload.MixScenario,
        pool: list[policymixpool.MixReplica],
        recorder: policymixpool.Recorder,
        seed: int,
    ) -> None:
        self._clock = clocks.ManualClock()
        self._speeds = enginespeeds.EngineSpeeds(
            self._clock, lambda _service: scenario.slowdowns is not None
        )
        self._speeds.configure({policyworkload.SERVICE: policymixload.TOKENS_PER_EVENT})
        self._outlook = outlooklib.pool_outlook((), policymixload.TOKENS_PER_EVENT)
        self._measured: set[str] = set()
        self._departures = departures.Departures()
        self._forecast = siteforecast.SiteForecast(self._clock)
        self._process_at_by_replica: dict[str, float] = {}
        self._node_by_replica = {
            replica.name: number % policyschedulers.NODES for number, replica in enumerate(pool)
        }
        self._reserve_by_node = [
            urgentreserve.UrgentReserve() for _ in range(policyschedulers.NODES)
        ]
        for replica in pool:
            replica.make_meter = lambda: self._speeds.make_meter(policyworkload.SERVICE)
        goals = [kind.goal_s for kind in scenario.kinds]
        is_mixed = max(goals) >= objectives.MIXED_FACTOR * min(goals)
        queue = queuesettings.QueueSettings(has_mixed_objectives=is_mixed)
        super().__init__(scenario, pool, recorder, seed, queue)

    def dispatch(self, request: policymixload.MixRequest, now: float) -> None:
        """Dispatch a request, or refuse it if by the site's forecast it cannot start in time."""
        due_s = self.scenario.due(request) - now
        start_s = self._forecast.start_s(request.work.priority, siteforecast.Position(), due_s)
        left_s = self.deadline(request) - now
        if start_s is not None and siteforecast.is_too_late(start_s, left_s):
            self._request_by_id[request.work.request_id] = request
            self._refuse(request.work.request_id, now)
            return
        super().dispatch(request, now)

    def tick(self, step: int, now: float) -> None:
        """Also process queues when the backlogs of prompts let their requests start."""
        self._clock.advance(max(0.0, now - self._clock.now()))
        for replica in self.live_replicas():
            self._report_first_paces(replica)
        super().tick(step, now)
        for replica in self.live_replicas():
            for scheduler in self._schedulers_by_replica[replica.name]:
                if self._process_at_by_replica.pop(replica.name, math.inf) <= now:
                    self._process_queue(replica, scheduler, now)
                delay_s = scheduler.seconds_until_next_start(now)
                if delay_s is not None:
                    self._process_at_by_replica[replica.name] = now + delay_s

    def on_finished(
        self, replica: policymixpool.MixReplica, active: policymixpool.ActiveStream, now: float
    ) -> None:
        """Also report the pace of the response."""
        self._measured.discard(active.request.work.request_id)
        self._report_pace(replica, active)
        super().on_finished(replica, active, now)

    def on_leaving(self, replica: policymixpool.MixReplica, now: float) -> None:
        """Also record the departure."""
        present = sum(each.is_present for each in self.replica_by_name.values())
        # A replacement has the name of the engine that left.
        incarnation = f"{replica.name}/{replica.leaves_at}"
        self._departures.record(policyworkload.SERVICE, incarnation, present, now)
        super().on_leaving(replica, now)

    def on_replica_restored(self, replica: policymixpool.MixReplica, now: float) -> None:
        """Also discard the pace of the engine that left."""
        self._speeds.retain(self.replica_by_name.keys() - {replica.name})
        super().on_replica_restored(replica, now)

    def _report_first_paces(self, replica: policymixpool.MixReplica) -> None:
        for request_id, active in replica.active_by_id.items():
            if request_id in self._measured or active.meter is None or not active.meter.is_ready:
                continue
            self._measured.add(request_id)
            self._report_pace(replica, active)

    def _report_progress(self, replica: policymixpool.MixReplica, now: float) -> None:
        super()._report_progress(replica, now)
        for active in replica.active_by_id.values():
            self._report_pace(replica, active)

    def _report_pace(
        self, replica: policymixpool.MixReplica, active: policymixpool.ActiveStream
    ) -> None:
        if active.meter is not None:
            self._speeds.observe(replica.name, active.meter.take())

    def _create_scheduler(
        self, replica: str, admission: policies.AdmissionPolicy, queue: fairqueue.FairQueue
    ) -> replicascheduler.ReplicaScheduler:
        scheduler = super()._create_scheduler(replica, admission, queue)
        scheduler.reserve = self._reserve_by_node[self._node_by_replica[replica]]
        scheduler.departing_share = lambda now: self._departures.share(policyworkload.SERVICE, now)
        return scheduler

    def _rank(
        self, work: outcomes.Work, known: list[candidates.Candidate]
    ) -> collections.abc.Sequence[choice.Choice]:
        ordered = super()._rank(work, known)
        return sorted(ordered, key=lambda each: each.candidate.must_avoid(work))

    def _digest(self, now: float) -> list[candidates.Candidate]:
        live = [replica.name for replica in self.live_replicas()]
        paces = [pace for name in live if (pace := self._speeds.pace(name)) is not None]
        self._outlook = outlooklib.pool_outlook(
            paces, policymixload.TOKENS_PER_EVENT, self._outlook.pause_ratio
        )
        schedulers_by_node = collections.defaultdict(list)
        for name, schedulers in self._schedulers_by_replica.items():
            schedulers_by_node[self._node_by_replica[name]] += schedulers
            factor = self._engine_outlook(name).slow_factor
            for scheduler in schedulers:
                scheduler.prompts.set_slow_factor(factor, now)
        for node, schedulers in schedulers_by_node.items():
            self._forecast.record(node, schedulerset.classes_waiting(schedulers, now))
        return super()._digest(now)

    def _engine_outlook(self, replica: str) -> outlooklib.EngineOutlook:
        return outlooklib.EngineOutlook(self._outlook, self._speeds.pace(replica))

    def _candidate(self, replica: policymixpool.MixReplica, now: float) -> candidates.Candidate:
        schedulers = self._schedulers_by_replica[replica.name]
        is_placed_by_pace = self._speeds.is_enabled(policyworkload.SERVICE)
        return dataclasses.replace(
            super()._candidate(replica, now),
            queued=sum(scheduler.count_ahead(now) for scheduler in schedulers),
            expected_wait_s=max(scheduler.expected_wait_s(now) for scheduler in schedulers),
            outlook=self._engine_outlook(replica.name) if is_placed_by_pace else None,
        )

    def _is_due(self, taken_at: float, now: float) -> bool:
        return now - taken_at >= FRESH_DIGEST_S


Dispatcher = LeastOutstanding | FirstInFirstOut | Production


def dispatcher(
    scenario: policymixload.MixScenario,
    policy: str,
    seed: int,
    pool: list[policymixpool.MixReplica],
    recorder: policymixpool.Recorder,
) -> Dispatcher:
    """Return the dispatcher of a policy.

    :raises CodedError: ``policy_unknown``.
    """
    if policy == LEAST_OUTSTANDING:
        return LeastOutstanding(scenario, pool, recorder)
    if policy == FIFO:
        return FirstInFirstOut(scenario, pool, recorder)
    if policy == PRESENT:
        return Production(scenario, pool, recorder, seed, queuesettings.QueueSettings())
    if policy != NEW:
        raise codederrors.CodedError("policy_unknown", f"unknown policy {policy!r}")
    return NewProduction(scenario, pool, recorder, seed)
