"""All desks of one node, safe to use from any thread."""

import collections.abc
import dataclasses
import math
import threading

from hornbeamglade.admission import policies, replicaadmission
from hornbeamglade.core import clocks, outcomes
from hornbeamglade.fairness import queuesettings, waiting
from hornbeamglade.grants import replicadesk
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.replicas import startgate

Notify = collections.abc.Callable[[replicadesk.Settled], None]

NOT_OWNER_RETRY_S = 0.5
PRESENT_MEMORY = "present_memory"
LEAST_OUTSTANDING = "least_outstanding"


@dataclasses.dataclass(frozen=True, slots=True)
class DeskState:
    """What a desk tells of itself to routing, other nodes and operators.

    :param replica: the replica's name.
    :param room_tokens: memory that may still be planned, in tokens.
    :param running: grants held.
    :param waiting: requests that wait.
    :param ahead: those of them that a newcomer stands behind.
    :param expected_wait_s: seconds until a request behind all others starts.
    :param leaving: whether the replica takes no new work.
    :param is_lost: whether the replica cannot be reached just now.
    """

    replica: str
    room_tokens: float
    running: int
    waiting: int
    ahead: int
    expected_wait_s: float
    leaving: bool
    is_lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DeskSpec:
    """What a replica's desk is made from.

    :param memory_tokens: the replica's memory, until a report tells it.
    :param admission: horizons, bounds and margins.
    :param queue: bounds of its queue.
    :param policy: the name of the admission policy, as in the configuration.
    """

    memory_tokens: int
    admission: replicaadmission.AdmissionSettings
    queue: queuesettings.WaitingSettings
    policy: str = "probabilistic"

    def make(
        self,
        replica: str,
        lengths: lengthmodel.LengthModel,
        gate: startgate.StartGate | None = None,
    ) -> replicadesk.ReplicaDesk:
        """Make an empty desk."""
        return replicadesk.ReplicaDesk(
            replica, self._policy(lengths), waiting.WaitingQueue(self.queue), gate
        )

    def _policy(self, lengths: lengthmodel.LengthModel) -> policies.AdmissionPolicy:
        if self.policy == PRESENT_MEMORY:
            return policies.PresentMemory(self.memory_tokens, self.admission.max_running)
        if self.policy == LEAST_OUTSTANDING:
            return policies.LeastOutstanding(self.memory_tokens)
        return replicaadmission.ReplicaAdmission(self.memory_tokens, lengths, self.admission)


