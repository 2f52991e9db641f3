"""Selects an engine for a streamed request and acquires a grant there."""

import collections.abc
import dataclasses

from hornbeamglade.core import outcomes
from hornbeamglade.exchange import messages
from hornbeamglade.grants import asyncgrantacquirer
from hornbeamglade.replicas import models as replicamodels
from hornbeamglade.routed import (
    attemptlog,
    callrouter,
    enginecatalog,
    enginework,
    migration,
    rundependencies,
    sending,
)

MAX_REPLICAS = 4
FULL_RETRY_S = 0.5
VERSION_UNAVAILABLE = "version_unavailable"
VERSION_RETRY_S = 1.0
"""A replica that restarts with the same version is listed again within seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Unsuitable(collections.abc.Container):
    """The engines that must not continue a stream, by the list of replicas at each look-up.

    :param excluded: engines that must not be used, whatever their version.
    :param version: the software version that began the stream.
    :param catalog: the known engines.
    """

    excluded: frozenset[str]
    version: int
    catalog: enginecatalog.EngineCatalog

    def __contains__(self, replica_id: object) -> bool:
        is_excluded = replica_id in self.excluded
        return is_excluded or not self.catalog.is_of_version(str(replica_id), self.version)


@dataclasses.dataclass(slots=True)
class Assignment:
    """The engine that a run is assigned to.

    :param replica: the engine.
    :param grant: the grant to run there, or None.
    :param response: the response from the engine, or None until its head is received.
    :param sent_at: monotonic time at which the request was sent to the engine.
    """

    replica: replicamodels.Replica
    grant: asyncgrantacquirer.Grant | None
    response: sending.StartedResponse | None = None
    sent_at: float = 0.0


class EngineSelector:
    """Selects engines for one request and decides when to stop retrying.

    :param routed: the request.
    :param log: the attempts made for it.
    :param dependencies: shared dependencies of streamed runs.
    """

    def __init__(
        self,
        routed: callrouter.RoutedRequest,
        log: attemptlog.AttemptLog,
        dependencies: rundependencies.RunDependencies,
    ) -> None:
        self._routed = routed
        self._log = log
        self._dependencies = dependencies
        self._grant_attempts = 0
        self._version: int | None = None
        self._produced = 0

    def continue_stream(self, version: int, produced: int) -> None:
        """Restrict the selection to one software version from now on.

        To be called as soon as the caller may hold an event of the stream.

        :param version: key of the software version that began the stream.
        :param produced: tokens of the stream so far.
        """
        self._version = version
        self._produced = max(1, produced)

    async def find(self) -> Assignment | outcomes.Refusal:
        """Acquire a grant at an engine, or return the refusal to send to the caller."""
        log, routed = self._log, self._routed
        now = self._dependencies.clock.now()
        if len(log.tried) >= MAX_REPLICAS:
            return self.failure_refusal()
        refusal = self._refusal_to_send()
        if refusal is not None:
            return refusal
        if not self._has_suitable_engine():
            return self.failure_refusal() if log.may_have_run else self._version_refusal()
        if log.sent and not self._dependencies.budgets.spend(routed.service.name, now):
            return self.failure_refusal()
        grant = await self._acquire_grant()
        is_refused = isinstance(grant, outcomes.Refusal)
        self._dependencies.metrics.routed.placement_s.record(
            self._dependencies.clock.now() - now,
            (routed.service.name, "refused" if is_refused else "granted"),
        )
        if isinstance(grant, outcomes.Refusal):
            return self.failure_refusal() if log.may_have_run else grant
        replica = self._dependencies.catalog.replica(grant.replica)
        # The request may have been quarantined while it waited for the grant, or the time until a
        # planned stop ends may have become too short.
        is_suitable = replica is not None and (
            self._version is None
            or self._dependencies.catalog.is_of_version(replica.id, self._version)
        )
        refusal = self._refusal_to_send() if is_suitable else self.failure_refusal()
        if refusal is not None:
            self._dependencies.acquirer.release(grant)
            return refusal
        if not grant.is_granted and self._dependencies.catalog.is_cold(
            replica.id, self._dependencies.clock.now()
        ):
            # Without a grant no owner counts requests to the cold engine, and the instances
            # together would overload it.
            return self.failure_refusal()
        return Assignment(replica, grant)

    async def _acquire_grant(self) -> asyncgrantacquirer.Grant | outcomes.Refusal:
        """Acquire a grant at an engine that may be sent a request now."""
        routed, dependencies = self._routed, self._dependencies
        deadline = enginework.queue_deadline(routed, dependencies.clock.now())
        if dependencies.catalog.is_coordinated(routed.service.name):
            deadline = min(deadline, enginework.latest_useful_start_at(routed))
        while True:
            placement_request = self.placement_request(deadline, frozenset(self._log.tried))
            grant = await self._acquire_as_continuation(placement_request)
            if grant is None:
                grant = await dependencies.acquirer.acquire(placement_request)
            if isinstance(grant, asyncgrantacquirer.Grant):
                if dependencies.catalog.may_send(grant.replica):
                    return grant
                # Another request has used the send slot, or the engine has stated that it is
                # leaving or in backoff, since then.
                dependencies.acquirer.release(grant)
            elif not await dependencies.rate_limit_queue.wait(
                routed.service.name,
                routed.allowed_regions,
                self._log.tried,
                routed.urgency,
                enginework.latest_start_at(routed),
            ):
                return self._with_retry_time(grant)

    async def _acquire_as_continuation(
        self, placement: asyncgrantacquirer.PlacementRequest
    ) -> asyncgrantacquirer.Grant | None:
        """Acquire a grant for a stream that only some engines may continue, or return None.

        Like a migrated run it is admitted by the memory that is free now, ahead of new requests,
        which may start at the engines of all versions.
        """
        if self._version is None or not self._other_versions():
            return None
        continued = dataclasses.replace(placement, produced=self._produced)
        return await self._dependencies.acquirer.acquire_for_migration(continued, "")

    def _has_suitable_engine(self) -> bool:
        """Return whether some engine that was not tried may be sent the request."""
        if self._version is None:
            return True
        matching, _ = self._usable_by_version()
        return not matching <= set(self._log.tried)

    def _usable_by_version(self) -> tuple[frozenset[str], frozenset[str]]:
        routed = self._routed
        return self._dependencies.catalog.usable_by_version(
            routed.service.name, self._version, routed.allowed_regions
        )

    def _other_versions(self) -> frozenset[str]:
        """Return the usable engines that may not continue the stream."""
        return frozenset() if self._version is None else self._usable_by_version()[1]

    def _version_refusal(self) -> outcomes.Refusal:
        detail = (
            f"no replica of {self._routed.service.name} of the software version that began "
            "the stream takes requests now"
        )
        return outcomes.Refusal(VERSION_UNAVAILABLE, 503, detail, retry_after_s=VERSION_RETRY_S)

    def _with_retry_time(self, refusal: outcomes.Refusal) -> outcomes.Refusal:
        """Return the refusal with the time at which this node may send to an engine again."""
        routed = self._routed
        retry_s = self._dependencies.catalog.retry_s(routed.service.name, routed.allowed_regions)
        if retry_s is None:
            return refusal
        detail = f"the engines of {routed.service.name} take no more requests for now"
        return outcomes.Refusal("replicas_limited", 503, detail, retry_after_s=retry_s)

    def _refusal_to_send(self) -> outcomes.Refusal | None:
        """Return the refusal of a request that must not be sent to a replica now, or None.

        It crashes its replicas, or the instance stops before the answer would be complete. An
        answer that has begun is continued all the same.
        """
        dependencies, routed = self._dependencies, self._routed
        refusal = dependencies.quarantine.refusal(routed.fingerprint, routed.prompt)
        if refusal is None and not self._log.has_started:
            refusal = dependencies.drain_admission.refusal(
                routed, dependencies.clock.now(), has_waited=True
            )
        return (
            self.failure_refusal() if refusal is not None and self._log.may_have_run else refusal
        )

    def placement_request(
        self, deadline: float, excluded: frozenset[str]
    ) -> asyncgrantacquirer.PlacementRequest:
        """Return the placement request for this request.

        :param deadline: monotonic time at which the wait for a grant ends.
        :param excluded: engines that must not be used.
        """
        service = self._routed.service.name
        regions = self._routed.allowed_regions
        catalog = self._dependencies.catalog
        sample_offset = messages.key_hash(self._routed.call.request_id)
        self._grant_attempts += migration.MAX_TARGETS
        others = self._other_versions()
        avoided = excluded | catalog.withheld(service) | others
        unsuitable: collections.abc.Container[str] = excluded
        if self._version is not None:
            unsuitable = _Unsuitable(excluded, self._version, catalog)
        return asyncgrantacquirer.PlacementRequest(
            work=enginework.work(self._routed, self._pace()),
            weight=1.0,
            deadline=deadline,
            list_candidates=lambda: catalog.candidates(
                service, unsuitable, regions, sample_offset
            ),
            resolve_replica=lambda chosen: catalog.find(chosen, service, unsuitable, regions),
            attempt=self._grant_attempts,
            avoid=avoided,
            due=enginework.latest_start_at(self._routed),
            # An owner can only be told of a few engines that it must not choose.
            known_only=regions is not None or len(avoided) > messages.MAX_AVOIDED,
            site_service=service if catalog.is_coordinated(service) and not others else None,
        )

    def _pace(self) -> outcomes.PaceObjective | None:
        """Return the objective for pauses if the service is placed by pace."""
        routed, dependencies = self._routed, self._dependencies
        if not dependencies.speeds.is_enabled(routed.service.name):
            return None
        team = "" if routed.team is None else routed.team.name
        return enginework.pace(routed, dependencies.learned_length(routed.route.name, team))

    def may_retry(self) -> bool:
        """Return whether the request may be sent again after its attempts so far."""
        if not self._log.may_have_run:
            return True
        route = self._routed.route
        return route.is_repeatable and self._log.sent < route.max_attempts

    def failure_refusal(self) -> outcomes.Refusal:
        """Return the refusal after failed attempts; it states whether the request may have run."""
        service = self._routed.service.name
        if self._log.may_have_run:
            detail = f"no replica of {service} gave a whole answer"
            return outcomes.Refusal("no_answer", 502, detail, outcomes.RunStatus.UNKNOWN)
        detail = f"the replicas of {service} that were asked took no work"
        retry_s = self._dependencies.catalog.retry_s(service, self._routed.allowed_regions)
        retry_s = max(retry_s or 0.0, FULL_RETRY_S)
        return outcomes.Refusal("replicas_full", 503, detail, retry_after_s=retry_s)
