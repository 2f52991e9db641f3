"""All schedulers of one node, safe to use from any thread."""

import collections.abc
import dataclasses
import math
import threading

from hornbeamglade.admission import policies, replicaadmission
from hornbeamglade.core import clocks, outcomes
from hornbeamglade.fairness import fairqueue, queuesettings
from hornbeamglade.grants import replicascheduler
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.replicas import startgate

Notify = collections.abc.Callable[[replicascheduler.QueueOutcome], None]

NOT_OWNER_RETRY_S = 0.5
PRESENT_MEMORY = "present_memory"
LEAST_OUTSTANDING = "least_outstanding"


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerState:
    """What a scheduler tells of itself to routing, other nodes and operators.

    :param replica: the replica's name.
    :param headroom_tokens: memory that may still be planned, in tokens.
    :param running: grants held.
    :param waiting: requests that wait.
    :param waiting_ahead: those of them that a newcomer stands behind.
    :param expected_wait_s: seconds until a request behind all others starts.
    :param leaving: whether the replica takes no new work.
    :param is_unreachable: whether the replica cannot be reached just now.
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
class SchedulerSpec:
    """What a replica's scheduler is made from.

    :param memory_tokens: the replica's memory, until a report tells it.
    :param admission: horizons, bounds and margins.
    :param queue: bounds of its queue.
    :param policy: the name of the admission policy, as in the configuration.
    """

    memory_tokens: int
    admission: replicaadmission.AdmissionSettings
    queue: queuesettings.QueueSettings
    policy: str = "probabilistic"

    def make(
        self,
        replica: str,
        lengths: lengthmodel.LengthModel,
        gate: startgate.StartGate | None = None,
    ) -> replicascheduler.ReplicaScheduler:
        """Make an empty scheduler."""
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
    the decisions take a few milliseconds of each second. Those who wait are told
    through a callback, outside the lock.

    :param clock: monotonic time.
    :param lengths: what was learned of answer lengths; guarded by the same lock.
    :param gate: may keep requests from a replica that has room.
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

    def configure(self, spec_by_replica: dict[str, SchedulerSpec]) -> None:
        """Take the replicas of a revision; those that are gone refuse whoever waits.

        Schedulers are made when they are first asked for, since of many replicas a node
        owns few.
        """
        with self._lock:
            now = self._clock.now()
            settled = []
            for name, scheduler in tuple(self._scheduler_by_replica.items()):
                spec = spec_by_replica.get(name)
                if spec is None:
                    settled += scheduler.drain()
                    del self._scheduler_by_replica[name]
                elif spec != self._spec_by_replica[name]:
                    successor = spec.make(name, self._lengths, self._gate)
                    successor.take_over(scheduler, now)
                    self._scheduler_by_replica[name] = successor
            self._spec_by_replica = dict(spec_by_replica)
        self._tell(settled)

    def set_owned(self, replicas: frozenset[str]) -> None:
        """Take the replicas that this node owns now, and give up the others."""
        with self._lock:
            for replica in replicas:
                self._scheduler(replica)
            lost = self._owned - replicas
            self._owned = replicas
            schedulers = (
                self._scheduler_by_replica[name]
                for name in lost & self._scheduler_by_replica.keys()
            )
            settled = [each for scheduler in schedulers for each in scheduler.relinquish()]
        self._tell(settled)

    def request_grant(
        self,
        replica: str,
        work: outcomes.Work,
        weight: float,
        deadline: float,
        notify: Notify,
        due: float = math.inf,
    ) -> replicascheduler.Granted | replicascheduler.Queued | outcomes.Refusal:
        """Ask for permission to start; ``notify`` hears the later answer, if any.

        :param replica: the replica's name.
        :param work: what is known of the request.
        :param weight: the team's share.
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
            settled = scheduler.process_queue(now)
        self._tell(settled)
        return answer

    def can_admit(self, replica: str) -> bool:
        """Tell whether this node may grant requests to a replica.

        A node that owns the replica only in the asker's view reads no reports of it: the
        request would wait there for nothing.
        """
        with self._lock:
            scheduler = self._scheduler(replica)
            if replica in self._owned:
                return scheduler is not None
            return scheduler is not None and scheduler.has_recent_report(self._clock.now())

    def try_grant(
        self, replica: str, work: outcomes.Work, due: float = math.inf
    ) -> replicascheduler.Granted | None:
        """Ask for permission to start now at a replica that this node owns.

        :param due: when it must start to be on time, monotonic seconds.
        """
        with self._lock:
            scheduler = self._scheduler(replica) if replica in self._owned else None
            return None if scheduler is None else scheduler.try_grant(work, self._clock.now(), due)

    def admit_migration(
        self, replica: str, work: outcomes.Work, produced: int
    ) -> replicascheduler.Granted | outcomes.Refusal:
        """Ask for a run that goes on from another replica; answered at once."""
        with self._lock:
            scheduler = self._scheduler(replica)
            if scheduler is None:
                return _unknown_replica(replica)
            return scheduler.admit_migration(work, produced, self._clock.now())

    def recent_migrations(self, replica: str) -> int:
        """Return how many runs a replica took in from others within a notice of a stop."""
        with self._lock:
            scheduler = self._scheduler_by_replica.get(replica)
            return 0 if scheduler is None else scheduler.recent_migrations(self._clock.now())

    def progress(self, replica: str, request_id: str, produced: int) -> None:
        """Note how many tokens a running request has produced."""
        with self._lock:
            scheduler = self._scheduler_by_replica.get(replica)
            if scheduler is not None:
                scheduler.progress(request_id, produced, self._clock.now())

    def finish(self, replica: str, request_id: str) -> None:
        """Take back a grant or a place in the queue, and serve whoever is next."""
        with self._lock:
            self._notify_by_request.pop(request_id, None)
            scheduler = self._scheduler_by_replica.get(replica)
            if scheduler is None:
                return
            now = self._clock.now()
            scheduler.finish(request_id, now)
            settled = scheduler.process_queue(now)
        self._tell(settled)

    def observe_length(self, service: str, team: str, tokens: int, *, censored: bool) -> None:
        """Learn from an answer that has ended.

        :param tokens: tokens produced.
        :param censored: whether it would have been longer.
        """
        with self._lock:
            self._lengths.observe(service, team, tokens, censored)

    @property
    def has_waiting_requests(self) -> bool:
        """Whether any request waits at a scheduler."""
        return bool(self._notify_by_request)

    def process_queues(self) -> None:
        """Grant and refuse by the passage of time; called several times a second."""
        with self._lock:
            now = self._clock.now()
            settled = [
                each
                for scheduler in self._scheduler_by_replica.values()
                for each in scheduler.process_queue(now)
            ]
        self._tell(settled)

    def drain(self, replica: str) -> None:
        """Give no more work to a replica that leaves."""
        with self._lock:
            scheduler = self._scheduler_by_replica.get(replica)
            settled = scheduler.drain() if scheduler is not None else ()
        self._tell(settled)

    def mark_unreachable(self, replica: str) -> bool:
        """Give no more work to a replica that cannot be reached; return whether it is new."""
        with self._lock:
            scheduler = self._scheduler_by_replica.get(replica)
            is_new = scheduler is not None and not scheduler.is_unreachable
            settled = scheduler.mark_unreachable(self._clock.now()) if is_new else ()
        self._tell(settled)
        return is_new

    def apply(
        self,
        replica: str,
        act: collections.abc.Callable[[replicascheduler.ReplicaScheduler, float], None],
    ) -> None:
        """Apply ``act`` to a scheduler under the lock; nothing when there is none.

        :param act: called with the scheduler and the clock's now.
        """
        with self._lock:
            scheduler = self._scheduler(replica)
            if scheduler is not None:
                act(scheduler, self._clock.now())

    def states(self) -> dict[str, SchedulerState]:
        """Return the state of every scheduler by replica."""
        return self.states_of(self._scheduler_by_replica)

    def states_of(self, replicas: collections.abc.Iterable[str]) -> dict[str, SchedulerState]:
        """Return the states of some replicas' schedulers, of those that there are."""
        with self._lock:
            now = self._clock.now()
            schedulers = ((name, self._scheduler_by_replica.get(name)) for name in tuple(replicas))
            return {
                name: _state(scheduler, now)
                for name, scheduler in schedulers
                if scheduler is not None
            }

    def _scheduler(self, replica: str) -> replicascheduler.ReplicaScheduler | None:
        scheduler = self._scheduler_by_replica.get(replica)
        spec = self._spec_by_replica.get(replica)
        if scheduler is None and spec is not None:
            scheduler = spec.make(replica, self._lengths, self._gate)
            self._scheduler_by_replica[replica] = scheduler
        return scheduler

    def _tell(self, settled: collections.abc.Iterable[replicascheduler.QueueOutcome]) -> None:
        for each in settled:
            with self._lock:
                notify = self._notify_by_request.pop(each.request_id, None)
            if notify is not None:
                notify(each)


def _state(scheduler: replicascheduler.ReplicaScheduler, now: float) -> SchedulerState:
    return SchedulerState(
        replica=scheduler.replica,
        headroom_tokens=_room(scheduler, now),
        running=scheduler.running_count,
        waiting=scheduler.queued_count,
        waiting_ahead=scheduler.count_ahead(now),
        expected_wait_s=scheduler.expected_wait_s(now),
        leaving=scheduler.leaving,
        is_unreachable=scheduler.is_unreachable,
    )


def _room(scheduler: replicascheduler.ReplicaScheduler, now: float) -> float:
    # A replica that its owner has not heard of yet looks empty, and so does one whose
    # link has stalled: requests would be drawn to it and wait there while others have room.
    if scheduler.admission.is_at_limit() or scheduler.is_quiet(now) or scheduler.is_unreachable:
        return 0.0
    if scheduler.gate.refusal(scheduler.replica, now) is not None:
        return 0.0
    return scheduler.admission.headroom(now)


def _unknown_replica(replica: str) -> outcomes.Refusal:
    detail = f"this node knows no replica {replica}"
    return outcomes.Refusal("replica_unknown", 503, detail, retry_after_s=NOT_OWNER_RETRY_S)
