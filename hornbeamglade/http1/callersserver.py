"""Accepts connections from callers at one address."""

import asyncio
import socket

from hornbeamglade.core import clocks
from hornbeamglade.http1 import (
    acceptor,
    buffermemory,
    callerconnection,
    handlers,
    listeners,
    openconnections,
    sockets,
)

ROOM_TIMEOUT_S = 0.25
"""How long new connections wait at the limit for others whose requests are about to be read and
refused; afterwards they are reset until one can be closed."""


class CallersServer:
    """Listens on one address and tracks its open connections.

    :param handler: answers requests.
    :param clock: monotonic time.
    :param memory: counts and bounds what the connections hold; unbounded by default.
    :param settings: limits of the listener.
    :param observer: records what becomes of connections at the limit.
    """

    def __init__(
        self,
        handler: handlers.Handler,
        clock: clocks.Clock,
        memory: buffermemory.BufferMemory | None = None,
        settings: listeners.ListenerSettings | None = None,
        observer: listeners.ListenerObserver | None = None,
    ) -> None:
        self._handler = handler
        self._clock = clock
        self._memory = memory or buffermemory.BufferMemory(clock)
        self._settings = settings or listeners.ListenerSettings()
        self._observer = observer or listeners.SilentObserver()
        self._acceptor = acceptor.Acceptor(
            self._accept,
            lambda error: self._observer.accept_failed(self._settings.name, error),
            self._may_accept,
        )
        self._full_since: float | None = None
        self._opening_by_task: dict[asyncio.Task[None], callerconnection.CallerConnection] = {}
        self._open = openconnections.OpenConnections(clock, self._settings, self._observer)
        self._is_leaving = False

    async def listen(self, host: str, port: int, backlog: int = 512) -> str:
        """Start accepting connections; return the address as ``ip:port``."""
        return self._acceptor.listen(host, port, backlog, listeners.RECEIVE_BUFFER_BYTES)

    @property
    def listening_socket(self) -> socket.socket:
        """The listening socket; connections inherit its options."""
        return self._acceptor.socket

    @property
    def connections(self) -> set[callerconnection.CallerConnection]:
        """The open connections."""
        return self._open.opened

    def leave(self) -> None:
        """Close each connection after its next response."""
        self._is_leaving = True
        for connection in self.connections:
            connection.leave()

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def stop_listening(self) -> None:
        """Accept no more connections; open ones are kept."""
        self._acceptor.close()

    @property
    def busy_count(self) -> int:
        """The number of connections in use."""
        return sum(connection.is_in_use for connection in self.connections)

    def report_unsent(self) -> None:
        """Tell the handler of the responses that the end of the process truncates."""
        for connection in self.connections:
            unsent = connection.unsent_bytes()
            if unsent and connection.has_whole_response:
                self._handler.truncated(connection.peer, unsent)

    def _may_accept(self) -> bool:
        """Return False while a connection waits for one that is about to give way to it."""
        if not self._open.is_about_to_have_room:
            self._full_since = None
            return True
        if self._full_since is None:
            self._full_since = self._clock.now()
        return self._clock.now() - self._full_since > ROOM_TIMEOUT_S

    def _accept(self, accepted: socket.socket) -> None:
        if self._open.is_full and not self._close_unused():
            peer = _peer_name(accepted)
            sockets.reset_socket(accepted)
            self._observer.refused(self._settings.name, peer, len(self.connections))
            return
        connection = callerconnection.CallerConnection(
            self._handler, self._open, self._clock, self._memory
        )
        if self._is_leaving:
            connection.leave()
        task = asyncio.get_running_loop().create_task(_serve(connection, accepted))
        self._open.add_opening(connection)
        self._opening_by_task[task] = connection
        task.add_done_callback(self._opening_ended)

    def _opening_ended(self, task: asyncio.Task[None]) -> None:
        """Count a connection that could not be opened no more."""
        self._open.remove_opening(self._opening_by_task.pop(task))

    def _close_unused(self) -> bool:
        """Close a connection without a request in progress; return whether there was one."""
        connection = self._open.order.next_to_close()
        if connection is None:
            return False
        self._open.remove(connection)
        connection.close_unused()
        self._observer.closed_unused(self._settings.name, connection.peer, len(self.connections))
        return True


async def _serve(connection: callerconnection.CallerConnection, accepted: socket.socket) -> None:
    """Let the event loop serve an accepted connection."""
    try:
        await asyncio.get_running_loop().connect_accepted_socket(lambda: connection, accepted)
    except OSError:
        # The caller has left in the meantime.
        accepted.close()


def _peer_name(connection: socket.socket) -> str:
    try:
        host, port = connection.getpeername()
    except OSError:
        return "-"
    return f"{host}:{port}"
