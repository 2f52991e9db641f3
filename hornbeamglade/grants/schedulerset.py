"""All schedulers of one node; thread-safe."""

import collections
import collections.abc
import dataclasses
import math
import threading

from hornbeamglade.admission import policies, replicaadmission, urgentreserve
from hornbeamglade.core import clocks, outcomes
from hornbeamglade.fairness import fairqueue, queuesettings, recentstarts, siteforecast
from hornbeamglade.grants import replicascheduler
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.observability import logs
from hornbeamglade.replicas import startgate

Notify = collections.abc.Callable[[replicascheduler.QueueOutcome], None]
CallLater = collections.abc.Callable[[float, collections.abc.Callable[[], None]], object]
"""Calls a function after some seconds."""

DepartingShare = collections.abc.Callable[[str, float], float]
"""Returns the share of the engines of a replica's service that depart together at present."""

UNKNOWN_REPLICA_RETRY_S = 0.5
MIN_PROCESSING_DELAY_S = 0.001
PRESENT_MEMORY = "present_memory"
LEAST_OUTSTANDING = "least_outstanding"


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerState:
    """The state of a scheduler that is shown to routing, other nodes and operators.

    :param replica: the replica's name.
    :param headroom_tokens: memory that may still be allocated, in tokens.
    :param running: grants that are held.
    :param waiting: requests that wait in the queue.
    :param waiting_ahead: those of them that would start before a new request.
    :param expected_wait_s: seconds until a request behind all others starts.
    :param leaving: whether the replica is leaving and takes no new work.
    :param is_unreachable: whether the replica cannot be reached at the moment.
    """

    replica: str
    headroom_tokens: float
    running: int
    waiting: int
    waiting_ahead: int
    expected_wait_s: float
    leaving: bool
    is_unreachable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReservedTokens:
    """Memory that new requests leave free, in tokens.

    :param urgent: for urgent requests.
    :param departing: for runs of departing engines.
    """

    urgent: int
    departing: int


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerSpec:
    """The settings from which a replica's scheduler is created.

    :param memory_tokens: the replica's memory, until a load report contains it.
    :param admission: horizons, limits and margins.
    :param queue: limits of its queue.
    :param policy: the name of the admission policy, as in the configuration.
    :param service: the replica's service; its replicas here share one reserve for urgent requests.
    """

    memory_tokens: int
    admission: replicaadmission.AdmissionSettings
    queue: queuesettings.QueueSettings
    policy: str = "probabilistic"
    service: str = ""

    def make(
        self,
        replica: str,
        lengths: lengthmodel.LengthModel,
        gate: startgate.StartGate | None = None,
    ) -> replicascheduler.ReplicaScheduler:
        """Create an empty scheduler."""
        return replicascheduler.ReplicaScheduler(
            replica, self._policy(lengths), fairqueue.FairQueue(self.queue), gate
        )

    def _policy(self, lengths: lengthmodel.LengthModel) -> policies.AdmissionPolicy:
        if self.policy == PRESENT_MEMORY:
            return policies.PresentMemory(self.memory_tokens, self.admission.max_running)
        if self.policy == LEAST_OUTSTANDING:
            return policies.LeastOutstanding(self.memory_tokens)
        return replicaadmission.ReplicaAdmission(self.memory_tokens, lengths, self.admission)


