"""Where a streamed request may run: leave to run at an engine that takes it."""

import dataclasses

from hornbeamglade.core import outcomes
from hornbeamglade.exchange import messages
from hornbeamglade.grants import asyncgrantacquirer
from hornbeamglade.replicas import models as replicamodels
from hornbeamglade.routed import (
    attemptlog,
    callrouter,
    enginework,
    migration,
    rundependencies,
    sending,
)

MAX_CONTACTS = 4
FULL_RETRY_S = 0.5


@dataclasses.dataclass(slots=True)
class Place:
    """Where the run is now.

    :param replica: the engine.
    :param grant: leave to run there, or None.
    :param begun: its answer there, or None before its head.
    :param sent_at: monotonic seconds at which it was sent there.
    """

    replica: replicamodels.Replica
    grant: asyncgrantacquirer.Grant | None
    begun: sending.Begun | None = None
    sent_at: float = 0.0


class PlaceFinder:
    """Finds engines for one request, and says when to give up.

    :param routed: the request.
    :param log: its attempts.
    :param parts: what it works with.
    """

    def __init__(
        self,
        routed: callrouter.RoutedRequest,
        log: attemptlog.AttemptLog,
        parts: rundependencies.RunDependencies,
    ) -> None:
        self._routed = routed
        self._log = log
        self._parts = parts
        self._asks = 0

    async def find(self) -> Place | outcomes.Refusal:
        """Get leave to run at an engine; return the refusal when there is none."""
        log, routed = self._log, self._routed
        now = self._parts.clock.now()
        if len(log.tried) >= MAX_CONTACTS:
            return self.failure()
        refusal = self._quarantined()
        if refusal is not None:
            return refusal
        if log.sent and not self._parts.budgets.spend(routed.service.name, now):
            return self.failure()
        grant = await self._find_grant()
        is_refused = isinstance(grant, outcomes.Refusal)
        self._parts.metrics.routed.placement_s.record(
            self._parts.clock.now() - now,
            (routed.service.name, "refused" if is_refused else "granted"),
        )
        if isinstance(grant, outcomes.Refusal):
            return self.failure() if log.may_have_run else grant
        replica = self._parts.catalog.replica(grant.replica)
        # It may have waited for the grant while it was found out.
        refusal = self.failure() if replica is None else self._quarantined()
        if refusal is not None:
            self._parts.acquirer.release(grant)
            return refusal
        if not grant.is_granted and self._parts.catalog.is_cold(
            replica.id, self._parts.clock.now()
        ):
            # Nobody counts what goes there, and each instance would send its own crowd.
            return self.failure()
        return Place(replica, grant)

    async def _find_grant(self) -> asyncgrantacquirer.Grant | outcomes.Refusal:
        """Get a grant at an engine that may be sent to, by the limit that it named."""
        routed, parts = self._routed, self._parts
        deadline = enginework.queue_deadline(routed, parts.clock.now())
        while True:
            placement = self.placement(deadline, frozenset(self._log.tried))
            grant = await parts.acquirer.acquire(placement)
            if isinstance(grant, asyncgrantacquirer.Grant):
                if parts.catalog.may_send(grant.replica):
                    return grant
                # Another request has taken the turn there meanwhile.
                parts.acquirer.release(grant)
            elif not await parts.turns.wait(
                routed.service.name,
                routed.allowed_regions,
                self._log.tried,
                routed.urgency,
                enginework.due(routed),
            ):
                return grant

    def _quarantined(self) -> outcomes.Refusal | None:
        """Return the refusal of a request that crashes its replicas, or None."""
        refusal = self._parts.quarantine.refusal(self._routed.fingerprint)
        return self.failure() if refusal is not None and self._log.may_have_run else refusal

    def placement(
        self, deadline: float, excluded: frozenset[str]
    ) -> asyncgrantacquirer.PlacementRequest:
        """Return what is asked for at engines.

        :param deadline: monotonic seconds at which the wait for room ends.
        :param excluded: engines that will not do.
        """
        service = self._routed.service.name
        regions = self._routed.allowed_regions
        catalog = self._parts.catalog
        spread = messages.key_hash(self._routed.call.request_id)
        self._asks += migration.TRIES
        return asyncgrantacquirer.PlacementRequest(
            work=enginework.work(self._routed),
            weight=1.0,
            deadline=deadline,
            list_candidates=lambda: catalog.candidates(service, excluded, regions, spread),
            resolve_replica=lambda chosen: catalog.find(chosen, service, excluded, regions),
            attempt=self._asks,
            avoid=excluded,
            due=enginework.due(self._routed),
            known_only=regions is not None,
        )

    def may_run_again(self) -> bool:
        """Tell whether the request may be sent once more, after what became of it."""
        if not self._log.may_have_run:
            return True
        route = self._routed.route
        return route.is_repeatable and self._log.sent < route.max_attempts

    def failure(self) -> outcomes.Refusal:
        """Return the refusal that says whether the request may have run."""
        service = self._routed.service.name
        if self._log.may_have_run:
            detail = f"no replica of {service} gave a whole answer"
            return outcomes.Refusal("no_answer", 502, detail, outcomes.RunStatus.UNKNOWN)
        detail = f"the replicas of {service} that were asked took no work"
        return outcomes.Refusal("replicas_full", 503, detail, retry_after_s=FULL_RETRY_S)
