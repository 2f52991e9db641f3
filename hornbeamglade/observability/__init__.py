"""Metrics, logs and the status page of an entry node."""

from hornbeamglade.observability.metrics import NodeMetrics
from hornbeamglade.observability.metricsinstruments import Counter, Gauge, Histogram
from hornbeamglade.observability.metricsregistry import Registry
from hornbeamglade.observability.metricsstream import StreamTimes

__all__ = ["Counter", "Gauge", "Histogram", "NodeMetrics", "Registry", "StreamTimes"]
