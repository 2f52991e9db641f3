"""How many requests a cold replica may get, without a word between instances.

Explanation
===========

A replica that has just started takes few requests a second, and crashes well above that. The
operator's bound is on the sum over all instances, those that are cut off included, while each
of them sees a new, empty and therefore attractive replica at the same moment.

Each instance spaces its own requests to a cold replica: with ``n`` instances, one each
``n / (SHARE * bound)`` seconds, the first after a random part of that. So the sum is
:data:`SHARE` of the bound on average, and the random beginnings keep it from bunching. Where
one owner admits for all instances, it takes :data:`OWNER_SHARE` of the bound for itself:
another instance may believe that it is the owner, and runs that are moved arrive besides.

Weighed against an owner for each plain service, which hands out leave: that takes a round trip
before each request and a second rule for when the owner is away. Against counting what the
replica says of its load: its word comes with answers, after the crowd has arrived.
"""

import dataclasses
import random

SHARE = 0.3
"""Two parts of a site that are cut off from each other may both take it; the rest of the bound is
for what bunches."""

OWNER_SHARE = 1 / 3
FEWEST_INSTANCES = 6
"""An instance that has just started may know of itself only."""


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """The operator's bound on a cold replica's requests, beside the rate of its service.

    :param overage: times the rate.
    :param tolerance: requests a second beyond that.
    """

    overage: float = 1.0
    tolerance: float = 0.0

    def per_s(self, rate_per_s: float) -> float:
        """Return requests a second, over all instances.

        Examples
        ========

        >>> Bound(overage=1.5, tolerance=5).per_s(21)
        36.5
        """
        return rate_per_s * self.overage + self.tolerance


def shared_interval_s(bound_per_s: float, instances: int) -> float:
    """Return the seconds between one instance's requests to a replica that all send to.

    Examples
    ========

    >>> round(shared_interval_s(36.5, 64), 2)
    5.84
    """
    return max(instances, FEWEST_INSTANCES) / (SHARE * bound_per_s)


def owned_interval_s(bound_per_s: float) -> float:
    """Return the seconds between the grants of a replica's owner.

    Examples
    ========

    >>> round(owned_interval_s(36.5), 3)
    0.082
    """
    return 1.0 / (OWNER_SHARE * bound_per_s)


@dataclasses.dataclass(slots=True)
class _Cold:
    ends_at: float
    interval_s: float
    next_at: float


class SlowStarts:
    """The cold replicas that one instance knows of.

    :param rng: where each replica's spacing begins.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._cold_by_id: dict[str, _Cold] = {}

    def begin(self, replica_id: str, ends_at: float, interval_s: float, now: float) -> bool:
        """Take a replica for cold until ``ends_at``; return whether that is new.

        :param interval_s: seconds between this instance's requests to it.
        """
        known = self._cold(replica_id, now)
        if known is not None:
            known.ends_at = max(known.ends_at, ends_at)
            return False
        first_at = now + self._rng.random() * interval_s
        self._cold_by_id[replica_id] = _Cold(ends_at, interval_s, first_at)
        return True

    def is_cold(self, replica_id: str, now: float) -> bool:
        """Tell whether a replica is cold."""
        return self._cold(replica_id, now) is not None

    def wait_s(self, replica_id: str, now: float) -> float:
        """Return the seconds until a request may go to a replica; 0 when it may now."""
        known = self._cold(replica_id, now)
        return 0.0 if known is None else max(0.0, min(known.next_at, known.ends_at) - now)

    def started(self, replica_id: str, now: float) -> None:
        """Note that a request goes to a replica."""
        known = self._cold(replica_id, now)
        if known is not None:
            known.next_at = max(now, known.next_at) + known.interval_s

    def forget_warm(self, now: float) -> None:
        """Forget the replicas that are cold no more, also those that nobody asks about."""
        for replica_id in tuple(self._cold_by_id):
            self._cold(replica_id, now)

    @property
    def count(self) -> int:
        """How many replicas are remembered."""
        return len(self._cold_by_id)

    def _cold(self, replica_id: str, now: float) -> _Cold | None:
        known = self._cold_by_id.get(replica_id)
        if known is not None and now >= known.ends_at:
            del self._cold_by_id[replica_id]
            return None
        return known
