"""The cheroot server that callers connect to."""

import select
import socket
import threading
from collections.abc import Callable

import cheroot.server
from cheroot import wsgi

from hornbeamglade.callers import slowsenders
from hornbeamglade.core import codederrors

THREAD_STACK_BYTES = 262_144
READ_TIMEOUT_S = 10.0
ACCEPT_BACKLOG = 512
HEADER_BYTES = 65_536
LINK_KEY = "hornbeamglade.link"


class CallerLink:
    """The part of the caller's connection that the application may use.

    :param request: cheroot's request; None in tests without a socket.
    :param senders: tracks the connections whose request is being read.
    """

    __slots__ = ("_request", "_senders")

    def __init__(
        self,
        request: cheroot.server.HTTPRequest | None = None,
        senders: slowsenders.SlowSenders | None = None,
    ) -> None:
        self._request = request
        self._senders = senders

    def is_gone(self) -> bool:
        """Return whether the caller has closed its connection.

        Guards a replica's memory against requests whose caller disconnected while they
        waited: on such a connection a read returns end of file. A pipelined request reads
        as data and is not consumed.
        """
        if self._request is None:
            return False
        connection = self._request.conn.socket
        try:
            if not _is_readable(connection):
                return False
            return connection.recv(1, socket.MSG_PEEK) == b""
        except (OSError, ValueError):
            return True  # reset, or closed because this node stops

    def body_read(self) -> None:
        """Record that the request has been received completely."""
        if self._request is not None and self._senders is not None:
            self._senders.done(self._request.conn.socket)

    def close_after_answer(self) -> None:
        """Close the connection after this response without reading the rest of the body."""
        if self._request is not None:
            self._request.close_connection = True


def _is_readable(connection: socket.socket) -> bool:
    # poll() rather than select(): descriptors above 1,023 are common here.
    poller = select.poll()
    poller.register(connection, select.POLLIN | select.POLLHUP | select.POLLERR)
    return bool(poller.poll(0))


class _AddressReusingServer(wsgi.Server):
    """Allows a restarted node to bind its address while old connections are in TIME_WAIT.

    Cheroot sets the option only for a fixed port; a port that the system chose could
    not be bound again for a minute after the node was killed.
    """

    @classmethod
    def prepare_socket(cls, *arguments: object, **named: object) -> socket.socket:
        prepared = super().prepare_socket(*arguments, **named)
        prepared.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return prepared


class CallersServer:
    """Serves a WSGI application on an ``ip:port``.

    The address is bound at construction, so that it can be announced; requests are
    answered once :meth:`start` has been called.

    :param address: where to listen; port 0 selects a free port.
    :param threads: connections served at once; each stream occupies a thread.
    :param senders: limits the time that a request may take to arrive.
    :raises CodedError: ``callers_address_unusable`` if it cannot be bound.
    """

    def __init__(self, address: str, threads: int, senders: slowsenders.SlowSenders) -> None:
        host, _, port = address.rpartition(":")
        self._server = _AddressReusingServer(
            (host.strip("[]"), int(port)),
            None,
            numthreads=threads,
            request_queue_size=ACCEPT_BACKLOG,
            timeout=READ_TIMEOUT_S,
        )
        self._state = _ServingState()
        self._server.gateway = _gateway_class(senders, self._state)
        self._server.ConnectionClass = _connection_class(senders, self._state)
        self._server.max_request_header_size = HEADER_BYTES
        self._thread: threading.Thread | None = None
        threading.stack_size(THREAD_STACK_BYTES)
        try:
            self._server.prepare()
        except OSError as error:
            code = "callers_address_unusable"
            raise codederrors.CodedError(code, f"{address}: {error}") from error

    @property
    def address(self) -> str:
        """The address on which the server listens, as ``ip:port``."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self, application: Callable) -> None:
        """Serve in a separate thread.

        :param application: the WSGI application.
        """
        self._server.wsgi_app = application
        self._thread = threading.Thread(target=self._server.serve, name="callers", daemon=True)
        self._thread.start()

    @property
    def busy(self) -> int:
        """The number of connections with a request in progress, from its first byte on."""
        return self._state.busy

    def leave(self) -> None:
        """Send ``Connection: close`` with all responses from now on.

        Guards a planned stop against callers that keep their connection open: they would
        use it for as long as they have requests.
        """
        self._state.is_leaving = True

    def close_listener(self) -> None:
        """Accept no further connections; accepted ones are still served."""
        listener = self._server.socket
        self._server.socket = None
        listener.close()

    def stop(self) -> None:
        """Stop serving; open connections are closed."""
        self._server.stop()
        if self._thread is not None:
            self._thread.join()


class _ServingState:
    """State shared by the connections of one server."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.busy = 0
        self.is_leaving = False

    def change_busy(self, change: int) -> None:
        with self._lock:
            self.busy += change


def _gateway_class(senders: slowsenders.SlowSenders, state: _ServingState) -> type:
    """Return a gateway class that adds the caller's link to the WSGI environment."""

    class Gateway(wsgi.Gateway_10):
        def get_environ(self) -> dict:
            environ = super().get_environ()
            if state.is_leaving:
                self.req.close_connection = True
            environ[LINK_KEY] = CallerLink(self.req, senders)
            return environ

        def respond(self) -> None:
            # The library's own method omits ``close`` if the headers cannot be sent, as
            # to a disconnected caller: the stream's resources would never be released.
            response = self.req.server.wsgi_app(self.env, self.start_response)
            try:
                for piece in filter(None, response):
                    self.write(piece)
                self.req.ensure_headers_sent()
            finally:
                if hasattr(response, "close"):
                    response.close()

    return Gateway


def _connection_class(senders: slowsenders.SlowSenders, state: _ServingState) -> type:
    """Return a connection class that registers itself while its request arrives."""

    class Connection(cheroot.server.HTTPConnection):
        def communicate(self) -> bool:
            senders.begin(self.socket)
            state.change_busy(1)
            try:
                return super().communicate() and not state.is_leaving
            finally:
                state.change_busy(-1)
                senders.done(self.socket)

        def close(self) -> None:
            try:
                super().close()
            finally:
                # The library's connections refer to themselves: what was not sent would be kept
                # until garbage is collected.
                self.wfile = None

    return Connection
