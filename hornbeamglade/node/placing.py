"""A node's part in placing models on the pools whose configuration requests them."""

import concurrent.futures
import dataclasses
import random
import threading
from collections.abc import Callable

from hornbeamglade import leases, placement
from hornbeamglade.backends import orders
from hornbeamglade.configuration import headrecords, models
from hornbeamglade.core import clocks
from hornbeamglade.membership import ownership
from hornbeamglade.membership import view as membershipview
from hornbeamglade.node import siteview
from hornbeamglade.observability import logs
from hornbeamglade.store import contract

MAX_WORKERS = 4
POOL_PREFIX = "pool:"

_QUIET_REASONS = frozenset((None, placement.Reason.NOT_CANDIDATE, placement.Reason.NOT_READ_YET))
"""Every node has these for every replica after its start; changes between them say nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Placed:
    """The placer of a pool, with the last revision that was applied to it."""

    revision: int
    placer: placement.Placer


class Placing:
    """Runs one placer for each pool that requests models, all in one thread.

    :param holder: identifies this incarnation of the node in leases.
    :param node: this node's name.
    :param table: holds leases and the configuration's head.
    :param clock: monotonic time.
    :param rng: randomizes retries.
    :param owners: the nodes among which the candidate for a pool is chosen.
    """

    def __init__(
        self,
        holder: str,
        node: str,
        table: contract.Table,
        clock: clocks.Clock,
        rng: random.Random,
        owners: Callable[[], tuple[membershipview.Member, ...]],
    ) -> None:
        self._holder = holder
        self._node = node
        self._table = table
        self._clock = clock
        self._rng = rng
        self._owners = owners
        self._lock = threading.Lock()
        self._placed_by_pool: dict[str, _Placed] = {}
        self._closed: frozenset[str] = frozenset()
        self._status_by_replica: dict[str, placement.PlacementStatus] = {}
        self._executor = concurrent.futures.ThreadPoolExecutor(MAX_WORKERS, "placement")

    def closed(self) -> frozenset[str]:
        """Return the replicas to which no node may send new work, according to this node."""
        return self._closed

    def statuses(self) -> dict[str, placement.PlacementStatus]:
        """Return the wanted and the present state and why they differ, by replica."""
        return self._status_by_replica

    def step(self, view: siteview.SiteView) -> None:
        """Apply the desired states of a newer revision and send the orders that are due.

        :param view: the active configuration.
        """
        with self._lock:
            self._update_pools(view)
            closed: set[str] = set()
            status_by_replica: dict[str, placement.PlacementStatus] = {}
            for placed in self._placed_by_pool.values():
                placed.placer.step()
                closed |= placed.placer.closed()
                status_by_replica |= placed.placer.statuses()
            self._closed = frozenset(closed)
            _log_changes(self._status_by_replica, status_by_replica)
            self._status_by_replica = status_by_replica

    def stop(self) -> None:
        """Release every lease, so that another node need not wait for its expiry."""
        with self._lock:
            for placed in self._placed_by_pool.values():
                placed.placer.stop()
            self._placed_by_pool.clear()
            self._closed = frozenset()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _update_pools(self, view: siteview.SiteView) -> None:
        pools = view.site.pool_by_name
        for name in tuple(self._placed_by_pool):
            if name not in pools or pools[name].wanted is None:
                self._placed_by_pool.pop(name).placer.stop()
        for name, pool in pools.items():
            if pool.wanted is not None:
                self._update_pool(name, pool, view.revision)

    def _update_pool(self, name: str, pool: models.Pool, revision: int) -> None:
        placed = self._placed_by_pool.get(name)
        if placed is not None and placed.revision == revision:
            return
        wanted = orders.EngineState.from_configuration(pool.wanted)
        desired = placement.DesiredState(revision, wanted, pool.replica_by_name)
        if placed is None:
            placer = self._placer(name, desired)
        else:
            placer = placed.placer
            placer.set_desired(desired)
        self._placed_by_pool[name] = _Placed(revision, placer)

    def _placer(self, name: str, desired: placement.DesiredState) -> placement.Placer:
        settings = placement.PlacerSettings()
        lease = leases.LeaseHolder(
            self._table, self._clock, name, self._holder, settings.term_s, settings.flight_s
        )
        rollout = placement.Rollout(
            desired,
            placement.PlacementSettings(),
            settings.flight_s,
            self._rng,
            self._clock.now(),
        )
        return placement.Placer(
            lease,
            rollout,
            placement.HttpEngineClient(self._clock),
            lambda: self._is_candidate(name),
            self._newest_revision,
            settings,
            self._clock,
            self._executor,
        )

    def _is_candidate(self, pool: str) -> bool:
        nodes = [ownership.Participant(member.identity.name) for member in self._owners()]
        return ownership.owner(ownership.Participant(POOL_PREFIX + pool), nodes) == self._node

    def _newest_revision(self) -> int | None:
        read = self._table.read(headrecords.HEAD_KEY)
        if isinstance(read, contract.Unavailable):
            return None
        if isinstance(read, contract.Missing):
            return 0
        return headrecords.read_head(read.row.value).revision


def _log_changes(
    before: dict[str, placement.PlacementStatus], after: dict[str, placement.PlacementStatus]
) -> None:
    """Log the replicas for which the reason has changed why they differ from their state."""
    for name, status in after.items():
        former = None if name not in before else before[name].reason
        if {former, status.reason} <= _QUIET_REASONS:
            continue
        logs.state_changed(
            "placement",
            "none" if former is None else former.value,
            status.reason.value,
            replica=name,
            attempts=status.failures,
        )
