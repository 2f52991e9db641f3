"""Connections of callers: requests in, answers out, one at a time.

Explanation
===========

A connection is one :class:`asyncio.Protocol` and one task. The task reads a whole
request, has it answered by the handler, and goes on with the next. A caller that
leaves cancels the task, and with it whatever the handler has under way: no backend
server may go on working for a caller that is gone.

A request's body is read whole before it is handled: only then may the request be sent
to a second backend server, and a caller's slow body never holds a replica's slot.
"""

import abc
import asyncio
import dataclasses
import http

import h11

from hornbeamglade.core import clocks
from hornbeamglade.http1 import fields, strictness

READ_AHEAD_BYTES = 65_536
"""What a caller may send ahead of its turn before it is no longer read."""

WRITE_BUFFER_BYTES = 262_144
"""An answer's bytes that may wait for a slow caller: 256 KiB hold two seconds of the
densest stream, and a thousand of them would still not fill an instance's memory."""

_CLOSE = (b"Connection", b"close")


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """What a caller may send, and how long it may take.

    :param head_bytes: longest head of a request.
    :param body_bytes: longest body.
    :param head_s: seconds from a head's first byte to its last.
    :param idle_s: seconds without a byte, between requests and within a body.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_s: float = 3.0
    idle_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request, whole.

    :param method: as sent.
    :param target: path and query, as sent.
    :param fields: as sent, those of the connection included.
    :param body: without its framing.
    :param arrived_at: monotonic seconds at which its first byte was read.
    """

    method: bytes
    target: bytes
    fields: fields.Fields
    body: bytes
    arrived_at: float


class Handler(abc.ABC):
    """Answers requests."""

    @abc.abstractmethod
    async def handle(self, exchange: "Exchange") -> None:
        """Answer one request; cancelled when the caller leaves."""

    @abc.abstractmethod
    def limits(self) -> ConnectionLimits:
        """Return the limits in force now."""

    def refused(self, status: http.HTTPStatus, reason: str) -> None:  # noqa: B027
        """Note a request that was refused before it could be handled."""

    def failed(self, error: Exception) -> None:  # noqa: B027
        """Note an error that handling a request raised."""


class Exchange:
    """One request and its answer.

    :param connection: where the answer goes.
    :param request: the request.
    """

    def __init__(self, connection: "CallerConnection", request: Request, state: h11.Connection):
        self.request = request
        self.is_answered = False
        self._connection = connection
        self._state = state

    @property
    def peer(self) -> str:
        """The caller's address."""
        return self._connection.peer

    async def answer(
        self, status: int, answer_fields: fields.Fields = (), body: bytes = b""
    ) -> None:
        """Send a whole answer."""
        length = (b"Content-Length", b"%d" % len(body))
        has_length = fields.value(answer_fields, b"content-length") is not None
        framed = answer_fields if has_length else (*answer_fields, length)
        data = self._head(status, framed)
        data += self._state.send(h11.Data(data=body)) if body else b""
        data += self._state.send(h11.EndOfMessage())
        self.is_answered = True
        await self._connection.write(data)

    async def begin(self, status: int, answer_fields: fields.Fields) -> None:
        """Send the head of an answer whose length is not known."""
        self.is_answered = True
        await self._connection.write(self._head(status, answer_fields))

    async def send(self, data: bytes) -> None:
        """Send a piece of the body, and wait while the caller is behind."""
        await self._connection.write(self._state.send(h11.Data(data=data)))

    async def finish(self) -> None:
        """End the answer as complete."""
        await self._connection.write(self._state.send(h11.EndOfMessage()))

    def abort(self) -> None:
        """Close the connection; an answer that was begun is seen to be incomplete."""
        self._connection.abort()

    @property
    def is_keeping_open(self) -> bool:
        """Whether the connection may carry another request."""
        return self._state.our_state is h11.DONE and self._state.their_state is h11.DONE

    def _head(self, status: int, answer_fields: fields.Fields) -> bytes:
        if self._connection.is_leaving:
            answer_fields = (*answer_fields, _CLOSE)
        return self._state.send(
            h11.Response(status_code=status, headers=list(answer_fields), reason=_reason(status))
        )


