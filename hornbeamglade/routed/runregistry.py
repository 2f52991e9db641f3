"""Registry of this node's streamed runs by replica."""

import abc
import collections
import collections.abc


class Run(abc.ABC):
    """A streamed run at a replica."""

    @abc.abstractmethod
    def on_replica_leaving(self) -> None:
        """Handle the notice that the replica of the run will stop soon."""

    @abc.abstractmethod
    def on_replica_gone(self) -> None:
        """Handle the loss of the replica of the run."""


class RunRegistry:
    """The node's runs by replica."""

    def __init__(self) -> None:
        self._runs_by_replica: dict[str, set[Run]] = collections.defaultdict(set)

    def add(self, replica_id: str, run: Run) -> None:
        """Register a run at a replica."""
        self._runs_by_replica[replica_id].add(run)

    def remove(self, replica_id: str, run: Run) -> None:
        """Unregister a run from a replica; idempotent."""
        runs = self._runs_by_replica.get(replica_id)
        if runs is None:
            return
        runs.discard(run)
        if not runs:
            del self._runs_by_replica[replica_id]

    def count(self, replica_id: str) -> int:
        """Return the number of this node's runs at a replica."""
        return len(self._runs_by_replica.get(replica_id, ()))

    def on_replica_leaving(self, replica_id: str) -> None:
        """Notify the runs at a replica that it will stop soon."""
        for run in tuple(self._runs_by_replica.get(replica_id, ())):
            run.on_replica_leaving()

    def on_replica_gone(self, replica_id: str) -> None:
        """Notify the runs at a replica that it is gone."""
        for run in tuple(self._runs_by_replica.get(replica_id, ())):
            run.on_replica_gone()
