"""Reads the reports of the engines that this node owns, several times a second."""

import abc
import asyncio
import collections.abc

from hornbeamglade.core import clocks
from hornbeamglade.engines import control, models
from hornbeamglade.replicas import models as replicamodels

PERIOD_S = 0.25
"""A report is half a second old when it comes: read more often, it says little more, and
each is paid for. Read once a second, a run that was preempted shows a second later."""

Told = collections.abc.Callable[[replicamodels.Replica, models.EngineReport | None], None]
Owned = collections.abc.Callable[[], collections.abc.Iterable[replicamodels.Replica]]


class Poller(abc.ABC):
    """Something that is done again and again while its node lives."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Work until cancelled."""


class ReportPoller(Poller):
    """Polls each owned engine on its own, so that a silent one delays no other.

    :param engines: the calls.
    :param owned: returns the engines to read.
    :param told: called with each report, or None for an engine that gave none.
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
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            for replica in tuple(self._owned()):
                if replica.id not in self._reading:
                    self._begin(replica)
            await asyncio.sleep(PERIOD_S)

    def _begin(self, replica: replicamodels.Replica) -> None:
        self._reading.add(replica.id)
        task = asyncio.ensure_future(self._read(replica))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read(self, replica: replicamodels.Replica) -> None:
        try:
            self._told(replica, await self._engines.report(replica.address))
        finally:
            self._reading.discard(replica.id)
