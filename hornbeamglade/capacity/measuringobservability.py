"""Measures the cost of metrics and of their label sets."""

import collections.abc

from hornbeamglade.capacity import fits, profiling, samplesite, slopes
from hornbeamglade.observability import metrics

GROUP = "observability"
_SERVICE_COUNTS = (4, 8, 16, 32)
_TEAM_COUNTS = (100, 200, 400, 800)
_CARRIER = "observability/metrics.py"


def measure() -> collections.abc.Iterator[slopes.Slope]:
    """Measure the group."""
    for key, cost, over, counts, read in (
        (
            "metrics.service_bytes",
            "bytes of the series of services",
            "services",
            _SERVICE_COUNTS,
            lambda n: profiling.held_bytes(lambda: _metrics(n, 0)),
        ),
        (
            "metrics.team_bytes",
            "bytes of the counters of refusals",
            "teams that were refused, by one code",
            _TEAM_COUNTS,
            lambda n: profiling.held_bytes(lambda: _metrics(1, n)),
        ),
        (
            "metrics.page_us",
            "processor us of one reading of /metrics",
            "teams that were refused, by one code",
            _TEAM_COUNTS,
            lambda n: profiling.cpu_us(_metrics(3, n).exposition),
        ),
        (
            "metrics.page_bytes",
            "bytes of /metrics",
            "teams that were refused, by one code",
            _TEAM_COUNTS,
            lambda n: len(_metrics(3, n).exposition()),
        ),
    ):
        points = tuple(fits.Point(size, float(read(size))) for size in counts)
        yield slopes.Slope(key, GROUP, cost, over, _CARRIER, points)


def _metrics(services: int, teams: int) -> metrics.NodeMetrics:
    node = metrics.NodeMetrics()
    for number in range(services):
        name = f"service-{number}"
        times = node.stream_times(name, started=0.0)
        for token in range(60):
            times.token(0.2 + token * 0.026)
        node.stream_finished(name, times, now=2.0)
        node.requests.add(labels=(name, "finished"))
    for number in range(teams):
        node.refusals.add(labels=("team_limit", samplesite.team_name(number)))
    return node
