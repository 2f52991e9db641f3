"""Crowds of callers that do not behave: what they send, and whether they read the responses.

Explanation
===========

Each kind of crowd is a class that says what one of its connections sends. :class:`CrowdRun` opens
the connections, sends until all is sent, every connection is closed or none accepts another byte,
and keeps the connections open until it is left. What a crowd sends and reads is bounded by its
size; the times end a crowd that its peer serves slowly or not at all, which then sends less.
"""

import abc
import collections.abc
import contextlib
import itertools
import selectors
import socket
import time
import typing

from hornbeamglade.standins import operatordocuments

STALLED_S = 3.0
"""A crowd of which no connection has made progress for this long has been stopped by its peer."""

MAX_S = 30.0
"""Bounds the time of a crowd, whatever its peer does."""

SELECT_TIMEOUT_S = 0.2
READ_BYTES = 262_144
MAX_RECEIVED_BYTES = 2_000_000
"""What a crowd that reads has received of all responses when it ends."""

RECEIVE_BUFFER_BYTES = 4_096
FIELDS_END = b"\r\n\r\n"


class Crowd(abc.ABC):
    """A kind of misbehaving callers.

    :param key: an API key of a team.
    """

    connections = 8
    """Connections that are open at once."""

    bytes_each = 16_000_000
    """Most bytes that one connection sends."""

    reads = False
    """Whether responses are read."""

    reopening_s = 0.0
    """For how long each connection that the peer has reset is replaced by a new one."""

    def __init__(self, key: str = "") -> None:
        self.key = key

    @abc.abstractmethod
    def pieces(self, number: int) -> collections.abc.Iterator[bytes]:
        """Yield what a connection sends.

        :param number: the number of the connection, from 0.
        """

    def head(self, target: str, number: int, *more_fields: str, method: str = "GET") -> bytes:
        """Return the head of a request."""
        fields = (
            f"{method} {target} HTTP/1.1",
            f"Host: {operatordocuments.HOST}",
            f"Attempt-Id: crowd-{number}",
            "Deadline-Ms: 20000",
            f"Authorization: Bearer {self.key}",
            *more_fields,
        )
        return "\r\n".join(fields).encode() + FIELDS_END


class RequestsAhead(Crowd):
    """Small requests that are sent ahead without end; no response is read.

    :param key: an API key of a team.
    :param target: their target.
    """

    def __init__(self, key: str = "", target: str = "/list/1") -> None:
        super().__init__(key)
        self.target = target

    def pieces(self, number: int) -> collections.abc.Iterator[bytes]:
        """Yield groups of requests."""
        yield from itertools.repeat(100 * self.head(self.target, number))


class RequestsAheadRead(RequestsAhead):
    """Small requests that are sent ahead without end, whose responses are read."""

    reads = True


class StreamsAhead(RequestsAhead):
    """Requests for streams that are sent ahead without end; no response is read.

    :param key: an API key of a team.
    """

    def __init__(self, key: str = "") -> None:
        super().__init__(key, "/tag/1")

    def head(self, target: str, number: int, *more_fields: str, method: str = "GET") -> bytes:
        """Return the head of a request for a stream."""
        stream_fields = ("Model: m", "Token-Usage: 100,400", "Prompt-Prefix: tag:40,crowd:60")
        return super().head(target, number, *stream_fields, *more_fields, method=method)


class LargeResponses(Crowd):
    """One request on each connection, for a large response that is not read."""

    connections = 200

    def pieces(self, number: int) -> collections.abc.Iterator[bytes]:
        """Yield one request."""
        yield self.head("/list/1", number)


class LargeBodies(LargeResponses):
    """A long body on each connection, whose response is not read."""

    connections = 14
    body_bytes = 3_460_000

    def pieces(self, number: int) -> collections.abc.Iterator[bytes]:
        """Yield one request."""
        length = f"Content-Length: {self.body_bytes}"
        yield self.head("/list/1", number, length, method="POST") + b"x" * self.body_bytes


class LargeResponsesAhead(LargeResponses):
    """Requests for large responses that are not read, sent again when a connection is reset."""

    connections = 40
    requests_each = 50
    field_bytes = 500
    reopening_s = 10.0

    def pieces(self, number: int) -> collections.abc.Iterator[bytes]:
        """Yield all requests of a connection, more than is read of it before it is closed."""
        field = "Padding: " + self.field_bytes * "x"
        yield self.requests_each * self.head("/list/1", number, field)


class ManyFields(Crowd):
    """Requests that wait at a replica, with as many empty header fields as a head may have."""

    connections = 500
    field_count = 850

    def pieces(self, number: int) -> collections.abc.Iterator[bytes]:
        """Yield one request."""
        yield self.head("/list/1", number, *self.field_count * ("a:",))


class SmallBodies(Crowd):
    """Requests that wait at a replica, each with a body just below the size of a large one."""

    connections = 900
    body_bytes = 65_000

    def pieces(self, number: int) -> collections.abc.Iterator[bytes]:
        """Yield one request."""
        length = f"Content-Length: {self.body_bytes}"
        yield self.head("/list/1", number, length, method="POST") + b"x" * self.body_bytes


class PartialBodies(SmallBodies):
    """Requests of whose bodies the last byte is never sent."""

    def pieces(self, number: int) -> collections.abc.Iterator[bytes]:
        """Yield all of a request but its last byte."""
        yield next(super().pieces(number))[:-1]


class OneByteChunks(Crowd):
    """Bodies in chunks of one byte, as long as a body may be, then the next request."""

    bytes_each = 4_000_000
    chunks = 50_000

    def pieces(self, number: int) -> collections.abc.Iterator[bytes]:
        """Yield requests."""
        head = self.head("/list/1", number, "Transfer-Encoding: chunked", method="POST")
        yield from itertools.repeat(head + self.chunks * b"1\r\nx\r\n" + b"0\r\n\r\n")


