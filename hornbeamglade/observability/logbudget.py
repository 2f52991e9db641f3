"""Rate limit on the log lines that a process writes about requests."""

LINES_PER_S = 500.0
"""A node of the target size answers 20 requests a second and writes three lines for each. Ten
times that load exceeds the limit by 100 lines a second, which ``BURST`` covers for ten seconds.
More lines would cost a twentieth of a core and bury those that an operator looks for."""

BURST = 1000.0


class LineRateLimiter:
    """A token bucket for log lines.

    :param per_s: sustained rate, in lines per second.
    :param burst: lines that may be written at once.

    Examples
    ========

    >>> budget = LineRateLimiter(per_s=1.0, burst=2.0)
    >>> [budget.take(now) for now in (0.0, 0.0, 0.0, 1.0)]
    [True, True, False, True]
    """

    def __init__(self, per_s: float = LINES_PER_S, burst: float = BURST) -> None:
        self._per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at: float | None = None

    def take(self, now: float) -> bool:
        """Take one token; return False when the bucket is empty.

        :param now: monotonic time, in seconds.
        """
        if self._refilled_at is not None:
            self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) * self._per_s)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
