"""Select a replica for a request and get a grant from its owner, in a task of an event loop.

Explanation
===========

The counterpart of :mod:`hornbeamglade.grants.grantacquirer` for the routed path. The ranking of
replicas, the schedulers and the contents of grant requests are the same. A waiting request
occupies no thread here, so it requests an immediate grant at every replica that appears to have
headroom before it waits in any queue.

A remote owner may choose among all its replicas that can serve the request, since it knows their
present state. Each owner is therefore asked once in a round. Heartbeats only determine which
owner to ask first and, as long as they are fresh, which owner not to ask. For a coordinated
service, each response of an owner also carries the figures of the others, and the next owner to
ask is chosen again after each refusal (:mod:`hornbeamglade.routing.ownerorder`).

A node that owns a replica may have crashed or be unreachable while the replica itself still
serves. If no owner of the remaining replicas responds, the request goes to the best of them
without a grant and the engine's own queue takes it: refusing it would be wrong while there is
free capacity.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import math
import random

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.exchange import asyncgrantclient, grantrequests, messages
from hornbeamglade.fairness import siteforecast
from hornbeamglade.grants import (
    grantacquirer,
    grantresponses,
    ownerbackoff,
    replicascheduler,
    schedulerset,
    sitefigures,
)
from hornbeamglade.observability import logs
from hornbeamglade.routing import candidates, ownerorder, placements
from hornbeamglade.routing import choice as choicelib
from hornbeamglade.speeds import enginespeeds, pacemeter

IMMEDIATE_TIMEOUT_S = 0.06
"""An immediate grant request waits for one network round trip."""

MAX_OWNERS_ASKED = 4
"""Owners that are asked for an immediate grant in one round, one after the other. A request that
gets none waits in a queue, and the next round follows soon."""

FRESH_REPORT_S = 1.0
"""A report of an owner that is at most this old is believed when it says that a replica is full.
At sites where all nodes exchange heartbeats directly, one arrives every half second; at larger
sites the owner is asked instead."""

SEARCH_INTERVAL_S = 0.1
"""The interval at which one of the requests that wait at a node looks for headroom elsewhere,
each in turn. A search compares all replicas, and under overload dozens of requests wait."""

PACE_INTERVAL_S = 1.0
"""The interval at which the pace of a stream at one of this node's own engines is recorded. It
costs no message, and the longest pause counts for ten such intervals."""

FORECAST_INTERVAL_S = 1.0
"""The interval at which a waiting request is compared with the site's forecast again."""

ListCandidates = collections.abc.Callable[[], collections.abc.Sequence[candidates.Candidate]]
ResolveReplica = collections.abc.Callable[[int], str | None]


@dataclasses.dataclass(slots=True)
class Grant:
    """Permission to run one request on one replica, until it is released.

    :param replica: the replica's id.
    :param admission_id: identifies the attempt at the schedulers.
    :param grant_id: the number of the grant request at a remote owner; None when this node is
        the owner.
    :param is_granted: False for a request that proceeds without a grant.
    :param produced: tokens of the answer so far.
    :param meter: measures the pace of its stream, or None.
    :param pace_at: monotonic seconds from which its pace is recorded again.
    """

    replica: str
    admission_id: str
    grant_id: int | None = None
    is_granted: bool = True
    produced: int = 0
    meter: pacemeter.PaceMeter | None = None
    pace_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request that is to be placed on a replica.

    :param work: the known properties of the request.
    :param weight: the team's weight.
    :param deadline: monotonic seconds at which its wait ends.
    :param list_candidates: returns the replicas that may serve it, as this node knows them
        now.
    :param resolve_replica: returns the id of a replica that may serve the request by the hash
        of the id, or None; the default searches the candidates.
    :param attempt: distinguishes several attempts of one request at the same scheduler.
    :param produced: tokens generated so far by a run that is migrated from another replica.
    :param avoid: replicas that must not be chosen.
    :param due: monotonic seconds at which it must start to be on time.
    :param known_only: whether only the listed candidates are acceptable, so that no owner may
        choose another replica.
    :param site_service: the name of the replicas' service if its owners pass on each other's
        figures; else None.
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
    site_service: str | None = None

    @property
    def admission_id(self) -> str:
        """The request id under which the schedulers know this attempt."""
        return f"{self.work.request_id}.{self.attempt}"

    def granted_replica(self, replica_hash: int) -> str | None:
        """Return the replica that an owner granted, or None if it may not serve the request."""
        if self.resolve_replica is not None:
            return self.resolve_replica(replica_hash)
        replicas = (each.replica for each in self.list_candidates())
        return next((each for each in replicas if messages.key_hash(each) == replica_hash), None)


