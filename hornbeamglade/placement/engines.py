"""The placer's client for engines."""

import abc
import collections.abc
import dataclasses

from hornbeamglade.backends import loadreports, orders
from hornbeamglade.configuration import models
from hornbeamglade.core import clocks


@dataclasses.dataclass(frozen=True, slots=True)
class StreamCount:
    """How many streams a replica has.

    :param count: running and waiting streams.
    :param observed_at: monotonic seconds at which the count was taken.
    """

    count: int
    observed_at: float


class EngineClient(abc.ABC):
    """Calls to the engines of one pool, each with a timeout."""

    @abc.abstractmethod
    def read(self, replica: models.Replica) -> orders.OrderOutcome:
        """Read the state that is loaded."""

    @abc.abstractmethod
    def order(
        self,
        replica: models.Replica,
        fencing: int,
        wanted: orders.EngineState,
        may_send: collections.abc.Callable[[], bool],
    ) -> orders.OrderOutcome:
        """Order an engine to load the wanted state.

        :param replica: the engine.
        :param fencing: the fencing number of the lease.
        :param wanted: the complete state that the engine is to have.
        :param may_send: called right before the first byte; False cancels the order.
        """

    @abc.abstractmethod
    def stream_count(self, replica: models.Replica) -> StreamCount | None:
        """Read the number of streams, or return None when there is no report."""


class HttpEngineClient(EngineClient):
    """Calls engines by the HTTP protocol of ``docs/PROTOCOLS.md``.

    :param clock: monotonic time.
    :param timeouts: of orders and reads; None uses the defaults.
    """

    def __init__(self, clock: clocks.Clock, timeouts: orders.OrderTimeouts | None = None) -> None:
        self._clock = clock
        self._timeouts = timeouts or orders.OrderTimeouts()

    def read(self, replica: models.Replica) -> orders.OrderOutcome:
        """Read the state that is loaded."""
        return self._client(replica).read()

    def order(
        self,
        replica: models.Replica,
        fencing: int,
        wanted: orders.EngineState,
        may_send: collections.abc.Callable[[], bool],
    ) -> orders.OrderOutcome:
        """Order an engine to load the wanted state."""
        return self._client(replica).send(fencing, wanted, may_send)

    def stream_count(self, replica: models.Replica) -> StreamCount | None:
        """Read the load report, dated back by its age and by the duration of the call."""
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
