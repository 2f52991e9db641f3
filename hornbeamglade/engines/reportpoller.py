"""Reads the reports of the engines that this node owns, several times a second."""

import asyncio
import collections.abc

from hornbeamglade.core import clocks
from hornbeamglade.engines import control, models
from hornbeamglade.replicas import models as replicamodels

PERIOD_S = 0.25
"""A report is half a second old when it comes: read more often, it says little more, and
each is paid for. Read once a second, a run that was preempted shows a second later."""

LOST_AFTER = 2
"""Reports in a row that do not come. One may be lost with a packet; by the second an engine
without a word for more than a second is better left alone."""


class EngineLost:
    """An engine cannot be reached: nothing listens there, or it is silent."""


Told = collections.abc.Callable[
    [replicamodels.Replica, models.EngineReport | EngineLost | None], None
]
Owned = collections.abc.Callable[[], collections.abc.Iterable[replicamodels.Replica]]


class ReportPoller:
    """Polls each owned engine on its own, so that a silent one delays no other.

    To be used on an event loop. It has no timer of its own: most nodes of a large site own
    no engine, and each wake-up costs all of them.

    :param engines: the calls.
    :param owned: returns the engines to read.
    :param told: called with each report, with None for one that did not come, and with
        :class:`EngineLost` for an engine that cannot be reached.
    :param clock: monotonic time.
    """

    def __init__(
        self, engines: control.EngineControl, owned: Owned, told: Told, clock: clocks.Clock
    ) -> None:
        self._engines = engines
        self._owned = owned
        self._told = told
        self._clock = clock
        self._reading: set[str] = set()
        self._missing_by_replica: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._due_at = float("-inf")

    def tick(self) -> None:
        """Begin to read the reports that are due; called several times a second."""
        now = self._clock.now()
        if now < self._due_at:
            return
        self._due_at = now + PERIOD_S
        owned = tuple(self._owned())
        self._forget({replica.id for replica in owned})
        for replica in owned:
            if replica.id not in self._reading:
                self._begin(replica)

    def _forget(self, owned: set[str]) -> None:
        for replica_id in self._missing_by_replica.keys() - owned:
            del self._missing_by_replica[replica_id]

    def _begin(self, replica: replicamodels.Replica) -> None:
        self._reading.add(replica.id)
        task = asyncio.ensure_future(self._read(replica))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read(self, replica: replicamodels.Replica) -> None:
        try:
            self._told(replica, self._judged(replica, await self._engines.report(replica.address)))
        finally:
            self._reading.discard(replica.id)

    def _judged(
        self, replica: replicamodels.Replica, report: models.EngineReport | models.ReportFailed
    ) -> models.EngineReport | EngineLost | None:
        """Return what a report says of the start that was asked for."""
        if isinstance(report, models.EngineReport):
            if replica.started_ms and report.started_ms < replica.started_ms:
                return None
            # Its server has started anew: what the list names is no more.
            if report.started_ms > replica.started_ms > 0:
                return EngineLost()
            self._missing_by_replica.pop(replica.id, None)
            return report
        missing = self._missing_by_replica.get(replica.id, 0) + 1
        self._missing_by_replica[replica.id] = missing
        return EngineLost() if report.is_refused or missing >= LOST_AFTER else None
