"""Thread-safe counters, gauges and histograms.

Explanation
===========

Each instrument keeps one series per tuple of label values, in the order of its
label names. Histograms are HDR histograms [1]_ of microseconds with two
significant digits: about 27 KB per series, whatever is recorded.

References
==========

.. [1] G. Tene, HdrHistogram: a high dynamic range histogram, 2014.
"""

import collections.abc
import dataclasses
import threading

from hdrh import histogram as hdrhistogram

MAX_SERIES = 2000
MAX_HISTOGRAM_SERIES = 100
OVERFLOW_LABEL = "other"

_MICROSECONDS = 1_000_000
_HIGHEST_US = 3600 * _MICROSECONDS
_SIGNIFICANT_DIGITS = 2

Labels = tuple[str, ...]


class Instrument:
    """A named metric with one series per tuple of label values.

    :param name: the exposed name, with its unit as suffix.
    :param help_text: the help text, one sentence.
    :param label_names: the names of the labels, in the order of their values.
    """

    max_series = MAX_SERIES

    def __init__(self, name: str, help_text: str, label_names: Labels = ()) -> None:
        self.name = name
        self.help_text = help_text
        self.label_names = label_names
        self._lock = threading.Lock()

    def _limit_series(self, labels: Labels, known: collections.abc.Mapping) -> Labels:
        """Return ``labels``, or those of the overflow series when there are too many series.

        Label values that callers can choose would otherwise grow the process's memory
        without bound, slowly, until the instance is killed. Merging new series into one
        keeps the totals correct.
        """
        if labels in known or len(known) < self.max_series:
            return labels
        return (OVERFLOW_LABEL,) * len(self.label_names)


class _ScalarInstrument(Instrument):
    """Base class of counters and gauges: one number per series."""

    def __init__(self, name: str, help_text: str, label_names: Labels = ()) -> None:
        super().__init__(name, help_text, label_names)
        self._value_by_labels: dict[Labels, float] = {}

    def add(self, amount: float = 1, labels: Labels = ()) -> None:
        """Add ``amount`` to the series of ``labels``."""
        with self._lock:
            key = self._limit_series(labels, self._value_by_labels)
            self._value_by_labels[key] = self._value_by_labels.get(key, 0) + amount

    def value(self, labels: Labels = ()) -> float:
        """Return the value of a series; 0 when nothing was recorded."""
        with self._lock:
            return self._value_by_labels.get(labels, 0)

    def total(self) -> float:
        """Return the sum over all series."""
        with self._lock:
            return sum(self._value_by_labels.values())

    def value_by_labels(self) -> dict[Labels, float]:
        """Return a copy of all series."""
        with self._lock:
            return dict(self._value_by_labels)


class Counter(_ScalarInstrument):
    """A value that only increases.

    Examples
    ========

    >>> refusals = Counter("hornbeamglade_refusals_total", "Refusals.", ("code", "team"))
    >>> refusals.add(labels=("queue_full", "lakeside"))
    >>> refusals.value(("queue_full", "lakeside"))
    1
    """

    def set_total(self, value: float, labels: Labels = ()) -> None:
        """Set the series to a total that is counted elsewhere."""
        with self._lock:
            self._value_by_labels[labels] = value


class Gauge(_ScalarInstrument):
    """A value that can go up and down."""

    def set(self, value: float, labels: Labels = ()) -> None:
        """Set the value of a series."""
        with self._lock:
            key = self._limit_series(labels, self._value_by_labels)
            self._value_by_labels[key] = value


@dataclasses.dataclass(frozen=True, slots=True)
class CumulativeCounts:
    """A consistent snapshot of a histogram series, with cumulative buckets.

    :param below: number of values at or below each requested bound.
    :param count: number of all values.
    :param sum_s: sum of the values in seconds.
    """

    below: tuple[int, ...]
    count: int
    sum_s: float


class HistogramSeries:
    """One series of a histogram, in seconds.

    Examples
    ========

    >>> gaps = HistogramSeries()
    >>> gaps.record_many([0.026, 0.026, 0.5])
    >>> gaps.count, round(gaps.quantile(0.5), 3)
    (3, 0.026)
    """

    def __init__(self) -> None:
        self._histogram = hdrhistogram.HdrHistogram(1, _HIGHEST_US, _SIGNIFICANT_DIGITS)
        self._sum_s = 0.0
        self._lock = threading.Lock()

    @property
    def count(self) -> int:
        """Number of recorded values."""
        return self._histogram.total_count

    @property
    def sum_s(self) -> float:
        """Sum of the recorded values, in seconds."""
        return self._sum_s

    def record(self, seconds: float) -> None:
        """Record one value."""
        self.record_many((seconds,))

    def record_many(self, seconds: collections.abc.Sequence[float]) -> None:
        """Record a batch of values under one lock.

        Values outside the histogram's range are clamped to it: the library would
        drop them silently, and the longest stall, the most important value, would
        be missing from the count.
        """
        record_value = self._histogram.record_value
        with self._lock:
            for value in seconds:
                record_value(min(max(int(value * _MICROSECONDS), 0), _HIGHEST_US))
            self._sum_s += sum(seconds)

    def quantile(self, fraction: float) -> float:
        """Return the value in seconds that ``fraction`` of the values do not exceed."""
        with self._lock:
            return self._histogram.get_value_at_percentile(fraction * 100) / _MICROSECONDS

    def max_s(self) -> float:
        """Return the largest value in seconds."""
        with self._lock:
            return self._histogram.get_max_value() / _MICROSECONDS

    def cumulative(self, bounds_s: tuple[float, ...]) -> CumulativeCounts:
        """Return how many values are at or below each bound.

        :param bounds_s: ascending bounds in seconds, each exact to the
            histogram's resolution of 1 %.
        """
        with self._lock:
            counts = self._histogram.counts[:]
            total = self._histogram.total_count
            sum_s = self._sum_s
        below = []
        start = 0
        seen = 0
        for bound in bounds_s:
            end = self._histogram.get_counts_array_index(int(bound * _MICROSECONDS)) + 1
            seen += sum(counts[start:end])
            start = end
            below.append(seen)
        return CumulativeCounts(tuple(below), total, sum_s)


class Histogram(Instrument):
    """A histogram of durations in seconds.

    :param bounds_s: ascending bucket bounds of the exposition, in seconds.
    """

    max_series = MAX_HISTOGRAM_SERIES

    def __init__(
        self,
        name: str,
        help_text: str,
        label_names: Labels = (),
        *,
        bounds_s: tuple[float, ...],
    ) -> None:
        super().__init__(name, help_text, label_names)
        self.bounds_s = bounds_s
        self._series_by_labels: dict[Labels, HistogramSeries] = {}

    def series(self, labels: Labels = ()) -> HistogramSeries:
        """Return the series of ``labels``; keep the result on a hot path."""
        with self._lock:
            key = self._limit_series(labels, self._series_by_labels)
            series = self._series_by_labels.get(key)
            if series is None:
                series = self._series_by_labels[key] = HistogramSeries()
            return series

    def record(self, seconds: float, labels: Labels = ()) -> None:
        """Record one value in the series of ``labels``."""
        self.series(labels).record(seconds)

    def cumulative_by_labels(self) -> dict[Labels, CumulativeCounts]:
        """Return a snapshot of all series."""
        with self._lock:
            series_by_labels = dict(self._series_by_labels)
        return {
            labels: series.cumulative(self.bounds_s) for labels, series in series_by_labels.items()
        }
