"""One connection from a caller, with one request and response at a time.

Explanation
===========

A connection is one :class:`asyncio.Protocol` and one task. The task reads a complete
request, lets the handler answer it, and continues with the next. If the caller
disconnects, the task is cancelled, and with it all work of the handler: no backend
server may continue to work for a disconnected caller.

What the connections hold, requests until they are answered and responses until they are sent, is
counted in :mod:`hornbeamglade.http1.buffermemory` and bounded there.
"""

import asyncio

import h11

from hornbeamglade.core import clocks
from hornbeamglade.http1 import (
    buffermemory,
    connectionorder,
    exchanges,
    handlers,
    openconnections,
    receivebuffer,
    requestreader,
    responsewriter,
)

LINGER_S = 1.0
"""How long the rest of a refused body is read and discarded. If the connection were closed while
the caller still sends, a reset could remove the refusal before the caller has read it."""


class CallerConnection(asyncio.BufferedProtocol, connectionorder.Connection):
    """One caller's connection.

    :param handler: answers its requests.
    :param connections: the open connections of its listener.
    :param clock: monotonic time.
    :param memory: counts and bounds what the connections hold.
    """

    def __init__(
        self,
        handler: handlers.Handler,
        connections: openconnections.OpenConnections,
        clock: clocks.Clock,
        memory: buffermemory.BufferMemory,
    ) -> None:
        self._connections = connections
        self._handler = handler
        self._memory = memory
        self._writer = responsewriter.ResponseWriter(memory, handler.limits, handler.closed_unread)
        self._received = receivebuffer.ReceiveBuffer(
            connections.read_buffer,
            memory,
            self._writer.holding,
            connections.reading_paused,
        )
        self._task: asyncio.Task[None] | None = None
        self.is_busy = False
        self._reader = requestreader.RequestReader(
            self._received, self._writer, clock, handler.limits
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start serving."""
        self._received.open(transport)
        self._writer.open(transport, self._connections.settings.write_buffer_bytes)
        self._connections.add(self)
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next piece, as long as what may be held."""
        return self._received.next_piece()

    def buffer_updated(self, nbytes: int) -> None:
        """Handle bytes from the caller."""
        if self._received.is_discarding:
            return
        if not self.is_busy:
            self._connections.order.set_receiving(self)
        self._received.received(nbytes)

    def eof_received(self) -> bool:
        """Close the connection when the caller does."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, as its caller has disconnected."""
        self._writer.lost()
        self._connections.remove(self)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Pause writers until the caller has read more."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Resume writers."""
        self._writer.resume()

    @property
    def peer(self) -> str:
        """The address of the caller."""
        return self._writer.peer

    def unsent_bytes(self) -> int:
        """Return the bytes in the write buffer."""
        return self._writer.unsent_bytes()

    def abort(self) -> None:
        """Close immediately."""
        self._writer.abort()

    def close_unused(self) -> None:
        """Close immediately, as no request is in progress and another caller has connected."""
        self.abort()

    def leave(self) -> None:
        """Close after the next response; an idle caller may send one more request."""
        self._writer.announces_close = True

    @property
    def has_whole_response(self) -> bool:
        """Whether the response that is being sent is known to its end."""
        return not self.is_busy or self._writer.is_sending_whole

    @property
    def is_in_use(self) -> bool:
        """Whether a request has begun to arrive, is in progress, or its response is not sent."""
        has_request = self.is_busy or self._reader.is_receiving or bool(self._received.data)
        return has_request or self.unsent_bytes() > 0

    def close_if_idle(self) -> None:
        """Close unless the connection is in use."""
        if not self.is_in_use:
            self._writer.close()

    async def _serve(self) -> None:
        try:
            while await self._serve_one():
                # The next request may have arrived too, and serving it need not wait for anything:
                # without this, other connections and timers would wait for all that is read ahead.
                if self._received.data:
                    await asyncio.sleep(0)
            self._writer.close_when_sent()
        except asyncio.CancelledError:
            # A task keeps the error that ends it, and with its frames all that these held: a
            # reference cycle, as some of them refer to the task.
            pass
        except ConnectionResetError:
            self._writer.abort()
        except Exception as error:  # noqa: BLE001
            # An error in handling one request ends only its connection.
            self._handler.failed(error)
            self._writer.abort()

    async def _serve_one(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        state = h11.Connection(h11.SERVER)
        request = None
        has_room = True
        if not self._received.data:
            self._connections.order.set_idle(self)
        try:
            request = await self._reader.read(state, self._admit)
        except requestreader.RefusedError as refused:
            self._handler.refused(refused.status, refused.reason)
            self._writer.refuse(refused.status)
        except receivebuffer.NoMemoryError as error:
            self._handler.body_refused(self.peer, error.byte_count, self._memory.held_bytes)
            has_room = False
        except requestreader.NoConnectionError:
            self._connections.request_refused(self.peer)
            has_room = False
        if request is None:
            self._connections.release(self)
        if not has_room:
            # Outside of the handler of the error, whose frames hold what has been read.
            del state
            await self._refuse_unread()
        if request is None:
            return False
        exchange = exchanges.Exchange(self._writer, request, state)
        self.is_busy = True
        self._connections.order.remove(self)
        self._received.pause_if_ahead()
        try:
            await self._handler.handle(exchange)
        finally:
            self.is_busy = False
            self._connections.release(self)
            self._writer.end_response()
            self._received.release()
        return exchange.keeps_connection

    def _admit(self) -> bool:
        """Count a request whose head is complete; return False if there are too many."""
        return self._connections.admit(self)

    async def _refuse_unread(self) -> None:
        """Refuse a request that was not read to its end; it has not run and may be sent again."""
        self._received.discard()
        self._writer.refuse_unread()
        self._connections.order.set_refused(self)
        # If the caller closes the connection first, this task is cancelled.
        await asyncio.sleep(LINGER_S)
