"""Routing candidates: the engines of a service with their last known state."""

import collections.abc
import dataclasses
import itertools

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.exchange import messages
from hornbeamglade.grants import schedulerset
from hornbeamglade.node import digestcache
from hornbeamglade.origins import versions
from hornbeamglade.replicas import availability, models, ratelimits
from hornbeamglade.routing import candidates as candidatelib
from hornbeamglade.speeds import enginespeeds
from hornbeamglade.speeds import outlook as outlooklib

UNKNOWN_HEADROOM_TOKENS = 0
MAX_CANDIDATES = 64
"""Most engines that are compared for one request. The best of a sample is nearly as good as the
best of all, and comparing hundreds exceeds the time allowed for placing a request."""

MAX_POOL = 256
POOL_INTERVAL_S = 0.25
"""The outlook of a service is derived from at most this many engines, and this often. It changes
within seconds, and deriving it takes longer than placing a request."""

PACE_LIFE_S = 15.0
"""A digest's pace is used this long: an owner publishes no pace without a recent measurement."""

MICROSECONDS_PER_UNIT = 10


@dataclasses.dataclass(frozen=True, slots=True)
class _DerivedPool:
    """The outlook of a service and of its engines of known pace, as of a time."""

    at: float
    outlook: outlooklib.PoolOutlook
    pace_by_replica: dict[str, enginespeeds.Pace]

    def engine_outlook(self, replica_id: str) -> outlooklib.EngineOutlook:
        """Return what a response may expect at one engine."""
        return outlooklib.EngineOutlook(self.outlook, self.pace_by_replica.get(replica_id))


