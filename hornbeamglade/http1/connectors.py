"""How a pool opens its connections to backend servers."""

import abc

from hornbeamglade.core import clocks
from hornbeamglade.http1 import clientside


class Connector(abc.ABC):
    """Opens connections to backend servers."""

    @abc.abstractmethod
    async def connect(
        self, address: str, timeout_s: float
    ) -> clientside.ServerConnection | clientside.ResponseLost:
        """Open a connection.

        :param address: ``ip:port`` of the server.
        :param timeout_s: the longest wait.
        """

    @abc.abstractmethod
    def is_trusted(self, connection: clientside.ServerConnection) -> bool:
        """Return whether an idle connection is believed to still reach its server."""


class DirectConnector(Connector):
    """Opens connections of this process's own.

    :param clock: monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock

    async def connect(
        self, address: str, timeout_s: float
    ) -> clientside.ServerConnection | clientside.ResponseLost:
        """Open a connection."""
        return await clientside.connect(address, timeout_s, self._clock)

    def is_trusted(self, connection: clientside.ServerConnection) -> bool:
        """Return True: nothing else is known."""
        return True
