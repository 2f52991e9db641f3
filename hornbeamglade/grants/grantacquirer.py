"""Select a replica for a request and get a grant from its owner.

Explanation
===========

Replicas are ranked by expected stall. The owner of a replica is this node or
another one. An owner that does not respond in time, or that refuses, is skipped
and the next replica is tried. Replicas that appear to have headroom are tried
first, with grant requests that must be answered at once. If none of them is
granted, the request waits in the queue of one replica, and meanwhile keeps
trying other replicas that appear to have headroom.

Alternatives considered:

- *Waiting in one queue only* ties the request to a replica whose long answers
  do not end while another replica is idle.
- *One queue for a whole pool, at one owner,* gives the best order, but all grant
  requests of the pool then go to one node, and its control traffic would exceed
  the budget at the target size.
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

CALLER_CHECK_S = 0.25
OWNER_RETRY_S = 0.2
UNOWNED_TIMEOUT_S = 1.0
"""While no node admits requests to any of its replicas, a request waits this long. It is then
sent to the best of them without a grant, and the engine's own queue takes it. If it were
refused, its caller would have to retry although the replicas have headroom. A much shorter
timeout would expire after one or two lost datagrams."""

IMMEDIATE_TIMEOUT_S = 0.06
"""An immediate grant request waits for one network round trip, with almost no time in a queue."""

MAX_IMMEDIATE_REQUESTS = 2


class ReplicaOwners(abc.ABC):
    """Tells which node owns a replica."""

    @abc.abstractmethod
    def owner(self, replica: str) -> transport.Peer | None:
        """Return the owner, or None when it is this node."""

    @abc.abstractmethod
    def record_no_response(self, owner: str) -> None:
        """Record that an owner did not respond to a grant request."""


class Grant:
    """Permission to run one request on one replica, until it is released.

    :param replica: the replica's name.
    :param request_id: identifies the attempt at the schedulers.
    :param acquirer: where the grant is released and its progress is reported.
    :param grant_id: the number of the grant request at a remote owner, or None.
    """

    __slots__ = ("_acquirer", "_grant_id", "produced", "replica", "request_id")

    def __init__(
        self, replica: str, request_id: str, acquirer: "GrantAcquirer", grant_id: int | None
    ) -> None:
        self.replica = replica
        self.request_id = request_id
        self.produced = 0
        self._acquirer = acquirer
        self._grant_id = grant_id

    @property
    def grant_id(self) -> int | None:
        """The number of the grant request at a remote owner; None when this node is the owner."""
        return self._grant_id

    def release(self) -> None:
        """Release the grant; idempotent."""
        self._acquirer.release(self)


@dataclasses.dataclass(slots=True)
class _SchedulerWait:
    """A request that waits for the answer of a local scheduler."""

    answered: threading.Event = dataclasses.field(default_factory=threading.Event)
    answer: replicascheduler.Granted | outcomes.Refusal | None = None

    def notify(self, outcome: replicascheduler.QueueOutcome) -> None:
        self.answer = outcome.answer
        self.answered.set()


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request that is to be placed on a replica.

    :param work: the known properties of the request.
    :param weight: the team's weight.
    :param deadline: monotonic seconds at which its wait ends.
    :param is_caller_gone: whether the caller has disconnected.
    :param attempt: distinguishes several attempts of one request at the same scheduler.
    """

    work: outcomes.Work
    weight: float
    deadline: float
    is_caller_gone: collections.abc.Callable[[], bool]
    attempt: int = 1

    @property
    def admission_id(self) -> str:
        """The request id under which the schedulers know this attempt."""
        return f"{self.work.request_id}.{self.attempt}"


ListCandidates = collections.abc.Callable[[], collections.abc.Sequence[candidates.Candidate]]


class _AlternativeSearch:
    """Looks for headroom at other replicas while a request waits at one of them.

    :param list_candidates: None for a grant request that does not wait.
    """

    def __init__(
        self,
        acquirer: "GrantAcquirer",
        placement: PlacementRequest,
        queued_at: str,
        list_candidates: ListCandidates | None,
    ) -> None:
        self._acquirer = acquirer
        self._placement = placement
        self._queued_at = queued_at
        self._list_candidates = list_candidates
        self._was_called = False
        self.grant: Grant | None = None

    def keeps_waiting(self) -> bool:
        """Search once; return whether the request goes on waiting in its queue."""
        if self._placement.is_caller_gone():
            return False
        # The first call comes before the owner has responded at all.
        if self._list_candidates is not None and self._was_called and self.grant is None:
            self.grant = self._acquirer.acquire_now(
                self._placement, self._list_candidates, self._queued_at
            )
        self._was_called = True
        return self.grant is None