class DeskSet:
    """The desks of the replicas that this node may own.

    Explanation
    ===========

    One lock guards all desks: at 20 requests and 150 progress reports a second
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
        self._spec_by_replica: dict[str, DeskSpec] = {}
        self._owned: frozenset[str] = frozenset()
        self._desk_by_replica: dict[str, replicadesk.ReplicaDesk] = {}
        self._notify_by_request: dict[str, Notify] = {}

    def configure(self, spec_by_replica: dict[str, DeskSpec]) -> None:
        """Take the replicas of a revision; those that are gone refuse whoever waits.

        Desks are made when they are first asked for, since of many replicas a node
        owns few.
        """
        with self._lock:
            now = self._clock.now()
            settled = []
            for name, desk in tuple(self._desk_by_replica.items()):
                spec = spec_by_replica.get(name)
                if spec is None:
                    settled += desk.leave()
                    del self._desk_by_replica[name]
                elif spec != self._spec_by_replica[name]:
                    successor = spec.make(name, self._lengths, self._gate)
                    successor.take_over(desk, now)
                    self._desk_by_replica[name] = successor
            self._spec_by_replica = dict(spec_by_replica)
        self._tell(settled)

    def own(self, replicas: frozenset[str]) -> None:
        """Take the replicas that this node owns now, and give up the others."""
        with self._lock:
            for replica in replicas:
                self._desk(replica)
            lost = self._owned - replicas
            self._owned = replicas
            desks = (self._desk_by_replica[name] for name in lost & self._desk_by_replica.keys())
            settled = [each for desk in desks for each in desk.disown()]
        self._tell(settled)

    def ask(
        self,
        replica: str,
        work: outcomes.Work,
        weight: float,
        deadline: float,
        notify: Notify,
        due: float = math.inf,
    ) -> replicadesk.Granted | replicadesk.Waiting | outcomes.Refusal:
        """Ask for permission to start; ``notify`` hears the later answer, if any.

        :param replica: the replica's name.
        :param work: what is known of the request.
        :param weight: the team's share.
        :param deadline: monotonic seconds of this node's clock.
        :param due: when it must start to be on time, in the same seconds.
        """
        with self._lock:
            desk = self._desk(replica)
            if desk is None:
                return _unknown_replica(replica)
            now = self._clock.now()
            if not self.admits_to(replica):
                return replicadesk.owner_moved(replica)
            answer = desk.ask(work, weight, now, deadline, due)
            if isinstance(answer, replicadesk.Waiting):
                self._notify_by_request[work.request_id] = notify
            settled = desk.settle(now)
        self._tell(settled)
        return answer

    def admits_to(self, replica: str) -> bool:
        """Tell whether this node may grant requests to a replica.

        A node that owns the replica only in the asker's view reads no reports of it: the
        request would wait there for nothing.
        """
        with self._lock:
            desk = self._desk(replica)
            if replica in self._owned:
                return desk is not None
            return desk is not None and desk.has_recent_report(self._clock.now())

    def ask_at_once(
        self, replica: str, work: outcomes.Work, due: float = math.inf
    ) -> replicadesk.Granted | None:
        """Ask for permission to start now at a replica that this node owns.

        :param due: when it must start to be on time, monotonic seconds.
        """
        with self._lock:
            desk = self._desk(replica) if replica in self._owned else None
            return None if desk is None else desk.ask_at_once(work, self._clock.now(), due)

    def take_in(
        self, replica: str, work: outcomes.Work, produced: int
    ) -> replicadesk.Granted | outcomes.Refusal:
        """Ask for a run that goes on from another replica; answered at once."""
        with self._lock:
            desk = self._desk(replica)
            if desk is None:
                return _unknown_replica(replica)
            return desk.take_in(work, produced, self._clock.now())

    def taken_in_lately(self, replica: str) -> int:
        """Return how many runs a replica took in from others within a notice of a stop."""
        with self._lock:
            desk = self._desk_by_replica.get(replica)
            return 0 if desk is None else desk.taken_in_lately(self._clock.now())

    def progress(self, replica: str, request_id: str, produced: int) -> None:
        """Note how many tokens a running request has produced."""
        with self._lock:
            desk = self._desk_by_replica.get(replica)
            if desk is not None:
                desk.progress(request_id, produced, self._clock.now())

    def finish(self, replica: str, request_id: str) -> None:
        """Take back a grant or a place in the queue, and serve whoever is next."""
        with self._lock:
            self._notify_by_request.pop(request_id, None)
            desk = self._desk_by_replica.get(replica)
            if desk is None:
                return
            now = self._clock.now()
            desk.finish(request_id, now)
            settled = desk.settle(now)
        self._tell(settled)

    def learn(self, service: str, team: str, tokens: int, *, censored: bool) -> None:
        """Learn from an answer that has ended.

        :param tokens: tokens produced.
        :param censored: whether it would have been longer.
        """
        with self._lock:
            self._lengths.observe(service, team, tokens, censored)

    @property
    def is_waited_at(self) -> bool:
        """Whether any request waits at a desk."""
        return bool(self._notify_by_request)

    def settle(self) -> None:
        """Grant and refuse by the passage of time; called several times a second."""
        with self._lock:
            now = self._clock.now()
            settled = [
                each for desk in self._desk_by_replica.values() for each in desk.settle(now)
            ]
        self._tell(settled)

    def leave(self, replica: str) -> None:
        """Give no more work to a replica that leaves."""
        with self._lock:
            desk = self._desk_by_replica.get(replica)
            settled = desk.leave() if desk is not None else ()
        self._tell(settled)

    def lost(self, replica: str) -> bool:
        """Give no more work to a replica that cannot be reached; return whether it is new."""
        with self._lock:
            desk = self._desk_by_replica.get(replica)
            is_new = desk is not None and not desk.is_lost
            settled = desk.lost(self._clock.now()) if is_new else ()
        self._tell(settled)
        return is_new

    def change(
        self, replica: str, act: collections.abc.Callable[[replicadesk.ReplicaDesk, float], None]
    ) -> None:
        """Apply ``act`` to a desk under the lock; nothing when there is none.

        :param act: called with the desk and the clock's now.
        """
        with self._lock:
            desk = self._desk(replica)
            if desk is not None:
                act(desk, self._clock.now())

    def states(self) -> dict[str, DeskState]:
        """Return the state of every desk by replica."""
        return self.states_of(self._desk_by_replica)

    def states_of(self, replicas: collections.abc.Iterable[str]) -> dict[str, DeskState]:
        """Return the states of some replicas' desks, of those that there are."""
        with self._lock:
            now = self._clock.now()
            desks = ((name, self._desk_by_replica.get(name)) for name in tuple(replicas))
            return {name: _state(desk, now) for name, desk in desks if desk is not None}

    def _desk(self, replica: str) -> replicadesk.ReplicaDesk | None:
        desk = self._desk_by_replica.get(replica)
        spec = self._spec_by_replica.get(replica)
        if desk is None and spec is not None:
            desk = spec.make(replica, self._lengths, self._gate)
            self._desk_by_replica[replica] = desk
        return desk

    def _tell(self, settled: collections.abc.Iterable[replicadesk.Settled]) -> None:
        for each in settled:
            with self._lock:
                notify = self._notify_by_request.pop(each.request_id, None)
            if notify is not None:
                notify(each)


def _state(desk: replicadesk.ReplicaDesk, now: float) -> DeskState:
    return DeskState(
        replica=desk.replica,
        room_tokens=_room(desk, now),
        running=desk.running_count,
        waiting=desk.waiting_count,
        ahead=desk.ahead(now),
        expected_wait_s=desk.expected_wait_s(now),
        leaving=desk.leaving,
        is_lost=desk.is_lost,
    )


def _room(desk: replicadesk.ReplicaDesk, now: float) -> float:
    # A replica that its owner has not heard of yet looks empty, and so does one whose
    # link has stalled: requests would be drawn to it and wait there while others have room.
    if desk.admission.is_at_bound() or desk.is_quiet(now) or desk.is_lost:
        return 0.0
    if desk.gate.refusal(desk.replica, now) is not None:
        return 0.0
    return desk.admission.room(now)


def _unknown_replica(replica: str) -> outcomes.Refusal:
    detail = f"this node knows no replica {replica}"
    return outcomes.Refusal("replica_unknown", 503, detail, retry_after_s=NOT_OWNER_RETRY_S)
