"""Small HTTP server shared by the backend stand-ins."""

import collections.abc
import dataclasses
import http
import json
import signal
import socket
import threading
import typing
import urllib.parse

import cheroot.wsgi

_CONNECTION_KEY = "hornbeamglade.connection"
_STACK_BYTES = 262_144
_BACKLOG = 512
_POLL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request.

    :param headers: header values by lower-case name.
    :param connection: the socket, for faults that break the connection.
    """

    method: str
    path: str
    query_by_name: dict[str, str]
    headers: dict[str, str]
    body: bytes
    connection: socket.socket


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """One response; an iterator as body is sent in chunks as it yields."""

    status: int
    body: bytes | collections.abc.Iterator[bytes]
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = "application/json"


Handler = collections.abc.Callable[[Request], Response | None]


def json_response(
    status: int, value: object, headers: tuple[tuple[str, str], ...] = ()
) -> Response:
    """Create a response with a JSON body."""
    return Response(status, json.dumps(value).encode(), headers)


def close_connection(connection: socket.socket) -> None:
    """Close a connection immediately; the peer sees an early end."""
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


class Server:
    """Serves a handler with one thread per active connection.

    :param bind: ``ip:port``; port 0 selects a free port.
    :param handler: handles requests; None closes the connection without a response.
    :param threads: maximum number of concurrent requests.
    :param on_start: called before the first request is accepted.
    :param on_stop: called before the threads are joined; must end long responses.
    """

    def __init__(
        self,
        bind: str,
        handler: Handler,
        threads: int,
        on_start: collections.abc.Callable[[], None] = lambda: None,
        on_stop: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        host, _, port = bind.rpartition(":")
        self._on_start = on_start
        self._on_stop = on_stop
        self._server = cheroot.wsgi.Server(
            (host, int(port)),
            _Application(handler),
            numthreads=threads,
            max=threads,
            request_queue_size=_BACKLOG,
            shutdown_timeout=1,
        )
        self._server.gateway = _Gateway
        self._server.expiration_interval = _POLL_S
        previous = threading.stack_size(_STACK_BYTES)
        try:
            self._server.prepare()
        finally:
            threading.stack_size(previous)
        bound_host, bound_port = self._server.socket.getsockname()[:2]
        self.address = f"{bound_host}:{bound_port}"
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    def start(self) -> None:
        """Start to accept requests in background threads."""
        self._on_start()
        self._thread.start()

    def stop(self) -> None:
        """Close every connection and free the port."""
        self._on_stop()
        self._server.stop()
        if self._thread.is_alive():
            self._thread.join()


def run_until_terminated(server: Server) -> None:
    """Serve until SIGTERM or SIGINT; call it from the main thread only."""
    terminated = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: terminated.set())
    server.start()
    print(server.address, flush=True)
    terminated.wait()
    server.stop()


class _Gateway(cheroot.wsgi.Gateway_10):
    """Passes the connection's socket to the application."""

    def get_environ(self) -> dict[str, typing.Any]:
        environ = super().get_environ()
        environ[_CONNECTION_KEY] = self.req.conn.socket
        return environ


class _Application:
    """WSGI application that maps to :class:`Request` and :class:`Response`."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        request = _request(environ)
        response = self._handler(request)
        if response is None:
            close_connection(request.connection)
            response = Response(500, b"")
        headers = [("Content-Type", response.content_type), *response.headers]
        body = response.body
        if isinstance(body, bytes):
            headers.append(("Content-Length", str(len(body))))
            body = [body]
        phrase = http.HTTPStatus(response.status).phrase
        start_response(f"{response.status} {phrase}", headers)
        return body


def _request(environ: dict[str, typing.Any]) -> Request:
    headers = {
        name[5:].lower().replace("_", "-"): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if "CONTENT_TYPE" in environ:
        headers["content-type"] = environ["CONTENT_TYPE"]
    return Request(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        dict(urllib.parse.parse_qsl(environ["QUERY_STRING"])),
        headers,
        environ["wsgi.input"].read(),
        environ[_CONNECTION_KEY],
    )