class GrantAcquirer:
    """The requesting side of grants at one node.

    :param clock: monotonic time.
    :param schedulers: this node's own schedulers.
    :param client: sends grant requests to other owners.
    :param owners: which node owns which replica.
    :param rng: breaks ties between replicas.
    :param settings: rates that the ranking of replicas uses.
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

    def acquire(
        self, placement: PlacementRequest, list_candidates: ListCandidates
    ) -> Grant | outcomes.Refusal:
        """Get a grant, or the refusal to return to the caller.

        :param placement: the request to place.
        :param list_candidates: returns the replicas that may serve it, as this node knows
            them.
        """
        started_at = self._clock.now()
        while True:
            refused: list[outcomes.Refusal] = []
            grant = self._try_all(placement, list_candidates, refused)
            if grant is not None:
                return grant
            answer = grantresponses.earliest_retry(refused)
            if answer.code not in grantresponses.UNOWNED_CODES:
                return answer
            now = self._clock.now()
            if (
                grantresponses.are_owners_unavailable(refused)
                and now - started_at >= UNOWNED_TIMEOUT_S
            ):
                return self._without_grant(placement, list_candidates) or answer
            # An owner that has just crashed or changed is replaced within seconds. As the
            # request's deadline has not passed, it keeps waiting instead of being refused.
            if placement.is_caller_gone() or now + OWNER_RETRY_S >= placement.deadline:
                return answer
            self._clock.sleep(OWNER_RETRY_S)

    def _without_grant(
        self, placement: PlacementRequest, list_candidates: ListCandidates
    ) -> Grant | None:
        ranked = self._ranked(placement.work, list_candidates)
        if not ranked:
            return None
        return self._activate(
            Grant(ranked[0].candidate.replica, placement.admission_id, self, None)
        )

    def _try_all(
        self,
        placement: PlacementRequest,
        list_candidates: ListCandidates,
        refused: list[outcomes.Refusal],
    ) -> Grant | None:
        """Request a grant for every replica once.

        :param refused: the refusals are appended to it.
        """
        grant = self.acquire_now(placement, list_candidates, None)
        if grant is not None:
            return grant
        for choice in self._ranked(placement.work, list_candidates):
            answer = self._request(placement, choice.candidate.replica, list_candidates)
            if isinstance(answer, Grant):
                self._record_placement(answer, placement.work)
                return answer
            refused.append(answer)
            if placement.is_caller_gone() or self._clock.now() >= placement.deadline:
                break
        return None

    def acquire_now(
        self, placement: PlacementRequest, list_candidates: ListCandidates, queued_at: str | None
    ) -> Grant | None:
        """Request an immediate grant at replicas that appear to have headroom.

        :param queued_at: the replica in whose queue the request waits, if any.
        """
        needed = candidates.needed_tokens(placement.work, self._settings)
        with_headroom = [
            each.candidate.replica
            for each in self._ranked(placement.work, list_candidates)
            if each.candidate.room_tokens >= needed and not each.candidate.queued
        ]
        now = self._clock.now()
        immediate = dataclasses.replace(
            placement, deadline=min(placement.deadline, now + IMMEDIATE_TIMEOUT_S)
        )
        for replica in with_headroom[:MAX_IMMEDIATE_REQUESTS]:
            if replica == queued_at:
                continue
            answer = self._request(immediate, replica, None)
            if isinstance(answer, Grant):
                self._record_placement(answer, placement.work)
                return answer
        return None

    def is_local(self, replica: str) -> bool:
        """Return whether this node owns the replica."""
        return self._owners.owner(replica) is None

    def release(self, grant: Grant) -> None:
        """Release a grant at its owner; idempotent."""
        with self._lock:
            if self._active_by_id.pop(grant.request_id, None) is None:
                return
        if grant.grant_id is None:
            self._schedulers.progress(grant.replica, grant.request_id, grant.produced)
            self._schedulers.finish(grant.replica, grant.request_id)
        else:
            self._client.record_progress(grant.grant_id, grant.produced)
            self._client.close(grant.grant_id)

    def report_progress(self) -> None:
        """Report the progress of all grants to their owners; called each second."""
        with self._lock:
            active = tuple(self._active_by_id.values())
        for grant in active:
            if grant.grant_id is None:
                self._schedulers.progress(grant.replica, grant.request_id, grant.produced)
            else:
                self._client.record_progress(grant.grant_id, grant.produced)

    @property
    def active_count(self) -> int:
        """The number of grants that this node holds."""
        return len(self._active_by_id)

    def _ranked(
        self, work: outcomes.Work, list_candidates: ListCandidates
    ) -> tuple[choicelib.Choice, ...]:
        listed = list_candidates()
        with self._lock:
            current = self._placements.applied(listed, self._clock.now())
            return choicelib.rank(work, current, self._rng, self._settings)

    def _request(
        self, placement: PlacementRequest, replica: str, list_candidates: ListCandidates | None
    ) -> Grant | outcomes.Refusal:
        """Request a grant from the owner of one replica.

        :param list_candidates: where to look for headroom while the request waits; None
            requests an immediate grant.
        """
        owner = self._owners.owner(replica)
        if owner is None:
            return self._request_locally(placement, replica, list_candidates)
        return self._request_remotely(placement, replica, owner, list_candidates)

    def _request_locally(
        self, placement: PlacementRequest, replica: str, list_candidates: ListCandidates | None
    ) -> Grant | outcomes.Refusal:
        work = dataclasses.replace(placement.work, request_id=placement.admission_id)
        wait = _SchedulerWait()
        deadline = self._clock.now() if list_candidates is None else placement.deadline
        answer = self._schedulers.request_grant(
            replica, work, placement.weight, deadline, wait.notify
        )
        search = _AlternativeSearch(self, placement, replica, list_candidates)
        if isinstance(answer, replicascheduler.Queued):
            try:
                answer = self._await_scheduler(placement, wait, search)
            except BaseException:
                # Otherwise the queued request would be granted later and never released.
                self._schedulers.finish(replica, placement.admission_id)
                raise
        if search.grant is not None:
            self._schedulers.finish(replica, placement.admission_id)
            return search.grant
        if isinstance(answer, replicascheduler.Granted):
            return self._activate(Grant(replica, placement.admission_id, self, None))
        if answer is not None:
            return answer
        self._schedulers.finish(replica, placement.admission_id)
        return grantresponses.queue_timeout(replica)

    def _await_scheduler(
        self, placement: PlacementRequest, wait: _SchedulerWait, search: _AlternativeSearch
    ) -> replicascheduler.Granted | outcomes.Refusal | None:
        while not wait.answered.wait(CALLER_CHECK_S):
            if not search.keeps_waiting() or self._clock.now() >= placement.deadline:
                return None
        return wait.answer

    def _request_remotely(
        self,
        placement: PlacementRequest,
        replica: str,
        owner: transport.Peer,
        list_candidates: ListCandidates | None,
    ) -> Grant | outcomes.Refusal:
        search = _AlternativeSearch(self, placement, replica, list_candidates)
        wait_s = placement.deadline - self._clock.now()
        message = grantresponses.grant_request(placement.work, replica, placement.weight, wait_s)
        response = self._client.request_grant(owner, message, search.keeps_waiting)
        if search.grant is not None:
            if isinstance(response, messages.GrantResponse):
                self._client.close(response.grant_id)
            return search.grant
        if isinstance(response, messages.GrantResponse):
            if response.kind is messages.GrantKind.GRANTED:
                return self._activate(
                    Grant(replica, placement.admission_id, self, response.grant_id)
                )
            return grantresponses.owner_refusal(replica, response)
        if isinstance(response, grantrequests.NoResponse):
            self._owners.record_no_response(owner.name)
            return grantresponses.owner_silent(replica, owner.name)
        return grantresponses.queue_timeout(replica)

    def _activate(self, grant: Grant) -> Grant:
        with self._lock:
            self._active_by_id[grant.request_id] = grant
        return grant

    def _record_placement(self, grant: Grant, work: outcomes.Work) -> None:
        tokens = candidates.needed_tokens(work, self._settings)
        with self._lock:
            self._placements.placed(grant.replica, tokens, self._clock.now())
