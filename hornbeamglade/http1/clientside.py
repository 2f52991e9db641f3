"""One connection to a backend server, with one response at a time.

Explanation
===========

A connection is reused for another request only if the last response was complete, nothing
followed it, the server did not announce that it closes the connection, and the whole request
was sent. In all other cases it is closed, so that late or duplicate bytes are never taken
for the response to another request.

A response without a length ends with the connection. It counts as complete only if the
server closed the connection in order; after a reset it is truncated.

A server may stop within a chunk of the body, and bytes of another response then fill it. They show
only at its end, where no line end follows. A reader that passes on a body as it arrives therefore
reads whole chunks.

A server in trouble may send bytes without end. What one response may cost is therefore bounded
in every part whose length it does not state: interim responses, the head, and the framing of the
body. The connection is closed as soon as a bound is passed. Bytes are parsed in small portions
that give way to the other tasks of the event loop.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses

import h11

from hornbeamglade.core import clocks
from hornbeamglade.http1 import fields, sockets, statuslines, strictness

MAX_HEAD_BYTES = 65_536
"""Bytes up to the end of the final head, including all interim responses."""

HEAD_TIMEOUT_S = 2.0
"""Time from the first byte of a response to the end of its final head."""

MAX_FRAMING_BYTES = 65_536
MAX_FRAMING_PER_CONTENT = 16
"""Bytes of chunk framing for each byte of content; chunks of one byte need five."""

CHUNK_END = b"\r\n"
JOINED_WAIT_S = 0.02
"""How long the rest of another response may take that begins within a body."""

PORTION_BYTES = 16_384
SEGMENT_BYTES = 65_536
EVENTS_PER_TURN = 32
"""Parsed events after which other tasks get a turn, if no wait for data has given them one."""

MAX_REFUSALS = 64
"""Refused requests that a connection remembers; it carries no request after the last of them."""

READ_AHEAD_BYTES = 65_536
"""Bytes of a response that may be received ahead of its reader before reading pauses."""

RECEIVE_BUFFER_BYTES = 65_536
"""Size of the receive buffer, which bounds what is received at once."""

DEFAULT_IDLE_LIFETIME_S = 1.0
"""How long an idle connection is reused if its server states no idle timeout."""

IDLE_TIMEOUT_SHARE = 0.7
"""Share of the server's stated idle timeout for which an idle connection is reused: a
request that is sent while the server closes the connection may or may not have run."""


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of a response.

    :param status: the status code.
    :param fields: the header fields, as sent.
    """

    status: int
    fields: fields.Fields


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseLost:
    """A response that is missing or incomplete.

    :param code: a stable identifier: ``not_connected``, ``connection_limit``, ``closed``,
        ``reset``, ``malformed``, ``excessive`` or ``timeout``.
    :param sent: whether any byte of the request may have been sent to the server.
    :param is_refused: whether the connection was refused because nothing listens at the address.
    :param is_timeout: whether there was no response to the attempt to connect.
    """

    code: str
    sent: bool = True
    is_refused: bool = False
    is_timeout: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class BodyEnd:
    """The end of a complete response.

    :param is_stated: whether the response itself states its end, by a length or a last chunk;
        otherwise only the end of the connection shows it.
    """

    is_stated: bool


