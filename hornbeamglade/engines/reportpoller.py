"""Polls the reports of the engines that this node owns, several times a second."""

import asyncio
import collections.abc

from hornbeamglade.core import clocks
from hornbeamglade.engines import control, models
from hornbeamglade.replicas import models as replicamodels

PERIOD_S = 0.25
"""Seconds between reads of one engine's report. A report is half a second old when it
arrives, so shorter periods add cost and little information. With a period of one second, a
preempted run would be noticed a second later."""

LOST_AFTER_MISSED = 2
"""Consecutive missed reports after which an engine counts as lost. A single one may be missed
because of a lost packet. After the second one the engine has not responded for more than a
second and should get no more requests."""


class EngineLost:
    """An engine is unreachable: it refuses connections or does not respond."""


ReportCallback = collections.abc.Callable[
    [replicamodels.Replica, models.EngineReport | EngineLost | None], None
]
OwnedEngines = collections.abc.Callable[[], collections.abc.Iterable[replicamodels.Replica]]


class ReportPoller:
    """Polls each owned engine in its own task, so that a slow one does not delay others.

    To be used on an event loop. It has no timer of its own, because most nodes of a large
    site own no engine, and a timer's wake-ups would cost CPU time on all of them.

    :param engines: the calls.
    :param owned_engines: returns the engines to poll.
    :param on_report: called with each report, with None for a report that was missed or is
        of an earlier incarnation, and with :class:`EngineLost` for an unreachable engine or
        one that has restarted.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        engines: control.EngineControl,
        owned_engines: OwnedEngines,
        on_report: ReportCallback,
        clock: clocks.Clock,
    ) -> None:
        self._engines = engines
        self._owned_engines = owned_engines
        self._on_report = on_report
        self._clock = clock
        self._reading: set[str] = set()
        self._missed_by_replica: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._due_at = float("-inf")

    def tick(self) -> None:
        """Start to read the reports that are due; called several times a second."""
        now = self._clock.now()
        if now < self._due_at:
            return
        self._due_at = now + PERIOD_S
        owned_engines = tuple(self._owned_engines())
        self._forget({replica.id for replica in owned_engines})
        for replica in owned_engines:
            if replica.id not in self._reading:
                self._start_read(replica)

    def _forget(self, owned_ids: set[str]) -> None:
        for replica_id in self._missed_by_replica.keys() - owned_ids:
            del self._missed_by_replica[replica_id]

    def _start_read(self, replica: replicamodels.Replica) -> None:
        self._reading.add(replica.id)
        task = asyncio.ensure_future(self._read_report(replica))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read_report(self, replica: replicamodels.Replica) -> None:
        try:
            self._on_report(
                replica, self._interpret(replica, await self._engines.report(replica.address))
            )
        finally:
            self._reading.discard(replica.id)

    def _interpret(
        self, replica: replicamodels.Replica, report: models.EngineReport | models.ReportFailed
    ) -> models.EngineReport | EngineLost | None:
        """Return what a report says about the incarnation in the replica list."""
        if isinstance(report, models.EngineReport):
            if replica.started_ms and report.started_ms < replica.started_ms:
                return None
            # The server has restarted: the listed incarnation no longer exists.
            if report.started_ms > replica.started_ms > 0:
                return EngineLost()
            self._missed_by_replica.pop(replica.id, None)
            return report
        missed = self._missed_by_replica.get(replica.id, 0) + 1
        self._missed_by_replica[replica.id] = missed
        return EngineLost() if report.is_refused or missed >= LOST_AFTER_MISSED else None