class EmptyLines(Crowd):
    """Empty lines without end before a request."""

    def pieces(self, number: int) -> collections.abc.Iterator[bytes]:
        """Yield empty lines."""
        yield from itertools.repeat(10_000 * b"\r\n")


class EndlessHeads(Crowd):
    """Heads without end."""

    connections = 64

    def pieces(self, number: int) -> collections.abc.Iterator[bytes]:
        """Yield the start of a head, and then more and more of one field."""
        yield self.head("/list/1", number)[: -len(FIELDS_END)] + b"\r\nX-Long: "
        yield from itertools.repeat(10_000 * b"x")


class IdleConnections(Crowd):
    """Connections on which nothing is sent."""

    connections = 400

    def pieces(self, number: int) -> collections.abc.Iterator[bytes]:
        """Yield nothing."""
        yield from ()


class CrowdRun:
    """One crowd at one address; use it as a context manager.

    :param crowd: the kind of crowd.
    :param address: the ``ip:port`` that it connects to.
    """

    def __init__(self, crowd: Crowd, address: str) -> None:
        self._crowd = crowd
        host, _, port = address.rpartition(":")
        self._endpoint = (host, int(port))
        self._selector = selectors.DefaultSelector()
        self._connections: list[_Connection] = []
        self._is_stopped = False

    def __enter__(self) -> typing.Self:
        """Open the connections."""
        self._connections = [self._open(number) for number in range(self._crowd.connections)]
        return self

    def __exit__(self, *exception: object) -> None:
        """Close the connections."""
        for connection in self._connections:
            connection.socket.close()
        self._selector.close()

    def press(self) -> None:
        """Send until everything is sent, or the peer accepts nothing more."""
        now = time.monotonic()
        ends_at = now + MAX_S
        reopens_until = now + self._crowd.reopening_s
        stalled_at = max(now + STALLED_S, reopens_until)
        while (self._has_more or now < reopens_until) and now < min(ends_at, stalled_at):
            progress = [
                self._progress(key.data) for key, _ in self._selector.select(SELECT_TIMEOUT_S)
            ]
            now = time.monotonic()
            if any(progress):
                stalled_at = max(now + STALLED_S, reopens_until)
            if now < reopens_until:
                self._replace_reset()

    def stop(self) -> None:
        """Send nothing more; to be called from another thread."""
        self._is_stopped = True

    @property
    def _has_more(self) -> bool:
        received = sum(each.received_bytes for each in self._connections)
        has_more = any(each.has_more for each in self._connections)
        return has_more and received < MAX_RECEIVED_BYTES and not self._is_stopped

    def _open(self, number: int) -> "_Connection":
        connection = _Connection(self._crowd, number, self._endpoint)
        self._selector.register(connection.socket, selectors.EVENT_WRITE, connection)
        return connection

    def _replace_reset(self) -> None:
        for number, connection in enumerate(self._connections):
            if connection.is_reset():
                if connection.events:
                    self._selector.unregister(connection.socket)
                connection.socket.close()
                self._connections[number] = self._open(number)

    def _progress(self, connection: "_Connection") -> bool:
        """Send and read what is possible; return whether bytes were sent or received."""
        byte_count = connection.byte_count
        connection.progress()
        if connection.events:
            self._selector.modify(connection.socket, connection.events, connection)
        else:
            self._selector.unregister(connection.socket)
        return connection.byte_count > byte_count


class _Connection:
    """One connection of a crowd."""

    def __init__(self, crowd: Crowd, number: int, endpoint: tuple[str, int]) -> None:
        self._reads = crowd.reads
        self._max_bytes = crowd.bytes_each
        self._pieces = crowd.pieces(number)
        self._pending = memoryview(b"")
        self._is_connected = False
        self._is_closed = False
        self.sent_bytes = 0
        self.received_bytes = 0
        self.socket = socket.socket()
        if not crowd.reads:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.socket.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            self.socket.connect(endpoint)

    @property
    def byte_count(self) -> int:
        """The bytes sent and received."""
        return self.sent_bytes + self.received_bytes

    @property
    def has_more(self) -> bool:
        """Whether it is open, and has to connect or to send more."""
        return not self._is_closed and (not self._is_connected or bool(self._pending))

    @property
    def events(self) -> int:
        """The events that it waits for."""
        reading = selectors.EVENT_READ if self._reads and not self._is_closed else 0
        return reading | (selectors.EVENT_WRITE if self.has_more else 0)

    def is_reset(self) -> bool:
        """Return whether the peer has reset it; data that is not read hides an orderly close."""
        return self._is_closed or bool(self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    def progress(self) -> None:
        """Send and read what is possible now."""
        for step in (self._send, self._receive):
            try:
                step()
            except BlockingIOError:
                pass
            except OSError:
                self._is_closed = True

    def _send(self) -> None:
        if not self._is_connected:
            self._is_connected = True
            self._pending = memoryview(next(self._pieces, b""))
        if not self._pending:
            return
        sent = self.socket.send(self._pending[: self._max_bytes - self.sent_bytes])
        self.sent_bytes += sent
        self._pending = self._pending[sent:]
        if self.sent_bytes == self._max_bytes:
            self._pending = memoryview(b"")
        elif not self._pending:
            self._pending = memoryview(next(self._pieces, b""))

    def _receive(self) -> None:
        if not self._reads:
            return
        received = len(self.socket.recv(READ_BYTES))
        self.received_bytes += received
        self._is_closed = not received
