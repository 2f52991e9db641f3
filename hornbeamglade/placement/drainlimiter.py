"""Limits how many replicas of a pool drain at the same time."""

import math

from hornbeamglade.placement import placementsettings

_SMOOTHING = 0.1
_EXTRA_DRAINS = 1


class DrainLimiter:
    """Limits concurrent drains by the measured durations of drains and loads.

    Explanation
    ===========

    A closed replica drains until its longest stream has ended, which takes minutes,
    and then waits for the weight store. By Little's law, a weight store that loads
    ``r`` replicas per second is kept busy while ``r * drain_s`` replicas drain. With
    more, drained replicas wait idle; with fewer, the weight store is idle. See
    ``docs/PLACEMENT.md`` for figures of this limit and of a fixed one.

    Examples
    ========

    >>> settings = placementsettings.PlacementSettings(first_drain_s=60.0)
    >>> limiter = DrainLimiter(settings)
    >>> limiter.limit(cost=1.0)
    5
    >>> for _ in range(50):
    ...     limiter.record_drain(180.0)
    >>> limiter.limit(cost=1.0)
    13
    """

    def __init__(self, settings: placementsettings.PlacementSettings) -> None:
        self._load_rate = settings.load_rate
        self._drain_s = settings.first_drain_s
        self._load_s = settings.first_load_s

    def record_drain(self, seconds: float) -> None:
        """Record how long a closed replica took to drain."""
        self._drain_s += _SMOOTHING * (seconds - self._drain_s)

    def record_load(self, seconds: float) -> None:
        """Record how long an engine took to load."""
        self._load_s += _SMOOTHING * (seconds - self._load_s)

    def limit(self, cost: float) -> float:
        """Return how many replicas may be closed without having got their order.

        :param cost: the loads that one replica needs; at 0 there is no limit.
        """
        if cost <= 0:
            return math.inf
        by_rate = self._load_rate.loads_per_s / cost
        by_slots = self._load_rate.max_loading / max(self._load_s, 1.0)
        return math.ceil(min(by_rate, by_slots) * self._drain_s) + _EXTRA_DRAINS
