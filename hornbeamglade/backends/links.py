"""One request over one connection of its own, with a truthful outcome.

Explanation
===========

Each request gets a fresh connection. A kept one may have been closed by the
server at the moment it is used again; that shows as a failure after the request
was offered, and a request that mustn't be repeated would end as "unknown"
without need. A fresh connection also can't carry the late answer of an
abandoned request to the next one.
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

REQUEST_ID = "X-Request-Id"
_NOT_RUN = "X-Not-Run"
_READ_BYTES = 65_536
_LINGER_NONE = struct.pack("ii", 1, 0)

#: What urllib3 and http.client raise on a broken or malformed answer.
ANSWER_ERRORS = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError, ValueError)


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """Bounds on waiting, in seconds.

    :param connect_s: until the connection stands.
    :param response_s: without a byte, until the answer's head.
    :param progress_s: without a byte, within the answer's body; longer than the
        engines' time between keep-alives.
    """

    connect_s: float = 1.0
    response_s: float = 10.0
    progress_s: float = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A request as it goes to a backend server.

    :param target: path and query, quoted.
    """

    method: str
    target: str
    headers: urllib3.HTTPHeaderDict
    body: bytes | None
    request_id: str


class Cancellation:
    """Ends one request from any thread, also while its answer is awaited."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self.cancelled = False

    def attach(self, connected: socket.socket) -> bool:
        """Name the socket to close; False when the request is cancelled already."""
        with self._lock:
            self._socket = connected
            return not self.cancelled

    def cancel(self) -> None:
        """Close the connection in order, which tells an engine to cancel."""
        with self._lock:
            self.cancelled = True
            if self._socket is not None:
                _shut_down(self._socket)


class _Connection(urllib3.connection.HTTPConnection):
    """Keeps the standard library's response, whose reads cost less for each token."""

    received: http.client.HTTPResponse

    def response_class(self, *args: typing.Any, **kwargs: typing.Any) -> http.client.HTTPResponse:
        self.received = http.client.HTTPResponse(*args, **kwargs)
        return self.received


class Link:
    """A connection whose answer's head has come and bears the request's id."""

    __slots__ = ("_connection", "_socket", "cancellation", "read1", "response")

    def __init__(
        self,
        connection: _Connection,
        connected: socket.socket,
        response: urllib3.HTTPResponse,
        cancellation: Cancellation,
    ) -> None:
        self._connection = connection
        self._socket = connected
        self.response = response
        self.cancellation = cancellation
        #: Reads what has arrived of the body, without urllib3's layers.
        self.read1 = connection.received.read1

    def wait_in_kernel(self, progress_s: float) -> None:
        """Have the kernel bound each wait, which saves a system call for each read.

        A read that waits for too long then returns as at the end of the answer;
        :attr:`silent` tells the two apart.
        """
        seconds, fraction = divmod(progress_s, 1.0)
        bound = struct.pack("ll", int(seconds), int(fraction * 1e6))
        self._socket.settimeout(None)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, bound)

    @property
    def silent(self) -> bool:
        """Whether the connection stands and nothing is there to be read."""
        try:
            self._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """End the connection in order; an engine cancels the stream.

        Closing alone sends a reset when there are unread bytes. An engine takes that
        for a lost connection and goes on with an answer that nobody reads, for as long
        as it holds streams. The end that is sent before tells it to cancel.
        """
        _shut_down(self._socket)
        self._release()

    def abandon(self) -> None:
        """Reset the connection; an engine holds the stream so that it can be resumed."""
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
        except OSError:
            pass
        self._release()

    def _release(self) -> None:
        self.response.close()
        self._connection.close()


def offer(
    address: str, request: Offer, timeouts: Timeouts, cancellation: Cancellation
) -> Link | outcomes.NotRun | outcomes.Lost | outcomes.MismatchedResponse:
    """Offer a request and wait for the head of its answer.

    :param address: the backend server's ``ip:port``.
    """
    host, _, port = address.rpartition(":")
    connection = _Connection(host.strip("[]"), int(port), timeout=timeouts.connect_s)
    try:
        connection.connect()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        connection.close()
        port_closed = isinstance(error.__cause__ or error, ConnectionRefusedError)
        return outcomes.NotRun(f"no connection to {address}: {error}", False, port_closed)
    connected = connection.sock
    if not cancellation.attach(connected):
        connection.close()
        return outcomes.NotRun("cancelled before it was offered", False)
    outcome = _send(connection, request, timeouts)
    if isinstance(outcome, urllib3.HTTPResponse):
        link = Link(connection, connected, outcome, cancellation)
        outcome = _check_head(link, request.request_id)
        if isinstance(outcome, Link):
            connected.settimeout(timeouts.progress_s)
            return outcome
        link.close()
    connection.close()
    return outcome


def read_body(link: Link, limit: int) -> bytes | None:
    """Read the rest of an answer; None when it is longer than ``limit`` bytes.

    :raises Exception: one of :data:`ANSWER_ERRORS`.
    """
    parts: list[bytes] = []
    size = 0
    while part := link.response.read1(_READ_BYTES, decode_content=False):
        parts.append(part)
        size += len(part)
        if size > limit:
            return None
    return b"".join(parts)


def _send(
    connection: _Connection, request: Offer, timeouts: Timeouts
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
        # byte, and a body of bytes needs no encoding: nothing was offered.
        return outcomes.NotRun(f"the request can't be sent: {error}", False)
    except (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError) as error:
        return outcomes.Lost(f"lost while sending: {error}")
    try:
        return connection.getresponse()
    except ANSWER_ERRORS as error:
        return outcomes.Lost(f"no answer: {error!r}")


def _check_head(
    link: Link, request_id: str
) -> Link | outcomes.NotRun | outcomes.Lost | outcomes.MismatchedResponse:
    response = link.response
    found = response.headers.get(REQUEST_ID)
    if found != request_id:
        # A server or a middle box that mixes up answers gives one caller another's
        # text, or another's "not run". Only the id that was sent is accepted back.
        return outcomes.MismatchedResponse(found)
    if response.status == 503 and response.headers.get(_NOT_RUN, "").lower() == "true":
        return outcomes.NotRun("refused by the backend server", True)
    return link


def _shut_down(connected: socket.socket) -> None:
    try:
        connected.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
