"""How many requests of each priority have started lately."""

import collections

WINDOW_S = 2.0
"""Long enough for some starts of each class in a surge, and a fraction of an engine's life."""

MAX_STARTS = 512


class RecentStarts:
    """The starts of requests within the last :data:`WINDOW_S`.

    Examples
    ========

    >>> starts = RecentStarts()
    >>> starts.record(3, now=0.0)
    >>> starts.record(3, now=1.5)
    >>> starts.count_by_priority(now=1.9)[3], starts.count_by_priority(now=2.5)[3]
    (2, 1)
    """

    def __init__(self) -> None:
        self._starts: collections.deque[tuple[float, int]] = collections.deque(maxlen=MAX_STARTS)

    def record(self, priority: int, now: float) -> None:
        """Record that a request started."""
        self._starts.append((now, priority))

    def count_by_priority(self, now: float) -> collections.Counter[int]:
        """Return the number of recent starts of each priority."""
        while self._starts and now - self._starts[0][0] > WINDOW_S:
            self._starts.popleft()
        return collections.Counter(priority for _, priority in self._starts)
