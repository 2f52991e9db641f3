"""What callers have sent and is not handled yet, and the memory that their requests take."""

import asyncio
import collections.abc

from hornbeamglade.http1 import buffermemory

READ_AHEAD_BYTES = 16_384
"""Bytes that are held beyond those that are being handled."""

PIECE_BYTES = 16_384
"""Most bytes that are read from a connection at once. All connections may have a piece at the same
time, and the memory of longer ones is not reused for the bodies that they become."""

LARGE_BODY_BYTES = 65_536

UNCOUNTED_BYTES = 2_048
"""So much of a request is not counted until its head is complete; most heads are shorter."""

REQUEST_BYTES = 16_384
"""Memory of a request in progress besides what its caller sent: its task, the parser's state, its
connection to a replica and its entries in tables."""

FIELD_BYTES = 240
"""Memory of a decoded field besides its text, as received and as sent to a replica."""


class NoMemoryError(Exception):
    """A request that would exceed the bound on held memory.

    :param byte_count: length of its body, or of the part that has arrived.
    """

    def __init__(self, byte_count: int) -> None:
        super().__init__(byte_count)
        self.byte_count = byte_count


class ReceiveBuffer:
    """The bytes received on one connection, with backpressure and their account.

    Explanation
    ===========

    Bytes are read in pieces into a buffer that all connections of a server share, and only while a
    connection holds less than it may: a response is written before more of the next requests is
    read. What a caller sends ahead beyond that stays in the socket, whose receive buffer is
    bounded too.

    :param piece: the buffer that all connections share.
    :param memory: counts and bounds what the connections hold.
    :param holding: what is held for this connection.
    :param reading_paused: called when the connection is not read for now.
    """

    def __init__(
        self,
        piece: memoryview,
        memory: buffermemory.BufferMemory,
        holding: buffermemory.Holding,
        reading_paused: collections.abc.Callable[[], None],
    ) -> None:
        self._piece = piece
        self._memory = memory
        self._holding = holding
        self._reading_paused = reading_paused
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._request_bytes = 0
        self._body_bytes = 0
        self.data = bytearray()
        self.is_discarding = False

    def open(self, transport: asyncio.Transport) -> None:
        """Receive from a new connection."""
        self._transport = transport

    def next_piece(self) -> memoryview:
        """Return the buffer for the next piece, as long as what may be held."""
        if self._waiter is None:
            return self._piece[: max(1, READ_AHEAD_BYTES - len(self.data))]
        return self._piece

    def received(self, byte_count: int) -> None:
        """Add a piece that was read."""
        self.data += self._piece[:byte_count]
        if len(self.data) > UNCOUNTED_BYTES:
            self._holding.hold(self._needed_bytes)
        self.pause_if_ahead()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def pause_if_ahead(self) -> None:
        """Read no more while the caller is too far ahead of what is being handled."""
        if self._waiter is None and len(self.data) >= READ_AHEAD_BYTES:
            if self._transport.is_reading():
                self._reading_paused()
            self._transport.pause_reading()

    async def await_data(self, timeout_s: float) -> bool:
        """Wait for more bytes from the caller; return whether some arrived in time."""
        self._transport.resume_reading()
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await self._waiter
        except TimeoutError:
            return False
        finally:
            self._waiter = None
        return True

    def take(self) -> bytes:
        """Remove all bytes and return them."""
        data = bytes(self.data)
        self.data.clear()
        return data

    def require_room(self) -> None:
        """Check the bound on held memory.

        :raises NoMemoryError: when it is exceeded.
        """
        if not self._memory.has_room(0):
            raise NoMemoryError(len(self.data))

    def set_head(self, head_bytes: int, field_count: int) -> None:
        """Set the size of the head of the request that is received."""
        self._request_bytes = REQUEST_BYTES + head_bytes + FIELD_BYTES * field_count

    def reserve(self, body_bytes: int) -> None:
        """Set the length of the body that is held.

        :raises NoMemoryError: when there is no room for the request.
        """
        self._body_bytes = body_bytes
        is_large = body_bytes > LARGE_BODY_BYTES
        has_room = self._memory.has_room_for_body if is_large else self._memory.has_room
        if not has_room(self._needed_bytes - self._holding.held_bytes):
            raise NoMemoryError(body_bytes)
        self._holding.hold(self._needed_bytes)

    def put_back(self, rest: bytes) -> None:
        """Put back what follows a request; the last piece of the body has become a part of it."""
        self.data[:0] = rest
        self._holding.hold(self._needed_bytes)

    def release(self) -> None:
        """Hold no request any more, only what follows it."""
        self._request_bytes = self._body_bytes = 0
        self._holding.hold(self._needed_bytes)

    def discard(self) -> None:
        """Drop what was received, and all that the caller still sends."""
        self.is_discarding = True
        self.data.clear()
        self.release()

    @property
    def _needed_bytes(self) -> int:
        """The memory of the request that is received or in progress, and of what follows it."""
        return self._request_bytes + self._body_bytes + len(self.data)
