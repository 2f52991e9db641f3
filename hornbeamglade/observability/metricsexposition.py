"""Exposition of metrics in the Prometheus text format.

Explanation
===========

This is the only module that uses the Prometheus client library, which is a large part of all
that an instance imports. It is imported at the first scrape, when the instance already serves.
"""

import collections.abc
import functools

import prometheus_client
from prometheus_client import core as prometheuscore

from hornbeamglade.observability import metricsinstruments

Instruments = collections.abc.Iterable[metricsinstruments.Instrument]


def text(instruments: Instruments) -> bytes:
    """Return the current values of instruments in the Prometheus text format.

    Examples
    ========

    >>> drops = metricsinstruments.Counter("drops_total", "Dropped datagrams.", ("reason",))
    >>> drops.add(labels=("too_old",))
    >>> b'drops_total{reason="too_old"} 1.0' in text([drops])
    True
    """
    registry = prometheus_client.CollectorRegistry(auto_describe=False)
    registry.register(_Collector(instruments))
    return prometheus_client.generate_latest(registry)


class _Collector:
    """Adapts the instruments to the client library's collector interface."""

    def __init__(self, instruments: Instruments) -> None:
        self._instruments = instruments

    def collect(self) -> collections.abc.Iterator[prometheuscore.Metric]:
        for instrument in list(self._instruments):
            yield _family(instrument)


@functools.singledispatch
def _family(instrument: metricsinstruments.Instrument) -> prometheuscore.Metric:
    """Convert an instrument to the client library's type."""
    raise NotImplementedError(type(instrument).__name__)


@_family.register
def _(instrument: metricsinstruments.Counter) -> prometheuscore.Metric:
    return _filled(prometheuscore.CounterMetricFamily, instrument)


@_family.register
def _(instrument: metricsinstruments.Gauge) -> prometheuscore.Metric:
    return _filled(prometheuscore.GaugeMetricFamily, instrument)


@_family.register
def _(instrument: metricsinstruments.Histogram) -> prometheuscore.Metric:
    family = prometheuscore.HistogramMetricFamily(
        instrument.name, instrument.help_text, labels=instrument.label_names
    )
    names = [str(bound) for bound in instrument.bounds_s]
    for labels, copy in sorted(instrument.cumulative_by_labels().items()):
        buckets = [*zip(names, copy.below, strict=True), ("+Inf", copy.count)]
        family.add_metric(labels, buckets, copy.sum_s)
    return family


def _filled(
    kind: type[prometheuscore.Metric],
    instrument: metricsinstruments.Counter | metricsinstruments.Gauge,
) -> prometheuscore.Metric:
    family = kind(instrument.name, instrument.help_text, labels=instrument.label_names)
    for labels, value in sorted(instrument.value_by_labels().items()):
        family.add_metric(labels, value)
    return family
