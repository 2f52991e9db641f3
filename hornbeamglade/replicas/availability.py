"""Availability of replicas for new requests.

Explanation
===========

A replica receives new requests while it is listed, is not leaving, and runs in a failure domain
that is not evacuated. Requests that already run at an evacuated replica are completed there:
migrating them would require a KV cache copy and capacity at the remaining replicas, while the
evacuated one continues to serve.

A cold replica receives requests at the rate that :mod:`hornbeamglade.replicas.slowstart` allows.
It is cold for the time in its list entry, and for the slow start period of its service after the
evacuation of its failure domain ends.
"""

import collections.abc

from hornbeamglade.core import outcomes
from hornbeamglade.observability import logs
from hornbeamglade.replicas import (
    advisories,
    backoffs,
    models,
    ratelimits,
    refusals,
    replicalist,
    slowstart,
    startgate,
)
from hornbeamglade.replicas import evacuations as evacuationlib
from hornbeamglade.routes import models as routemodels

EVACUATED_RETRY_S = 0.3
MIN_COLD_RETRY_S = 0.05
MAX_WAITING_FOR_TRIAL = 1000
"""Requests that wait for the outcome of a trial, which takes half a second at most."""

MAX_NOTICE_AGE_S = 1.0
"""Replicas serve for two seconds or more after their notice, of which the list may tell late."""

ADDED = "added"
CHANGED = "changed"

ServiceByName = collections.abc.Mapping[str, routemodels.Service]


