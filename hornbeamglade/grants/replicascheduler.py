"""The owner's side of one replica: who may start, who waits, who is refused.

Explanation
===========

A replica has a soft owner among the entry nodes. The owner alone admits, so
that its knowledge of the replica's memory is exact for every request of its
own site. During a change of membership two nodes may own a replica at once:
both admit, the engine may preempt more than planned, and nothing else happens,
since a grant is a matter of performance. What must hold (a single run, a
single generation) never rests on grants.

A grant is soft state. It ends when its holder returns it, or lapses when its
holder falls silent (:mod:`hornbeamglade.exchange.grantserver`): the holder has
died, and the engine stops the stream when the connection closes.
"""

import collections
import dataclasses
import math

from hornbeamglade.admission import policies, promptbacklog, tokenledger
from hornbeamglade.core import outcomes
from hornbeamglade.fairness import fairqueue
from hornbeamglade.replicas import startgate

LEAVING_RETRY_S = 1.0
OWNER_MOVED = "owner_moved"
QUIET_S = 2.5
"""Reports are read each second; after two missing ones a replica is avoided."""

REPORT_LIFE_S = 10.0
"""What a replica said of itself counts for so long, the report's own lag included: with
reports that are 5 s late an engine must still get work."""


PROMPTS_AHEAD_S = 0.8
"""So much of prompts may wait to be read at an engine. What waits there is out of reach: it
is read in the order in which it came, late requests before those that could be on time."""

TAKING_IN_S = 1.5
"""A notice of a stop: for so long after it was let in, a run's memory may be on its way."""

TAKE_IN_SHARE = 0.97
"""A run from elsewhere may fill memory to this share: the rest is a few hundred tokens of
growth, until another run ends."""


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The request may start on the replica now."""

    request_id: str
    replica: str


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The request waits in the replica's queue; an answer follows."""

    request_id: str
    replica: str


@dataclasses.dataclass(frozen=True, slots=True)
class QueueOutcome:
    """The later answer to a request that waited."""

    request_id: str
    answer: Granted | outcomes.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRequest:
    work: outcomes.Work
    weight: float
    deadline: float
    due: float


