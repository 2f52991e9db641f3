"""Metrics of an entry node."""

from hornbeamglade.observability import (
    metricsprocess,
    metricsregistry,
    metricsrouted,
    metricsstream,
)

# Engines produce a token every 25 to 30 ms, so the bounds are closest in that range.
GAP_BOUNDS_S = (
    *(0.005, 0.01, 0.02, 0.025, 0.03, 0.035, 0.04, 0.05, 0.075, 0.1),
    *(0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0),
)


class NodeMetrics:
    """The metrics that an entry node records.

    Explanation
    ===========

    Histograms are labelled by service only: a series takes 27 KB, and a node
    serves thousands of teams. Only counters have a team label, and its values
    must be names from the configuration, never text from a caller.

    :param stall_threshold_s: the longest gap between tokens that is not a stall.

    Examples
    ========

    >>> node = NodeMetrics()
    >>> times = node.stream_times("draft", started=0.0)
    >>> for now in (0.2, 0.226, 0.252):
    ...     times.token(now)
    >>> node.stream_finished("draft", times, now=0.252)
    >>> node.token_gap_s.series(("draft",)).count
    2
    """

    def __init__(self, stall_threshold_s: float = metricsstream.DEFAULT_STALL_THRESHOLD_S) -> None:
        self._stall_threshold_s = stall_threshold_s
        self.registry = metricsregistry.Registry()
        self._add_stream_instruments()
        self._add_request_instruments()
        self._add_node_instruments()
        self.routed = metricsrouted.RoutedMetrics(self.registry)

    def _add_stream_instruments(self) -> None:
        add = self.registry.histogram
        by_service = ("service",)
        self.stall_s = add(
            "stream_stall_seconds",
            "Time of each stream spent in gaps, beyond the threshold.",
            by_service,
        )
        self.token_gap_s = add(
            "token_gap_seconds",
            "Gaps between tokens delivered to a caller.",
            by_service,
            bounds_s=GAP_BOUNDS_S,
        )
        self.time_to_first_token_s = add(
            "time_to_first_token_seconds",
            "From a request's arrival to its first delivered token.",
            by_service,
        )
        self.tokens = self.registry.counter(
            "tokens_total", "Tokens delivered to callers.", by_service
        )
        self.preemptions_seen = self.registry.counter(
            "preemptions_seen_total",
            "Streams that an engine stopped computing after their first token.",
            by_service,
        )
        self.resumes = self.registry.counter(
            "resumes_total", "Lost links of streams, by what came of them.", ("service", "outcome")
        )
        self.streams_in_flight = self.registry.gauge(
            "streams_in_flight", "Streams open now.", by_service
        )

    def _add_request_instruments(self) -> None:
        self.requests = self.registry.counter(
            "requests_total", "Requests by final outcome.", ("service", "outcome")
        )
        self.refusals = self.registry.counter(
            "refusals_total", "Refused requests.", ("code", "team")
        )
        self.requests_waiting = self.registry.gauge(
            "requests_waiting", "Requests admitted to the queue, not yet dispatched.", ("service",)
        )
        self.call_s = self.registry.histogram(
            "service_call_seconds",
            "From a plain service's request to the end of its answer.",
            ("service",),
        )

    def _add_node_instruments(self) -> None:
        self.platform_outcomes = self.registry.counter(
            "platform_outcomes_total",
            "Calls to the platform by outcome.",
            ("operation", "outcome"),
        )
        self.exchange_drops = self.registry.counter(
            "exchange_drops_total", "Datagrams between nodes that were dropped.", ("reason",)
        )
        self.config_revision = self.registry.gauge(
            "config_revision", "Revision of the configuration in force."
        )
        self.state_changes = self.registry.counter(
            "state_changes_total", "Changes of state, each of which is a log line.", ("subject",)
        )
        self.log_lines_dropped = self.registry.counter(
            "log_lines_dropped_total", "Log lines lost because their reader stood still."
        )
        self.process_cpu_s = self.registry.counter(
            "process_cpu_seconds_total", "Processor time of the process."
        )
        self.process_resident_bytes = self.registry.gauge(
            "process_resident_memory_bytes", "Resident memory of the process."
        )
        self.process_threads = self.registry.gauge(
            "process_threads", "Live threads of the process."
        )

    def stream_times(self, service: str, started: float) -> metricsstream.StreamTimes:
        """Return a recorder for one stream of ``service``.

        :param started: arrival time of the request, in seconds of the clock.
        """
        gaps = self.token_gap_s.series((service,))
        return metricsstream.StreamTimes(started, gaps, self._stall_threshold_s)

    def stream_finished(
        self,
        service: str,
        times: metricsstream.StreamTimes,
        now: float,
        *,
        tokens_per_event: int = 1,
    ) -> None:
        """Add a finished stream to the metrics; call once, however the stream ended.

        :param tokens_per_event: tokens in each recorded event.
        """
        times.finish(now)
        if times.time_to_first_token_s is None:
            return
        labels = (service,)
        self.time_to_first_token_s.record(times.time_to_first_token_s, labels)
        self.stall_s.record(times.stall_s, labels)
        self.tokens.add(times.tokens * tokens_per_event, labels)

    def exposition(self) -> bytes:
        """Return all metrics in text form, with current values of CPU, memory and threads."""
        usage = metricsprocess.read_usage()
        self.process_cpu_s.set_total(usage.cpu_s)
        self.process_resident_bytes.set(usage.resident_bytes)
        self.process_threads.set(usage.threads)
        return self.registry.exposition()