class SchedulerSet:
    """The schedulers of the replicas that this node may own.

    Explanation
    ===========

    One lock guards all schedulers: at 20 requests and 150 progress reports a second
    the decisions take a few milliseconds of each second. Waiting requests are notified
    through a callback that is called without the lock.

    :param clock: monotonic time.
    :param lengths: the learned distribution of answer lengths; guarded by the same lock.
    :param gate: may hold back requests from a replica that has headroom.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        lengths: lengthmodel.LengthModel,
        gate: startgate.StartGate | None = None,
    ) -> None:
        self._clock = clock
        self._lengths = lengths
        self._gate = gate
        self._lock = threading.RLock()
        self._spec_by_replica: dict[str, SchedulerSpec] = {}
        self._owned: frozenset[str] = frozenset()
        self._scheduler_by_replica: dict[str, replicascheduler.ReplicaScheduler] = {}
        self._notify_by_request: dict[str, Notify] = {}
        self._call_later: CallLater | None = None
        self._reserve_by_service: dict[str, urgentreserve.UrgentReserve] = {}
        self._processing_at_by_replica: dict[str, float] = {}
        self._reserving: set[str] = set()
        self._departing_share: DepartingShare = lambda _replica, _now: 0.0

    def set_call_later(self, call_later: CallLater) -> None:
        """Set the function that calls :meth:`process_queue` between periodic calls."""
        self._call_later = call_later

    def set_departing_share(self, share: DepartingShare) -> None:
        """Set the function that returns which share of a replica's service departs together."""
        self._departing_share = share

    def configure(self, spec_by_replica: dict[str, SchedulerSpec]) -> None:
        """Apply the replicas of a configuration revision.

        The schedulers of removed replicas refuse all queued requests. Schedulers are created
        on first use, as a node owns only a few of many replicas.
        """
        with self._lock:
            now = self._clock.now()
            decided = []
            for name, scheduler in tuple(self._scheduler_by_replica.items()):
                spec = spec_by_replica.get(name)
                if spec is None:
                    decided += scheduler.drain()
                    del self._scheduler_by_replica[name]
                    self._processing_at_by_replica.pop(name, None)
                    self._reserving.discard(name)
                elif spec != self._spec_by_replica[name]:
                    successor = self._make(name, spec)
                    successor.take_over(scheduler, now)
                    self._scheduler_by_replica[name] = successor
            self._spec_by_replica = dict(spec_by_replica)
            services = {spec.service for spec in spec_by_replica.values()}
            for service in self._reserve_by_service.keys() - services:
                del self._reserve_by_service[service]
        self._notify(decided)

    def set_owned(self, replicas: frozenset[str]) -> None:
        """Set the replicas that this node owns, and relinquish all others."""
        with self._lock:
            for replica in replicas:
                self._scheduler(replica)
            relinquished = self._owned - replicas
            self._owned = replicas
            schedulers = (
                self._scheduler_by_replica[name]
                for name in relinquished & self._scheduler_by_replica.keys()
            )
            decided = [each for scheduler in schedulers for each in scheduler.relinquish()]
        self._notify(decided)

    def request_grant(
        self,
        replica: str,
        work: outcomes.Work,
        weight: float,
        deadline: float,
        notify: Notify,
        due: float = math.inf,
    ) -> replicascheduler.Granted | replicascheduler.Queued | outcomes.Refusal:
        """Request permission to start; ``notify`` is called with the later answer, if any.

        :param replica: the replica's name.
        :param work: the known properties of the request.
        :param weight: the team's weight.
        :param deadline: monotonic seconds of this node's clock.
        :param due: when it must start to be on time, in the same seconds.
        """
        with self._lock:
            scheduler = self._scheduler(replica)
            if scheduler is None:
                return _unknown_replica(replica)
            now = self._clock.now()
            if not self.can_admit(replica):
                return replicascheduler.owner_moved(replica)
            answer = scheduler.request_grant(work, weight, now, deadline, due)
            if isinstance(answer, replicascheduler.Queued):
                self._notify_by_request[work.request_id] = notify
            decided = scheduler.process_queue(now)
            self._schedule_processing(scheduler, now)
        self._notify(decided)
        return answer

    def can_admit(self, replica: str) -> bool:
        """Return whether this node may grant requests to a replica.

        A node that owns the replica only in the view of the requesting node receives no load
        reports of it, so the request would wait there in vain.
        """
        with self._lock:
            scheduler = self._scheduler(replica)
            if replica in self._owned:
                return scheduler is not None
            return scheduler is not None and scheduler.has_recent_report(self._clock.now())

    def try_grant(
        self, replica: str, work: outcomes.Work, due: float = math.inf
    ) -> replicascheduler.Granted | None:
        """Request permission to start immediately at a replica that this node owns.

        :param due: when it must start to be on time, in monotonic seconds.
        """
        with self._lock:
            scheduler = self._scheduler(replica) if replica in self._owned else None
            return None if scheduler is None else scheduler.try_grant(work, self._clock.now(), due)

    def admit_migration(
        self, replica: str, work: outcomes.Work, produced: int
    ) -> replicascheduler.Granted | outcomes.Refusal:
        """Request the admission of a run that is migrated from another replica."""
        with self._lock:
            scheduler = self._scheduler(replica)
            if scheduler is None:
                return _unknown_replica(replica)
            return scheduler.admit_migration(work, produced, self._clock.now())

    def recent_migrations(self, replica: str) -> int:
        """Return how many migrated runs a replica admitted within one notice period."""
        with self._lock:
            scheduler = self._scheduler_by_replica.get(replica)
            return 0 if scheduler is None else scheduler.recent_migrations(self._clock.now())

    def progress(self, replica: str, request_id: str, produced: int) -> None:
        """Record how many tokens a running request has produced."""
        with self._lock:
            scheduler = self._scheduler_by_replica.get(replica)
            if scheduler is not None:
                scheduler.progress(request_id, produced, self._clock.now())

    def finish(self, replica: str, request_id: str) -> None:
        """Release a grant or a queue position, and process the queue."""
        with self._lock:
            self._notify_by_request.pop(request_id, None)
            scheduler = self._scheduler_by_replica.get(replica)
            if scheduler is None:
                return
            now = self._clock.now()
            scheduler.finish(request_id, now)
            decided = scheduler.process_queue(now)
            self._schedule_processing(scheduler, now)
        self._notify(decided)

    def observe_length(self, service: str, team: str, tokens: int, *, censored: bool) -> None:
        """Learn from the length of an answer that has ended.

        :param tokens: tokens produced.
        :param censored: whether the answer was cut off and would have been longer.
        """
        with self._lock:
            self._lengths.observe(service, team, tokens, censored)

    @property
    def has_waiting_requests(self) -> bool:
        """Whether any request waits at a scheduler."""
        return bool(self._notify_by_request)

    def process_queues(self) -> None:
        """Grant and refuse queued requests as time passes; called several times a second."""
        with self._lock:
            now = self._clock.now()
            decided = []
            for scheduler in self._scheduler_by_replica.values():
                decided += scheduler.process_queue(now)
                self._schedule_processing(scheduler, now)
                self._log_reserve(scheduler, now)
        self._notify(decided)

    def process_queue(self, replica: str) -> None:
        """Grant and refuse the queued requests of one replica."""
        with self._lock:
            now = self._clock.now()
            scheduler = self._scheduler_by_replica.get(replica)
            decided = () if scheduler is None else scheduler.process_queue(now)
            if scheduler is not None:
                self._schedule_processing(scheduler, now)
        self._notify(decided)

    def drain(self, replica: str) -> None:
        """Give no more work to a replica that is leaving."""
        with self._lock:
            scheduler = self._scheduler_by_replica.get(replica)
            decided = scheduler.drain() if scheduler is not None else ()
        self._notify(decided)

    def mark_unreachable(self, replica: str) -> bool:
        """Give no more work to an unreachable replica; return whether this is a change."""
        with self._lock:
            scheduler = self._scheduler_by_replica.get(replica)
            is_change = scheduler is not None and not scheduler.is_unreachable
            decided = scheduler.mark_unreachable(self._clock.now()) if is_change else ()
        self._notify(decided)
        return is_change

    def apply(
        self,
        replica: str,
        function: collections.abc.Callable[[replicascheduler.ReplicaScheduler, float], None],
    ) -> None:
        """Call a function with a scheduler under the lock, if the replica is configured.

        :param function: called with the scheduler and the present time.
        """
        with self._lock:
            scheduler = self._scheduler(replica)
            if scheduler is not None:
                function(scheduler, self._clock.now())

    def states(self) -> dict[str, SchedulerState]:
        """Return the state of every scheduler by replica."""
        return self.states_of(self._scheduler_by_replica)

    def states_of(self, replicas: collections.abc.Iterable[str]) -> dict[str, SchedulerState]:
        """Return the states of some replicas' schedulers, as far as these exist."""
        with self._lock:
            now = self._clock.now()
            schedulers = ((name, self._scheduler_by_replica.get(name)) for name in tuple(replicas))
            return {
                name: _state(scheduler, now)
                for name, scheduler in schedulers
                if scheduler is not None
            }

    def waiting_classes(
        self, replicas: collections.abc.Iterable[str]
    ) -> tuple[siteforecast.ClassState, ...]:
        """Return the requests that wait for some replicas, the most urgent class first."""
        with self._lock:
            found = [self._scheduler_by_replica.get(each) for each in replicas]
            present = [each for each in found if each is not None]
            return classes_waiting(present, self._clock.now())

    def reserved_memory(self, replicas: collections.abc.Iterable[str]) -> ReservedTokens:
        """Return the memory that is kept free at some replicas."""
        with self._lock:
            now = self._clock.now()
            found = [
                scheduler
                for each in replicas
                if (scheduler := self._scheduler_by_replica.get(each)) is not None
            ]
            return ReservedTokens(
                sum(each.reserve.reserved_tokens(now) for each in found),
                int(sum(each.departing_tokens(now) for each in found)),
            )

    def _schedule_processing(
        self, scheduler: replicascheduler.ReplicaScheduler, now: float
    ) -> None:
        """Have the queue processed when the backlog of prompts lets a queued request start."""
        delay_s = None if self._call_later is None else scheduler.seconds_until_next_start(now)
        if delay_s is None:
            return
        process_at = now + max(MIN_PROCESSING_DELAY_S, delay_s)
        if now < self._processing_at_by_replica.get(scheduler.replica, 0.0) <= process_at:
            return
        self._processing_at_by_replica[scheduler.replica] = process_at
        replica = scheduler.replica
        self._call_later(process_at - now, lambda: self.process_queue(replica))

    def _log_reserve(self, scheduler: replicascheduler.ReplicaScheduler, now: float) -> None:
        tokens = scheduler.reserve.reserved_tokens(now)
        if bool(tokens) is (scheduler.replica in self._reserving):
            return
        before, after = ("none", "reserved") if tokens else ("reserved", "none")
        (self._reserving.add if tokens else self._reserving.discard)(scheduler.replica)
        logs.state_changed("urgent_memory", before, after, replica=scheduler.replica, room=tokens)

    def _scheduler(self, replica: str) -> replicascheduler.ReplicaScheduler | None:
        scheduler = self._scheduler_by_replica.get(replica)
        spec = self._spec_by_replica.get(replica)
        if scheduler is None and spec is not None:
            scheduler = self._make(replica, spec)
            self._scheduler_by_replica[replica] = scheduler
        return scheduler

    def _make(self, replica: str, spec: SchedulerSpec) -> replicascheduler.ReplicaScheduler:
        scheduler = spec.make(replica, self._lengths, self._gate)
        scheduler.departing_share = lambda now: self._departing_share(replica, now)
        if spec.service:
            scheduler.reserve = self._reserve_by_service.setdefault(
                spec.service, scheduler.reserve
            )
        return scheduler

    def _notify(self, decided: collections.abc.Iterable[replicascheduler.QueueOutcome]) -> None:
        for each in decided:
            with self._lock:
                notify = self._notify_by_request.pop(each.request_id, None)
            if notify is not None:
                notify(each)