class ReplicaScheduler:
    """Admit requests to one replica, in fair order, within its memory.

    :param replica: the replica's name.
    :param admission: what fits into the replica's memory.
    :param queue: those that wait, in fair order.
    :param gate: may keep requests from a replica that has room.
    """

    def __init__(
        self,
        replica: str,
        admission: policies.AdmissionPolicy,
        queue: fairqueue.FairQueue,
        gate: startgate.StartGate | None = None,
    ) -> None:
        self.replica = replica
        self.admission = admission
        self.queue = queue
        self.gate = gate or startgate.OpenGate()
        self.prompts = promptbacklog.PromptBacklog()
        self.leaving = False
        self.is_unreachable = False
        self._reported_at: float | None = None
        self._heard_at: float | None = None
        self._running: set[str] = set()
        self._ask_by_waiting: dict[str, _PendingRequest] = {}
        self._displaced: list[QueueOutcome] = []
        self._taken_in_at: collections.deque[float] = collections.deque()

    def apply_report(self, view: tokenledger.LoadView, leaving: bool, now: float) -> None:
        """Take a load report.

        :param view: the replica's memory.
        :param leaving: whether the replica says that it leaves.
        """
        self.leaving = leaving
        self.is_unreachable = False
        self._reported_at = now - view.age_s
        self._heard_at = now
        self.admission.report(view, now)

    def request_grant(
        self,
        work: outcomes.Work,
        weight: float,
        now: float,
        deadline: float,
        due: float = math.inf,
    ) -> Granted | Queued | outcomes.Refusal:
        """Answer a request for permission to start; idempotent by request id.

        :param work: what is known of the request.
        :param weight: the team's share when teams compete.
        :param now: monotonic seconds.
        :param deadline: when the caller's wait ends, in the same seconds.
        :param due: when it must start to be on time.
        """
        if work.request_id in self._running:
            return Granted(work.request_id, self.replica)
        if work.request_id in self._ask_by_waiting:
            return Queued(work.request_id, self.replica)
        if self.leaving:
            return _replica_leaving(self.replica)
        if self.is_unreachable:
            return _replica_unreached(self.replica)
        # A replica that was told to leave may be cut off from its owner: without a
        # recent word of it, its grants would go on for as long as the cut lasts.
        if self._is_silent(now):
            return _replica_silent(self.replica)
        # Waiting here would be in vain while others may take it.
        closed = self.gate.refusal(self.replica, now)
        if closed is not None:
            return closed
        granted = self.try_grant(work, now, due)
        return granted or self._enqueue(_PendingRequest(work, weight, deadline, due), now)

    def try_grant(self, work: outcomes.Work, now: float, due: float = math.inf) -> Granted | None:
        """Grant a request that may start now, ahead of none that can be on time; else None.

        :param due: when it must start to be on time.
        """
        if not self._may_start(now) or not self.queue.would_start_next(due, now):
            return None
        return self._start(work, now) if self.admission.fits(work, now) else None

    def admit_migration(
        self, work: outcomes.Work, produced: int, now: float
    ) -> Granted | outcomes.Refusal:
        """Answer for a run that goes on here from another replica; idempotent.

        Explanation
        ===========

        Such a run is refused or admitted at once, by the memory held now: what it has
        is lost if it waits, while growth that does not fit later costs one preemption.

        :param work: what is known of the request.
        :param produced: tokens of its answer so far.
        """
        if work.request_id in self._running:
            return Granted(work.request_id, self.replica)
        if self.leaving:
            return _replica_leaving(self.replica)
        if self.is_unreachable:
            return _replica_unreached(self.replica)
        closed = self.gate.refusal(self.replica, now)
        if closed is not None:
            return closed
        ledger = self.admission.ledger
        needed = ledger.footprint(work.prompt_tokens) + produced
        held = ledger.own + ledger.others
        if held + needed > ledger.capacity * TAKE_IN_SHARE or self.admission.is_at_limit():
            return _no_room(self.replica)
        self.adopt(work, produced, now)
        self._taken_in_at.append(now)
        self.gate.started(self.replica, now)
        return Granted(work.request_id, self.replica)

    def recent_migrations(self, now: float) -> int:
        """Return how many runs were let in from other replicas within a notice of a stop."""
        while self._taken_in_at and now - self._taken_in_at[0] > TAKING_IN_S:
            self._taken_in_at.popleft()
        return len(self._taken_in_at)

    def progress(self, request_id: str, produced: int, now: float) -> None:
        """Note how many tokens a running request has produced so far."""
        stream = self.admission.ledger.stream_by_id.get(request_id)
        if stream is None:
            return
        # Teams are charged for what they get: charged for prompts alone, a team of long
        # answers would be served as one of short ones.
        self.queue.charge_output(stream.work.team, max(0, produced - stream.produced))
        self.admission.progress(request_id, produced, now)

    def adopt(self, work: outcomes.Work, produced: int, now: float) -> None:
        """Count a running request that another owner admitted, fitting or not.

        Guards a new owner against planning memory that is in use already.
        """
        if work.request_id not in self._running:
            self._grant(work, now)
        self.admission.progress(work.request_id, produced, now)

    def finish(self, request_id: str, now: float) -> None:
        """Take back the grant, or the place in the queue, of a request; idempotent."""
        if request_id in self._ask_by_waiting:
            del self._ask_by_waiting[request_id]
            self.queue.remove(request_id)
        if request_id in self._running:
            self._running.discard(request_id)
            self.admission.finish(request_id, now)

    def process_queue(self, now: float) -> tuple[QueueOutcome, ...]:
        """Grant those whose turn has come and refuse those that cannot start in time."""
        settled = self._displaced
        self._displaced = []
        settled += [self._refuse(each) for each in self.queue.expire(now)]
        while self._ask_by_waiting and self._may_start(now):
            work = self.queue.take(lambda each: self.admission.fits(each, now), now)
            if work is None:
                break
            del self._ask_by_waiting[work.request_id]
            settled.append(QueueOutcome(work.request_id, self._start(work, now)))
        closed = self.gate.refusal(self.replica, now) if self._ask_by_waiting else None
        if closed is not None:
            settled += self._refuse_waiting(closed)
        return tuple(settled)

    def drain(self) -> tuple[QueueOutcome, ...]:
        """Refuse everyone that waits: the replica takes no new work."""
        self.leaving = True
        return self._refuse_waiting(_replica_leaving(self.replica))

    def mark_unreachable(self, now: float) -> tuple[QueueOutcome, ...]:
        """Refuse everyone until the replica reports again: it cannot be reached.

        Guards requests against an engine that has died: with nothing running it looks
        emptier than all that live, and for seconds the platform's list says nothing.
        """
        if self.is_unreachable:
            return ()
        self.is_unreachable = True
        return self._refuse_waiting(_replica_unreached(self.replica))

    def relinquish(self) -> tuple[QueueOutcome, ...]:
        """Send everyone that waits to the new owner: this node admits no more.

        Guards those that wait against a queue that nobody serves: the former owner
        hears no reports any more, and they would stand there until their deadline.
        """
        return self._refuse_waiting(owner_moved(self.replica))

    def take_over(self, former: "ReplicaScheduler", now: float) -> None:
        """Go on from a scheduler that had other settings: its grants and its queue.

        Those that wait are offered again in the order in which they came; one that
        is refused now hears of it with the next ``settle``.
        """
        for stream in tuple(former.admission.ledger.stream_by_id.values()):
            self.adopt(stream.work, stream.produced, now)
        for ask in former._ask_by_waiting.values():
            answer = self._enqueue(ask, now)
            if isinstance(answer, outcomes.Refusal):
                self._displaced.append(QueueOutcome(ask.work.request_id, answer))
        self._displaced += former._displaced
        self.leaving = former.leaving
        self.is_unreachable = former.is_unreachable
        self._reported_at = former._reported_at
        self._heard_at = former._heard_at

    @property
    def running_count(self) -> int:
        """How many grants are held."""
        return len(self._running)

    @property
    def queued_count(self) -> int:
        """How many requests wait."""
        return len(self._ask_by_waiting)

    def count_ahead(self, now: float) -> int:
        """Return how many of them a newcomer stands behind."""
        return self.queue.count_ahead(now)

    def expected_wait_s(self, now: float) -> float:
        """Return the seconds until a request that asks now would begin to be read."""
        return self.queue.expected_wait_s(now) + self.prompts.wait_s(now)

    def _refuse_waiting(self, refusal: outcomes.Refusal) -> tuple[QueueOutcome, ...]:
        told = tuple(self._displaced)
        self._displaced = []
        waiting_ids = tuple(self._ask_by_waiting)
        self._ask_by_waiting.clear()
        for request_id in waiting_ids:
            self.queue.remove(request_id)
        return told + tuple(QueueOutcome(each, refusal) for each in waiting_ids)

    def has_recent_report(self, now: float) -> bool:
        """Tell whether the replica was heard of lately."""
        return self._reported_at is not None and not self._is_silent(now)

    def is_quiet(self, now: float) -> bool:
        """Tell whether reports have stopped coming, or never came."""
        return self._heard_at is None or now - self._heard_at > QUIET_S

    def _may_grant(self, now: float) -> bool:
        return self.has_recent_report(now) and not self.leaving and not self.is_unreachable

    def _may_start(self, now: float) -> bool:
        """Tell whether a new request may go to the replica, as far as its prompts are read."""
        if not self._may_grant(now) or self.prompts.wait_s(now) > PROMPTS_AHEAD_S:
            return False
        return self.gate.refusal(self.replica, now) is None

    def _is_silent(self, now: float) -> bool:
        """Tell whether the last word is too old; one who never spoke is waited for."""
        return self._reported_at is not None and now - self._reported_at > REPORT_LIFE_S

    def _grant(self, work: outcomes.Work, now: float) -> Granted:
        self.admission.admit(work, now)
        self._running.add(work.request_id)
        return Granted(work.request_id, self.replica)

    def _start(self, work: outcomes.Work, now: float) -> Granted:
        """Grant a request whose prompt is to be read here."""
        self.prompts.add(work.prompt_tokens, now)
        self.gate.started(self.replica, now)
        return self._grant(work, now)

    def _enqueue(self, ask: _PendingRequest, now: float) -> Queued | outcomes.Refusal:
        answer = self.queue.offer(ask.work, ask.weight, now, ask.deadline, ask.due)
        if isinstance(answer, outcomes.Refusal):
            return answer
        self._ask_by_waiting[ask.work.request_id] = ask
        self._displaced += [self._refuse(each) for each in answer.displaced]
        return Queued(ask.work.request_id, self.replica)

    def _refuse(self, expired: fairqueue.RemovedRequest) -> QueueOutcome:
        self._ask_by_waiting.pop(expired.work.request_id, None)
        return QueueOutcome(expired.work.request_id, expired.refusal)