class ServerConnection(asyncio.Protocol):
    """A connection to a backend server.

    :param address: ``ip:port`` of the server.
    :param clock: monotonic time.
    :ivar via: the node that relays the connection, or None.
    :ivar unasked_bytes: bytes that ended the connection while no request was in progress.
    """

    def __init__(self, address: str, clock: clocks.Clock) -> None:
        self.address = address
        self.via: str | None = None
        self.unasked_bytes = 0
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._parsing_bytes = 0
        self._parsed_bytes = 0
        self._content_bytes = 0
        self._interim_count = 0
        self._events_in_turn = 0
        self._waiter: asyncio.Future[None] | None = None
        self._state: h11.Connection | None = None
        self._is_chunked = False
        self._is_in_chunk = False
        self._is_after_chunk = False
        self._is_end_parsed = False
        self._request: h11.Request | None = None
        self._is_reset = False
        self._has_ended = False
        self._is_unusable = False
        self._unsent_body = memoryview(b"")
        self._is_write_paused = False
        self._idle_since = 0.0
        self._fresh_until = 0.0
        self._refused_hashes: set[int] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options."""
        self._transport = transport
        sockets.set_user_timeout(transport)
        sockets.set_receive_buffer(transport, RECEIVE_BUFFER_BYTES)

    def data_received(self, data: bytes) -> None:
        """Handle bytes from the server."""
        if self._state is None:
            # No request is in progress: these bytes belong to no request.
            self._is_unusable = True
            self.unasked_bytes += len(data)
            self.close()
            return
        self._buffer += data
        if self.read_ahead_bytes() > READ_AHEAD_BYTES:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Record that the server closed the connection in order."""
        self._has_ended = True
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection."""
        if not self._has_ended:
            self._is_reset = True
        self._has_ended = True
        self._wake()

    def send(self, method: bytes, target: bytes, request_fields: fields.Fields, body: bytes):
        """Send a complete request.

        :param request_fields: its end-to-end header fields.
        """
        framing = () if not body and method in (b"GET", b"HEAD") else (_content_length(body),)
        self._request = h11.Request(
            method=method, target=target, headers=[*request_fields, *framing]
        )
        self._state = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._parsing_bytes = self._parsed_bytes = self._content_bytes = 0
        self._interim_count = 0
        self._is_chunked = self._is_in_chunk = self._is_end_parsed = False
        data = self._state.send(self._request)
        is_short = len(body) <= PORTION_BYTES
        if body:
            pieces = self._state.send_with_data_passthrough(h11.Data(data=body))
            data += b"".join(pieces) if is_short else b""
        self._state.send(h11.EndOfMessage())
        self._transport.write(data)
        if not is_short:
            self._unsent_body = memoryview(body)
            self._send_body()

    def pause_writing(self) -> None:
        """Send no more of the request for now."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Continue to send the request."""
        self._is_write_paused = False
        self._send_body()

    def _send_body(self) -> None:
        """Send what is left of the body piece by piece: the transport copies what it buffers."""
        while self._unsent_body and not self._is_write_paused:
            piece = self._unsent_body[:PORTION_BYTES]
            self._unsent_body = self._unsent_body[PORTION_BYTES:]
            self._transport.write(piece)

    async def head(self) -> ResponseHead | ResponseLost:
        """Wait for the response head."""
        if not self._buffer:
            await self._await_data()
        try:
            async with asyncio.timeout(HEAD_TIMEOUT_S):
                return await self._final_head()
        except TimeoutError:
            return self._lost("excessive")

    async def _final_head(self) -> ResponseHead | ResponseLost:
        while True:
            event = await self._event()
            if isinstance(event, ResponseLost):
                return event
            is_interim = isinstance(event, h11.InformationalResponse)
            if not is_interim and not isinstance(event, h11.Response):
                return self._lost("malformed")
            if not statuslines.is_valid(event.http_version, event.status_code):
                return self._lost("malformed")
            head_fields = tuple(event.headers.raw_items())
            if strictness.is_joined(event.reason, head_fields):
                return self._lost("malformed")
            self._interim_count += is_interim
            head_bytes = self._parsed_bytes - len(self._unparsed())
            has_excessive_interim = self._interim_count > statuslines.MAX_INTERIM_RESPONSES
            if head_bytes > MAX_HEAD_BYTES or has_excessive_interim:
                return self._lost("excessive")
            if not is_interim:
                self._parsed_bytes = 0
                self._is_chunked = fields.value(head_fields, b"transfer-encoding") is not None
                return ResponseHead(event.status_code, head_fields)

    async def piece(self) -> bytes | BodyEnd | ResponseLost:
        """Wait for the next piece of the body, or for its end."""
        event = await self._event()
        if isinstance(event, h11.Data):
            self._content_bytes += len(event.data)
            self._is_after_chunk = event.chunk_end
            # The parser reports no start of a chunk whose length line it got without content.
            self._is_in_chunk = self._is_chunked and not event.chunk_end
            if self._has_excessive_framing():
                return self._lost("excessive")
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return BodyEnd(self.is_end_stated)
        return event if isinstance(event, ResponseLost) else self._lost("malformed")

    async def chunk(self, limit: int) -> bytes | BodyEnd | ResponseLost:
        """Wait for the next whole chunk of the body, or for its end.

        A body without chunks is returned in pieces as they arrive.

        :param limit: of a longer chunk, pieces are returned as well.
        """
        held = bytearray()
        try:
            while True:
                piece = await self.piece()
                if not isinstance(piece, bytes):
                    return piece
                held += piece
                del piece
                if self._is_in_chunk and len(held) <= limit:
                    continue
                lost = await self._await_chunk_end() if self._is_after_chunk else None
                return lost or bytes(held)
        finally:
            held.clear()

    async def body(self, limit: int) -> bytes | ResponseLost:
        """Wait for the complete body.

        :param limit: a longer body is treated as malformed.
        """
        segments = await self.segments(limit)
        return segments if isinstance(segments, ResponseLost) else b"".join(segments)

    async def segments(
        self,
        limit: int,
        on_growth: collections.abc.Callable[[int], collections.abc.Awaitable[None]] | None = None,
    ) -> tuple[bytes, ...] | ResponseLost:
        """Wait for the complete body, which is returned in segments.

        A long body would be held twice while it is joined, and one growing array would be moved
        again and again, which leaves the heap fragmented.

        :param limit: as for :meth:`body`.
        :param on_growth: called with the bytes read so far, or None. More is parsed once it has
            returned.
        """
        segments: list[bytes] = []
        segment = bytearray()
        byte_count = 0
        try:
            while True:
                piece = await self.piece()
                if isinstance(piece, BodyEnd):
                    segments.append(bytes(segment))
                    is_joined = await self._is_joined(b"".join(segments[-2:]))
                    return self._lost("malformed") if is_joined else tuple(segments)
                if isinstance(piece, ResponseLost):
                    return piece
                byte_count += len(piece)
                if byte_count > limit:
                    return self._lost("malformed")
                segment += piece
                del piece
                if len(segment) >= SEGMENT_BYTES:
                    segments.append(bytes(segment))
                    segment.clear()
                if on_growth is not None:
                    await on_growth(byte_count)
        finally:
            # The traceback of an error may keep this frame for longer than the response.
            segments.clear()
            segment.clear()

    @property
    def is_end_stated(self) -> bool:
        """Whether a response that has ended states its end itself, by a length or a last chunk."""
        return not self._is_end_parsed

    def _has_excessive_framing(self) -> bool:
        framing_bytes = self._parsed_bytes - self._content_bytes
        bound = MAX_FRAMING_BYTES + MAX_FRAMING_PER_CONTENT * self._content_bytes
        return framing_bytes > bound

    def skip_response(self) -> bool:
        """Continue with the response that follows one to another request.

        To be called after the end of the response to be skipped.

        :returns: False if nothing can follow on this connection.
        """
        if self._state.their_state is not h11.DONE:
            return False
        rest = self._unparsed()
        self._state = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._state.send(self._request)
        self._state.send(h11.Data(data=b""))
        self._parsing_bytes = self._parsed_bytes = self._content_bytes = 0
        self._buffer[:0] = rest
        return True

    def pause_reading(self) -> None:
        """Receive nothing until a part of the response is read."""
        self._transport.pause_reading()

    def read_ahead_bytes(self) -> int:
        """Return how many bytes of a response were received and not yet returned."""
        return len(self._buffer) + self._parsing_bytes

    @property
    def may_be_reused(self) -> bool:
        """Whether another request may be sent on this connection, after the end of a response."""
        state = self._state
        return (
            state is not None
            and state.our_state is h11.DONE
            and state.their_state is h11.DONE
            and not self._unparsed()
            and not self._buffer
            and not self._has_ended
            and not self._is_unusable
            and not self._unsent_body
            and not self._transport.get_write_buffer_size()
            and len(self._refused_hashes) < MAX_REFUSALS
        )

    def record_refusal(self, request_id: str) -> None:
        """Record that a request was refused here: a late copy of the refusal may follow."""
        self._refused_hashes.add(hash(request_id))

    def has_refused(self, request_id: str) -> bool:
        """Return whether a request with this id was refused here."""
        return hash(request_id) in self._refused_hashes

    def prepare_for_reuse(self, head: ResponseHead) -> None:
        """Prepare for the next request."""
        self._state = None
        self._request = None
        self._idle_since = self._clock.now()
        self._fresh_until = self._idle_since + _idle_lifetime_s(head.fields)

    def keep_unused(self) -> None:
        """Keep a connection that has carried no request for the next one."""
        self._idle_since = self._clock.now()
        self._fresh_until = self._idle_since + DEFAULT_IDLE_LIFETIME_S

    def is_fresh(self) -> bool:
        """Return whether an idle connection may still be used for another request."""
        return (
            not self._has_ended
            and not self._is_unusable
            and not self._transport.is_closing()
            and self._clock.now() < self._fresh_until
        )

    @property
    def is_open(self) -> bool:
        """Whether neither side has closed the connection."""
        return not self._has_ended and not self._transport.is_closing()

    @property
    def idle_s(self) -> float | None:
        """Seconds since the last response on this connection, or None if there was none."""
        return self._clock.now() - self._idle_since if self._idle_since else None

    def close(self) -> None:
        """Close immediately; the server then cancels the request in progress."""
        if self._transport is not None:
            self._transport.abort()

    def discard(self) -> None:
        """Close, and drop what was received, as nobody reads the rest of the response."""
        self.close()
        # Objects of a connection refer to each other and are kept until garbage is collected.
        self._buffer.clear()
        self._unsent_body = memoryview(b"")
        self._state = self._request = None

    async def _event(self) -> h11.Event | ResponseLost:
        self._events_in_turn += 1
        if self._events_in_turn > EVENTS_PER_TURN:
            self._events_in_turn = 0
            await asyncio.sleep(0)
        while True:
            try:
                event = self._parse_event()
            except h11.RemoteProtocolError:
                return self._lost("closed" if self._has_ended else "malformed")
            if isinstance(event, h11.Data):
                self._parsing_bytes = max(0, self._parsing_bytes - len(event.data))
            elif event is h11.NEED_DATA or isinstance(event, h11.EndOfMessage):
                # What is left of the data is only framing.
                self._parsing_bytes = 0
            if self.read_ahead_bytes() <= READ_AHEAD_BYTES:
                self._transport.resume_reading()
            if event is not h11.NEED_DATA:
                return event
            if self._is_reset:
                return self._lost("reset")
            if self._has_ended and not self._buffer:
                self._state.receive_data(b"")
                self._is_end_parsed = True
                continue
            await self._await_data()

    def _parse_event(self) -> h11.Event | type[h11.NEED_DATA]:
        """Return the next event of the received data.

        :raises RemoteProtocolError: if the data is malformed.
        """
        try:
            event = self._state.next_event()
            while event is h11.NEED_DATA and self._buffer:
                self._parse_portion()
                event = self._state.next_event()
        except h11.RemoteProtocolError as error:
            # It refers to itself through the parser's frames: a reference cycle, with the data.
            error.__traceback__ = None
            raise
        return event

    async def _await_chunk_end(self) -> ResponseLost | None:
        """Wait for the line end that follows the content of a chunk."""
        while len(following := self._unparsed()) < len(CHUNK_END):
            if self._buffer:
                self._parse_portion()
            elif self._has_ended:
                return self._lost("reset" if self._is_reset else "closed")
            else:
                await self._await_data()
        return None if following.startswith(CHUNK_END) else self._lost("malformed")

    async def _is_joined(self, body: bytes) -> bool:
        """Return whether a body ends within another response, whose rest follows it.

        :param body: the body or its end.
        """
        if strictness.may_be_joined(body, self._unparsed()):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(JOINED_WAIT_S):
                    await self._await_rest_of_joined(body)
        return strictness.is_body_joined(body, self._unparsed() + bytes(self._buffer))

    async def _await_rest_of_joined(self, body: bytes) -> None:
        while strictness.may_be_joined(body, self._unparsed()):
            if self._buffer:
                self._parse_portion()
            elif self._has_ended:
                return
            else:
                await self._await_data()

    def _unparsed(self) -> bytes:
        """Return the bytes that the parser has got and not used."""
        return self._state.trailing_data[0]

    def _parse_portion(self) -> None:
        portion = bytes(self._buffer[:PORTION_BYTES])
        del self._buffer[:PORTION_BYTES]
        self._parsing_bytes += len(portion)
        self._parsed_bytes += len(portion)
        self._state.receive_data(portion)

    async def _await_data(self) -> None:
        if self._buffer or self._has_ended:
            return
        self._events_in_turn = 0
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _lost(self, code: str) -> ResponseLost:
        self._is_unusable = True
        return ResponseLost(code)


async def connect(
    address: str, timeout_s: float, clock: clocks.Clock
) -> ServerConnection | ResponseLost:
    """Open a connection.

    :param address: ``ip:port``.
    """
    try:
        return await sockets.open_connection(
            lambda: ServerConnection(address, clock), address, timeout_s
        )
    except ConnectionRefusedError:
        return ResponseLost("not_connected", sent=False, is_refused=True)
    except TimeoutError:
        return ResponseLost("not_connected", sent=False, is_timeout=True)
    except OSError:
        return ResponseLost("not_connected", sent=False)


def _content_length(body: bytes) -> fields.Field:
    return b"Content-Length", b"%d" % len(body)


def _idle_lifetime_s(head_fields: fields.Fields) -> float:
    """Return how long an idle connection is reused, given the server's header fields."""
    for member in fields.tokens(head_fields, b"keep-alive"):
        name, _, number = member.partition(b"=")
        if name.strip() == b"timeout" and number.strip().isdigit():
            return int(number) * IDLE_TIMEOUT_SHARE
    return DEFAULT_IDLE_LIFETIME_S
