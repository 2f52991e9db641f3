"""What an instance comes to believe of each engine, and what it does about it."""

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
"""How old an engine's report is when it comes, as measured on the operators' engines."""

LIST = "list"
PEER = "peer"
REPORT = "report"


class EngineMonitor:
    """Takes words about engines from the list, their own reports and other instances.

    Explanation
    ===========

    The platform's list tells first that an engine is about to stop. While the store is away
    only the engine's own report does, half a second later; its owner then tells the other
    instances.

    :param replicas: the platform's list.
    :param schedulers: this instance's schedulers.
    :param registry: which run is where.
    :param pool: the connections that are kept.
    :param announce: tells the other instances at once what this one knows of its engines.
    :param moves_runs: whether runs leave an engine that is about to stop.
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
        """Take what an owned engine says of itself."""
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
        """Take the word that an engine is about to stop, and move its runs away.

        :param source: who said so.
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
        """Tell whether an engine's own report, here or at its owner, announced its stop."""
        return replica_id in self._reported_leaving

    def on_added(self, replica_id: str) -> None:
        """Take the word that a replica is in the list, perhaps once more.

        An entry lapses while the store is away, of an engine that lives.
        """
        self._leaving.discard(replica_id)
        self._reported_leaving.discard(replica_id)

    def on_restarted(self, former: replicamodels.Replica) -> None:
        """Take the word that a server has started anew: its former start is no more.

        Guards streams against waiting for events of a run that nobody makes any more, and
        requests against connections that were kept to the former start: behind a cut
        neither is reset.
        """
        self._pool.close_kept(former.address)
        self._registry.on_replica_gone(former.id)

    def remove_absent(self) -> None:
        """Forget replicas that are neither in the list nor have left it lately."""
        known = self._replicas.by_id.keys() | self._replicas.departed_by_id.keys()
        self._leaving &= known
        self._reported_leaving &= known
        for replica_id in self._report_count_by_replica.keys() - known:
            del self._report_count_by_replica[replica_id]