def owner_moved(replica: str) -> outcomes.Refusal:
    """Return the refusal of a node that does not, or no longer, own a replica."""
    detail = f"another node admits to replica {replica} now"
    return outcomes.Refusal(OWNER_MOVED, 503, detail, retry_after_s=LEAVING_RETRY_S)


def _no_room(replica: str) -> outcomes.Refusal:
    detail = f"replica {replica} has no memory for a run that comes from another one"
    return outcomes.Refusal("no_room", 503, detail, retry_after_s=LEAVING_RETRY_S)


def _replica_silent(replica: str) -> outcomes.Refusal:
    detail = f"replica {replica} has not reported for {REPORT_LIFE_S:g} s"
    return outcomes.Refusal("replica_silent", 503, detail, retry_after_s=LEAVING_RETRY_S)


def _replica_unreached(replica: str) -> outcomes.Refusal:
    detail = f"replica {replica} cannot be reached by the node that admits to it"
    return outcomes.Refusal("replica_unreached", 503, detail, retry_after_s=LEAVING_RETRY_S)


def _replica_leaving(replica: str) -> outcomes.Refusal:
    detail = f"replica {replica} is leaving"
    return outcomes.Refusal("replica_leaving", 503, detail, retry_after_s=LEAVING_RETRY_S)
