"""The gauges of an entry instance, computed at each scrape."""

import collections.abc
import dataclasses

from hornbeamglade.core import clocks
from hornbeamglade.entry import clusterstate, tunneling
from hornbeamglade.grants import schedulerset
from hornbeamglade.http1 import buffermemory
from hornbeamglade.observability import metrics, metricsinstruments
from hornbeamglade.quarantine import requestquarantine
from hornbeamglade.replicas import availability
from hornbeamglade.routed import retrybudget, views


@dataclasses.dataclass(slots=True)
class Gauges:
    """Updates the gauges from the components' state.

    :param instruments: the node's metrics.
    :param current: the configuration in force.
    :param available: the replicas that may receive requests.
    :param cluster_state: provides the staleness of the replica list.
    :param quarantine: refuses requests that crash replicas.
    :param budgets: the remaining retry budget of each service.
    :param clock: monotonic time.
    :param count_grants: returns the number of grants held.
    :param tunnels: tunnels to replicas, own and relayed.
    :param count_slow_engines: returns the number of this instance's slow engines of a service.
    :param waiting_by_class: returns the requests that wait at the site, by service and class.
    :param reserved: returns the memory kept free at this instance's engines of each service.
    :param memory: counts what is held for callers.
    :param count_connections: returns the number of open caller connections.
    """

    instruments: metrics.NodeMetrics
    current: views.CurrentView
    available: availability.Availability
    cluster_state: clusterstate.ClusterState
    quarantine: requestquarantine.RequestQuarantine
    budgets: retrybudget.RetryBudgets
    clock: clocks.Clock
    count_grants: collections.abc.Callable[[], int]
    tunnels: tunneling.Tunneling
    count_slow_engines: collections.abc.Callable[[str], int]
    waiting_by_class: collections.abc.Callable[
        [], collections.abc.Mapping[str, collections.abc.Mapping[int, int]]
    ]
    reserved: collections.abc.Callable[
        [], collections.abc.Mapping[str, schedulerset.ReservedTokens]
    ]
    memory: buffermemory.BufferMemory
    count_connections: collections.abc.Callable[[], int] = lambda: 0

    def update(self) -> None:
        """Set every gauge to its current value."""
        routed = self.instruments.routed
        age_s = self.cluster_state.replica_list_staleness().age_s
        routed.belief_age_s.set(-1.0 if age_s is None else age_s)
        routed.is_store_reached.set(float(self.cluster_state.is_reached()))
        routed.caller_connections.set(self.count_connections())
        self.memory.refresh()
        routed.held_bytes.set(self.memory.held_bytes)
        routed.held_bytes_bound.set(self.memory.bound_bytes or 0)
        routed.evacuated_domains.set(len(self.available.evacuations.domains))
        routed.quarantined_requests.set(self.quarantine.quarantined_count)
        routed.tunneled_replicas.set(self.tunnels.paths.detoured_count)
        routed.relayed_tunnels.set(self.tunnels.relayed_count)
        self.instruments.streams_in_flight.set(self.count_grants(), ("all",))
        _set_series(
            routed.site_waiting,
            {
                (service, str(urgency)): count
                for service, by_class in self.waiting_by_class().items()
                for urgency, count in by_class.items()
            },
        )
        _set_series(
            routed.reserved_tokens,
            {
                (service, purpose): tokens
                for service, reserved in self.reserved().items()
                for purpose, tokens in dataclasses.asdict(reserved).items()
            },
        )
        view = self.current.routes
        for name in () if view is None else view.configuration.service_by_name:
            routed.usable_replicas.set(len(self.available.usable(name)), (name,))
            routed.slow_engines.set(self.count_slow_engines(name), (name,))
            routed.budget_left.set(self.budgets.remaining(name, self.clock.now()), (name,))


def _set_series(
    gauge: metricsinstruments.Gauge,
    value_by_labels: collections.abc.Mapping[metricsinstruments.Labels, float],
) -> None:
    """Set the series of a gauge, and those that have no value any more to 0."""
    for labels in gauge.value_by_labels().keys() - value_by_labels.keys():
        gauge.set(0, labels)
    for labels, value in value_by_labels.items():
        gauge.set(value, labels)
