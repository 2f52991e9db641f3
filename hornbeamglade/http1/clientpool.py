"""Kept connections to backend servers, bounded for each."""

import collections
import collections.abc

from hornbeamglade.core import clocks
from hornbeamglade.http1 import clientside, fields

CONNECT_S = 0.5
"""A server within a region answers a connection in a few milliseconds; one that is
partitioned never does, and each second of waiting for it is a caller's."""


class ClientPool:
    """Opens, keeps and counts connections by address.

    :param clock: monotonic time.
    :param opened: told of each new connection.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        opened: collections.abc.Callable[[str], None] = lambda _address: None,
    ) -> None:
        self._clock = clock
        self._opened = opened
        self._kept_by_address: dict[str, list[clientside.ServerConnection]] = {}
        self._open_by_address: collections.Counter[str] = collections.Counter()

    def open_count(self, address: str) -> int:
        """Return how many connections to a server are in use."""
        return self._open_by_address[address]

    async def acquire(
        self, address: str, *, fresh: bool = False, timeout_s: float = CONNECT_S
    ) -> clientside.ServerConnection | clientside.Lost:
        """Return a connection for one request.

        :param fresh: whether only a new one will do.
        """
        self._open_by_address[address] += 1
        kept = self._kept_by_address.get(address, [])
        while kept and not fresh:
            connection = kept.pop()
            if connection.is_trusted():
                return connection
            connection.close()
        self._opened(address)
        connection = None
        try:
            connection = await clientside.connect(address, timeout_s, self._clock)
        finally:
            if not isinstance(connection, clientside.ServerConnection):
                self._drop(address)
        return connection

    async def listens(self, address: str, *, timeout_s: float = CONNECT_S) -> bool | None:
        """Tell whether a server takes connections; None when nothing answers."""
        self._opened(address)
        connection = await clientside.connect(address, timeout_s, self._clock)
        if isinstance(connection, clientside.Lost):
            return False if connection.is_refused else None
        connection.close()
        return True

    def release(
        self, connection: clientside.ServerConnection, head: clientside.Head | None
    ) -> None:
        """Take a connection back; it is kept when it may carry another request.

        :param head: the head of the answer that was read to its end, or None.
        """
        self._drop(connection.address)
        if head is not None and connection.may_be_kept and not _closes(head):
            connection.keep(head)
            self._kept_by_address.setdefault(connection.address, []).append(connection)
        else:
            connection.close()

    def forget(self, addresses_in_use: collections.abc.Container[str]) -> None:
        """Close the kept connections to servers that are gone, and those grown old."""
        for address in list(self._kept_by_address):
            kept = self._kept_by_address[address]
            known = address in addresses_in_use
            trusted = [each for each in kept if known and each.is_trusted()]
            for connection in kept:
                if connection not in trusted:
                    connection.close()
            if trusted:
                self._kept_by_address[address] = trusted
            else:
                del self._kept_by_address[address]

    def close_kept(self, address: str) -> None:
        """Close the kept connections to a server that has started anew."""
        for connection in self._kept_by_address.pop(address, ()):
            connection.close()

    def _drop(self, address: str) -> None:
        self._open_by_address[address] -= 1
        if not self._open_by_address[address]:
            del self._open_by_address[address]


def _closes(head: clientside.Head) -> bool:
    return b"close" in fields.tokens(head.fields, b"connection")
