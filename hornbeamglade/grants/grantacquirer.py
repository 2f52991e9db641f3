"""Find a replica for a request and get its owner's grant.

Explanation
===========

The replica is chosen by expected stall; its owner may be this node or another.
An owner that does not answer in time is passed over for the next replica, and
so is one that refuses. Replicas that seem to have room are asked first, for a
grant at once; only when none gives one the request waits, in one queue. While
it waits it keeps asking those that have come to have room.

Weighed against waiting in one queue only: a request then stays bound to a
replica whose long answers do not end while another stands idle. Against one
queue for a whole pool at one owner: that is the best order, but the pool's
asks then all go to one node, whose control traffic would pass its budget at
the target size.
"""

import abc
import collections.abc
import dataclasses
import random
import threading

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.exchange import grantclient, grantrequests, messages, transport
from hornbeamglade.grants import grantresponses, replicascheduler, schedulerset
from hornbeamglade.routing import candidates, placements
from hornbeamglade.routing import choice as choicelib

LINK_CHECK_S = 0.25
SILENT_PAUSE_S = 0.2
UNOWNED_S = 1.0
"""A request waits so long for somebody to admit to its replicas; then it goes to the best
of them without a grant, where the engine's own queue takes it in. Sent away, it would come
back to replicas with room. Much sooner, one lost datagram or two would do."""

AT_ONCE_S = 0.06
"""An ask for a grant at once waits for one round trip, and hardly in a queue."""

ROOMY_ASKS = 2


class ReplicaOwners(abc.ABC):
    """Tells which node owns a replica."""

    @abc.abstractmethod
    def owner(self, replica: str) -> transport.Peer | None:
        """Return the owner, or None when it is this node."""

    @abc.abstractmethod
    def record_no_response(self, owner: str) -> None:
        """Note that an owner left an ask unanswered."""


class Grant:
    """Permission to run one request on one replica, until it is released.

    :param replica: the replica's name.
    :param request_id: what the grant was given for.
    :param finder: where it is released and reported.
    :param grant_id: the ask's number at a remote owner, or None.
    """

    __slots__ = ("_finder", "_grant_id", "produced", "replica", "request_id")

    def __init__(
        self, replica: str, request_id: str, finder: "GrantAcquirer", grant_id: int | None
    ) -> None:
        self.replica = replica
        self.request_id = request_id
        self.produced = 0
        self._finder = finder
        self._grant_id = grant_id

    @property
    def grant_id(self) -> int | None:
        """The ask's number at a remote owner; None when this node is the owner."""
        return self._grant_id

    def release(self) -> None:
        """Give the permission back; idempotent."""
        self._finder.release(self)


