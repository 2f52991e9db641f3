"""How many lines on requests a process writes in a second."""

LINES_PER_S = 500.0
"""A node of the target size answers 20 requests a second with three lines each. A crowd of
ten times that is still told in full; more would cost a twentieth of a core and hide what
an operator looks for."""

BURST = 1000.0


class LineRateLimiter:
    """A token bucket for lines.

    :param per_s: lines a second in the long run.
    :param burst: lines at once.

    Examples
    ========

    >>> budget = LineRateLimiter(per_s=1.0, burst=2.0)
    >>> [budget.take(now) for now in (0.0, 0.0, 0.0, 1.0)]
    [True, True, False, True]
    """

    def __init__(self, per_s: float = LINES_PER_S, burst: float = BURST) -> None:
        self._per_s = per_s
        self._burst = burst
        self._left = burst
        self._at: float | None = None

    def take(self, now: float) -> bool:
        """Take leave for one line; return whether there was any.

        :param now: monotonic seconds.
        """
        if self._at is not None:
            self._left = min(self._burst, self._left + (now - self._at) * self._per_s)
        self._at = now
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
