"""The registry of a process's instruments, and their exposition as text."""

import typing

from hornbeamglade.observability import metricsinstruments

PREFIX = "hornbeamglade_"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

WAIT_BOUNDS_S = (
    *(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5),
    *(5.0, 10.0, 30.0, 60.0, 300.0, 900.0),
)


_Instrument = typing.TypeVar("_Instrument", bound=metricsinstruments.Instrument)


class Registry:
    """Named instruments and their exposition.

    Examples
    ========

    >>> registry = Registry()
    >>> drops = registry.counter("exchange_drops_total", "Dropped datagrams.", ("reason",))
    >>> drops.add(labels=("too_old",))
    >>> b'hornbeamglade_exchange_drops_total{reason="too_old"} 1.0' in registry.exposition()
    True
    """

    def __init__(self) -> None:
        self._instrument_by_name: dict[str, metricsinstruments.Instrument] = {}

    def counter(
        self, name: str, help_text: str, label_names: metricsinstruments.Labels = ()
    ) -> metricsinstruments.Counter:
        """Add a counter; ``name`` is given without the common prefix."""
        return self._add(metricsinstruments.Counter(PREFIX + name, help_text, label_names))

    def gauge(
        self, name: str, help_text: str, label_names: metricsinstruments.Labels = ()
    ) -> metricsinstruments.Gauge:
        """Add a gauge; ``name`` is given without the common prefix."""
        return self._add(metricsinstruments.Gauge(PREFIX + name, help_text, label_names))

    def histogram(
        self,
        name: str,
        help_text: str,
        label_names: metricsinstruments.Labels = (),
        *,
        bounds_s: tuple[float, ...] = WAIT_BOUNDS_S,
    ) -> metricsinstruments.Histogram:
        """Add a histogram of seconds; ``name`` is given without the common prefix."""
        return self._add(
            metricsinstruments.Histogram(PREFIX + name, help_text, label_names, bounds_s=bounds_s)
        )

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # Imported on first use: an instance is scraped only once it serves.
        from hornbeamglade.observability import metricsexposition

        return metricsexposition.text(self._instrument_by_name.values())

    def _add(self, instrument: _Instrument) -> _Instrument:
        if instrument.name in self._instrument_by_name:
            raise ValueError(f"the metric {instrument.name} exists already")
        self._instrument_by_name[instrument.name] = instrument
        return instrument
