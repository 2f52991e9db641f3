"""Find a replica for a request and get its owner's grant, from a task of an event loop.

Explanation
===========

The counterpart of :mod:`hornbeamglade.grants.grantacquirer` for the routed path; the order
of replicas, the schedulers and what is asked are the same. Here a wait costs no thread, so a
request asks every replica that seems to have room before it queues anywhere.

A remote owner is left the choice among all its replicas that will do: it knows them as
they are. So each owner is asked once in a round, and what heartbeats say only tells whom to
ask first, and, while it is fresh, whom not to ask.

A node that owns a replica may have died or be cut off, while the replica itself serves.
Where no owner of the replicas left answers, the request goes to the best of them without
a grant: the engine's own queue takes it in, and a refusal would be false while there is
room.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import math
import random

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.exchange import asyncgrantclient, grantrequests, messages
from hornbeamglade.grants import (
    grantacquirer,
    grantresponses,
    ownerbackoff,
    replicascheduler,
    schedulerset,
)
from hornbeamglade.observability import logs
from hornbeamglade.routing import candidates, placements
from hornbeamglade.routing import choice as choicelib

AT_ONCE_S = 0.06
"""An ask for a grant at once waits for one round trip."""

OWNERS_ASKED = 4
"""Owners that are asked for a grant at once, one after the other, in a round: a request that
finds none of them with room waits in a queue, and looks again soon."""

TRUSTED_S = 1.0
"""What an owner said this lately is trusted when it says that a replica is full. Sites where
all nodes hear each other are told each half second; at larger ones the owner is asked."""

LOOK_AGAIN_S = 0.1
"""So often one of the requests that wait at a node looks for room elsewhere, each in turn: a
look compares all replicas, and in a crowd dozens wait."""

ListCandidates = collections.abc.Callable[[], collections.abc.Sequence[candidates.Candidate]]
ResolveReplica = collections.abc.Callable[[int], str | None]


@dataclasses.dataclass(slots=True)
class Grant:
    """Permission to run one request on one replica, until it is released.

    :param replica: the replica's id.
    :param admission_id: identifies the attempt at the schedulers.
    :param grant_id: the ask's number at a remote owner; None when this node is the owner.
    :param is_granted: False for a request that goes on without a grant.
    :param produced: tokens of the answer so far.
    """

    replica: str
    admission_id: str
    grant_id: int | None = None
    is_granted: bool = True
    produced: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request that looks for a replica.

    :param work: what is known of the request.
    :param weight: the team's share.
    :param deadline: monotonic seconds at which its wait ends.
    :param list_candidates: returns replicas that may serve it, as this node knows them now.
    :param resolve_replica: returns a replica that may serve it by the hash of its id, or None; by
        default one of those known.
    :param attempt: distinguishes several tries of one request at the same scheduler.
    :param produced: tokens that its run has, when it goes on from another replica.
    :param avoid: replicas that will not do.
    :param due: monotonic seconds at which it must start to be on time.
    :param known_only: whether only known replicas will do: no owner may choose another one.
    """

    work: outcomes.Work
    weight: float
    deadline: float
    list_candidates: ListCandidates
    attempt: int = 1
    produced: int = 0
    avoid: frozenset[str] = frozenset()
    due: float = math.inf
    known_only: bool = False
    resolve_replica: ResolveReplica | None = None

    @property
    def admission_id(self) -> str:
        """Name the grant of this attempt."""
        return f"{self.work.request_id}.{self.attempt}"

    def chosen(self, replica_hash: int) -> str | None:
        """Return the replica that an owner chose, or None if it may not serve the request."""
        if self.resolve_replica is not None:
            return self.resolve_replica(replica_hash)
        known = (each.replica for each in self.list_candidates())
        return next((each for each in known if messages.key_hash(each) == replica_hash), None)


