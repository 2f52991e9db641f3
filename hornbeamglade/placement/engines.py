"""How the placer reaches engines."""

import abc
import collections.abc
import dataclasses

from hornbeamglade.backends import loadreports, orders
from hornbeamglade.configuration import models
from hornbeamglade.core import clocks


@dataclasses.dataclass(frozen=True, slots=True)
class StreamCount:
    """How many streams a replica has.

    :param count: running and waiting.
    :param observed_at: monotonic seconds at which that was true.
    """

    count: int
    observed_at: float


class EngineClient(abc.ABC):
    """Calls to the engines of one pool, each bounded in time."""

    @abc.abstractmethod
    def read(self, replica: models.Replica) -> orders.OrderOutcome:
        """Read what is present."""

    @abc.abstractmethod
    def order(
        self,
        replica: models.Replica,
        fencing: int,
        wanted: orders.EngineState,
        may_send: collections.abc.Callable[[], bool],
    ) -> orders.OrderOutcome:
        """Order what is wanted; ``may_send`` is asked right before the first byte."""

    @abc.abstractmethod
    def streams(self, replica: models.Replica) -> StreamCount | None:
        """Read the number of streams, or None when there is no report."""


class HttpEngineClient(EngineClient):
    """Engines reached by the protocol of ``docs/PROTOCOLS.md``.

    :param clock: monotonic time.
    """

    def __init__(self, clock: clocks.Clock, timeouts: orders.OrderTimeouts | None = None) -> None:
        self._clock = clock
        self._timeouts = timeouts or orders.OrderTimeouts()

    def read(self, replica: models.Replica) -> orders.OrderOutcome:
        """Read what is present."""
        return self._client(replica).read()

    def order(
        self,
        replica: models.Replica,
        fencing: int,
        wanted: orders.EngineState,
        may_send: collections.abc.Callable[[], bool],
    ) -> orders.OrderOutcome:
        """Order what is wanted."""
        return self._client(replica).send(fencing, wanted, may_send)

    def streams(self, replica: models.Replica) -> StreamCount | None:
        """Read the load report; its age is taken off, and so is the time it took."""
        asked_at = self._clock.now()
        reader = loadreports.ReportReader(replica.address, self._timeouts.response_s, self._clock)
        try:
            report = reader.load()
        finally:
            reader.close()
        if isinstance(report, loadreports.Unreadable):
            return None
        return StreamCount(report.running + report.waiting, asked_at - report.age_s)

    def _client(self, replica: models.Replica) -> orders.OrderClient:
        return orders.OrderClient(replica.address, self._clock, self._timeouts)
