import sys
import threading

import pytest

from hornbeamglade.observability import (
    metrics,
    metricsinstruments,
    metricsregistry,
    metricsstream,
)


def _sample(text, name):
    return [line for line in text.decode().splitlines() if line.startswith(name)]


def test_buckets_are_cumulative_and_end_in_the_count():
    registry = metricsregistry.Registry()
    gaps = registry.histogram("gap_seconds", "Gaps.", ("service",), bounds_s=(0.03, 0.1, 1.0))
    gaps.series(("draft",)).record_many([0.026, 0.026, 0.05, 7.0])
    lines = _sample(registry.exposition(), "hornbeamglade_gap_seconds")
    assert [line.rsplit(" ", 1)[1] for line in lines] == [
        "2.0",
        "3.0",
        "3.0",
        "4.0",
        "4.0",
        "7.102",
    ]


def test_a_wait_beyond_the_range_is_still_counted():
    # Guards against a stall count without the longest stall, of over an hour: the
    # histogram library silently drops values that are out of its range.
    series = metricsinstruments.HistogramSeries()
    series.record_many([0.026, 5 * 3600.0])
    assert series.count == 2
    assert series.max_s() >= 3600


def test_label_values_do_not_grow_memory_without_bound():
    # Guards against memory that grows over days until the node is killed: callers
    # choose a label's value, and each new value makes a new series.
    refusals = metricsinstruments.Counter("refusals_total", "Refusals.", ("code",))
    for number in range(metricsinstruments.MAX_SERIES + 50):
        refusals.add(labels=(f"code-{number}",))
    assert len(refusals.value_by_labels()) <= metricsinstruments.MAX_SERIES + 1
    assert refusals.total() == metricsinstruments.MAX_SERIES + 50
    assert refusals.value((metricsinstruments.OVERFLOW_LABEL,)) == 50


@pytest.fixture
def frequent_thread_switches():
    previous = sys.getswitchinterval()
    sys.setswitchinterval(1e-6)
    yield
    sys.setswitchinterval(previous)


def test_threads_lose_no_record(frequent_thread_switches):
    # Guards against a lost update: the threads of two streams add to one sum, both
    # read the old value, and the metrics show fewer tokens than callers received.
    node = metrics.NodeMetrics()

    def relay():
        times = node.stream_times("draft", started=0.0)
        for number in range(1, 2001):
            times.token(number * 0.026)
        node.stream_finished("draft", times, now=2000 * 0.026)

    threads = [threading.Thread(target=relay) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    gaps = node.token_gap_s.series(("draft",))
    assert node.tokens.value(("draft",)) == 8 * 2000
    assert gaps.count == 8 * 1999
    assert gaps.sum_s == pytest.approx(8 * 1999 * 0.026)


def test_a_stream_without_a_token_has_no_times():
    node = metrics.NodeMetrics()
    times = node.stream_times("draft", started=0.0)
    node.stream_finished("draft", times, now=9.0)
    assert node.time_to_first_token_s.series(("draft",)).count == 0
    assert node.stall_s.series(("draft",)).count == 0


def test_stall_is_the_time_beyond_the_threshold():
    times = metricsstream.StreamTimes(0.0, stall_threshold_s=0.25)
    for now in (5.0, 5.25, 6.25, 6.75):
        times.token(now)
    times.finish(6.75)
    assert times.stall_s == pytest.approx(0.75 + 0.25)
    assert times.longest_gap_s == pytest.approx(1.0)


def test_a_stream_cut_off_in_a_stall_counts_the_stall():
    # The connection to the engine stalls for ten seconds and the node gives up. No
    # later token shows the wait, so the stall metric would be zero in the worst case.
    times = metricsstream.StreamTimes(0.0, stall_threshold_s=0.25)
    times.token(1.0)
    times.finish(11.25)
    assert times.stall_s == pytest.approx(10.0)


def test_the_process_usage_is_exposed():
    text = metrics.NodeMetrics().exposition()
    resident = _sample(text, "hornbeamglade_process_resident_memory_bytes")
    assert float(resident[0].rsplit(" ", 1)[1]) > 1_000_000
    assert _sample(text, "hornbeamglade_process_cpu_seconds_total")


def test_a_metric_name_can_be_added_only_once():
    registry = metricsregistry.Registry()
    registry.counter("drops_total", "Drops.")
    with pytest.raises(ValueError, match="exists already"):
        registry.gauge("drops_total", "Drops.")