def classes_waiting(
    schedulers: collections.abc.Iterable[replicascheduler.ReplicaScheduler], now: float
) -> tuple[siteforecast.ClassState, ...]:
    """Return the requests that wait at some schedulers, the most urgent class first."""
    waiting: collections.Counter[int] = collections.Counter()
    on_time: collections.Counter[int] = collections.Counter()
    starts: collections.Counter[int] = collections.Counter()
    for scheduler in schedulers:
        waiting += scheduler.waiting_by_priority()
        on_time += scheduler.on_time_by_priority(now)
        starts += scheduler.recent_starts.count_by_priority(now)
    return tuple(
        siteforecast.ClassState(
            priority, count, starts[priority] / recentstarts.WINDOW_S, on_time[priority]
        )
        for priority, count in sorted(waiting.items(), reverse=True)
    )


def _state(scheduler: replicascheduler.ReplicaScheduler, now: float) -> SchedulerState:
    return SchedulerState(
        replica=scheduler.replica,
        headroom_tokens=_headroom(scheduler, now),
        running=scheduler.running_count,
        waiting=scheduler.queued_count,
        waiting_ahead=scheduler.count_ahead(now),
        expected_wait_s=scheduler.expected_wait_s(now),
        leaving=scheduler.leaving,
        is_unreachable=scheduler.is_unreachable,
    )


def _headroom(scheduler: replicascheduler.ReplicaScheduler, now: float) -> float:
    # A replica that has not yet reported to its owner appears empty, and so does one whose
    # connection has stalled. Requests would be sent to it and wait while others have headroom.
    if (
        scheduler.admission.is_at_limit()
        or scheduler.is_report_overdue(now)
        or scheduler.is_unreachable
    ):
        return 0.0
    if scheduler.gate.refusal(scheduler.replica, now) is not None:
        return 0.0
    return scheduler.admission.headroom(now)


def _unknown_replica(replica: str) -> outcomes.Refusal:
    detail = f"this node knows no replica {replica}"
    return outcomes.Refusal("replica_unknown", 503, detail, retry_after_s=UNKNOWN_REPLICA_RETRY_S)
