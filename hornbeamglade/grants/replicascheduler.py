"""The owner's scheduler of one replica: which requests start, wait or are refused.

Explanation
===========

Each replica has a soft owner among the entry nodes. Only the owner admits requests, so it knows
exactly how much of the replica's memory the requests of its own site use. During a change of
membership, two nodes may own a replica at once. Both then admit requests and the engine may
preempt more of them than planned, but nothing else happens, as grants only affect performance.
Guarantees such as a single run or a single generation of a request never depend on grants.

A grant is soft state. It ends when its holder releases it, or expires when its holder falls
silent (:mod:`hornbeamglade.exchange.grantserver`). In that case the holder has crashed, and the
engine stops the stream when the connection closes.
"""

import collections
import dataclasses
import math

from hornbeamglade.admission import policies, promptbacklog, tokenledger, urgentreserve
from hornbeamglade.core import outcomes
from hornbeamglade.fairness import fairqueue, flows, recentstarts
from hornbeamglade.replicas import startgate

LEAVING_RETRY_S = 1.0
OWNER_MOVED = "owner_moved"
REPORT_OVERDUE_S = 2.5
"""Reports are read each second; a replica is avoided once two of them are missing."""

REPORT_LIFE_S = 10.0
"""How long a load report is valid, counted from the state that it describes: an engine whose
reports arrive 5 s late must still get work."""


MAX_PROMPT_BACKLOG_S = 0.8
"""How much prompt processing may be queued at an engine. Requests that wait there can no longer be
reordered: the engine processes prompts in order of arrival, so late requests come before requests
that could still be on time."""

MAX_SLACK_BACKLOG_S = 0.3
"""The bound for requests with slack where objectives differ widely. In a surge at a site with
objectives of 1.5 s and 4 s, urgent requests started late behind 0.8 s of prompts of the others,
which they pass only in the owner's queue. The engine stays busy: the queue is processed
when the backlog has drained to this bound, and every 50 ms."""

MAX_LESS_URGENT_BACKLOG_S = 0.5
"""The bound for requests that are less urgent than others of the last seconds. An urgent request
then finds this and one long prompt (0.4 s) ahead of it, and its own takes 0.3 s, so it meets an
objective of 1.5 s."""

SLACK_S = 1.5
"""A request that may start this much later and still be on time has slack. This is nearly twice
:data:`MAX_PROMPT_BACKLOG_S`, so it can wait its turn in the owner's queue and at the engine."""

MIGRATION_WINDOW_S = 1.5
"""The notice period before a replica stops: for this long after its admission, the KV cache of a
migrated run may still be on its way."""

MIGRATION_FILL_SHARE = 0.97
"""Migrated runs may fill memory up to this share. The rest leaves a few hundred tokens of growth
until another run ends."""


HEADROOM_FACTOR = 0.7
"""The memory that is kept free, relative to the share of the engines that departs together. Part
of their memory was free, and other runs end meanwhile; with the whole share, fewer runs are cut
but more requests start late."""

NOTICE_TOKENS = 150
"""About what a run generates in a notice period of 1.5 s."""


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
    """The later answer to a request that waited in the queue."""

    request_id: str
    answer: Granted | outcomes.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRequest:
    work: outcomes.Work
    weight: float
    deadline: float
    due: float
    offered_at: float


