"""Metrics that only entry instances have, besides those common to all nodes."""

from hornbeamglade.observability import metricsinstruments, metricsregistry


class RoutedMetrics:
    """Metrics of routed requests.

    Label values are service names and this program's own codes, so the number of series
    is bounded by the configuration.

    :param registry: the registry that exposes them.

    Examples
    ========

    >>> routed = RoutedMetrics(metricsregistry.Registry())
    >>> routed.retries.add(labels=("mail", "made"))
    >>> routed.retries.value(("mail", "made"))
    1
    """

    def __init__(self, registry: metricsregistry.Registry) -> None:
        self.placement_s: metricsinstruments.Histogram = registry.histogram(
            "placement_seconds",
            "From a request's look for an engine to its grant there, waits included.",
            ("service", "outcome"),
        )
        self.retries: metricsinstruments.Counter = registry.counter(
            "retries_total",
            "Attempts beyond a request's first: made, denied by the budget, or resumed runs.",
            ("service", "outcome"),
        )
        self.moves: metricsinstruments.Counter = registry.counter(
            "moves_total", "Runs that were to leave their engine, by outcome.", ("outcome",)
        )
        self.failed_attempts: metricsinstruments.Counter = registry.counter(
            "failed_attempts_total",
            "Attempts that a replica refused or did not answer whole, streams apart.",
            ("service", "code"),
        )
        self.broken_streams: metricsinstruments.Counter = registry.counter(
            "broken_streams_total", "Connections to engines lost in a stream.", ("service", "code")
        )
        self.stream_s: metricsinstruments.Histogram = registry.histogram(
            "stream_seconds", "From a streamed request to the end of its answer.", ("service",)
        )
        self.belief_age_s: metricsinstruments.Gauge = registry.gauge(
            "belief_age_seconds",
            "Seconds since the list of replicas was last confirmed; -1 before the first time.",
        )
        self.usable_replicas: metricsinstruments.Gauge = registry.gauge(
            "usable_replicas", "Replicas that may get new work.", ("service",)
        )
        self.evacuated_domains: metricsinstruments.Gauge = registry.gauge(
            "evacuated_domains", "Failure domains that get no new work, by the operator's word."
        )
        self.quarantined_requests: metricsinstruments.Gauge = registry.gauge(
            "quarantined_requests", "Requests that are refused since they crash replicas."
        )
        self.budget_left: metricsinstruments.Gauge = registry.gauge(
            "retry_budget_left", "Attempts beyond the first that may still be made.", ("service",)
        )
        self.slow_engines: metricsinstruments.Gauge = registry.gauge(
            "slow_engines",
            "Engines of this instance that are slow for their service.",
            ("service",),
        )
        self.site_waiting: metricsinstruments.Gauge = registry.gauge(
            "site_requests_waiting",
            "Requests that wait for engines at the whole site, as this instance knows it.",
            ("service", "class"),
        )
        self.reserved_tokens: metricsinstruments.Gauge = registry.gauge(
            "reserved_memory_tokens",
            "Memory of this instance's engines that new requests leave free.",
            ("service", "purpose"),
        )
        self.is_store_reached: metricsinstruments.Gauge = registry.gauge(
            "store_reached", "1 while the platform's store answers this instance, else 0."
        )
        self.tunneled_replicas: metricsinstruments.Gauge = registry.gauge(
            "tunneled_replicas", "Replicas that this instance reaches only through others."
        )
        self.relayed_tunnels: metricsinstruments.Gauge = registry.gauge(
            "relayed_tunnels", "Connections to replicas that are relayed for other instances."
        )
        self.caller_connections: metricsinstruments.Gauge = registry.gauge(
            "caller_connections", "Open connections of callers."
        )
        self.held_bytes: metricsinstruments.Gauge = registry.gauge(
            "held_bytes", "Bytes of request bodies and responses held for callers."
        )
        self.held_bytes_bound: metricsinstruments.Gauge = registry.gauge(
            "held_bytes_bound", "Bound on the bytes held for callers; 0 for none."
        )
        self.closed_unread: metricsinstruments.Counter = registry.counter(
            "closed_unread_total",
            "Connections closed at the bound, as their callers did not read.",
        )
        self.refused_bodies: metricsinstruments.Counter = registry.counter(
            "refused_bodies_total", "Requests refused since they would exceed the bound."
        )
        self.refused_connections: metricsinstruments.Counter = registry.counter(
            "refused_connections_total",
            "Connections refused at the limit of a listener.",
            ("listener",),
        )
        self.closed_unused: metricsinstruments.Counter = registry.counter(
            "closed_unused_total",
            "Connections without a request in progress that were closed for other ones.",
            ("listener",),
        )
        self.paused_reads: metricsinstruments.Counter = registry.counter(
            "paused_reads_total",
            "Pauses in reading from callers that had sent too much ahead.",
            ("listener",),
        )
