"""Accepts connections at one address, a bounded number at a time."""

import asyncio
import collections.abc
import socket

ACCEPTS_PER_TURN = 16
"""Connections that are accepted before other tasks get a turn."""

ROOM_PAUSE_S = 0.01
"""Pause while there is no room for a connection, which then waits in the backlog."""

ERROR_PAUSE_S = 0.1
"""Pause after an error, such as a lack of descriptors, which the next attempt would meet again."""


class Acceptor:
    """A listening socket on an event loop.

    Explanation
    ===========

    The event loop's own server accepts as many connections in one turn as its backlog holds, and
    reports each error with a traceback to the standard error stream.

    :param accepted: called with each accepted connection, which it has to close.
    :param failed: called with an error of ``accept`` that differs from the one before, and with
        None once connections are accepted again.
    :param may_accept: returns whether another connection may be accepted now.
    """

    def __init__(
        self,
        accepted: collections.abc.Callable[[socket.socket], None],
        failed: collections.abc.Callable[[OSError | None], None],
        may_accept: collections.abc.Callable[[], bool],
    ) -> None:
        self._may_accept = may_accept
        self._accepted = accepted
        self._failed = failed
        self._errno: int | None = None
        self.socket: socket.socket | None = None
        self._pause: asyncio.TimerHandle | None = None

    def listen(self, host: str, port: int, backlog: int, receive_buffer_bytes: int) -> str:
        """Start to accept connections; return the address as ``ip:port``.

        :param receive_buffer_bytes: size of the receive buffer of each connection.
        :raises OSError: if the address cannot be bound.
        """
        self.socket = socket.socket(socket.AF_INET)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit it.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self.socket.setblocking(False)
        self.socket.bind((host, port))
        self.socket.listen(backlog)
        self._resume()
        bound_host, bound_port = self.socket.getsockname()
        return f"{bound_host}:{bound_port}"

    def close(self) -> None:
        """Stop listening; idempotent."""
        if self.socket is None:
            return
        if self._pause is not None:
            self._pause.cancel()
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.close()
        self.socket = None

    def _resume(self) -> None:
        self._pause = None
        asyncio.get_running_loop().add_reader(self.socket, self._accept)

    def _pause_for(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.socket)
        self._pause = loop.call_later(seconds, self._resume)

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            if not self._may_accept():
                self._pause_for(ROOM_PAUSE_S)
                return
            try:
                connection, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self._report(error)
                self._pause_for(ERROR_PAUSE_S)
                return
            self._report(None)
            connection.setblocking(False)
            self._accepted(connection)

    def _report(self, error: OSError | None) -> None:
        errno = None if error is None else error.errno
        if errno != self._errno:
            self._errno = errno
            self._failed(error)
