"""Logs malformed load reports, once for each replica."""

import collections.abc

from hornbeamglade.observability import logs

MAX_REPLICAS = 4096
"""More than twice the replicas of the largest site; the reports of further ones are not logged."""


class LoadProblems:
    """The replicas whose load report was malformed."""

    def __init__(self) -> None:
        self._replicas: set[str] = set()

    def record(self, replica_id: str, problem: str) -> None:
        """Log a malformed load report, unless one of this replica was logged before.

        :param problem: the code of the problem.
        """
        if replica_id in self._replicas or len(self._replicas) >= MAX_REPLICAS:
            return
        self._replicas.add(replica_id)
        logs.state_changed(
            "replica_load", "readable", "malformed", replica=replica_id, code=problem
        )

    def forget_absent(self, present: collections.abc.Container[str]) -> None:
        """Forget the replicas that are not in ``present``."""
        self._replicas = {each for each in self._replicas if each in present}
