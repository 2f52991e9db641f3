"""Measures the pace of one stream at one engine from the times of its events."""

import collections
import dataclasses

COALESCED_S = 0.001
"""Events that are relayed within this time arrived in one piece."""

MAX_GAPS = 64
MIN_GAPS = 2
READY_EVENTS = 8
READY_S = 0.5
"""A first measurement is reported after this many events or seconds: an engine may be replaced
after some 20 s, so a later report would describe an engine that is gone."""

LOW_QUANTILE = 0.25
"""Concurrent prefill and busy machines prolong many gaps. A lower quantile would pick the short
gaps that follow a piece that arrived late."""

MICROSECONDS_PER_SECOND = 1_000_000
MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """The pace of one stream at one engine.

    :param token_us: microseconds per token, 0 if unknown.
    :param pause_ms: the longest pause between events since the previous measurement.
    """

    token_us: int = 0
    pause_ms: int = 0


def low_quantile(values: collections.abc.Iterable[float]) -> float:
    """Return the low quantile that stands for an engine's own speed."""
    ordered = sorted(values)
    return ordered[int(LOW_QUANTILE * (len(ordered) - 1))]


class PaceMeter:
    """Measures the times between the events of one stream.

    :param tokens_per_event: tokens in one event.

    Examples
    ========

    >>> meter = PaceMeter(tokens_per_event=4)
    >>> for now in (0.0, 0.04, 0.08, 0.2):
    ...     meter.record(now)
    >>> meter.take()
    Measurement(token_us=10000, pause_ms=120)
    >>> meter.take().pause_ms
    0
    """

    def __init__(self, tokens_per_event: int) -> None:
        self._tokens_per_event = tokens_per_event
        self._gaps_s: collections.deque[float] = collections.deque(maxlen=MAX_GAPS)
        self._started_at: float | None = None
        self._last_at = 0.0
        self._piece_gap_s = 0.0
        self._piece_events = 0
        self._event_count = 0
        self._longest_s = 0.0

    def record(self, now: float) -> None:
        """Record an event."""
        self._event_count += 1
        if self._started_at is None:
            self._started_at = self._last_at = now
            return
        gap_s = now - self._last_at
        if gap_s < COALESCED_S:
            self._piece_events += bool(self._piece_events)
            return
        self._end_piece()
        self._piece_gap_s, self._piece_events = gap_s, 1
        self._longest_s = max(self._longest_s, gap_s)
        self._last_at = now

    @property
    def is_ready(self) -> bool:
        """Whether enough events were recorded for a first report."""
        has_gaps = len(self._gaps_s) + bool(self._piece_events) >= MIN_GAPS
        is_long = self._started_at is not None and self._last_at - self._started_at >= READY_S
        return has_gaps and (self._event_count >= READY_EVENTS or is_long)

    def take(self) -> Measurement:
        """Return the measurement so far, and begin to measure the longest pause anew."""
        self._end_piece()
        longest_s, self._longest_s = self._longest_s, 0.0
        token_us = 0
        if len(self._gaps_s) >= MIN_GAPS:
            token_s = low_quantile(self._gaps_s) / self._tokens_per_event
            token_us = round(token_s * MICROSECONDS_PER_SECOND)
        return Measurement(token_us, round(longest_s * MILLISECONDS_PER_SECOND))

    def _end_piece(self) -> None:
        if self._piece_events:
            self._gaps_s.append(self._piece_gap_s / self._piece_events)
        self._piece_events = 0
