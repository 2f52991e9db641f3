"""One connection to a backend server, and one answer at a time on it.

Explanation
===========

What a connection is worth depends on what was seen on it. It carries another request
only when the last answer was whole, nothing came after it, the server did not say that
it closes, and the request's own bytes are all sent. Anything else closes it: bytes that
come late or twice then meet no other request.

An answer without a length ends with the connection. Such an end counts as whole only
when the server closed in order; a reset is a torn answer.
"""

import asyncio
import dataclasses
import socket

import h11

from hornbeamglade.core import clocks
from hornbeamglade.http1 import fields

MAX_HEAD_BYTES = 65_536
READ_AHEAD_BYTES = 262_144
USER_TIMEOUT_MS = 3_000
"""Sent bytes that stay unacknowledged for so long end a connection. Without it, writing
to an instance that lost power goes unnoticed for many minutes."""

DEFAULT_IDLE_S = 1.0
"""How long a kept connection is trusted whose server does not say when it closes it."""

IDLE_SHARE = 0.7
"""Share of the server's stated idle timeout for which a kept connection is trusted: a
request that crosses the server's close may or may not have run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The head of an answer.

    :param status: its status.
    :param fields: as sent.
    """

    status: int
    fields: fields.Fields


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """An answer that did not come, or not whole.

    :param code: a stable identifier: ``not_connected``, ``closed``, ``reset``,
        ``malformed`` or ``timeout``.
    :param sent: whether any byte of the request was offered to the server.
    :param is_refused: whether the server's address answered that nothing listens there.
    """

    code: str
    sent: bool = True
    is_refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The end of a whole answer."""


class ServerConnection(asyncio.Protocol):
    """A connection to a backend server.

    :param address: ``ip:port`` of the server.
    :param clock: monotonic time.
    """

    def __init__(self, address: str, clock: clocks.Clock) -> None:
        self.address = address
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._inbox = bytearray()
        self._waiter: asyncio.Future[None] | None = None
        self._state: h11.Connection | None = None
        self._request: h11.Request | None = None
        self._is_reset = False
        self._has_ended = False
        self._is_spoiled = False
        self._trusted_until = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = transport
        connection = transport.get_extra_info("socket")
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Take bytes of the server."""
        if self._state is None:
            # Nothing was asked: whatever this is belongs to no request.
            self._is_spoiled = True
            self.close()
            return
        self._inbox += data
        if len(self._inbox) > READ_AHEAD_BYTES:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Note that the server closed in order."""
        self._has_ended = True
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection."""
        if not self._has_ended:
            self._is_reset = True
        self._has_ended = True
        self._wake()

    def send(self, method: bytes, target: bytes, request_fields: fields.Fields, body: bytes):
        """Send a whole request.

        :param request_fields: those that concern more than one connection.
        """
        framing = () if not body and method in (b"GET", b"HEAD") else (_length(body),)
        self._request = h11.Request(
            method=method, target=target, headers=[*request_fields, *framing]
        )
        self._state = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        data = self._state.send(self._request)
        data += self._state.send(h11.Data(data=body)) if body else b""
        data += self._state.send(h11.EndOfMessage())
        self._transport.write(data)

    async def head(self) -> Head | Lost:
        """Wait for the head of the answer."""
        while True:
            event = await self._event()
            if isinstance(event, h11.Response):
                return Head(event.status_code, tuple(event.headers.raw_items()))
            if isinstance(event, Lost):
                return event
            if not isinstance(event, h11.InformationalResponse):
                return self._lost("malformed")

    async def piece(self) -> bytes | End | Lost:
        """Wait for the next piece of the body, or for its end."""
        event = await self._event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return End()
        return event if isinstance(event, Lost) else self._lost("malformed")

    async def body(self, limit: int) -> bytes | Lost:
        """Wait for the whole body.

        :param limit: a longer body is taken for malformed.
        """
        whole = bytearray()
        while True:
            piece = await self.piece()
            if isinstance(piece, End):
                return bytes(whole)
            if isinstance(piece, Lost):
                return piece
            whole += piece
            if len(whole) > limit:
                return self._lost("malformed")

    def skip_answer(self) -> bool:
        """Go on to the answer that follows one that belongs to another request.

        Call it after the end of the answer that is to be skipped.

        :returns: False when nothing can follow on this connection.
        """
        if self._state.their_state is not h11.DONE:
            return False
        rest = self._state.trailing_data[0]
        self._state = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._state.send(self._request)
        self._state.send(h11.Data(data=b""))
        self._inbox[:0] = rest
        return True

    @property
    def may_be_kept(self) -> bool:
        """Whether another request may be sent here, after the end of an answer."""
        state = self._state
        return (
            state is not None
            and state.our_state is h11.DONE
            and state.their_state is h11.DONE
            and not state.trailing_data[0]
            and not self._inbox
            and not self._has_ended
            and not self._is_spoiled
            and not self._transport.get_write_buffer_size()
        )

    def keep(self, head: Head) -> None:
        """Make ready for the next request."""
        self._state = None
        self._request = None
        self._trusted_until = self._clock.now() + _trusted_s(head.fields)

    def is_trusted(self) -> bool:
        """Tell whether a kept connection is fresh enough for another request."""
        return (
            not self._has_ended
            and not self._is_spoiled
            and not self._transport.is_closing()
            and self._clock.now() < self._trusted_until
        )

    def close(self) -> None:
        """Close at once; a server stops the work of a request whose connection closes."""
        if self._transport is not None:
            self._transport.abort()

    async def _event(self) -> h11.Event | Lost:
        while True:
            if self._inbox:
                self._state.receive_data(bytes(self._inbox))
                self._inbox.clear()
                self._transport.resume_reading()
            try:
                event = self._state.next_event()
            except h11.RemoteProtocolError:
                return self._lost("closed" if self._has_ended else "malformed")
            if event is not h11.NEED_DATA:
                return event
            if self._is_reset:
                return self._lost("reset")
            if self._has_ended and not self._inbox:
                self._state.receive_data(b"")
                continue
            await self._more()

    async def _more(self) -> None:
        if self._inbox or self._has_ended:
            return
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _lost(self, code: str) -> Lost:
        self._is_spoiled = True
        return Lost(code)


async def connect(address: str, timeout_s: float, clock: clocks.Clock) -> ServerConnection | Lost:
    """Open a connection.

    :param address: ``ip:port``.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, protocol = await loop.create_connection(
                lambda: ServerConnection(address, clock), host, int(port)
            )
    except ConnectionRefusedError:
        return Lost("not_connected", sent=False, is_refused=True)
    except (OSError, TimeoutError):
        return Lost("not_connected", sent=False)
    return protocol


def _length(body: bytes) -> fields.Field:
    return b"Content-Length", b"%d" % len(body)


def _trusted_s(head_fields: fields.Fields) -> float:
    """Return how long a kept connection is trusted, by its server's own word."""
    for member in fields.tokens(head_fields, b"keep-alive"):
        name, _, number = member.partition(b"=")
        if name.strip() == b"timeout" and number.strip().isdigit():
            return int(number) * IDLE_SHARE
    return DEFAULT_IDLE_S
