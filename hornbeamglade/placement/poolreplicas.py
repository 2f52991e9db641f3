"""The state of one pool's replicas, in the order in which they change."""

import collections
import collections.abc

from hornbeamglade.backends import orders
from hornbeamglade.placement import placementvalues, replicaprogress


class PoolReplicas:
    """The known state of each replica of a pool.

    :param desired: names the replicas.
    """

    def __init__(self, desired: placementvalues.DesiredState) -> None:
        self._progress_by_name: dict[str, replicaprogress.ReplicaProgress] = {}
        self.set_desired(desired)

    def __iter__(self) -> collections.abc.Iterator[replicaprogress.ReplicaProgress]:
        return iter(self._progress_by_name.values())

    def find(self, name: str) -> replicaprogress.ReplicaProgress | None:
        """Return the progress of a replica, or None when it is not in the pool."""
        return self._progress_by_name.get(name)

    def set_desired(self, desired: placementvalues.DesiredState) -> None:
        """Use the replicas of a desired state; the progress of those that stay is kept."""
        kept = self._progress_by_name
        progress_by_name = {}
        for name in _spread_over_domains(desired):
            replica = desired.replica_by_name[name]
            known = kept.get(name)
            if known is None or known.replica != replica:
                known = replicaprogress.ReplicaProgress(name, replica)
            progress_by_name[name] = known
        self._progress_by_name = progress_by_name

    def reads_due(self, limit: int, now: float) -> tuple[str, ...]:
        """Return the names of the engines to read now.

        Engines that were never read come first, then those with a pending order, then
        those read longest ago.

        :param limit: the maximum number of names.
        :param now: monotonic seconds.
        """
        due = [progress for progress in self if now >= progress.read_retry_at]
        due.sort(key=lambda p: (p.present is not None, p.pending_order is None, p.read_at))
        return tuple(progress.name for progress in due[:limit])

    def has_unread(self) -> bool:
        """Return whether an engine has never been read, or must be read again."""
        return any(progress.present is None and not progress.unreachable for progress in self)

    def has_work(self, wanted: orders.EngineState) -> bool:
        """Return whether a reachable engine is not in the wanted state."""
        return any(
            progress.present is not None
            and not progress.unreachable
            and not progress.is_in_sync(wanted)
            for progress in self
        )

    def is_unconfirmed(self, fencing: int) -> bool:
        """Return whether a reachable engine has not yet accepted an order of this lease.

        An order of a former holder may arrive late, after its engine was read in the
        wanted state. An engine that has not seen the new fencing number would accept
        it. So each new holder sends each engine an order.
        """
        return any(
            not progress.unreachable and progress.confirmed_fencing < fencing for progress in self
        )

    def needs_new_fencing(self, wanted: orders.EngineState, fencing: int) -> bool:
        """Return whether a lost order could arrive after a newer one of the same number.

        If an order is lost, the configuration changes, and the engine accepts the next
        order, the first one may still arrive afterwards. Engines accept equal fencing
        numbers, so the engine would go back to the older models, and requests for the
        new ones would fail. After an order with a larger number, the engine refuses the
        late order whenever it arrives.
        """
        return any(
            order.fencing == fencing
            for progress in self
            if progress.replica.checks_fencing and not progress.unreachable
            for order in progress.conflicting_lost_orders(wanted)
        )


def _spread_over_domains(desired: placementvalues.DesiredState) -> tuple[str, ...]:
    """Return the replicas' names, alternating between failure domains.

    The order is deterministic, so a new lease holder begins with the replicas that
    the former holder began with.
    """
    names_by_domain = collections.defaultdict(list)
    for name in sorted(desired.replica_by_name):
        names_by_domain[desired.replica_by_name[name].failure_domain].append(name)
    ranked = [
        (rank, domain, name)
        for domain, names in names_by_domain.items()
        for rank, name in enumerate(names)
    ]
    return tuple(name for _, _, name in sorted(ranked))
