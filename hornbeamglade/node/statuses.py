"""Builds the status page of a node."""

from collections.abc import Callable

from hornbeamglade import placement
from hornbeamglade.configuration import follower
from hornbeamglade.exchange import messages
from hornbeamglade.grants import schedulerset
from hornbeamglade.node import peering, placing, replicacatalog, runtime, settings, siteview
from hornbeamglade.observability import statuspage


class Statuses:
    """Builds the status page.

    :param node_settings: the node's settings.
    :param address: the bound address for callers.
    :param incarnation: this incarnation of the node.
    :param parts: the node's components.
    :param config: the configuration's follower.
    :param peers: provides the owners of replicas.
    :param state: returns the name of the node's state.
    :param places: provides the wanted state of engines and why the present state differs.
    """

    def __init__(
        self,
        node_settings: settings.NodeSettings,
        address: str,
        incarnation: int,
        parts: runtime.Runtime,
        config: follower.Follower,
        peers: peering.Peering,
        state: Callable[[], str],
        places: placing.Placing,
    ) -> None:
        self._settings = node_settings
        self._address = address
        self._incarnation = incarnation
        self._parts = parts
        self._config = config
        self._peers = peers
        self._state = state
        self._places = places

    def page(self) -> statuspage.NodeStatus:
        """Return the current status."""
        view = self._parts.views.current()
        states = self._parts.schedulers.states()
        owned = self._peers.owned()
        age_s = self._config.age_s
        return statuspage.NodeStatus(
            name=self._settings.name,
            failure_domain=self._settings.failure_domain,
            address=self._address,
            state=self._state(),
            config_revision=view.revision if isinstance(view, siteview.SiteView) else 0,
            config_provisional=self._config.provisional,
            config_problem=self._config.problem,
            incarnation=str(self._incarnation),
            streams=self._parts.in_flight.count,
            waiting=sum(state.waiting for state in states.values()),
            platform_ok=age_s is not None and age_s < 2 * follower.POLL_S + 1,
            replicas=tuple(
                self._replica(known, states.get(known.name), known.name in owned)
                for known in self._known()
            ),
            share_by_team=self._parts.in_flight.share_by_team(messages.MAX_DEMANDS),
            placements=tuple(
                _placement(status) for _, status in sorted(self._places.statuses().items())
            ),
            counters={
                statuspage.REFUSALS_COUNTER: self._parts.metrics.refusals.total(),
                "requests": self._parts.metrics.requests.total(),
            },
        )

    def _known(self) -> list[replicacatalog.KnownReplica]:
        return sorted(self._parts.catalog.known_by_name.values(), key=lambda known: known.name)

    def _replica(
        self,
        known: replicacatalog.KnownReplica,
        state: schedulerset.SchedulerState | None,
        is_owned: bool,
    ) -> statuspage.ReplicaStatus:
        report = self._parts.catalog.report_by_replica.get(known.name)
        age_s = None if report is None else self._parts.clock.now() - report.received_at
        return statuspage.ReplicaStatus(
            name=known.name,
            pool=known.pool,
            address=known.replica.address,
            failure_domain=known.replica.failure_domain,
            owner=self._peers.owner_name(known.name),
            state=self._state_of(known.name, is_owned, age_s),
            room_tokens=int(state.headroom_tokens) if is_owned and state is not None else None,
            capacity_tokens=known.replica.memory_tokens,
            running=0 if report is None else report.running,
            waiting=0 if state is None else state.waiting,
            preemptions=0 if report is None else report.preemptions,
            load_age_s=age_s,
        )

    def _state_of(self, replica: str, is_owned: bool, age_s: float | None) -> str:
        if is_owned and (age_s is None or age_s > replicacatalog.REPORT_LIFE_S):
            return "unreachable"
        return "serving" if self._parts.catalog.takes_new_work(replica) else "leaving"


def _placement(status: placement.PlacementStatus) -> statuspage.PlacementRow:
    present = status.present
    return statuspage.PlacementRow(
        replica=status.replica,
        wanted=sorted(status.wanted.loaded),
        present=None if present is None else sorted(present.loaded),
        condition=status.condition.value,
        reason=status.reason.value,
        closed=status.closed,
    )
