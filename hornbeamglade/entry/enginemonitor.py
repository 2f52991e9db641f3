"""Tracks the state of each engine and reacts to engines that leave, fail or restart."""

import collections.abc

from hornbeamglade.admission import tokenledger
from hornbeamglade.engines import models as enginemodels
from hornbeamglade.engines import reportpoller
from hornbeamglade.grants import schedulerset
from hornbeamglade.http1 import clientpool
from hornbeamglade.observability import logs
from hornbeamglade.replicas import models as replicamodels
from hornbeamglade.replicas import replicalist
from hornbeamglade.routed import runregistry

REPORT_LAG_S = 0.5
"""Age of an engine's report on arrival."""

LIST = "list"
PEER = "peer"
REPORT = "report"


class EngineMonitor:
    """Processes engine state from the replica list, engine reports and other instances.

    Explanation
    ===========

    The platform's list is the first to announce that an engine will stop. During a store
    outage only the engine's own report does so, half a second later; its owner then informs
    the other instances.

    :param replicas: the platform's replica list.
    :param schedulers: this instance's schedulers.
    :param registry: the engine of each run.
    :param pool: idle connections to replicas.
    :param announce: sends the state of owned engines to the other instances at once.
    :param moves_runs: whether runs migrate away from an engine that will stop.
    """

    def __init__(
        self,
        replicas: replicalist.ReplicaList,
        schedulers: schedulerset.SchedulerSet,
        registry: runregistry.RunRegistry,
        pool: clientpool.ClientPool,
        announce: collections.abc.Callable[[], None],
        moves_runs: bool = True,
    ) -> None:
        self._replicas = replicas
        self._schedulers = schedulers
        self._registry = registry
        self._pool = pool
        self._announce = announce
        self._moves_runs = moves_runs
        self._report_count_by_replica: dict[str, int] = {}
        self._leaving: set[str] = set()
        self._reported_leaving: set[str] = set()

    def on_report(
        self,
        replica: replicamodels.Replica,
        report: enginemodels.EngineReport | reportpoller.EngineLost | None,
    ) -> None:
        """Process the report of an owned engine, or the loss of that engine."""
        if report is None:
            return
        if isinstance(report, reportpoller.EngineLost):
            if self._schedulers.mark_unreachable(replica.id):
                logs.state_changed("engine", "reached", "unreached", replica=replica.id)
                self._announce()
            return
        count = self._report_count_by_replica.get(replica.id, 0) + 1
        self._report_count_by_replica[replica.id] = count
        load = tokenledger.LoadView(
            sequence=count,
            age_s=REPORT_LAG_S,
            capacity_tokens=report.memory_tokens,
            used_tokens=report.used_tokens,
        )
        leaving = report.is_leaving or not self._replicas.is_usable(replica.id)
        self._schedulers.apply(
            replica.id, lambda scheduler, now: scheduler.apply_report(load, leaving, now)
        )
        if report.is_leaving and replica.id not in self._leaving:
            self.on_leaving(replica.id, REPORT)
            self._announce()

    def on_leaving(self, replica_id: str, source: str) -> None:
        """Mark an engine as leaving and migrate its runs.

        :param source: where the information came from.
        """
        if source != LIST:
            self._reported_leaving.add(replica_id)
        if replica_id in self._leaving:
            return
        self._leaving.add(replica_id)
        runs = self._registry.count(replica_id)
        logs.state_changed(
            "engine", "serving", "leaving", replica=replica_id, source=source, count=runs
        )
        self._schedulers.drain(replica_id)
        if self._moves_runs:
            self._registry.on_replica_leaving(replica_id)

    def has_reported_stop(self, replica_id: str) -> bool:
        """Return whether the engine's own report, to this instance or its owner, said it stops."""
        return replica_id in self._reported_leaving

    def on_added(self, replica_id: str) -> None:
        """Handle a replica that appears in the list, possibly again.

        The list entry of a running engine may expire during a store outage.
        """
        if not self._replicas.is_usable(replica_id):
            return
        self._leaving.discard(replica_id)
        self._reported_leaving.discard(replica_id)

    def on_restarted(self, former: replicamodels.Replica) -> None:
        """Handle a server that restarted: its former incarnation no longer exists.

        Ends streams that would wait for events of a run that no longer exists, and closes
        idle connections to the former incarnation. During a network partition neither
        would be reset.
        """
        self._pool.close_idle(former.address)
        self._registry.on_replica_gone(former.id)

    def remove_absent(self) -> None:
        """Remove state of replicas that are neither listed nor recently departed."""
        known = self._replicas.by_id.keys() | self._replicas.departed_by_id.keys()
        self._leaving &= known
        self._reported_leaving &= known
        for replica_id in self._report_count_by_replica.keys() - known:
            del self._report_count_by_replica[replica_id]