class RefusedError(Exception):
    """A request that cannot be handled, with the status that says why."""

    def __init__(self, status: http.HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class CallerConnection(asyncio.Protocol):
    """One caller's connection.

    :param handler: answers its requests.
    :param open_connections: the set of open connections that it joins.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        handler: Handler,
        open_connections: "set[CallerConnection]",
        clock: clocks.Clock,
    ) -> None:
        self._handler = handler
        self._open_connections = open_connections
        self._clock = clock
        self._inbox = bytearray()
        self._waiter: asyncio.Future[None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._is_gone = False
        self.is_leaving = False
        self.is_busy = False
        self.peer = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        host, port = transport.get_extra_info("peername")[:2]
        self.peer = f"{host}:{port}"
        self._open_connections.add(self)
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        """Take bytes of the caller."""
        self._inbox += data
        if self.is_busy and len(self._inbox) > READ_AHEAD_BYTES:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Close when the caller does."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what is under way: its caller is gone."""
        self._is_gone = True
        self._open_connections.discard(self)
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Note that the caller is behind."""
        self._drained = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Note that the caller has caught up."""
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None

    async def write(self, data: bytes) -> None:
        """Send bytes, and wait while the caller is behind."""
        if self._is_gone:
            raise ConnectionResetError("the caller has left")
        self._transport.write(data)
        if self._drained is not None:
            await self._drained

    def abort(self) -> None:
        """Close at once."""
        self._transport.abort()

    def leave(self) -> None:
        """Close after the next answer; a caller that is idle may send one more request."""
        self.is_leaving = True

    def close_if_idle(self) -> None:
        """Close unless a request is under way or has begun to arrive."""
        if not self.is_busy and not self._inbox:
            self._transport.close()

    async def _serve(self) -> None:
        try:
            while await self._serve_one():
                pass
            self._transport.close()
        except ConnectionResetError:
            self._transport.abort()
        except Exception as error:  # noqa: BLE001
            # A fault in handling one request ends its connection and nothing else.
            self._handler.failed(error)
            self._transport.abort()

    async def _serve_one(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        state = h11.Connection(h11.SERVER)
        try:
            request = await self._read_request(state)
        except RefusedError as refused:
            self._handler.refused(refused.status, refused.reason)
            await self._refuse(refused.status)
            return False
        if request is None:
            return False
        exchange = Exchange(self, request, state)
        self.is_busy = True
        try:
            await self._handler.handle(exchange)
        finally:
            self.is_busy = False
        if not exchange.is_keeping_open:
            return False
        self._transport.resume_reading()
        return True

    async def _read_request(self, state: h11.Connection) -> Request | None:
        limits = self._handler.limits()
        if not await self._await_first_byte(limits):
            return None
        arrived_at = self._clock.now()
        head = await self._read_head(limits)
        complaint = strictness.complaint(head)
        if complaint is not None:
            raise RefusedError(http.HTTPStatus.BAD_REQUEST, complaint)
        state.receive_data(bytes(self._inbox))
        self._inbox.clear()
        try:
            started = state.next_event()
            body = await self._read_body(state, started, limits)
        except h11.RemoteProtocolError as error:
            raise RefusedError(http.HTTPStatus(error.error_status_hint), str(error)) from error
        self._inbox[:0] = state.trailing_data[0]
        return Request(
            bytes(started.method),
            bytes(started.target),
            tuple((bytes(name), bytes(value)) for name, value in started.headers.raw_items()),
            body,
            arrived_at,
        )

    async def _await_first_byte(self, limits: ConnectionLimits) -> bool:
        # RFC 9112, section 2.2: an empty line before a request is passed over.
        while True:
            while self._inbox.startswith(b"\r\n"):
                del self._inbox[:2]
            if self._inbox and self._inbox != b"\r":
                return True
            if not await self._more(limits.idle_s):
                return False

    async def _read_head(self, limits: ConnectionLimits) -> bytes:
        ends_at = self._clock.now() + limits.head_s
        while (end := self._inbox.find(strictness.HEAD_END)) < 0:
            if len(self._inbox) > limits.head_bytes:
                break
            if not await self._more(ends_at - self._clock.now()):
                raise RefusedError(http.HTTPStatus.REQUEST_TIMEOUT, "the head took too long")
        if end < 0 or end > limits.head_bytes:
            status = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            raise RefusedError(status, "the head is too long")
        return bytes(self._inbox[: end + len(strictness.HEAD_END)])

    async def _read_body(
        self, state: h11.Connection, started: h11.Request, limits: ConnectionLimits
    ) -> bytes:
        length = fields.value(started.headers, b"content-length")
        if length is not None and int(length) > limits.body_bytes:
            raise RefusedError(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long")
        if state.they_are_waiting_for_100_continue:
            self._transport.write(
                state.send(h11.InformationalResponse(status_code=100, headers=[]))
            )
        body = bytearray()
        while True:
            event = state.next_event()
            if event is h11.NEED_DATA:
                if not await self._more(limits.idle_s):
                    raise RefusedError(http.HTTPStatus.REQUEST_TIMEOUT, "the body took too long")
                state.receive_data(bytes(self._inbox))
                self._inbox.clear()
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.body_bytes:
                    status = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
                    raise RefusedError(status, "the body is too long")
            else:
                return bytes(body)

    async def _more(self, timeout_s: float) -> bool:
        """Wait for more bytes of the caller; return whether some came in time."""
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await self._waiter
        except TimeoutError:
            return False
        finally:
            self._waiter = None
        return True

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _refuse(self, status: http.HTTPStatus) -> None:
        """Send a status for a request that could not be read, so that it ends the connection."""
        head = f"HTTP/1.1 {status.value} {status.phrase}\r\n"
        self._transport.write(f"{head}Content-Length: 0\r\nConnection: close\r\n\r\n".encode())


class CallersServer:
    """Listens on one address and keeps its open connections.

    :param handler: answers requests.
    :param clock: monotonic time.
    """

    def __init__(self, handler: Handler, clock: clocks.Clock) -> None:
        self._handler = handler
        self._clock = clock
        self._server: asyncio.Server | None = None
        self.connections: set[CallerConnection] = set()
        self._is_leaving = False

    async def listen(self, host: str, port: int, backlog: int = 512) -> str:
        """Begin to accept; return the address as ``ip:port``."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, port, backlog=backlog)
        bound_host, bound_port = self._server.sockets[0].getsockname()[:2]
        return f"{bound_host}:{bound_port}"

    def leave(self) -> None:
        """Have each connection closed after its next answer."""
        self._is_leaving = True
        for connection in self.connections:
            connection.leave()

    def close_idle(self) -> None:
        """Close the connections on which nothing is under way."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def stop_listening(self) -> None:
        """Accept no more connections; the open ones stay."""
        if self._server is not None:
            self._server.close()

    @property
    def busy_count(self) -> int:
        """How many requests are under way."""
        return sum(connection.is_busy for connection in self.connections)

    def _accept(self) -> CallerConnection:
        connection = CallerConnection(self._handler, self.connections, self._clock)
        connection.is_leaving = self._is_leaving
        return connection


def _reason(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return ""