@dataclasses.dataclass(slots=True)
class _Wait:
    """A request that waits for the answer of a local scheduler."""

    answered: threading.Event = dataclasses.field(default_factory=threading.Event)
    answer: replicascheduler.Granted | outcomes.Refusal | None = None

    def notify(self, settled: replicascheduler.QueueOutcome) -> None:
        self.answer = settled.answer
        self.answered.set()


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request that looks for a replica.

    :param work: what is known of the request.
    :param weight: the team's share.
    :param deadline: monotonic seconds at which its wait ends.
    :param is_caller_gone: whether its caller has left.
    :param attempt: distinguishes several tries of one request at the same scheduler.
    """

    work: outcomes.Work
    weight: float
    deadline: float
    is_caller_gone: collections.abc.Callable[[], bool]
    attempt: int = 1

    @property
    def admission_id(self) -> str:
        """Name the grant of this attempt."""
        return f"{self.work.request_id}.{self.attempt}"


Known = collections.abc.Callable[[], collections.abc.Sequence[candidates.Candidate]]


class _Elsewhere:
    """Looks for room at other replicas while a request waits at one.

    :param known: None for an ask that does not wait.
    """

    def __init__(
        self,
        finder: "GrantAcquirer",
        placement: PlacementRequest,
        waits_at: str,
        known: Known | None,
    ) -> None:
        self._finder = finder
        self._placement = placement
        self._waits_at = waits_at
        self._known = known
        self._asked = False
        self.grant: Grant | None = None

    def waits_on(self) -> bool:
        """Look once; tell whether the request still waits where it stands."""
        if self._placement.is_caller_gone():
            return False
        # The first look comes before the owner has answered at all.
        if self._known is not None and self._asked and self.grant is None:
            self.grant = self._finder.acquire_now(self._placement, self._known, self._waits_at)
        self._asked = True
        return self.grant is None


class GrantAcquirer:
    """The asking side of grants, of one node.

    :param clock: monotonic time.
    :param schedulers: this node's own schedulers.
    :param client: asks other owners.
    :param owners: who owns which replica.
    :param rng: breaks ties between replicas.
    :param settings: rates of the routing choice.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        schedulers: schedulerset.SchedulerSet,
        client: grantclient.GrantClient,
        owners: ReplicaOwners,
        rng: random.Random,
        settings: candidates.RoutingSettings,
    ) -> None:
        self._clock = clock
        self._schedulers = schedulers
        self._client = client
        self._owners = owners
        self._rng = rng
        self._settings = settings
        self._placements = placements.Placements(settings)
        self._lock = threading.Lock()
        self._active_by_id: dict[str, Grant] = {}

    def acquire(self, placement: PlacementRequest, known: Known) -> Grant | outcomes.Refusal:
        """Get a grant, or the refusal that the caller is to hear at once.

        :param placement: who asks.
        :param known: returns the replicas that may serve it, as this node knows them.
        """
        begun_at = self._clock.now()
        while True:
            refused: list[outcomes.Refusal] = []
            grant = self._find_once(placement, known, refused)
            if grant is not None:
                return grant
            answer = grantresponses.earliest_retry(refused)
            if answer.code not in grantresponses.UNOWNED_CODES:
                return answer
            now = self._clock.now()
            if grantresponses.are_owners_unavailable(refused) and now - begun_at >= UNOWNED_S:
                return self._without_grant(placement, known) or answer
            # An owner that has just died or changed is replaced within seconds; the
            # caller's wait is not over, so the request stays instead of being sent away.
            if placement.is_caller_gone() or now + SILENT_PAUSE_S >= placement.deadline:
                return answer
            self._clock.sleep(SILENT_PAUSE_S)

    def _without_grant(self, placement: PlacementRequest, known: Known) -> Grant | None:
        ordered = self._ordered(placement.work, known)
        if not ordered:
            return None
        return self._activate(
            Grant(ordered[0].candidate.replica, placement.admission_id, self, None)
        )

    def _find_once(
        self, placement: PlacementRequest, known: Known, refused: list[outcomes.Refusal]
    ) -> Grant | None:
        """Ask every replica once.

        :param refused: takes the refusals.
        """
        grant = self.acquire_now(placement, known, None)
        if grant is not None:
            return grant
        for choice in self._ordered(placement.work, known):
            answer = self._ask(placement, choice.candidate.replica, known)
            if isinstance(answer, Grant):
                self._note_placed(answer, placement.work)
                return answer
            refused.append(answer)
            if placement.is_caller_gone() or self._clock.now() >= placement.deadline:
                break
        return None

    def acquire_now(
        self, placement: PlacementRequest, known: Known, waits_at: str | None
    ) -> Grant | None:
        """Ask replicas that seem to have room for a grant at once.

        :param waits_at: the replica in whose queue the request stands, if any.
        """
        needed = candidates.needed_tokens(placement.work, self._settings)
        roomy = [
            each.candidate.replica
            for each in self._ordered(placement.work, known)
            if each.candidate.room_tokens >= needed and not each.candidate.queued
        ]
        now = self._clock.now()
        brief = dataclasses.replace(placement, deadline=min(placement.deadline, now + AT_ONCE_S))
        for replica in roomy[:ROOMY_ASKS]:
            if replica == waits_at:
                continue
            answer = self._ask(brief, replica, None)
            if isinstance(answer, Grant):
                self._note_placed(answer, placement.work)
                return answer
        return None

    def is_local(self, replica: str) -> bool:
        """Tell whether this node admits to the replica."""
        return self._owners.owner(replica) is None

    def release(self, grant: Grant) -> None:
        """Give a grant back to its owner; idempotent."""
        with self._lock:
            if self._active_by_id.pop(grant.request_id, None) is None:
                return
        if grant.grant_id is None:
            self._schedulers.progress(grant.replica, grant.request_id, grant.produced)
            self._schedulers.finish(grant.replica, grant.request_id)
        else:
            self._client.note(grant.grant_id, grant.produced)
            self._client.close(grant.grant_id)

    def report_progress(self) -> None:
        """Tell every owner how far its grants have come; called each second."""
        with self._lock:
            active = tuple(self._active_by_id.values())
        for grant in active:
            if grant.grant_id is None:
                self._schedulers.progress(grant.replica, grant.request_id, grant.produced)
            else:
                self._client.note(grant.grant_id, grant.produced)

    @property
    def active_count(self) -> int:
        """How many grants this node holds."""
        return len(self._active_by_id)

    def _ordered(self, work: outcomes.Work, known: Known) -> tuple[choicelib.Choice, ...]:
        present = known()
        with self._lock:
            current = self._placements.applied(present, self._clock.now())
            return choicelib.rank(work, current, self._rng, self._settings)

    def _ask(
        self, placement: PlacementRequest, replica: str, known: Known | None
    ) -> Grant | outcomes.Refusal:
        """Ask the owner of one replica.

        :param known: what to look for room in while the request waits; None asks for
            a grant at once.
        """
        owner = self._owners.owner(replica)
        if owner is None:
            return self._ask_here(placement, replica, known)
        return self._ask_there(placement, replica, owner, known)

    def _ask_here(
        self, placement: PlacementRequest, replica: str, known: Known | None
    ) -> Grant | outcomes.Refusal:
        work = dataclasses.replace(placement.work, request_id=placement.admission_id)
        wait = _Wait()
        deadline = self._clock.now() if known is None else placement.deadline
        answer = self._schedulers.request_grant(
            replica, work, placement.weight, deadline, wait.notify
        )
        elsewhere = _Elsewhere(self, placement, replica, known)
        if isinstance(answer, replicascheduler.Queued):
            try:
                answer = self._await_scheduler(placement, wait, elsewhere)
            except BaseException:
                # Its place in the queue would be granted later and never given back.
                self._schedulers.finish(replica, placement.admission_id)
                raise
        if elsewhere.grant is not None:
            self._schedulers.finish(replica, placement.admission_id)
            return elsewhere.grant
        if isinstance(answer, replicascheduler.Granted):
            return self._activate(Grant(replica, placement.admission_id, self, None))
        if answer is not None:
            return answer
        self._schedulers.finish(replica, placement.admission_id)
        return grantresponses.queue_timeout(replica)

    def _await_scheduler(
        self, placement: PlacementRequest, wait: _Wait, elsewhere: _Elsewhere
    ) -> replicascheduler.Granted | outcomes.Refusal | None:
        while not wait.answered.wait(LINK_CHECK_S):
            if not elsewhere.waits_on() or self._clock.now() >= placement.deadline:
                return None
        return wait.answer

    def _ask_there(
        self, placement: PlacementRequest, replica: str, owner: transport.Peer, known: Known | None
    ) -> Grant | outcomes.Refusal:
        elsewhere = _Elsewhere(self, placement, replica, known)
        wait_s = placement.deadline - self._clock.now()
        message = grantresponses.grant_request(placement.work, replica, placement.weight, wait_s)
        answer = self._client.request_grant(owner, message, elsewhere.waits_on)
        if elsewhere.grant is not None:
            if isinstance(answer, messages.GrantResponse):
                self._client.close(answer.grant_id)
            return elsewhere.grant
        if isinstance(answer, messages.GrantResponse):
            if answer.kind is messages.GrantKind.GRANTED:
                return self._activate(
                    Grant(replica, placement.admission_id, self, answer.grant_id)
                )
            return grantresponses.owner_refusal(replica, answer)
        if isinstance(answer, grantrequests.NoResponse):
            self._owners.record_no_response(owner.name)
            return grantresponses.owner_silent(replica, owner.name)
        return grantresponses.queue_timeout(replica)

    def _activate(self, grant: Grant) -> Grant:
        with self._lock:
            self._active_by_id[grant.request_id] = grant
        return grant

    def _note_placed(self, grant: Grant, work: outcomes.Work) -> None:
        tokens = candidates.needed_tokens(work, self._settings)
        with self._lock:
            self._placements.placed(grant.replica, tokens, self._clock.now())
