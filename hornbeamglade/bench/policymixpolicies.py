"""The policies that the experiments ``uneven`` and ``crowd`` compare."""

import collections
import collections.abc
import dataclasses
import typing

from hornbeamglade.admission import replicaadmission
from hornbeamglade.bench import (
    policydispatch,
    policymixload,
    policymixpool,
    policyschedulers,
    policyworkload,
)
from hornbeamglade.core import codederrors, outcomes
from hornbeamglade.fairness import queuesettings
from hornbeamglade.grants import replicascheduler
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.routing import candidates

LEAST_OUTSTANDING = "least-outstanding"
FIFO = "fifo"
PRESENT = "present"
NEW = "new"
POLICIES = (LEAST_OUTSTANDING, FIFO, PRESENT)

_MIGRATION_TRIES = 3

_Fields = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Decisions:
    """The decisions that distinguish the policy ``new`` from ``present``.

    :param create_scheduler: creates an owner's scheduler from its replica, admission and queue.
    :param grant_fields: further arguments of ``ReplicaScheduler.request_grant``, by request.
    :param candidate_fields: fields of the ``Candidate`` of an engine, by engine and time.
    :param routing_fields: fields of ``RoutingSettings``, by request.
    :param refuses_early: whether a request is refused on arrival, by dispatcher, request and
        time.
    :param digest_lag_s: age of the digests on which nodes choose, or None for the scenario's.
    """

    create_scheduler: collections.abc.Callable[..., replicascheduler.ReplicaScheduler] = (
        replicascheduler.ReplicaScheduler
    )
    grant_fields: collections.abc.Callable[[policymixload.MixRequest], _Fields] = lambda _: {}
    candidate_fields: collections.abc.Callable[[policymixpool.MixReplica, float], _Fields] = (
        lambda _replica, _now: {}
    )
    routing_fields: collections.abc.Callable[[policymixload.MixRequest], _Fields] = lambda _: {}
    refuses_early: collections.abc.Callable[
        ["Production", policymixload.MixRequest, float], bool
    ] = lambda _dispatcher, _request, _now: False
    digest_lag_s: float | None = None


NEW_DECISIONS: Decisions | None = None
"""The decisions of the policy ``new``; None until there are any."""


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

    :param decisions: decisions that are added to it.
    """

    def __init__(
        self,
        scenario: policymixload.MixScenario,
        pool: list[policymixpool.MixReplica],
        recorder: policymixpool.Recorder,
        seed: int,
        decisions: Decisions | None = None,
    ) -> None:
        self._decisions = decisions or Decisions()
        settings = replicaadmission.AdmissionSettings(max_running=scenario.max_running)

        def admission(lengths: lengthmodel.LengthModel) -> replicaadmission.ReplicaAdmission:
            return replicaadmission.ReplicaAdmission(scenario.capacity_tokens, lengths, settings)

        queue = queuesettings.QueueSettings()
        super().__init__(scenario, pool, recorder, admission, queue, seed)

    def dispatch(self, request: policymixload.MixRequest, now: float) -> None:
        """Dispatch a request with the routing settings that hold for it."""
        if self._decisions.refuses_early(self, request, now):
            self._request_by_id[request.work.request_id] = request
            self._refuse(request.work.request_id, now)
            return
        settings = self._settings
        self._settings = dataclasses.replace(settings, **self._decisions.routing_fields(request))
        try:
            super().dispatch(request, now)
        finally:
            self._settings = settings

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

    def _request_grant(
        self,
        scheduler: replicascheduler.ReplicaScheduler,
        request: policymixload.MixRequest,
        now: float,
    ) -> replicascheduler.Granted | replicascheduler.Queued | outcomes.Refusal:
        return scheduler.request_grant(
            request.work,
            policyworkload.WEIGHT_BY_TEAM[request.work.team],
            now,
            self.deadline(request),
            self.scenario.due(request),
            **self._decisions.grant_fields(request),
        )

    def _create_scheduler(self, *arguments: typing.Any) -> replicascheduler.ReplicaScheduler:
        return self._decisions.create_scheduler(*arguments)

    def _process_queue(
        self,
        replica: policymixpool.MixReplica,
        scheduler: replicascheduler.ReplicaScheduler,
        now: float,
    ) -> None:
        # A run that ends while it is copied holds a slot of the engine that it was to move to.
        super()._process_queue(self.replica_by_name[scheduler.replica], scheduler, now)

    def _candidate(self, replica: policymixpool.MixReplica, now: float) -> candidates.Candidate:
        fields = self._decisions.candidate_fields(replica, now)
        return dataclasses.replace(super()._candidate(replica, now), **fields)

    def _is_due(self, taken_at: float, now: float) -> bool:
        lag_s = self._decisions.digest_lag_s
        return now - taken_at >= (self.scenario.digest_lag_s if lag_s is None else lag_s)


Dispatcher = LeastOutstanding | FirstInFirstOut | Production


def dispatcher(
    scenario: policymixload.MixScenario,
    policy: str,
    seed: int,
    pool: list[policymixpool.MixReplica],
    recorder: policymixpool.Recorder,
) -> Dispatcher:
    """Return the dispatcher of a policy.

    :raises CodedError: ``policy_unknown``, or ``decisions_missing`` when there are no new ones.
    """
    if policy == LEAST_OUTSTANDING:
        return LeastOutstanding(scenario, pool, recorder)
    if policy == FIFO:
        return FirstInFirstOut(scenario, pool, recorder)
    if policy == PRESENT:
        return Production(scenario, pool, recorder, seed)
    if policy != NEW:
        raise codederrors.CodedError("policy_unknown", f"unknown policy {policy!r}")
    if NEW_DECISIONS is None:
        detail = "policymixpolicies.NEW_DECISIONS names no decisions yet"
        raise codederrors.CodedError("decisions_missing", detail)
    return Production(scenario, pool, recorder, seed, NEW_DECISIONS)