class Availability(startgate.StartGate):
    """Combines the list of replicas with evacuations, slow starts and rate limits.

    :param replicas: the list.
    :param slow_starts: spaces the requests to cold replicas.
    :param limits: the rate limits that replicas report.
    :param backoffs_by_replica: the times during which replicas accept no requests from here.
    :param guards: the replicas that tolerate few refusals.
    :param bound: the operator's bound on requests to cold replicas.
    :param region_by_failure_domain: the region of each failure domain.
    """

    def __init__(
        self,
        replicas: replicalist.ReplicaList,
        slow_starts: slowstart.SlowStarts,
        limits: ratelimits.RateLimits,
        backoffs_by_replica: backoffs.Backoffs,
        guards: refusals.RefusalGuards,
        bound: slowstart.Bound,
        region_by_failure_domain: collections.abc.Mapping[str, str],
    ) -> None:
        self.replicas = replicas
        self.evacuations = evacuationlib.Evacuations()
        self._slow_starts = slow_starts
        self._limits = limits
        self._backoffs = backoffs_by_replica
        self._guards = guards
        self._bound = bound
        self._region_by_failure_domain = region_by_failure_domain
        self._service_by_name: ServiceByName = {}
        self._instances = 1

    def configure(self, service_by_name: ServiceByName) -> None:
        """Set the services of a configuration."""
        self._service_by_name = service_by_name

    def set_bound(self, bound: slowstart.Bound) -> None:
        """Set another bound, which applies to replicas that become cold from now on."""
        self._bound = bound

    def set_position(self, position: int, instances: int) -> None:
        """Set the number of instances, and this instance's position among their sorted names."""
        self._instances = instances
        self._limits.set_position(position, instances)
        self._guards.set_instances(instances)

    def apply_evacuations(self, state: evacuationlib.Evacuations, now: float) -> frozenset[str]:
        """Apply a state of the evacuations; a state older than the current one is ignored.

        :param now: monotonic seconds.
        :returns: the failure domains whose evacuation began or ended with this state.
        """
        before = self.evacuations
        self.evacuations = before.newer(state)
        ended = before.domains - self.evacuations.domains
        for replica in self.replicas.by_id.values():
            if replica.failure_domain in ended:
                self._begin_slow_start(replica, None, "evacuation", now)
        return before.domains ^ self.evacuations.domains

    def list_changed(
        self, changes: collections.abc.Iterable[replicalist.ListChange], now: float
    ) -> None:
        """Begin the slow start of replicas whose added or changed entry marks them as cold."""
        for change in changes:
            if change.kind in (ADDED, CHANGED) and change.replica.warm_in_s > 0.0:
                self._begin_slow_start(change.replica, change.replica.warm_in_s, change.kind, now)

    def apply_advisory(self, replica_id: str, advisory: advisories.Advisory) -> None:
        """Apply what a replica states about its load in a response."""
        self._limits.update(replica_id, advisory.limit)
        self._backoffs.responded(replica_id, advisory.backoff)
        self._guards.responded(replica_id, advisory.tolerance, is_refusal=advisory.is_refusal)

    def limit_reported(self, replica_id: str, limit: ratelimits.RateLimit) -> None:
        """Record the rate limit in an engine's report."""
        self._limits.update(replica_id, limit)

    def request_sent(self, replica_id: str) -> None:
        """Record that a request is sent to a replica, whether or not its limit allows it."""
        self._limits.request_sent(replica_id)
        self._backoffs.request_sent(replica_id)

    def exchange_began(self, replica_id: str) -> None:
        """Record that a buffered response is requested from a replica."""
        self._guards.request_sent(replica_id)

    def exchange_ended(self, replica_id: str) -> None:
        """Record the end of a request for a buffered response."""
        self._guards.request_ended(replica_id)

    def send_wait_s(self, replica_id: str) -> float:
        """Return the seconds until this instance may send a request to a replica.

        The longest of the waits for the replica's limit, for the end of its backoff, and for its
        refusals to become rare enough.
        """
        return max(
            self._limits.wait_s(replica_id),
            self._backoffs.wait_s(replica_id),
            self._guards.wait_s(replica_id, self._slots(replica_id)),
        )

    def _slots(self, replica_id: str) -> int:
        replica = self.replicas.by_id.get(replica_id)
        return 0 if replica is None else replica.slots

    def send_slots_within(self, replica_id: str, seconds: float) -> int:
        """Return how many requests this instance may send to a restricted replica in a time.

        A replica without a limit takes as many as it has slots when its backoff ends, and any
        number once the trial has succeeded.
        """
        backoff_s = self._backoffs.wait_s(replica_id)
        if backoff_s > seconds:
            return 0
        if self._limits.limit(replica_id) is not None:
            return self._limits.send_slots_within(replica_id, seconds - backoff_s)
        guarded = self._guards.send_slots_within(replica_id, self._slots(replica_id), seconds)
        if guarded is not None:
            return guarded
        if not self._backoffs.is_active(replica_id):
            return MAX_WAITING_FOR_TRIAL
        return self._slots(replica_id)

    def is_restricted(self, replica_id: str) -> bool:
        """Return whether a replica has a limit or a backoff, also while it may be sent to."""
        return (
            self._limits.limit(replica_id) is not None
            or self._backoffs.is_known(replica_id)
            or self._guards.is_known(replica_id)
        )

    def still_accepts(self, replica_id: str) -> bool:
        """Return whether a request may be sent to a replica that was chosen for it earlier.

        The request itself may have taken the replica's send slot, or be the trial.
        """
        replica = self.replicas.by_id.get(replica_id)
        if replica is None or not self.accepts(replica):
            return False
        return not self._backoffs.is_active(replica_id) and not self._guards.is_paused(replica_id)

    def may_continue(self, replica_id: str, accepted_at: float, now: float) -> bool:
        """Return whether a stopped run may still continue at a replica that was chosen for it.

        Limits and pauses do not matter: the run would be lost while it waits. A replica that has
        begun to leave since takes requests for some time yet.

        :param accepted_at: monotonic time at which it was last known to accept runs.
        """
        replica = self.replicas.by_id.get(replica_id)
        if replica is not None and self.accepts(replica):
            return True
        return now - accepted_at <= MAX_NOTICE_AGE_S

    def retry_s(self, replica_id: str) -> float:
        """Return the seconds until a caller's retry may be sent to a restricted replica.

        A limit is shared by all instances, of which the retry may reach another one.
        """
        return max(
            self._limits.slot_interval_s(replica_id),
            self._backoffs.wait_s(replica_id),
            self._guards.wait_s(replica_id, self._slots(replica_id)),
        )

    def withheld(self, service: str) -> tuple[str, ...]:
        """Return the replicas of a service that this instance may not send to now.

        Only those that other instances may use: the ones with a limit or a backoff, and the
        ones that have stated to this instance that they are leaving.
        """
        stated = {
            *self._limits.replica_ids,
            *self._backoffs.replica_ids,
            *self._guards.replica_ids,
        }
        stated.update(self.replicas.leaving_by_statement)
        listed = (self.replicas.by_id.get(each) for each in sorted(stated))
        return tuple(
            each.id
            for each in listed
            if each is not None
            and each.service == service
            and (each.is_leaving or self.send_wait_s(each.id) > 0.0)
        )

    def limit(self, replica_id: str) -> ratelimits.RateLimit | None:
        """Return the limit that a replica reported last, or None."""
        return self._limits.limit(replica_id)

    def forget_ended(self, now: float) -> None:
        """Forget slow starts that have ended, and the limits of replicas that are gone."""
        self._slow_starts.forget_ended(now)
        known = self.replicas.by_id.keys() | self.replicas.departed_by_id.keys()
        self._limits.forget(known)
        self._backoffs.forget(known)
        self._guards.forget(known)

    def is_evacuated(self, replica: models.Replica) -> bool:
        """Return whether the operator has evacuated a replica's failure domain."""
        return replica.failure_domain in self.evacuations.domains

    def accepts(self, replica: models.Replica) -> bool:
        """Return whether a replica may receive new requests."""
        return not replica.is_leaving and not self.is_evacuated(replica)

    def usable(
        self, service: str, regions: frozenset[str] | None = None
    ) -> tuple[models.Replica, ...]:
        """Return the replicas of a service that may receive new requests.

        :param regions: the regions of the replicas, or None for all. A failure domain
            whose region is unknown is in none of them.
        """
        accepting = (each for each in self.replicas.of_service(service) if self.accepts(each))
        if regions is None:
            return tuple(accepting)
        region_of = self._region_by_failure_domain.get
        return tuple(each for each in accepting if region_of(each.failure_domain) in regions)

    def is_cold(self, replica_id: str, now: float) -> bool:
        """Return whether a replica is cold."""
        return self._slow_starts.is_cold(replica_id, now)

    def cold_wait_s(self, replica_id: str, now: float) -> float:
        """Return the seconds until a replica's slow start allows a request."""
        return self._slow_starts.wait_s(replica_id, now)

    def refusal(self, replica_id: str, now: float) -> outcomes.Refusal | None:
        """Return the refusal of a request if the replica is evacuated or cold, or None."""
        replica = self.replicas.by_id.get(replica_id)
        if replica is not None and self.is_evacuated(replica):
            detail = f"the failure domain {replica.failure_domain} is evacuated"
            return outcomes.Refusal(
                "replica_evacuated", 503, detail, retry_after_s=EVACUATED_RETRY_S
            )
        wait_s = self.cold_wait_s(replica_id, now)
        if wait_s <= 0.0:
            return None
        detail = f"replica {replica_id} has just started and takes few requests yet"
        retry_s = max(wait_s, MIN_COLD_RETRY_S)
        return outcomes.Refusal("replica_cold", 503, detail, retry_after_s=retry_s)

    def started(self, replica_id: str, now: float) -> None:
        """Record that a request is sent to a replica."""
        self._slow_starts.started(replica_id, now)

    def _begin_slow_start(
        self, replica: models.Replica, duration_s: float | None, reason: str, now: float
    ) -> None:
        """Start the slow start of a replica.

        :param duration_s: its duration, or None for the slow start period of the service.
        :param reason: the reason for the slow start, for the log.
        """
        service = self._service_by_name.get(replica.service)
        if service is None or service.slow_start is None:
            return
        if duration_s is None:
            duration_s = service.slow_start.duration_s
        bound_per_s = self._bound.per_s(service.slow_start.requests_per_s)
        if service.engine is not None:
            interval_s = slowstart.owned_interval_s(bound_per_s)
        else:
            interval_s = slowstart.shared_interval_s(bound_per_s, self._instances)
        is_new = self._slow_starts.begin(replica.id, now + duration_s, interval_s, now)
        # For an added replica the log line of the addition contains the time it is cold.
        if is_new and reason != ADDED:
            logs.state_changed(
                "replica_start",
                "warm",
                "cold",
                replica=replica.id,
                reason=reason,
                seconds=duration_s,
                wait_s=round(interval_s, 3),
            )
