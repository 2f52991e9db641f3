"""What a node knows of the replicas and waiting requests of coordinated services.

Explanation
===========

Owners of replicas of one service send each other heartbeats and pass on what they contain in
their responses to grant requests. A node that does not own replicas thus learns the state of the
whole site from any response.
"""

import collections
import collections.abc
import itertools

from hornbeamglade.configuration import models
from hornbeamglade.core import clocks, outcomes
from hornbeamglade.exchange import grantserver, messages
from hornbeamglade.fairness import servicerate, siteforecast
from hornbeamglade.grants import grantresponses, schedulerset
from hornbeamglade.node import digestcache
from hornbeamglade.observability import logs
from hornbeamglade.routes import objectives
from hornbeamglade.speeds import enginespeeds

MAX_HEADROOM_TOKENS = 2**31 - 1
TOKEN_UNITS_PER_SECOND = 100_000

SHARED_AGE_S = 1.0
"""Figures of other owners that are older are not passed on: the recipient would not use them."""

MIN_RETRY_S = 0.5
MAX_RETRY_S = 30.0
MAX_SERVICES = 64
REFUSALS_END_S = 3.0
"""After this time without a refusal the forecast is logged as admitting again, so that a surge
causes two lines."""


class SiteFigures:
    """The figures of coordinated services as known to one node.

    :param name: this node's name.
    :param schedulers: this node's schedulers.
    :param digests: states of the replicas of other owners.
    :param coordinated: the services whose figures are passed on.
    :param clock: monotonic time.
    :param speeds: the paces of this node's engines.
    """

    def __init__(
        self,
        name: str,
        schedulers: schedulerset.SchedulerSet,
        digests: digestcache.DigestCache,
        coordinated: objectives.CoordinatedServices,
        clock: clocks.Clock,
        speeds: enginespeeds.EngineSpeeds,
    ) -> None:
        self._own_hash = messages.key_hash(name)
        self._schedulers = schedulers
        self._digests = digests
        self._coordinated = coordinated
        self._clock = clock
        self._speeds = speeds
        self._service_by_replica: dict[str, str] = {}
        self._replicas_by_service: dict[str, list[str]] = {}
        self._owned: frozenset[str] = frozenset()
        self._forecast_by_service: dict[int, siteforecast.SiteForecast] = {}
        self._refused_at_by_service: dict[str, float] = {}

    def set_replicas(
        self,
        service_by_replica: collections.abc.Mapping[str, str],
        owned: collections.abc.Iterable[str],
    ) -> None:
        """Set the listed replicas, and those of them that this node owns."""
        self._service_by_replica = dict(service_by_replica)
        self._owned = frozenset(owned)
        self._replicas_by_service = {}
        for replica, service in service_by_replica.items():
            self._replicas_by_service.setdefault(service, []).append(replica)
        hashes = {messages.key_hash(service) for service in self._replicas_by_service}
        for service in self._forecast_by_service.keys() - hashes:
            del self._forecast_by_service[service]

    def known(self, replica: str | None) -> grantserver.SiteFigures:
        """Return the figures of a replica's service that a grant response carries."""
        service = self._service_by_replica.get(replica or "")
        if service is None or not self._coordinated.includes(service):
            return grantserver.SiteFigures()
        replicas = self._replicas_by_service[service]
        states = self._schedulers.states_of(each for each in replicas if each in self._owned)
        digests = [
            messages.AgedDigest(replica_digest(state, self._speeds.pace(name)))
            for name, state in states.items()
        ]
        for name in replicas:
            received = None if name in self._owned else self._digests.newest(name)
            age_s = self._digests.age_s(received)
            if received is not None and age_s < SHARED_AGE_S:
                # Age 0 states that the digest is the sender's own.
                age_ms = max(1, int(age_s * 1000))
                digests.append(messages.AgedDigest(received.digest, age_ms))
        digests.sort(key=lambda each: each.age_ms)
        return grantserver.SiteFigures(
            tuple(digests[: messages.MAX_REPLICAS]), self._known_waiting(service)
        )

    def own_waiting(self) -> tuple[messages.WaitingClass, ...]:
        """Return the requests that wait at this node, for its heartbeats."""
        return tuple(
            messages.WaitingClass(
                messages.key_hash(service),
                each.priority,
                each.waiting,
                each.starts_per_s,
                each.on_time,
            )
            for service in self._replicas_by_service
            if self._coordinated.includes(service)
            for each in self._own_classes(service)
        )[: messages.MAX_WAITING_CLASSES]

    def waiting_by_class(self) -> dict[str, dict[int, int]]:
        """Return the requests that wait at the whole site, by service and urgency class.

        Classes are those of the routes: 0 is the most urgent. Services without waiting requests
        are left out.
        """
        waiting_by_service = {}
        for service in itertools.islice(self._replicas_by_service, MAX_SERVICES):
            if not self._coordinated.includes(service):
                continue
            forecast = self._forecast_by_service.get(messages.key_hash(service))
            others = forecast.owners().values() if forecast is not None else ()
            counts: collections.Counter[int] = collections.Counter()
            for each in itertools.chain(
                self._own_classes(service), *(classes for classes, _ in others)
            ):
                # Another instance may send a priority that no route has.
                urgency = models.HIGHEST_PRIORITY - each.priority
                counts[min(max(urgency, 0), models.HIGHEST_PRIORITY)] += each.waiting
            if counts:
                waiting_by_service[service] = dict(sorted(counts.items()))
        return waiting_by_service

    def record_heartbeat(
        self, owner: str, waiting: collections.abc.Sequence[messages.WaitingClass]
    ) -> None:
        """Record the waiting requests of one owner; none are left where it states none."""
        stated = {each.service for each in waiting}
        for service, forecast in self._forecast_by_service.items():
            if service not in stated:
                forecast.record(messages.key_hash(owner), ())
        for service in stated:
            self._record(
                service, messages.key_hash(owner), [e for e in waiting if e.service == service], 0
            )

    def record_response(self, owner: str, response: messages.GrantResponse) -> None:
        """Record the figures that a grant response carries."""
        self._digests.record_response(owner, response.digests)
        for service in {each.service for each in response.waiting}:
            entries = [each for each in response.waiting if each.service == service]
            for owner_hash in {each.owner for each in entries}:
                of_owner = [each for each in entries if each.owner == owner_hash]
                age_ms = max(each.age_ms for each in of_owner)
                self._record(service, owner_hash or messages.key_hash(owner), of_owner, age_ms)

    def refusal(
        self,
        work: outcomes.Work,
        service: str,
        left_s: float,
        due_s: float,
        position: siteforecast.Position,
    ) -> outcomes.Refusal | None:
        """Return the refusal of a request that cannot start in time, or None.

        :param service: the name of the replicas' service.
        :param left_s: seconds until its latest useful start.
        :param due_s: seconds until it must start to be on time.
        :param position: of the request among those of its priority; updated.
        """
        forecast = self._forecast_by_service.get(messages.key_hash(service))
        if forecast is None or not self._coordinated.includes(service):
            return None
        start_s = forecast.start_s(work.priority, position, due_s, self._own_classes(service))
        if start_s is None or not siteforecast.is_too_late(start_s, left_s):
            self._log_end_of_refusals(service)
            return None
        if service not in self._refused_at_by_service:
            logs.state_changed("forecast", "admits", "refuses", service=service)
        self._refused_at_by_service[service] = self._clock.now()
        # Callers that are refused together are spread over the time that the site needs to
        # serve as many requests again.
        retry_s = min(max(start_s, MIN_RETRY_S), MAX_RETRY_S)
        retry_s *= 1.0 + servicerate.jitter(work.request_id)
        return grantresponses.refused_by_forecast(service, retry_s)

    def _log_end_of_refusals(self, service: str) -> None:
        refused_at = self._refused_at_by_service.get(service)
        if refused_at is not None and self._clock.now() - refused_at > REFUSALS_END_S:
            del self._refused_at_by_service[service]
            logs.state_changed("forecast", "refuses", "admits", service=service)

    def _own_classes(self, service: str) -> tuple[siteforecast.ClassState, ...]:
        replicas = self._replicas_by_service.get(service, ())
        return self._schedulers.waiting_classes(each for each in replicas if each in self._owned)

    def _known_waiting(self, service: str) -> tuple[messages.WaitingClass, ...]:
        service_hash = messages.key_hash(service)
        forecast = self._forecast_by_service.get(service_hash)
        others = forecast.owners() if forecast is not None else {}
        # A class with 0 waiting requests replaces what the recipient knows of an owner.
        nothing = (siteforecast.ClassState(0, 0, 0.0),)
        entries = [
            messages.WaitingClass(
                service_hash, each.priority, each.waiting, each.starts_per_s, each.on_time
            )
            for each in self._own_classes(service) or nothing
        ]
        for owner, (classes, age_s) in others.items():
            if age_s < SHARED_AGE_S and owner != self._own_hash:
                age_ms = max(1, int(age_s * 1000))
                entries += [
                    messages.WaitingClass(
                        service_hash,
                        each.priority,
                        each.waiting,
                        each.starts_per_s,
                        each.on_time,
                        owner,
                        age_ms,
                    )
                    for each in classes or nothing
                ]
        return tuple(entries[: messages.MAX_SITE_WAITING_CLASSES])

    def _record(
        self,
        service: int,
        owner: int,
        entries: collections.abc.Iterable[messages.WaitingClass],
        age_ms: int,
    ) -> None:
        if owner == self._own_hash:
            return
        forecast = self._forecast_by_service.get(service)
        if forecast is None:
            if len(self._forecast_by_service) >= MAX_SERVICES:
                return
            forecast = siteforecast.SiteForecast(self._clock)
            self._forecast_by_service[service] = forecast
        classes = (
            siteforecast.ClassState(each.priority, each.waiting, each.starts_per_s, each.on_time)
            for each in entries
        )
        forecast.record(owner, classes, age_ms / 1000)


def replica_digest(
    state: schedulerset.SchedulerState, pace: enginespeeds.Pace | None = None
) -> messages.ReplicaDigest:
    """Return the digest of a replica that this node owns.

    :param pace: the replica's pace, or None if it is unknown.
    """
    return messages.ReplicaDigest(
        replica=messages.key_hash(state.replica),
        room_tokens=max(0, min(MAX_HEADROOM_TOKENS, int(state.headroom_tokens))),
        queued=state.waiting_ahead,
        expected_wait_ms=int(state.expected_wait_s * 1000),
        leaving=state.leaving,
        ejected=state.is_unreachable,
        token_10us=0 if pace is None else round(pace.token_s * TOKEN_UNITS_PER_SECOND),
        pause_ms=0 if pace is None else round(pace.pause_s * 1000),
    )
