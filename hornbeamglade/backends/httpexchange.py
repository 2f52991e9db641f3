"""One HTTP request over a connection of its own, with an exact outcome.

Explanation
===========

Each request gets a new connection. The server may close an idle connection at the
moment it is reused; the request then fails after it was sent, and a request that
mustn't be repeated would end as "unknown" unnecessarily. A new connection also
can't deliver the late response of an abandoned request to the next one.
"""

import dataclasses
import http.client
import socket
import struct
import threading
import typing

import urllib3
import urllib3.connection

from hornbeamglade.backends import outcomes
from hornbeamglade.http1 import wholeheads

REQUEST_ID = "X-Request-Id"
_NOT_RUN = "X-Not-Run"
_READ_BYTES = 65_536
_REFUSAL_BYTES = 65_536
_LINGER_ZERO = struct.pack("ii", 1, 0)

#: What urllib3 and http.client raise on an incomplete or malformed response.
RESPONSE_ERRORS = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError, ValueError)


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """Timeouts of an exchange, in seconds.

    :param connect_s: for establishing the connection.
    :param response_s: without a byte, until the response head.
    :param progress_s: without a byte, within the response body; longer than the
        engines' interval between keep-alives.
    """

    connect_s: float = 1.0
    response_s: float = 10.0
    progress_s: float = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request as it is sent to a backend server.

    :param method: the HTTP method.
    :param target: path and query, percent-encoded.
    :param headers: the header fields, without the request id.
    :param body: the body, or None.
    :param request_id: unique for this attempt.
    """

    method: str
    target: str
    headers: urllib3.HTTPHeaderDict
    body: bytes | None
    request_id: str


class Cancellation:
    """Cancels one request from any thread, also while its response is awaited."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self.cancelled = False

    def attach(self, sock: socket.socket) -> bool:
        """Set the socket to shut down; return False when the request is already cancelled."""
        with self._lock:
            self._socket = sock
            return not self.cancelled

    def cancel(self) -> None:
        """Shut the connection down in order, which makes an engine cancel the stream."""
        with self._lock:
            self.cancelled = True
            if self._socket is not None:
                _shut_down(self._socket)


class _Connection(urllib3.connection.HTTPConnection):
    """Keeps the standard library's response object, whose reads cost less per token."""

    received: wholeheads.WholeHeadResponse

    def response_class(
        self, *args: typing.Any, **kwargs: typing.Any
    ) -> wholeheads.WholeHeadResponse:
        self.received = wholeheads.WholeHeadResponse(*args, **kwargs)
        return self.received


