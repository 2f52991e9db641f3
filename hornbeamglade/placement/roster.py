"""The replicas of one pool, in the order in which they change."""

import collections
import collections.abc

from hornbeamglade.backends import orders
from hornbeamglade.placement import placementvalues, replicaprogress


class Roster:
    """What is known of each replica of a pool.

    :param goal: names the replicas.
    """

    def __init__(self, goal: placementvalues.DesiredState) -> None:
        self._progress_by_name: dict[str, replicaprogress.ReplicaProgress] = {}
        self.take(goal)

    def __iter__(self) -> collections.abc.Iterator[replicaprogress.ReplicaProgress]:
        return iter(self._progress_by_name.values())

    def find(self, name: str) -> replicaprogress.ReplicaProgress | None:
        """Return what is known of a replica, or None when it is none of the pool's."""
        return self._progress_by_name.get(name)

    def take(self, goal: placementvalues.DesiredState) -> None:
        """Take the replicas of a goal; what is known of those that stay is kept."""
        kept = self._progress_by_name
        progress_by_name = {}
        for name in _spread_over_domains(goal):
            replica = goal.replica_by_name[name]
            known = kept.get(name)
            if known is None or known.replica != replica:
                known = replicaprogress.ReplicaProgress(name, replica)
            progress_by_name[name] = known
        self._progress_by_name = progress_by_name

    def reads_due(self, limit: int, now: float) -> tuple[str, ...]:
        """Name the engines to read back now, the least known first."""
        due = [progress for progress in self if now >= progress.read_retry_at]
        due.sort(key=lambda p: (p.present is not None, p.sent is None, p.read_at))
        return tuple(progress.name for progress in due[:limit])

    def has_unread(self) -> bool:
        """Tell whether an engine has never been read, or must be read again."""
        return any(progress.present is None and not progress.unreachable for progress in self)

    def has_work(self, wanted: orders.EngineState) -> bool:
        """Tell whether an engine that answers is not as wanted."""
        return any(
            progress.present is not None
            and not progress.unreachable
            and not progress.is_in_sync(wanted)
            for progress in self
        )

    def is_unconfirmed(self, fencing: int) -> bool:
        """Tell whether an engine that answers has not taken an order of this lease yet.

        Guard: an order of a former holder is on its way while its engine is read as
        wanted. If the engine had not seen the new number it would take the late order.
        So each new holder orders each engine once.
        """
        return any(
            not progress.unreachable and progress.confirmed_fencing < fencing for progress in self
        )

    def needs_new_fencing(self, wanted: orders.EngineState, fencing: int) -> bool:
        """Tell whether a lost order could overtake a newer one of the same number.

        Guard: an order is lost, the configuration changes, the next order is taken
        and then the first one arrives. An engine takes equal numbers, so it would go
        back to the older models, and callers of the new ones get errors. Under a
        larger number the engine refuses the late order, however late.
        """
        return any(
            sent.fencing == fencing
            for progress in self
            if progress.replica.checks_fencing and not progress.unreachable
            for sent in progress.adrift(wanted)
        )


def _spread_over_domains(goal: placementvalues.DesiredState) -> tuple[str, ...]:
    """Return the replicas in an order that takes the failure domains in turn.

    It is the same for each holder: a new one begins with the replicas that the
    former one had begun with.
    """
    names_by_domain = collections.defaultdict(list)
    for name in sorted(goal.replica_by_name):
        names_by_domain[goal.replica_by_name[name].failure_domain].append(name)
    ranked = [
        (rank, domain, name)
        for domain, names in names_by_domain.items()
        for rank, name in enumerate(names)
    ]
    return tuple(name for _, _, name in sorted(ranked))