class AsyncGrantAcquirer:
    """The requesting side of grants in one node's event loop.

    :param clock: monotonic time.
    :param schedulers: this node's own schedulers.
    :param client: sends grant requests to other owners.
    :param owners: which node owns which replica.
    :param rng: breaks ties between replicas.
    :param settings: rates that the ranking of replicas uses.
    :param speeds: the paces of this node's own engines, or None if they are not recorded.
    :param figures: what this node knows of the requests that wait at all owners.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        schedulers: schedulerset.SchedulerSet,
        client: asyncgrantclient.AsyncGrantClient,
        owners: grantacquirer.ReplicaOwners,
        rng: random.Random,
        settings: candidates.RoutingSettings,
        speeds: enginespeeds.EngineSpeeds | None = None,
        figures: sitefigures.SiteFigures | None = None,
    ) -> None:
        self._clock = clock
        self._schedulers = schedulers
        self._client = client
        self._owners = owners
        self._rng = rng
        self._settings = settings
        self._speeds = speeds
        self._figures = figures
        self._placements = placements.Placements(settings)
        self._backoff = ownerbackoff.OwnerBackoff(clock)
        self._active: set[str] = set()
        self._searchers: collections.deque[PlacementRequest] = collections.deque()
        self._next_search_at = clock.now()

    async def acquire(self, placement: PlacementRequest) -> Grant | outcomes.Refusal:
        """Get a grant, or the refusal to return to the caller.

        Cancelling withdraws the outstanding grant requests.
        """
        refused: list[outcomes.Refusal] = []
        grant = await self.acquire_now(placement, refused)
        if grant is not None:
            return grant
        position = siteforecast.Position()
        too_late = self._forecast_refusal(placement, position)
        if too_late is not None:
            return too_late
        for replica in self._queues(placement):
            answer = await self._queue_at(placement, replica, position)
            if isinstance(answer, Grant) or answer.code == grantresponses.REFUSED_BY_FORECAST:
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
        """Request an immediate grant at replicas that appear to have headroom.

        :param refused: the refusals are appended to it.
        """
        needed = candidates.needed_tokens(placement.work, self._settings) + placement.produced
        refused_count = 0
        for replica in self._to_ask(placement, needed):
            owner = self._owners.owner(replica)
            if owner is not None and not self._backoff.may_ask(owner.name, needed):
                continue
            answer = await self._request(placement, replica, 0.0)
            if isinstance(answer, Grant):
                return answer
            if owner is not None and answer.code == grantresponses.NO_ROOM_NOW:
                self._backoff.refused(owner.name, needed)
            if refused is not None:
                refused.append(answer)
            refused_count += 1
            if refused_count >= MAX_OWNERS_ASKED:
                break
        return None

    async def acquire_for_migration(
        self, placement: PlacementRequest, failure_domain: str
    ) -> Grant | None:
        """Request a grant for a run that is to be migrated, at the nearest replicas first.

        :param failure_domain: where the run's KV cache is; copying it to another failure
            domain takes twice as long.
        """
        needed = placement.work.prompt_tokens + placement.produced
        choices = sorted(
            (each.candidate for each in self._choices(placement)),
            key=lambda each: (
                each.room_tokens < needed,
                each.must_avoid(placement.work),
                each.failure_domain != failure_domain,
                -each.room_tokens,
            ),
        )
        nearest = [each.replica for each in choices]
        for replica in self._one_per_owner(nearest, placement)[:MAX_OWNERS_ASKED]:
            answer = await self._request(placement, replica, 0.0)
            if isinstance(answer, Grant):
                return answer
        return None

    def record_progress(
        self, grant: Grant, produced: int, meter: pacemeter.PaceMeter | None = None
    ) -> None:
        """Record how many tokens a granted request has produced.

        :param meter: measures the pace of its stream.
        """
        grant.produced = produced
        if not grant.is_granted:
            return
        if grant.grant_id is not None:
            self._client.record_progress(grant.grant_id, produced, meter)
            return
        self._schedulers.progress(grant.replica, grant.admission_id, produced)
        grant.meter = meter
        now = self._clock.now()
        if meter is not None and meter.is_ready and now >= grant.pace_at:
            grant.pace_at = now + PACE_INTERVAL_S
            self._record_pace(grant)

    def release(self, grant: Grant) -> None:
        """Release a grant at its owner; idempotent."""
        if grant.admission_id not in self._active:
            return
        self._active.discard(grant.admission_id)
        if grant.grant_id is None:
            self._record_pace(grant)
            self._schedulers.finish(grant.replica, grant.admission_id)
        else:
            self._client.close(grant.grant_id)

    @property
    def active_count(self) -> int:
        """The number of grants that this node holds."""
        return len(self._active)

    def _record_pace(self, grant: Grant) -> None:
        if grant.meter is not None and self._speeds is not None:
            self._speeds.observe(grant.replica, grant.meter.take())

    def _ranked_replicas(self, placement: PlacementRequest) -> list[str]:
        choices = self._choices(placement)
        return [each.candidate.replica for each in choices]

    def _queue_order(self, placement: PlacementRequest) -> list[str]:
        """Return the replicas at which to wait: at first those that keep the pace."""
        choices = [each.candidate for each in self._choices(placement)]
        if self._may_find_other(placement):
            choices.sort(key=lambda each: each.must_avoid(placement.work))
        return [each.replica for each in choices]

    def _work_now(self, placement: PlacementRequest) -> outcomes.Work:
        """Return the request's properties; once it is late, its pace no longer matters.

        A migrated run is past its first event, and its pauses still matter.
        """
        work = placement.work
        if work.pace is None or placement.produced or self._time_to_choose_s(placement) > 0.0:
            return work
        return dataclasses.replace(work, pace=None)

    def _time_to_choose_s(self, placement: PlacementRequest) -> float:
        """Return the seconds for which the request may wait for a replica that keeps the pace.

        Afterwards it would start late at a slow replica, which takes about twice as long to
        process its prompt.
        """
        prefill_s = placement.work.prompt_tokens / self._settings.prefill_tokens_per_s
        return placement.due - self._clock.now() - prefill_s - SEARCH_INTERVAL_S

    def _may_find_other(self, placement: PlacementRequest) -> bool:
        """Return whether the request may still start in time at a replica that keeps the pace."""
        pace = placement.work.pace
        left_s = self._time_to_choose_s(placement)
        if pace is None or placement.produced or left_s <= 0.0:
            return False
        return any(
            each.outlook is not None
            and each.outlook.pace is not None
            and each.outlook.keeps_pace(pace)
            and each.expected_wait_s < left_s
            and (
                each.room_tokens >= placement.work.prompt_tokens
                # An older report of a full replica may no longer hold.
                or each.report_age_s > FRESH_REPORT_S
            )
            and not (each.leaving or each.ejected)
            for each in placement.list_candidates()
        )

    def _queues(self, placement: PlacementRequest) -> collections.abc.Iterator[str]:
        """Yield replicas in whose queues the request may wait, one of each owner, best first."""
        if not _uses_site_figures(placement):
            yield from self._one_per_owner(self._queue_order(placement), placement)
            return
        tried: set[str | None] = set()
        while (ranked := self._best_owner(placement, tried)) is not None:
            tried.add(ranked.owner)
            yield from ranked.replicas if ranked.owner is None else ranked.replicas[:1]

    def _to_ask(self, placement: PlacementRequest, needed: int) -> collections.abc.Iterator[str]:
        """Yield replicas for immediate grants; the figures may change between two of them."""
        if not _uses_site_figures(placement):
            yield from self._worth_asking(placement, needed)
            return
        asked: set[str | None] = set()
        while (ranked := self._best_owner(placement, asked)) is not None and ranked.may_start_now:
            asked.add(ranked.owner)
            yield from ranked.replicas if ranked.owner is None else ranked.replicas[:1]

    def _best_owner(
        self, placement: PlacementRequest, excluded: collections.abc.Container[str | None]
    ) -> ownerorder.RankedOwner | None:
        """Return the owner that starts the request first by the present figures, or None."""
        current = self._placements.applied(placement.list_candidates(), self._clock.now())
        if self._may_find_other(placement):
            current = [each for each in current if not each.must_avoid(placement.work)]
        ranked = ownerorder.rank_owners(
            self._work_now(placement),
            current,
            self._owner_name,
            self._rng,
            self._settings,
            replicascheduler.MAX_PROMPT_BACKLOG_S,
        )
        return next((each for each in ranked if each.owner not in excluded), None)

    def _owner_name(self, replica: str) -> str | None:
        owner = self._owners.owner(replica)
        return None if owner is None else owner.name

    def _worth_asking(self, placement: PlacementRequest, needed: int) -> list[str]:
        """Return replicas that may have headroom, best first, one of each remote owner."""
        with_queue = {each.replica for each in placement.list_candidates() if each.queued}
        choices = [each.candidate for each in self._choices(placement)]
        if self._may_find_other(placement):
            # A remote owner is asked even if the replica known here is too slow, since it may
            # have another one.
            choices = [
                each for each in choices if not (each.local and each.must_avoid(placement.work))
            ]
            choices.sort(key=lambda each: each.must_avoid(placement.work))
        worth_asking = (
            each.replica
            for each in choices
            if each.report_age_s > FRESH_REPORT_S
            or (each.room_tokens >= needed and each.replica not in with_queue)
        )
        return self._one_per_owner(worth_asking, placement)

    def _one_per_owner(
        self, replicas: collections.abc.Iterable[str], placement: PlacementRequest
    ) -> list[str]:
        """Return replicas in order: the first of each remote owner, and all of this node.

        All replicas are returned if the owners may not choose among their own.
        """
        if placement.known_only:
            return list(replicas)
        selected = []
        owners = set()
        for replica in replicas:
            owner = self._owners.owner(replica)
            if owner is None or owner.name not in owners:
                selected.append(replica)
            if owner is not None:
                owners.add(owner.name)
        return selected

    def _choices(self, placement: PlacementRequest) -> tuple[choicelib.Choice, ...]:
        current = self._placements.applied(placement.list_candidates(), self._clock.now())
        return choicelib.rank(self._work_now(placement), current, self._rng, self._settings)

    async def _queue_at(
        self, placement: PlacementRequest, replica: str, position: siteforecast.Position
    ) -> Grant | outcomes.Refusal:
        """Wait in one replica's queue, unless another replica has headroom first.

        The wait ends as well when the request can no longer start in time anywhere.
        """
        queued = asyncio.ensure_future(
            self._request(placement, replica, placement.deadline - self._clock.now())
        )
        elsewhere: Grant | outcomes.Refusal | None = None
        self._searchers.append(placement)
        forecast_at = self._clock.now() + FORECAST_INTERVAL_S
        try:
            while not queued.done() and elsewhere is None:
                await asyncio.wait((queued,), timeout=SEARCH_INTERVAL_S)
                if not queued.done() and self._take_search_slot(placement):
                    elsewhere = await self.acquire_now(placement)
                if not queued.done() and elsewhere is None and self._clock.now() >= forecast_at:
                    forecast_at = self._clock.now() + FORECAST_INTERVAL_S
                    elsewhere = self._forecast_refusal(placement, position)
            if queued.done() and isinstance(queued.result(), Grant):
                if isinstance(elsewhere, Grant):
                    self.release(elsewhere)
                return queued.result()
            return elsewhere or queued.result()
        finally:
            self._searchers.remove(placement)
            if not queued.done():
                queued.cancel()

    def _forecast_refusal(
        self, placement: PlacementRequest, position: siteforecast.Position
    ) -> outcomes.Refusal | None:
        """Return the refusal of a request that can start in time at no owner, or None."""
        if self._figures is None or placement.site_service is None:
            return None
        now = self._clock.now()
        left_s = placement.deadline - now
        refusal = self._figures.refusal(
            placement.work,
            placement.site_service,
            left_s,
            placement.due - now,
            position,
        )
        if refusal is not None:
            logs.decided(
                placement.work.request_id,
                "placed",
                refusal.code,
                service=placement.site_service,
                priority=placement.work.priority,
                queued=round(position.ahead or 0),
                wait_s=round(left_s, 3),
            )
        return refusal

    def _take_search_slot(self, placement: PlacementRequest) -> bool:
        """Return whether this waiting request is the next to look for headroom elsewhere."""
        now = self._clock.now()
        if self._searchers[0] is not placement or now < self._next_search_at:
            return False
        self._next_search_at = now + SEARCH_INTERVAL_S
        self._searchers.rotate(-1)
        return True

    async def _request(
        self, placement: PlacementRequest, replica: str, wait_s: float
    ) -> Grant | outcomes.Refusal:
        """Request a grant from the owner of one replica.

        :param wait_s: seconds that the request may wait in the queue there; 0 requests an
            immediate grant.
        """
        owner = self._owners.owner(replica)
        if owner is None:
            answer = await self._request_locally(placement, replica, wait_s)
        else:
            message = grantresponses.grant_request(
                self._work_now(placement),
                replica,
                placement.weight,
                max(wait_s, IMMEDIATE_TIMEOUT_S),
                placement.produced,
                placement.avoid,
                placement.due - self._clock.now(),
                allow_other=not placement.known_only,
                immediate=wait_s <= 0.0,
                may_find_other=self._may_find_other(placement),
            )
            answer = await self._request_remotely(placement, replica, owner.name, message)
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
        paced = {}
        if placement.work.pace is not None:
            paced["slow_factor"] = _slow_factor(placement, answer, replica)
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
            **paced,
        )

    async def _request_locally(
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
        outcome: asyncio.Future[replicascheduler.QueueOutcome] = (
            asyncio.get_running_loop().create_future()
        )

        def notify(decided: replicascheduler.QueueOutcome) -> None:
            # A caller that has left or timed out releases the grant when its task runs next.
            if not outcome.done():
                outcome.set_result(decided)

        deadline = self._clock.now() + wait_s
        answer = self._schedulers.request_grant(
            replica, work, placement.weight, deadline, notify, placement.due
        )
        if isinstance(answer, replicascheduler.Granted):
            return grant
        if isinstance(answer, outcomes.Refusal):
            return answer
        try:
            async with asyncio.timeout(max(0.0, wait_s)):
                later = (await outcome).answer
        except TimeoutError:
            later = grantresponses.queue_timeout(replica)
        except asyncio.CancelledError:
            self._schedulers.finish(replica, work.request_id)
            raise
        if isinstance(later, replicascheduler.Granted):
            return grant
        self._schedulers.finish(replica, work.request_id)
        return later

    async def _request_remotely(
        self, placement: PlacementRequest, replica: str, owner: str, message: messages.GrantRequest
    ) -> Grant | outcomes.Refusal:
        peer = self._owners.owner(replica)
        if peer is None:
            return await self._request_locally(placement, replica, message.deadline_ms / 1000)
        response = await self._client.request_grant(peer, message)
        if isinstance(response, messages.GrantResponse):
            if response.kind is messages.GrantKind.GRANTED:
                return self._accept_remote_grant(placement, response)
            return grantresponses.owner_refusal(replica, response)
        if isinstance(response, grantrequests.NoResponse):
            self._owners.record_no_response(owner)
            return grantresponses.owner_silent(replica, owner)
        return grantresponses.queue_timeout(replica)

    def _accept_remote_grant(
        self, placement: PlacementRequest, response: messages.GrantResponse
    ) -> Grant | outcomes.Refusal:
        replica = placement.granted_replica(response.replica)
        if replica is not None:
            return Grant(replica, f"{placement.admission_id}@{replica}", response.grant_id)
        # The owner chose an engine that this node does not know yet, or that has already
        # refused the request.
        self._client.close(response.grant_id)
        return grantresponses.unusable_replica(response.replica)

    def _without_grant(self, placement: PlacementRequest) -> Grant | None:
        replicas = self._ranked_replicas(placement)
        if not replicas:
            return None
        return Grant(replicas[0], f"{placement.admission_id}@{replicas[0]}", is_granted=False)


def _uses_site_figures(placement: PlacementRequest) -> bool:
    return placement.site_service is not None and not placement.known_only


def _slow_factor(
    placement: PlacementRequest, answer: Grant | outcomes.Refusal, replica: str
) -> float | None:
    """Return the slow factor of the replica that was granted, or else of the one asked for."""
    placed_at = answer.replica if isinstance(answer, Grant) else replica
    for each in placement.list_candidates():
        if each.replica == placed_at and each.outlook is not None:
            return round(each.outlook.slow_factor, 2)
    return None