class HttpExchange:
    """A connection with a sent request and the response head that arrived for it."""

    __slots__ = ("_connection", "_socket", "cancellation", "read1", "response")

    def __init__(
        self,
        connection: _Connection,
        sock: socket.socket,
        response: urllib3.HTTPResponse,
        cancellation: Cancellation,
    ) -> None:
        self._connection = connection
        self._socket = sock
        self.response = response
        self.cancellation = cancellation
        #: Reads the bytes of the body that have arrived, without urllib3's layers.
        self.read1 = connection.received.read1

    @property
    def is_end_stated(self) -> bool:
        """Whether the response states its end itself; otherwise only its connection shows it."""
        return self._connection.received.is_end_stated

    def use_kernel_timeout(self, progress_s: float) -> None:
        """Set a receive timeout in the kernel, which saves a system call per read.

        A read that times out then returns no bytes, as at the end of the response;
        :attr:`is_silent` tells the two apart.

        :param progress_s: the timeout of each read, in seconds.
        """
        seconds, fraction = divmod(progress_s, 1.0)
        bound = struct.pack("ll", int(seconds), int(fraction * 1e6))
        self._socket.settimeout(None)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, bound)

    @property
    def is_silent(self) -> bool:
        """Whether the connection is open and has no bytes to read."""
        try:
            self._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Shut the connection down in order, which makes an engine cancel the stream.

        Closing a socket with unread bytes sends only a reset. An engine would take that
        for a lost connection and continue a generation that nobody reads, for as long as
        it keeps lost streams. The shutdown before it makes the engine cancel.
        """
        _shut_down(self._socket)
        self._release()

    def reset(self) -> None:
        """Reset the connection; an engine keeps the stream so that it can be resumed."""
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        except OSError:
            pass
        self._release()

    def _release(self) -> None:
        self.response.close()
        self._connection.close()


def send_request(
    address: str, request: OutgoingRequest, timeouts: Timeouts, cancellation: Cancellation
) -> HttpExchange | outcomes.NotRun | outcomes.Lost | outcomes.MismatchedResponse:
    """Send a request and wait for the response head.

    :param address: the backend server's ``ip:port``.
    :param request: the request.
    :param timeouts: of the connection and the response.
    :param cancellation: lets another thread cancel the request at any time.
    """
    host, _, port = address.rpartition(":")
    connection = _Connection(host.strip("[]"), int(port), timeout=timeouts.connect_s)
    try:
        connection.connect()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        connection.close()
        port_closed = isinstance(error.__cause__ or error, ConnectionRefusedError)
        return outcomes.NotRun(f"no connection to {address}: {error}", False, port_closed)
    sock = connection.sock
    if not cancellation.attach(sock):
        connection.close()
        return outcomes.NotRun("cancelled before it was offered", False)
    outcome = _send(connection, request, timeouts)
    if isinstance(outcome, urllib3.HTTPResponse):
        exchange = HttpExchange(connection, sock, outcome, cancellation)
        outcome = _check_head(exchange, request.request_id)
        if isinstance(outcome, HttpExchange):
            sock.settimeout(timeouts.progress_s)
            return outcome
        exchange.close()
    connection.close()
    return outcome


def read_body(exchange: HttpExchange, limit: int) -> bytes | None:
    """Read the body of a response; return None when it is longer than ``limit`` bytes.

    :param exchange: the exchange.
    :param limit: the maximum length, in bytes.
    :raises Exception: one of :data:`RESPONSE_ERRORS`.
    """
    parts: list[bytes] = []
    size = 0
    while part := exchange.response.read1(_READ_BYTES, decode_content=False):
        parts.append(part)
        size += len(part)
        if size > limit:
            return None
    return b"".join(parts)


def _send(
    connection: _Connection, request: OutgoingRequest, timeouts: Timeouts
) -> urllib3.HTTPResponse | outcomes.NotRun | outcomes.Lost:
    connection.timeout = timeouts.response_s
    headers = request.headers.copy()
    headers[REQUEST_ID] = request.request_id
    try:
        connection.request(
            request.method,
            request.target,
            body=request.body,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )
    except (ValueError, http.client.InvalidURL) as error:
        # http.client encodes and checks the whole head before it sends its first
        # byte, and a body of bytes needs no encoding: nothing was sent.
        return outcomes.NotRun(f"the request can't be sent: {error}", False)
    except (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError) as error:
        return outcomes.Lost(f"lost while sending: {error}")
    try:
        return connection.getresponse()
    except RESPONSE_ERRORS as error:
        return outcomes.Lost(f"no answer: {error!r}")


def _check_head(
    exchange: HttpExchange, request_id: str
) -> HttpExchange | outcomes.NotRun | outcomes.Lost | outcomes.MismatchedResponse:
    response = exchange.response
    found = response.headers.get(REQUEST_ID)
    if found != request_id:
        # A server or middlebox that mixes up responses would give a caller the text of
        # another one's request, or its "not run". Only the id that was sent is accepted.
        return outcomes.MismatchedResponse(found)
    if response.status == 503 and response.headers.get(_NOT_RUN, "").lower() == "true":
        return _read_refusal(exchange)
    return exchange


def _read_refusal(exchange: HttpExchange) -> outcomes.NotRun | outcomes.Lost:
    """Read a refusal to its end; one that breaks off proves nothing."""
    try:
        body = read_body(exchange, _REFUSAL_BYTES)
    except RESPONSE_ERRORS as error:
        return outcomes.Lost(f"the refusal broke off: {error!r}")
    if body is None:
        return outcomes.Lost(f"the refusal is longer than {_REFUSAL_BYTES} bytes")
    return outcomes.NotRun("refused by the backend server", True)


def _shut_down(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
