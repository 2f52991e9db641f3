"""Timing of one stream, recorded at little cost per token."""

from hornbeamglade.observability import metricsinstruments

DEFAULT_STALL_THRESHOLD_S = 0.25
FLUSH_EVERY = 64


class StreamTimes:
    """Time to first token, gaps between tokens and stall time of one stream.

    Explanation
    ===========

    Used only by the thread that relays the stream, so a token costs an append
    and no lock. Gaps are added to the shared histogram in batches. Stall time
    is the sum of the time by which each wait exceeds the threshold; the wait
    for the first token is not part of it.

    :param started: arrival time of the request, in seconds of the clock.
    :param gaps: the histogram series that gaps are added to, or None.
    :param stall_threshold_s: the longest gap that is not a stall.

    Examples
    ========

    >>> times = StreamTimes(0.0, stall_threshold_s=0.25)
    >>> for now in (0.4, 0.425, 1.0):
    ...     times.token(now)
    >>> times.finish(1.0)
    >>> round(times.time_to_first_token_s, 3), times.tokens, round(times.stall_s, 3)
    (0.4, 3, 0.325)
    """

    __slots__ = (
        "_gap_series",
        "_last",
        "_pending",
        "_started",
        "_threshold_s",
        "longest_gap_s",
        "stall_s",
        "time_to_first_token_s",
        "tokens",
    )

    def __init__(
        self,
        started: float,
        gaps: metricsinstruments.HistogramSeries | None = None,
        stall_threshold_s: float = DEFAULT_STALL_THRESHOLD_S,
    ) -> None:
        self._started = started
        self._gap_series = gaps
        self._threshold_s = stall_threshold_s
        self._last: float | None = None
        self._pending: list[float] = []
        self.time_to_first_token_s: float | None = None
        self.tokens = 0
        self.stall_s = 0.0
        self.longest_gap_s = 0.0

    def token(self, now: float) -> None:
        """Record that a token was delivered at ``now``."""
        last = self._last
        self._last = now
        if last is None:
            self.time_to_first_token_s = now - self._started
            self.tokens = 1
            return
        pending = self._pending
        pending.append(now - last)
        if len(pending) >= FLUSH_EVERY:
            self._flush()

    def finish(self, now: float) -> None:
        """Record that the stream ended at ``now``, complete or not.

        A stream that stalls and is then cut off has no later token that would show
        the wait. Without counting the last wait, the worst stalls would not be counted
        at all. It counts as a stall, but not as a gap between tokens.
        """
        self._flush()
        if self._last is not None:
            self.stall_s += max(0.0, now - self._last - self._threshold_s)

    def _flush(self) -> None:
        pending = self._pending
        if not pending:
            return
        self.tokens += len(pending)
        longest = max(pending)
        if longest > self.longest_gap_s:
            self.longest_gap_s = longest
        threshold_s = self._threshold_s
        if longest > threshold_s:
            self.stall_s += sum(gap - threshold_s for gap in pending if gap > threshold_s)
        if self._gap_series is not None:
            self._gap_series.record_many(pending)
        self._pending = []
