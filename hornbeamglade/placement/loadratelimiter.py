"""A token bucket that limits the rate of loads from the weight store."""

import collections.abc

from hornbeamglade.placement import placementsettings


class LoadRateLimiter:
    """A token bucket whose unit is one load from the weight store.

    Explanation
    ===========

    The bucket starts empty, because a new lease holder does not know which loads
    the former holder has just started. A load that costs more than the bucket holds
    is admitted when the bucket is full, and leaves it negative; otherwise it could
    never be admitted.

    :param settings: the rate and the size of the bucket.
    :param now: monotonic seconds.

    Examples
    ========

    >>> settings = placementsettings.LoadRateSettings(loads_per_s=0.5, burst=2.0)
    >>> limiter = LoadRateLimiter(settings, now=0.0)
    >>> [limiter.try_acquire(1.0, now=now) for now in (1.0, 2.0, 2.0)]
    [False, True, False]
    """

    def __init__(self, settings: placementsettings.LoadRateSettings, now: float) -> None:
        self._settings = settings
        self._tokens = 0.0
        self._refilled_at = now

    def cost(self, names: collections.abc.Iterable[str]) -> float:
        """Return the cost of loading these models and adapters, in loads."""
        size_by_name = self._settings.bytes_by_name
        one = self._settings.bytes_per_load
        return sum(size_by_name.get(name, one) / one for name in names)

    def try_acquire(self, cost: float, now: float) -> bool:
        """Take ``cost`` tokens if there are enough; a cost of 0 is always admitted."""
        if cost <= 0:
            return True
        settings = self._settings
        elapsed = max(0.0, now - self._refilled_at)
        self._tokens = min(settings.burst, self._tokens + elapsed * settings.loads_per_s)
        self._refilled_at = max(now, self._refilled_at)
        if self._tokens < min(cost, settings.burst):
            return False
        self._tokens -= cost
        return True
