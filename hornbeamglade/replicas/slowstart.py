"""Slow start: rate limiting of requests to cold replicas without coordination of instances.

Explanation
===========

A replica that has just started can handle few requests per second, and crashes at much higher
rates. The operator's bound applies to the sum over all instances, including partitioned ones,
while all of them see a new, empty and therefore preferred replica at the same moment.

Each instance spaces its own requests to a cold replica: with ``n`` instances, it sends one every
``n / (INSTANCE_SHARE * bound)`` seconds, the first after a random part of that time. The sum is
then :data:`INSTANCE_SHARE` of the bound on average, and the random offsets prevent bursts. Where
one owner admits requests for all instances, it uses :data:`OWNER_SHARE` of the bound, since
another instance may consider itself the owner at the same time, and migrated runs arrive in
addition.

Alternatives considered: *an owner for each plain service that grants permissions* (a round
trip before each request, and a second rule for the loss of the owner); *the load that the replica
reports* (reports are received with responses, after the burst has arrived).
"""

import dataclasses
import random

INSTANCE_SHARE = 0.3
"""Both parts of a partitioned site may use this share; the rest of the bound allows for bursts."""

OWNER_SHARE = 1 / 3
MIN_INSTANCES = 6
"""The minimum assumed number, since an instance that has just started may only know of itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """The operator's bound on requests to a cold replica, relative to the rate of its service.

    :param overage: the factor applied to the rate.
    :param tolerance: requests per second allowed in addition.
    """

    overage: float = 1.0
    tolerance: float = 0.0

    def per_s(self, rate_per_s: float) -> float:
        """Return the bound in requests per second over all instances.

        Examples
        ========

        >>> Bound(overage=1.5, tolerance=5).per_s(21)
        36.5
        """
        return rate_per_s * self.overage + self.tolerance


def shared_interval_s(bound_per_s: float, instances: int) -> float:
    """Return the seconds between one instance's requests to a replica shared by all instances.

    Examples
    ========

    >>> round(shared_interval_s(36.5, 64), 2)
    5.84
    """
    return max(instances, MIN_INSTANCES) / (INSTANCE_SHARE * bound_per_s)


def owned_interval_s(bound_per_s: float) -> float:
    """Return the seconds between the grants of a replica's owner.

    Examples
    ========

    >>> round(owned_interval_s(36.5), 3)
    0.082
    """
    return 1.0 / (OWNER_SHARE * bound_per_s)


@dataclasses.dataclass(slots=True)
class _ColdReplica:
    ends_at: float
    interval_s: float
    next_at: float


class SlowStarts:
    """The cold replicas known to one instance.

    :param rng: source of randomness for the offset of the first request to each replica.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._cold_by_id: dict[str, _ColdReplica] = {}

    def begin(self, replica_id: str, ends_at: float, interval_s: float, now: float) -> bool:
        """Treat a replica as cold until ``ends_at``; return whether it was not cold before.

        :param interval_s: seconds between this instance's requests to it.
        """
        known = self._find(replica_id, now)
        if known is not None:
            known.ends_at = max(known.ends_at, ends_at)
            return False
        first_at = now + self._rng.random() * interval_s
        self._cold_by_id[replica_id] = _ColdReplica(ends_at, interval_s, first_at)
        return True

    def is_cold(self, replica_id: str, now: float) -> bool:
        """Return whether a replica is cold."""
        return self._find(replica_id, now) is not None

    def wait_s(self, replica_id: str, now: float) -> float:
        """Return the seconds until a request may be sent to a replica; 0 if it may now."""
        known = self._find(replica_id, now)
        return 0.0 if known is None else max(0.0, min(known.next_at, known.ends_at) - now)

    def started(self, replica_id: str, now: float) -> None:
        """Record that a request is sent to a replica."""
        known = self._find(replica_id, now)
        if known is not None:
            known.next_at = max(now, known.next_at) + known.interval_s

    def forget_ended(self, now: float) -> None:
        """Forget the replicas that are no longer cold, including those not queried any more."""
        for replica_id in tuple(self._cold_by_id):
            self._find(replica_id, now)

    @property
    def count(self) -> int:
        """How many replicas are stored."""
        return len(self._cold_by_id)

    def _find(self, replica_id: str, now: float) -> _ColdReplica | None:
        known = self._cold_by_id.get(replica_id)
        if known is not None and now >= known.ends_at:
            del self._cold_by_id[replica_id]
            return None
        return known