class AsyncGrantAcquirer:
    """The asking side of grants, of one node's event loop.

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
        client: asyncgrantclient.AsyncGrantClient,
        owners: grantacquirer.ReplicaOwners,
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
        self._backoff = ownerbackoff.OwnerBackoff(clock)
        self._active: set[str] = set()
        self._lookers: collections.deque[PlacementRequest] = collections.deque()
        self._look_at = clock.now()

    async def acquire(self, placement: PlacementRequest) -> Grant | outcomes.Refusal:
        """Get a grant, or the refusal that the caller is to hear at once.

        Cancelling gives up whatever was asked for.
        """
        refused: list[outcomes.Refusal] = []
        grant = await self.acquire_now(placement, refused)
        if grant is not None:
            return grant
        for replica in self._one_each(self._ordered(placement), placement):
            answer = await self._queue_at(placement, replica)
            if isinstance(answer, Grant):
                return answer
            refused.append(answer)
            if self._clock.now() >= placement.deadline:
                break
        if grantresponses.are_owners_unavailable(refused):
            return self._without_grant(placement) or grantresponses.earliest_retry(refused)
        return grantresponses.earliest_retry(refused)

    async def acquire_now(
        self, placement: PlacementRequest, refused: list[outcomes.Refusal] | None = None
    ) -> Grant | None:
        """Ask replicas that seem to have room for a grant at once.

        :param refused: takes the refusals.
        """
        needed = candidates.needed_tokens(placement.work, self._settings) + placement.produced
        asked_count = 0
        for replica in self._worth_asking(placement, needed):
            owner = self._owners.owner(replica)
            if owner is not None and not self._backoff.may_ask(owner.name, needed):
                continue
            answer = await self._ask(placement, replica, 0.0)
            if isinstance(answer, Grant):
                return answer
            if owner is not None and answer.code == grantresponses.NO_ROOM_NOW:
                self._backoff.refused(owner.name, needed)
            if refused is not None:
                refused.append(answer)
            asked_count += 1
            if asked_count >= OWNERS_ASKED:
                break
        return None

    async def acquire_for_migration(
        self, placement: PlacementRequest, failure_domain: str
    ) -> Grant | None:
        """Ask replicas with room for a run that goes on there, the nearest first.

        :param failure_domain: where the run's memory is; a copy to another one takes
            twice as long.
        """
        needed = placement.work.prompt_tokens + placement.produced
        choices = sorted(
            (each.candidate for each in self._choices(placement)),
            key=lambda each: (
                each.room_tokens < needed,
                each.failure_domain != failure_domain,
                -each.room_tokens,
            ),
        )
        nearest = [each.replica for each in choices]
        for replica in self._one_each(nearest, placement)[:OWNERS_ASKED]:
            answer = await self._ask(placement, replica, 0.0)
            if isinstance(answer, Grant):
                return answer
        return None

    def record_progress(self, grant: Grant, produced: int) -> None:
        """Note how far a granted request has come."""
        grant.produced = produced
        if not grant.is_granted:
            return
        if grant.grant_id is None:
            self._schedulers.progress(grant.replica, grant.admission_id, produced)
        else:
            self._client.note(grant.grant_id, produced)

    def release(self, grant: Grant) -> None:
        """Give a grant back to its owner; idempotent."""
        if grant.admission_id not in self._active:
            return
        self._active.discard(grant.admission_id)
        if grant.grant_id is None:
            self._schedulers.finish(grant.replica, grant.admission_id)
        else:
            self._client.close(grant.grant_id)

    @property
    def active_count(self) -> int:
        """How many grants this node holds."""
        return len(self._active)

    def _ordered(self, placement: PlacementRequest) -> list[str]:
        choices = self._choices(placement)
        return [each.candidate.replica for each in choices]

    def _worth_asking(self, placement: PlacementRequest, needed: int) -> list[str]:
        """Return replicas that may have room, best first, one of each remote owner."""
        crowded = {each.replica for each in placement.list_candidates() if each.queued}
        worth_asking = (
            each.candidate.replica
            for each in self._choices(placement)
            if each.candidate.report_age_s > TRUSTED_S
            or (each.candidate.room_tokens >= needed and each.candidate.replica not in crowded)
        )
        return self._one_each(worth_asking, placement)

    def _one_each(
        self, replicas: collections.abc.Iterable[str], placement: PlacementRequest
    ) -> list[str]:
        """Return replicas in order, the first of each remote owner and all of this node.

        All of them where an owner is not left the choice among its own.
        """
        if placement.known_only:
            return list(replicas)
        chosen = []
        owners = set()
        for replica in replicas:
            owner = self._owners.owner(replica)
            if owner is None or owner.name not in owners:
                chosen.append(replica)
            if owner is not None:
                owners.add(owner.name)
        return chosen

    def _choices(self, placement: PlacementRequest) -> tuple[choicelib.Choice, ...]:
        current = self._placements.applied(placement.list_candidates(), self._clock.now())
        return choicelib.rank(placement.work, current, self._rng, self._settings)

    async def _queue_at(
        self, placement: PlacementRequest, replica: str
    ) -> Grant | outcomes.Refusal:
        """Wait in one replica's queue, and go elsewhere when there is room first."""
        here = asyncio.ensure_future(
            self._ask(placement, replica, placement.deadline - self._clock.now())
        )
        elsewhere: Grant | None = None
        self._lookers.append(placement)
        try:
            while not here.done() and elsewhere is None:
                await asyncio.wait((here,), timeout=LOOK_AGAIN_S)
                if not here.done() and self._take_turn_to_look(placement):
                    elsewhere = await self.acquire_now(placement)
            if here.done() and isinstance(here.result(), Grant):
                if elsewhere is not None:
                    self.release(elsewhere)
                return here.result()
            return elsewhere or here.result()
        finally:
            self._lookers.remove(placement)
            if not here.done():
                here.cancel()

    def _take_turn_to_look(self, placement: PlacementRequest) -> bool:
        """Tell whether it is the turn of a waiting request to look for room elsewhere."""
        now = self._clock.now()
        if self._lookers[0] is not placement or now < self._look_at:
            return False
        self._look_at = now + LOOK_AGAIN_S
        self._lookers.rotate(-1)
        return True

    async def _ask(
        self, placement: PlacementRequest, replica: str, wait_s: float
    ) -> Grant | outcomes.Refusal:
        """Ask the owner of one replica.

        :param wait_s: seconds that the request may queue there; 0 asks for a grant at once.
        """
        owner = self._owners.owner(replica)
        if owner is None:
            answer = await self._ask_here(placement, replica, wait_s)
        else:
            message = grantresponses.grant_request(
                placement.work,
                replica,
                placement.weight,
                max(wait_s, AT_ONCE_S),
                placement.produced,
                placement.avoid,
                placement.due - self._clock.now(),
                or_other=not placement.known_only,
                at_once=wait_s <= 0.0,
            )
            answer = await self._ask_there(placement, replica, owner.name, message)
        self._log(placement, replica, wait_s, answer)
        if isinstance(answer, Grant):
            if owner is not None:
                self._backoff.granted(owner.name)
            self._active.add(answer.admission_id)
            tokens = candidates.needed_tokens(placement.work, self._settings)
            self._placements.placed(answer.replica, tokens, self._clock.now())
        return answer

    def _log(
        self,
        placement: PlacementRequest,
        replica: str,
        wait_s: float,
        answer: Grant | outcomes.Refusal,
    ) -> None:
        candidate = next(
            (each for each in placement.list_candidates() if each.replica == replica), None
        )
        logs.decided(
            placement.work.request_id,
            "placed",
            "granted" if isinstance(answer, Grant) else answer.code,
            service=placement.work.service,
            replica=answer.replica if isinstance(answer, Grant) else replica,
            owner="-" if candidate is None else candidate.owner or "self",
            room=0 if candidate is None else candidate.room_tokens,
            queued=0 if candidate is None else candidate.queued,
            expected_wait_s=None if candidate is None else round(candidate.expected_wait_s, 3),
            age_s=None if candidate is None else round(candidate.report_age_s, 3),
            tokens=placement.work.prompt_tokens,
            produced=placement.produced,
            wait_s=round(wait_s, 3),
        )

    async def _ask_here(
        self, placement: PlacementRequest, replica: str, wait_s: float
    ) -> Grant | outcomes.Refusal:
        work = dataclasses.replace(
            placement.work, request_id=f"{placement.admission_id}@{replica}"
        )
        grant = Grant(replica, work.request_id)
        if placement.produced:
            answer = self._schedulers.admit_migration(replica, work, placement.produced)
            return grant if isinstance(answer, replicascheduler.Granted) else answer
        if wait_s <= 0.0:
            if self._schedulers.try_grant(replica, work, placement.due) is not None:
                return grant
            if not self._schedulers.can_admit(replica):
                return replicascheduler.owner_moved(replica)
            return grantresponses.no_headroom_now(replica)
        settled: asyncio.Future[replicascheduler.QueueOutcome] = (
            asyncio.get_running_loop().create_future()
        )
        deadline = self._clock.now() + wait_s
        answer = self._schedulers.request_grant(
            replica, work, placement.weight, deadline, settled.set_result, placement.due
        )
        if isinstance(answer, replicascheduler.Granted):
            return grant
        if isinstance(answer, outcomes.Refusal):
            return answer
        try:
            async with asyncio.timeout(max(0.0, wait_s)):
                later = (await settled).answer
        except TimeoutError:
            later = grantresponses.queue_timeout(replica)
        except asyncio.CancelledError:
            self._schedulers.finish(replica, work.request_id)
            raise
        if isinstance(later, replicascheduler.Granted):
            return grant
        self._schedulers.finish(replica, work.request_id)
        return later

    async def _ask_there(
        self, placement: PlacementRequest, replica: str, owner: str, message: messages.GrantRequest
    ) -> Grant | outcomes.Refusal:
        peer = self._owners.owner(replica)
        if peer is None:
            return await self._ask_here(placement, replica, message.deadline_ms / 1000)
        answer = await self._client.request_grant(peer, message)
        if isinstance(answer, messages.GrantResponse):
            if answer.kind is messages.GrantKind.GRANTED:
                return self._granted_there(placement, answer)
            return grantresponses.owner_refusal(replica, answer)
        if isinstance(answer, grantrequests.NoResponse):
            self._owners.record_no_response(owner)
            return grantresponses.owner_silent(replica, owner)
        return grantresponses.queue_timeout(replica)

    def _granted_there(
        self, placement: PlacementRequest, answer: messages.GrantResponse
    ) -> Grant | outcomes.Refusal:
        replica = placement.chosen(answer.replica)
        if replica is not None:
            return Grant(replica, f"{placement.admission_id}@{replica}", answer.grant_id)
        # An engine that this node has not heard of yet, or that has refused the request.
        self._client.close(answer.grant_id)
        return grantresponses.unusable_replica(answer.replica)

    def _without_grant(self, placement: PlacementRequest) -> Grant | None:
        ordered = self._ordered(placement)
        if not ordered:
            return None
        return Grant(ordered[0], f"{placement.admission_id}@{ordered[0]}", is_granted=False)