class ReplicaScheduler:
    """Admit requests to one replica, in fair order, within its memory.

    :param replica: the replica's name.
    :param admission: decides what fits into the replica's memory.
    :param queue: the waiting requests, in fair order.
    :param gate: may hold back requests from a replica that has headroom.
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
        self.recent_starts = recentstarts.RecentStarts()
        self.reserve = urgentreserve.UrgentReserve()
        self.departing_share: collections.abc.Callable[[float], float] = lambda _now: 0.0
        self.leaving = False
        self.is_unreachable = False
        self._reported_at: float | None = None
        self._last_seen_at: float | None = None
        self._running: set[str] = set()
        self._pending_by_id: dict[str, _PendingRequest] = {}
        self._unsent: list[QueueOutcome] = []
        self._migrated_at: collections.deque[float] = collections.deque()

    def apply_report(self, view: tokenledger.LoadView, leaving: bool, now: float) -> None:
        """Apply a load report.

        :param view: the replica's memory.
        :param leaving: whether the replica reports that it is leaving.
        """
        self.leaving = leaving
        self.is_unreachable = False
        self._reported_at = now - view.age_s
        self._last_seen_at = now
        self.admission.report(view, now)

    def request_grant(
        self,
        work: outcomes.Work,
        weight: float,
        now: float,
        deadline: float,
        due: float = math.inf,
    ) -> Granted | Queued | outcomes.Refusal:
        """Grant, queue or refuse a request; idempotent by request id.

        :param work: the known properties of the request.
        :param weight: the team's weight when teams compete.
        :param now: monotonic seconds.
        :param deadline: when the caller's wait ends, in the same seconds.
        :param due: when it must start to be on time.
        """
        if work.request_id in self._running:
            return Granted(work.request_id, self.replica)
        if work.request_id in self._pending_by_id:
            return Queued(work.request_id, self.replica)
        if self.leaving:
            return _replica_leaving(self.replica)
        if self.is_unreachable:
            return _replica_unreached(self.replica)
        # A replica that was told to leave may be disconnected from its owner. Without a
        # recent report, the owner would go on granting for as long as the connection is cut.
        if self._is_silent(now):
            return _replica_silent(self.replica)
        # Waiting here would be useless while other replicas may accept the request.
        closed = self.gate.refusal(self.replica, now)
        if closed is not None:
            return closed
        granted = self.try_grant(work, now, due)
        return granted or self._enqueue(_PendingRequest(work, weight, deadline, due, now), now)

    def try_grant(self, work: outcomes.Work, now: float, due: float = math.inf) -> Granted | None:
        """Grant a request that may start now, or return None.

        It never starts ahead of a queued request that can still be on time. A request that is
        queued or granted here is not granted again: the end of either would end both.

        :param due: when it must start to be on time.
        """
        if work.request_id in self._running or work.request_id in self._pending_by_id:
            return None
        if not self._may_start(now) or not self._is_next(work, due, now):
            return None
        return self._start(work, now) if self._fits(work, due, now) else None

    def seconds_until_next_start(self, now: float) -> float | None:
        """Return when the backlog of prompts lets a queued request start; None if it does now.

        Explanation
        ===========

        The next periodic call of :meth:`process_queue` may be 0.25 s away, in which an engine
        whose backlog is bounded to 0.3 s would idle. Always None without mixed objectives.
        """
        if not self.queue.has_mixed_objectives or not self._pending_by_id:
            return None
        backlog_s = self.prompts.wait_s(now)
        if backlog_s > MAX_PROMPT_BACKLOG_S:
            return backlog_s - MAX_PROMPT_BACKLOG_S
        is_deferred = self._deferral(now)
        if is_deferred is None:
            return None
        deferred = [
            each
            for each in self._pending_by_id.values()
            if is_deferred(each.work.priority, each.due)
        ]
        if not deferred:
            return None
        # The highest bound below the backlog is reached first.
        is_above = backlog_s > MAX_LESS_URGENT_BACKLOG_S
        return backlog_s - (MAX_LESS_URGENT_BACKLOG_S if is_above else MAX_SLACK_BACKLOG_S)

    def admit_migration(
        self, work: outcomes.Work, produced: int, now: float
    ) -> Granted | outcomes.Refusal:
        """Admit or refuse a run that is migrated from another replica; idempotent.

        Explanation
        ===========

        Such a run is admitted or refused at once, by the memory that is held now. Its progress
        would be lost if it waited, whereas growth that does not fit later costs one preemption.

        :param work: the known properties of the request.
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
        held = ledger.own_tokens + ledger.other_tokens
        if held + needed > ledger.capacity * MIGRATION_FILL_SHARE or self.admission.is_at_limit():
            return _no_room(self.replica)
        self.adopt(work, produced, now)
        self._migrated_at.append(now)
        self.gate.started(self.replica, now)
        return Granted(work.request_id, self.replica)

    def recent_migrations(self, now: float) -> int:
        """Return how many migrated runs were admitted within one notice period."""
        while self._migrated_at and now - self._migrated_at[0] > MIGRATION_WINDOW_S:
            self._migrated_at.popleft()
        return len(self._migrated_at)

    def progress(self, request_id: str, produced: int, now: float) -> None:
        """Record how many tokens a running request has produced so far."""
        stream = self.admission.ledger.stream_by_id.get(request_id)
        if stream is None:
            return
        # Teams are charged for the tokens that they receive. If they were charged for prompts
        # alone, a team with long answers would be served like one with short answers.
        self.queue.charge_output(stream.work.team, max(0, produced - stream.produced))
        self.admission.progress(request_id, produced, now)

    def adopt(self, work: outcomes.Work, produced: int, now: float) -> None:
        """Account for a running request that another owner admitted, whether it fits or not.

        Prevents a new owner from allocating memory that is already in use.
        """
        if work.request_id not in self._running:
            self._grant(work, now)
        self.admission.progress(work.request_id, produced, now)

    def finish(self, request_id: str, now: float) -> None:
        """Release the grant, or the queue position, of a request; idempotent."""
        if request_id in self._pending_by_id:
            del self._pending_by_id[request_id]
            self.queue.remove(request_id)
        if request_id in self._running:
            self._running.discard(request_id)
            self.admission.finish(request_id, now)

    def process_queue(self, now: float) -> tuple[QueueOutcome, ...]:
        """Grant the queued requests that may start and refuse those that cannot start in time."""
        decided = self._unsent
        self._unsent = []
        decided += [self._refuse(each) for each in self.queue.expire(now)]
        while self._pending_by_id and self._may_start(now):
            work = self.queue.take(
                lambda each: self._fits(each, self._pending_by_id[each.request_id].due, now),
                now,
                self._deferral(now),
            )
            if work is None:
                break
            del self._pending_by_id[work.request_id]
            decided.append(QueueOutcome(work.request_id, self._start(work, now)))
        closed = self.gate.refusal(self.replica, now) if self._pending_by_id else None
        if closed is not None:
            decided += self._refuse_queued(closed)
        return tuple(decided)

    def drain(self) -> tuple[QueueOutcome, ...]:
        """Refuse all queued requests: the replica is leaving and takes no new work."""
        self.leaving = True
        return self._refuse_queued(_replica_leaving(self.replica))

    def mark_unreachable(self, now: float) -> tuple[QueueOutcome, ...]:
        """Refuse all requests until the replica reports again: it cannot be reached.

        A crashed engine has no running requests, so it appears emptier than all live engines,
        and the platform's list still contains it for several seconds. Without this state it
        would attract the requests.
        """
        if self.is_unreachable:
            return ()
        self.is_unreachable = True
        return self._refuse_queued(_replica_unreached(self.replica))

    def relinquish(self) -> tuple[QueueOutcome, ...]:
        """Refuse all queued requests, so that they go to the new owner.

        The former owner no longer receives load reports and does not serve its queue. Without
        the refusal the requests would wait there until their deadline.
        """
        return self._refuse_queued(owner_moved(self.replica))

    def take_over(self, former: "ReplicaScheduler", now: float) -> None:
        """Take over the grants and the queue of a scheduler that had other settings.

        Queued requests are offered to the queue again in their order of arrival. One that is
        refused is reported by the next call of ``process_queue``.
        """
        for stream in tuple(former.admission.ledger.stream_by_id.values()):
            self.adopt(stream.work, stream.produced, now)
        for pending in former._pending_by_id.values():
            answer = self._enqueue(pending, now)
            if isinstance(answer, outcomes.Refusal):
                self._unsent.append(QueueOutcome(pending.work.request_id, answer))
        self._unsent += former._unsent
        self.leaving = former.leaving
        self.is_unreachable = former.is_unreachable
        self._reported_at = former._reported_at
        self._last_seen_at = former._last_seen_at

    @property
    def running_count(self) -> int:
        """The number of grants that are held."""
        return len(self._running)

    @property
    def queued_count(self) -> int:
        """The number of requests that wait."""
        return len(self._pending_by_id)

    def waiting_by_priority(self) -> collections.Counter[int]:
        """Return how many requests of each priority wait."""
        return collections.Counter(each.work.priority for each in self._pending_by_id.values())

    def on_time_by_priority(self, now: float) -> collections.Counter[int]:
        """Return how many of the waiting requests of each priority can still be on time."""
        return collections.Counter(
            each.work.priority for each in self._pending_by_id.values() if each.due > now
        )

    def count_ahead(self, now: float) -> int:
        """Return how many queued requests would start before a new one."""
        return self.queue.count_ahead(now, self._deferral(now))

    def expected_wait_s(self, now: float) -> float:
        """Return the expected seconds until the prompt of a new request would be processed.

        With mixed objectives, this is the wait of a request without slack.
        """
        queue_wait_s = self.queue.expected_wait_s(now, self._deferral(now))
        return queue_wait_s + self.prompts.wait_s(now)

    def _refuse_queued(self, refusal: outcomes.Refusal) -> tuple[QueueOutcome, ...]:
        unsent = tuple(self._unsent)
        self._unsent = []
        queued_ids = tuple(self._pending_by_id)
        self._pending_by_id.clear()
        for request_id in queued_ids:
            self.queue.remove(request_id)
        return unsent + tuple(QueueOutcome(each, refusal) for each in queued_ids)

    def has_recent_report(self, now: float) -> bool:
        """Return whether a valid load report of the replica is known."""
        return self._reported_at is not None and not self._is_silent(now)

    def is_report_overdue(self, now: float) -> bool:
        """Return whether reports have stopped arriving, or never arrived."""
        return self._last_seen_at is None or now - self._last_seen_at > REPORT_OVERDUE_S

    def _may_grant(self, now: float) -> bool:
        return self.has_recent_report(now) and not self.leaving and not self.is_unreachable

    def _may_start(self, now: float) -> bool:
        """Return whether the replica may get a new request, given its backlog of prompts."""
        if not self._may_grant(now) or self.prompts.wait_s(now) > MAX_PROMPT_BACKLOG_S:
            return False
        return self.gate.refusal(self.replica, now) is None

    def _is_next(self, work: outcomes.Work, due: float, now: float) -> bool:
        if not self.queue.has_mixed_objectives:
            return self.queue.would_start_next(due, now)
        is_deferred = self._deferral(now)
        if is_deferred is not None and is_deferred(work.priority, due):
            return False
        return self.queue.would_start_first(work, due, now, is_deferred)

    def _fits(self, work: outcomes.Work, due: float, now: float) -> bool:
        """Return whether memory suffices, also for an urgent prompt if some have had to wait."""
        if not self.admission.fits(work, now):
            return False
        if not self._leaves_headroom(work, now):
            return False
        reserved = self.reserve.tokens(work.priority, now)
        if not reserved or self.admission.is_idle() or self._counts_as_urgent(work, due, now):
            return True
        extended = dataclasses.replace(work, prompt_tokens=work.prompt_tokens + reserved)
        return self.admission.fits(extended, now)

    def departing_tokens(self, now: float) -> float:
        """Return how many tokens are kept free for runs of departing engines."""
        share = self.departing_share(now) if self.queue.has_mixed_objectives else 0.0
        return self.admission.ledger.capacity * HEADROOM_FACTOR * share

    def _leaves_headroom(self, work: outcomes.Work, now: float) -> bool:
        """Return whether a new request leaves memory for runs of the next departing engines.

        Explanation
        ===========

        While engines keep departing, runs were cut off because the others had filled their memory
        with new requests. The memory that is held now is compared, as for migrations.
        A request that probably ends within a notice period is excepted, and so is one
        that has waited long, so that none starves.
        """
        reserved = self.departing_tokens(now)
        if not reserved or self.admission.is_idle() or self._has_waited_long(work, now):
            return True
        ledger = self.admission.ledger
        held = ledger.own_tokens + ledger.other_tokens + ledger.footprint(work.prompt_tokens)
        if held <= ledger.capacity - reserved:
            return True
        return self.admission.survival(work, NOTICE_TOKENS) < 0.5

    def _has_waited_long(self, work: outcomes.Work, now: float) -> bool:
        pending = self._pending_by_id.get(work.request_id)
        return pending is not None and now - pending.offered_at >= self.queue.ageing_s

    def _counts_as_urgent(self, work: outcomes.Work, due: float, now: float) -> bool:
        if 0.0 < due - now < fairqueue.URGENT_BEFORE_DUE_S:
            return True
        return self._has_waited_long(work, now)

    def _deferral(self, now: float) -> flows.Deferral | None:
        """Return which requests leave the backlog of prompts to others now, or None if none do.

        Requests with slack do, and those that are less urgent than others of the last seconds.
        """
        backlog_s = self.prompts.wait_s(now) if self.queue.has_mixed_objectives else 0.0
        if backlog_s <= MAX_SLACK_BACKLOG_S:
            return None
        highest = self._highest_priority(now) if backlog_s > MAX_LESS_URGENT_BACKLOG_S else 0

        def is_deferred(priority: int, due: float) -> bool:
            # A due time already leaves out the processing of the request's own prompt. A request
            # without one has no slack: nothing is known about its objective.
            return priority < highest or SLACK_S < due - now < math.inf

        return is_deferred

    def _highest_priority(self, now: float) -> int:
        """Return the highest priority among requests that wait or have started lately."""
        recent = self.recent_starts.count_by_priority(now)
        waiting = (each.work.priority for each in self._pending_by_id.values())
        return max((*recent, *waiting), default=0)

    def _is_silent(self, now: float) -> bool:
        """Return whether the last report is too old; False if the replica never reported."""
        return self._reported_at is not None and now - self._reported_at > REPORT_LIFE_S

    def _grant(self, work: outcomes.Work, now: float) -> Granted:
        self.admission.admit(work, now)
        self._running.add(work.request_id)
        return Granted(work.request_id, self.replica)

    def _start(self, work: outcomes.Work, now: float) -> Granted:
        """Grant a request whose prompt is to be processed here."""
        self.prompts.add(work.prompt_tokens, now)
        self.recent_starts.record(work.priority, now)
        self.gate.started(self.replica, now)
        return self._grant(work, now)

    def _enqueue(self, pending: _PendingRequest, now: float) -> Queued | outcomes.Refusal:
        answer = self.queue.offer(pending.work, pending.weight, now, pending.deadline, pending.due)
        if isinstance(answer, outcomes.Refusal):
            return answer
        self._pending_by_id[pending.work.request_id] = pending
        if self.queue.has_mixed_objectives and pending.due - now <= SLACK_S:
            self.reserve.waited(pending.work, now)
        self._unsent += [self._refuse(each) for each in answer.displaced]
        return Queued(pending.work.request_id, self.replica)

    def _refuse(self, removed: fairqueue.RemovedRequest) -> QueueOutcome:
        self._pending_by_id.pop(removed.work.request_id, None)
        return QueueOutcome(removed.work.request_id, removed.refusal)


def owner_moved(replica: str) -> outcomes.Refusal:
    """Return the refusal of a node that does not own the replica, or no longer does."""
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
