"""Pool of connections to backend servers."""

import asyncio
import collections
import collections.abc

from hornbeamglade.core import clocks
from hornbeamglade.http1 import clientside, connectors, fields

CONNECT_TIMEOUT_S = 0.5
"""A server within a region accepts a connection in a few milliseconds; a partitioned one
never does, and waiting for it delays the caller."""

SILENCE_S = 0.5
"""How long a kept connection may be silent after a request before its server's path is checked.
Most responses begin earlier."""

CHECK_INTERVAL_S = 2.0

ACCEPTED_S = 0.001
"""How long a new connection may stay open at a server that is being killed: its system may close
the others before the listening socket."""

AT_LIMIT = "connection_limit"
"""Code of a connection that was not opened because no further one may be open."""


class ClientPool:
    """Opens, reuses and counts connections by address.

    :param clock: monotonic time.
    :param opened: called with the address of each new connection.
    :param connector: opens connections; by default connections of this process's own.
    :param on_unasked: called with the address of an idle connection that is closed because bytes
        have arrived on it, and their number.
    :param max_connections: most connections, idle ones included; None for no limit.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        opened: collections.abc.Callable[[str], None] = lambda _address: None,
        connector: connectors.Connector | None = None,
        on_unasked: collections.abc.Callable[[str, int], None] = lambda _address, _count: None,
        max_connections: int | None = None,
    ) -> None:
        self._max_connections = max_connections
        self._open_count = 0
        self._idle_count = 0
        self._clock = clock
        self._on_unasked = on_unasked
        self._opened = opened
        self._checked_at_by_address: dict[str, float] = {}
        self._checks: set[asyncio.Task[bool | None]] = set()
        self._connector = connector or connectors.DirectConnector(clock)
        self._idle_by_address: dict[str, list[clientside.ServerConnection]] = {}
        self._open_by_address: collections.Counter[str] = collections.Counter()

    def open_count(self, address: str) -> int:
        """Return the number of connections to a server that are in use."""
        return self._open_by_address[address]

    async def acquire(
        self,
        address: str,
        *,
        new_only: bool = False,
        request_id: str = "",
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> clientside.ServerConnection | clientside.ResponseLost:
        """Return a connection for one request.

        :param new_only: whether an idle connection may not be reused; a new one then replaces it.
        :param request_id: the id of the request; a connection on which a request with this id was
            refused is not reused.
        """
        self._open_by_address[address] += 1
        self._open_count += 1
        idle = self._idle_by_address.get(address, [])
        if idle and new_only:
            self._discard(idle.pop())
        while idle and not new_only:
            connection = idle.pop()
            is_usable = connection.is_fresh() and self._connector.is_trusted(connection)
            if is_usable and not connection.has_refused(request_id):
                self._idle_count -= 1
                return connection
            self._discard(connection)
        if self._is_full and not self._close_one_idle():
            self._count_closed(address)
            return clientside.ResponseLost(AT_LIMIT, sent=False)
        self._opened(address)
        connection = None
        try:
            connection = await self._connector.connect(address, timeout_s)
        finally:
            if not isinstance(connection, clientside.ServerConnection):
                self._count_closed(address)
        return connection

    async def is_listening(
        self, address: str, *, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> bool | None:
        """Return whether a server accepts connections; None if it does not respond."""
        self._opened(address)
        connection = await self._connector.connect(address, timeout_s)
        if isinstance(connection, clientside.ResponseLost):
            return False if connection.is_refused else None
        connection.close()
        return True

    async def accepts_another(self, address: str, *, timeout_s: float = CONNECT_TIMEOUT_S) -> bool:
        """Return whether a server accepts another connection, and keep that for a request.

        True as well if no further connection may be open here.
        """
        if self._is_full:
            return True
        self._opened(address)
        connection = await self._connector.connect(address, timeout_s)
        if isinstance(connection, clientside.ResponseLost):
            return False
        try:
            await asyncio.sleep(ACCEPTED_S)
        except asyncio.CancelledError:
            connection.close()
            raise
        if not connection.is_open:
            # A server that has too many connections closes it as well, and still listens.
            return await self.is_listening(address, timeout_s=timeout_s) is True
        connection.keep_unused()
        self._idle_count += 1
        self._idle_by_address.setdefault(address, []).append(connection)
        return True

    async def stays_open(
        self, address: str, seconds: float, *, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> bool | None:
        """Return whether a new connection is open after some time; None without a response."""
        self._opened(address)
        connection = await self._connector.connect(address, timeout_s)
        if isinstance(connection, clientside.ResponseLost):
            return False if connection.is_refused else None
        try:
            await asyncio.sleep(seconds)
            return connection.is_open
        finally:
            connection.close()

    def watch(self, connection: clientside.ServerConnection) -> asyncio.TimerHandle | None:
        """Check a server's path unless the returned timer is cancelled in time.

        A request on a kept connection that died while idle gets no response and no error. A new
        connection shows whether the path is broken before further requests are lost the same way.

        :returns: the timer, or None for a new connection.
        """
        if connection.idle_s is None:
            return None
        return asyncio.get_running_loop().call_later(SILENCE_S, self._check, connection.address)

    def _check(self, address: str) -> None:
        now = self._clock.now()
        if now - self._checked_at_by_address.get(address, float("-inf")) < CHECK_INTERVAL_S:
            return
        self._checked_at_by_address[address] = now
        task = asyncio.ensure_future(self.is_listening(address))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    def release(
        self, connection: clientside.ServerConnection, head: clientside.ResponseHead | None
    ) -> None:
        """Return a connection to the pool; it is kept if it may carry another request.

        :param head: the head of the response that was read to its end, or None.
        """
        self._count_closed(connection.address)
        if head is not None and connection.may_be_reused and not _announces_close(head):
            connection.prepare_for_reuse(head)
            self._idle_count += 1
            self._idle_by_address.setdefault(connection.address, []).append(connection)
        else:
            connection.discard()

    def prune(self, addresses_in_use: collections.abc.Collection[str]) -> None:
        """Close idle connections that are no longer fresh or whose server is not in use."""
        for address in self._checked_at_by_address.keys() - set(addresses_in_use):
            del self._checked_at_by_address[address]
        for address in list(self._idle_by_address):
            idle = self._idle_by_address[address]
            is_in_use = address in addresses_in_use
            fresh_connections = [each for each in idle if is_in_use and each.is_fresh()]
            for connection in idle:
                if connection not in fresh_connections:
                    self._discard(connection)
            if fresh_connections:
                self._idle_by_address[address] = fresh_connections
            else:
                del self._idle_by_address[address]

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a server that has restarted."""
        for connection in self._idle_by_address.pop(address, ()):
            self._discard(connection)

    @property
    def _is_full(self) -> bool:
        limit = self._max_connections
        return limit is not None and self._open_count + self._idle_count > limit

    def _close_one_idle(self) -> bool:
        """Close the oldest idle connection to some server; return whether there was one."""
        for address, idle in self._idle_by_address.items():
            if idle:
                self._discard(idle.pop(0))
                if not idle:
                    del self._idle_by_address[address]
                return True
        return False

    def _discard(self, connection: clientside.ServerConnection) -> None:
        self._idle_count -= 1
        if connection.unasked_bytes:
            self._on_unasked(connection.address, connection.unasked_bytes)
        connection.close()

    def _count_closed(self, address: str) -> None:
        self._open_by_address[address] -= 1
        self._open_count -= 1
        if not self._open_by_address[address]:
            del self._open_by_address[address]


def _announces_close(head: clientside.ResponseHead) -> bool:
    return b"close" in fields.tokens(head.fields, b"connection")
