"""Which streams of this node run at which replica."""

import abc
import collections
import collections.abc


class Run(abc.ABC):
    """A stream's run at a replica."""

    @abc.abstractmethod
    def on_replica_leaving(self) -> None:
        """Note that its replica is about to stop."""

    @abc.abstractmethod
    def on_replica_gone(self) -> None:
        """Note that its replica is no more."""


class RunRegistry:
    """The runs of this node by replica."""

    def __init__(self) -> None:
        self._runs_by_replica: dict[str, set[Run]] = collections.defaultdict(set)

    def add(self, replica_id: str, run: Run) -> None:
        """Note that a run is at a replica."""
        self._runs_by_replica[replica_id].add(run)

    def remove(self, replica_id: str, run: Run) -> None:
        """Note that a run is there no more; idempotent."""
        runs = self._runs_by_replica.get(replica_id)
        if runs is None:
            return
        runs.discard(run)
        if not runs:
            del self._runs_by_replica[replica_id]

    def count(self, replica_id: str) -> int:
        """Return how many of this node's runs are at a replica."""
        return len(self._runs_by_replica.get(replica_id, ()))

    def on_replica_leaving(self, replica_id: str) -> None:
        """Tell a replica's runs that it is about to stop."""
        for run in tuple(self._runs_by_replica.get(replica_id, ())):
            run.on_replica_leaving()

    def on_replica_gone(self, replica_id: str) -> None:
        """Tell a replica's runs that it is no more."""
        for run in tuple(self._runs_by_replica.get(replica_id, ())):
            run.on_replica_gone()
