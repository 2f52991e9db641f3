"""Responses written on a connection no faster than its caller reads them."""

import asyncio
import collections.abc
import contextlib
import http

from hornbeamglade.http1 import buffermemory, callerrequests, sockets

MEMORY_RETRY_S = 1
"""Retry delay of a body that was refused for want of memory. After this time, callers that stopped
reading lose their connections, which frees the memory that they held."""


class ResponseWriter(buffermemory.Reader):
    """Writes the responses on one connection, with backpressure, and closes it.

    Explanation
    ===========

    It does not refer to the connection or to a response in progress, so that what these hold is
    freed when they end.

    :param memory: counts and bounds what the connections hold.
    :param limits: returns the current limits.
    :param closed_unread: called when the connection is closed because its caller did not read;
        with the caller's address, the bytes held for it, and those that all connections hold.
    """

    def __init__(
        self,
        memory: buffermemory.BufferMemory,
        limits: collections.abc.Callable[[], callerrequests.ConnectionLimits],
        closed_unread: collections.abc.Callable[[str, int, int], None],
    ) -> None:
        self._memory = memory
        self._limits = limits
        self._closed_unread = closed_unread
        self.holding = memory.open(self)
        self.peer = ""
        self.announces_close = False
        self.count_read_ahead: collections.abc.Callable[[], int] = _nothing
        self.is_sending_whole = False
        self._transport: asyncio.Transport | None = None
        self._drain_waiter: asyncio.Future[None] | None = None
        self._closing: asyncio.TimerHandle | None = None
        self._is_gone = False

    def open(self, transport: asyncio.Transport, write_buffer_bytes: int) -> None:
        """Write on a new connection.

        :param write_buffer_bytes: bytes that may be buffered for the caller.
        """
        self._transport = transport
        transport.set_write_buffer_limits(high=write_buffer_bytes)
        # A connection that was reset before it was accepted has no peer.
        host, port = (transport.get_extra_info("peername") or ("-", 0))[:2]
        self.peer = f"{host}:{port}"

    def lost(self) -> None:
        """Release what is held at the end of the connection; writers fail from now on."""
        self._is_gone = True
        if self._closing is not None:
            self._closing.cancel()
        self.holding.close()
        if self._drain_waiter is not None and not self._drain_waiter.done():
            self._drain_waiter.set_result(None)

    def pause(self) -> None:
        """Pause writers until the caller has read more."""
        self._drain_waiter = asyncio.get_running_loop().create_future()

    def resume(self) -> None:
        """Resume writers."""
        if self._drain_waiter is not None and not self._drain_waiter.done():
            self._drain_waiter.set_result(None)
        self._drain_waiter = None

    async def write(self, data: bytes) -> None:
        """Send bytes, and wait while the write buffer is full.

        :raises ConnectionResetError: if the caller has disconnected.
        """
        if self._is_gone:
            raise ConnectionResetError("the caller has disconnected")
        self._transport.write(data)
        self.holding.written(len(data))
        if self._drain_waiter is not None:
            await self._await_drain()

    async def _await_drain(self) -> None:
        """Wait until the caller has read more; close if it reads nothing for the idle time."""
        while (waiter := self._drain_waiter) is not None:
            unsent = self.unsent_bytes()
            await asyncio.wait((waiter,), timeout=self._limits().idle_s)
            if self._drain_waiter is waiter and self.unsent_bytes() >= unsent:
                self.close_unread(unsent)
                # The end of the connection cancels this task, as if the caller had left.
                await waiter

    def begin_whole(self, byte_count: int) -> None:
        """Count a complete body as held while it is written in pieces."""
        self.count_read_ahead = lambda: byte_count
        self.is_sending_whole = True

    def end_response(self) -> None:
        """Hold nothing of a response besides what is in the write buffer."""
        self.count_read_ahead = _nothing
        self.is_sending_whole = False

    def write_interim(self, data: bytes) -> None:
        """Send an interim response, which is short, without waiting."""
        self._transport.write(data)

    def refuse(self, status: http.HTTPStatus) -> None:
        """Respond to a request that could not be read; its connection is then closed."""
        head = f"HTTP/1.1 {status.value} {status.phrase}\r\n"
        self._transport.write(f"{head}Content-Length: 0\r\nConnection: close\r\n\r\n".encode())

    def refuse_unread(self) -> None:
        """Refuse a request that was not read to its end; it has not run and may be sent again."""
        self._transport.write(
            b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: %d\r\n"
            b"Content-Length: 0\r\nConnection: close\r\n\r\n" % MEMORY_RETRY_S
        )
        # The caller may have reset the connection in between, which the transport then reports.
        with contextlib.suppress(OSError):
            self._transport.write_eof()

    def unsent_bytes(self) -> int:
        """Return the bytes in the write buffer."""
        return self._transport.get_write_buffer_size()

    def read_ahead_bytes(self) -> int:
        """Return the bytes of the response that are held outside of the write buffer."""
        return self.count_read_ahead()

    def abort(self) -> None:
        """Close immediately."""
        self._transport.abort()

    def reset(self) -> None:
        """Close immediately, so that the caller sees no orderly end."""
        sockets.reset(self._transport)

    def close(self) -> None:
        """Close once what is buffered is sent."""
        self._transport.close()

    def close_unread(self, byte_count: int) -> None:
        """Close immediately, as the caller does not read."""
        self._closed_unread(self.peer, byte_count, self._memory.held_bytes)
        self.abort()

    def close_when_sent(self) -> None:
        """Close once the caller has read what is buffered, or reads no further."""
        unsent = self.unsent_bytes()
        self._transport.close()
        if unsent:
            loop = asyncio.get_running_loop()
            self._closing = loop.call_later(self._limits().idle_s, self._close_if_unread, unsent)

    def _close_if_unread(self, unsent_before: int) -> None:
        unsent = self.unsent_bytes()
        if unsent >= unsent_before:
            self.close_unread(unsent)
        else:
            self.close_when_sent()


def _nothing() -> int:
    return 0