class EngineCatalog:
    """Joins the platform's replica list with the state reported by the engines' owners.

    :param available: the replica list and which replicas accept new work.
    :param schedulers: schedulers of the engines that this node owns.
    :param digests: load digests received from other owners.
    :param owned: returns the engines that this node owns.
    :param settings: rates and costs of the routing choice.
    :param speeds: the paces of this node's engines, or None if none are placed by pace.
    :param clock: monotonic time; required with ``speeds``.
    :param is_coordinated: returns whether owners of a service pass on each other's figures.
    """

    def __init__(
        self,
        available: availability.Availability,
        schedulers: schedulerset.SchedulerSet,
        digests: digestcache.DigestCache,
        owned: collections.abc.Callable[[], collections.abc.Collection[str]],
        settings: candidatelib.RoutingSettings,
        speeds: enginespeeds.EngineSpeeds | None = None,
        clock: clocks.Clock | None = None,
        is_coordinated: collections.abc.Callable[[str], bool] = lambda _service: False,
    ) -> None:
        self._speeds = speeds
        self._clock = clock
        self._pool_by_service: dict[str, _DerivedPool] = {}
        self._available = available
        self._replicas = available.replicas
        self._schedulers = schedulers
        self._digests = digests
        self._owned = owned
        self._settings = settings
        self.is_coordinated = is_coordinated

    def replica(self, replica_id: str) -> models.Replica | None:
        """Return a replica of the list, or None if it is no longer listed."""
        return self._replicas.by_id.get(replica_id)

    def is_of_version(self, replica_id: str, version: int) -> bool:
        """Return whether an engine is listed with a software version.

        :param version: :func:`version_key <hornbeamglade.origins.versions.version_key>` of it.
        """
        replica = self._replicas.by_id.get(replica_id)
        return replica is not None and versions.version_key(replica.version) == version

    def is_named_of_version(self, name: str, version: int) -> bool:
        """Return whether the current incarnation of a server has a software version.

        True if the server is not listed.
        """
        replica = self._replicas.by_name(name)
        return replica is None or versions.version_key(replica.version) == version

    def usable_by_version(
        self, service: str, version: int, regions: frozenset[str] | None = None
    ) -> tuple[frozenset[str], frozenset[str]]:
        """Return the usable engines of a software version, and those of all other versions."""
        usable = {each.id for each in self._available.usable(service, regions)}
        matching = frozenset(each for each in usable if self.is_of_version(each, version))
        return matching, usable - matching

    def is_usable(self, replica_id: str) -> bool:
        """Return whether an engine is listed and not leaving; it may be evacuated."""
        return self._replicas.is_usable(replica_id)

    def is_evacuated(self, replica: models.Replica) -> bool:
        """Return whether the operator has evacuated an engine's failure domain."""
        return self._available.is_evacuated(replica)

    def is_cold(self, replica_id: str, now: float) -> bool:
        """Return whether an engine has just started and accepts few requests."""
        return self._available.is_cold(replica_id, now)

    def limit(self, replica_id: str) -> ratelimits.RateLimit | None:
        """Return the rate limit that an engine last reported, or None."""
        return self._available.limit(replica_id)

    def record_sent(self, replica_id: str) -> None:
        """Record that a request is sent to an engine."""
        self._available.request_sent(replica_id)

    def may_send(self, replica_id: str) -> bool:
        """Return whether this node may send a request to an engine now.

        An engine may be leaving, evacuated, limited or in backoff since it was chosen.
        """
        is_sendable = self._available.send_wait_s(replica_id) <= 0.0
        return is_sendable and self._available.still_accepts(replica_id)

    def withheld(self, service: str) -> frozenset[str]:
        """Return the engines of a service that this node may not send to, though others may."""
        return frozenset(self._available.withheld(service))

    def retry_s(self, service: str, regions: frozenset[str] | None = None) -> float | None:
        """Return the seconds until a retry may be sent to some engine of a service.

        None if this node may send to one now, or if no engine is usable.
        """
        usable = self._available.usable(service, regions)
        if not usable or any(self._available.send_wait_s(each.id) <= 0.0 for each in usable):
            return None
        return min(self._available.retry_s(each.id) for each in usable)

    def may_continue_at(self, replica_id: str) -> bool:
        """Return whether a run may be migrated to an engine that was chosen some time ago.

        Its limit does not matter: the run would be lost while it waits for a send slot.
        """
        return self._available.still_accepts(replica_id)

    def candidates(
        self,
        service: str,
        excluded: collections.abc.Container[str],
        regions: frozenset[str] | None = None,
        sample_offset: int = 0,
    ) -> tuple[candidatelib.Candidate, ...]:
        """Return candidate engines of a service.

        All usable engines, or at a large service those of this node and a sample of the others.

        :param excluded: engines that this request must not use.
        :param regions: allowed regions, or None for all.
        :param sample_offset: position at which the sample begins; the same for all lookups of
            one request.
        """
        # Only schedulers of owned engines are used: a scheduler remains after its replica has
        # changed owners and then reports a full engine, so requests would avoid the replica.
        owned = self._owned()
        state_by_replica = self._schedulers.states_of(owned)
        usable = self._available.usable(service, regions)
        if len(usable) > MAX_CANDIDATES:
            own = (replica for replica in usable if replica.id in owned)
            first = sample_offset % len(usable)
            others = itertools.chain(usable[first:], usable[:first])
        else:
            own, others = usable, ()
        eligible = [replica for replica in own if self._is_candidate(replica, excluded)]
        others = (
            replica
            for replica in others
            if replica.id not in owned and self._is_candidate(replica, excluded)
        )
        eligible.extend(itertools.islice(others, MAX_CANDIDATES))
        pool = self._pool(service)
        return tuple(
            self._candidate(replica, state_by_replica.get(replica.id), pool)
            for replica in eligible
        )

    def find(
        self,
        replica_hash: int,
        service: str,
        excluded: collections.abc.Container[str],
        regions: frozenset[str] | None = None,
    ) -> str | None:
        """Return the engine that an owner chose, or None if it may not get this request.

        :param replica_hash: :func:`key_hash <hornbeamglade.exchange.messages.key_hash>` of its id.
        """
        for replica in self._available.usable(service, regions):
            if messages.key_hash(replica.id) == replica_hash:
                return replica.id if self._is_candidate(replica, excluded) else None
        return None

    def _is_candidate(
        self, replica: models.Replica, excluded: collections.abc.Container[str]
    ) -> bool:
        return replica.id not in excluded and self._available.send_wait_s(replica.id) <= 0.0

    def owned_alternatives(self, replica_id: str, work: outcomes.Work) -> tuple[str, ...]:
        """Return this node's engines of the service of ``replica_id``, best first.

        :param work: the request to place.
        """
        replica = self._replicas.by_id.get(replica_id)
        if replica is None:
            return ()
        # Called for each grant, so the engines of other owners are not examined.
        owned = self._owned()
        states = self._schedulers.states_of(owned)
        pool = self._pool(replica.service)
        candidates = [
            self._candidate(each, states[each.id], pool)
            for each in self._available.usable(replica.service)
            if each.id in states
        ]
        candidates.sort(key=lambda each: candidatelib.stall_cost_s(work, each, self._settings))
        return tuple(each.replica for each in candidates if not each.leaving and not each.ejected)

    def must_avoid(self, replica_id: str, work: outcomes.Work) -> bool:
        """Return whether a request that may find another engine must not start at this one."""
        replica = self._replicas.by_id.get(replica_id)
        outlook = None if replica is None or work.pace is None else self.outlook(replica)
        return outlook is not None and outlook.must_avoid(work.pace)

    def outlook(self, replica: models.Replica) -> outlooklib.EngineOutlook | None:
        """Return an engine's expected pace, or None if its service is not placed by pace."""
        pool = self._pool(replica.service)
        return None if pool is None else pool.engine_outlook(replica.id)

    def _pool(self, service: str) -> _DerivedPool | None:
        """Return the paces of a service's engines, or None if it is not placed by pace."""
        if self._speeds is None or not self._speeds.is_enabled(service):
            return None
        now = self._clock.now()
        derived = self._pool_by_service.get(service)
        if derived is not None and now - derived.at < POOL_INTERVAL_S:
            return derived
        paces = {
            each.id: self._pace(each.id) for each in self._available.usable(service)[:MAX_POOL]
        }
        known = {replica: pace for replica, pace in paces.items() if pace is not None}
        outlook = outlooklib.pool_outlook(
            known.values(),
            self._speeds.tokens_per_event(service),
            outlooklib.DEFAULT_PAUSE_RATIO if derived is None else derived.outlook.pause_ratio,
        )
        pool = self._pool_by_service[service] = _DerivedPool(now, outlook, known)
        return pool

    def _pace(self, replica_id: str) -> enginespeeds.Pace | None:
        """Return the pace that this node measured as the owner, or else the last published."""
        pace = self._speeds.pace(replica_id)
        if pace is not None:
            return pace
        received = self._digests.newest(replica_id)
        if received is None or not received.digest.token_10us:
            return None
        if self._digests.age_s(received) > PACE_LIFE_S:
            return None
        token_us = received.digest.token_10us * MICROSECONDS_PER_UNIT
        return enginespeeds.Pace(token_us / 1e6, received.digest.pause_ms / 1e3)

    def _candidate(
        self,
        replica: models.Replica,
        state: schedulerset.SchedulerState | None,
        pool: _DerivedPool | None,
    ) -> candidatelib.Candidate:
        outlook = None if pool is None else pool.engine_outlook(replica.id)
        if state is not None:
            return candidatelib.Candidate(
                replica=replica.id,
                owner="",
                local=True,
                room_tokens=int(state.headroom_tokens),
                queued=state.waiting_ahead,
                expected_wait_s=state.expected_wait_s,
                report_age_s=0.0,
                failure_domain=replica.failure_domain,
                leaving=state.leaving,
                ejected=state.is_unreachable,
                outlook=outlook,
            )
        received = self._digests.newest(replica.id)
        digest = None if received is None else received.digest
        return candidatelib.Candidate(
            replica=replica.id,
            owner="" if received is None else received.owner,
            local=False,
            room_tokens=UNKNOWN_HEADROOM_TOKENS if digest is None else digest.room_tokens,
            queued=0 if digest is None else digest.queued,
            expected_wait_s=0.0 if digest is None else digest.expected_wait_ms / 1000,
            report_age_s=self._digests.age_s(received),
            failure_domain=replica.failure_domain,
            leaving=digest is not None and digest.leaving,
            ejected=digest is not None and digest.ejected,
            outlook=outlook,
        )
