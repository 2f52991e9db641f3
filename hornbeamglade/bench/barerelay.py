"""A minimal HTTP relay: the lower bound for an entry node's cost.

Explanation
===========

The relay accepts requests with cheroot and forwards them with urllib3, on one thread
per stream. Chunks are forwarded as they arrive; nothing is checked, counted or
admitted. What an entry node costs beyond this is the cost of its guarantees.

Run as ``python -m hornbeamglade.bench.barerelay ENGINE...``; prints its listening
address.
"""

import collections.abc
import itertools
import sys
import threading
import typing

import urllib3
from cheroot import wsgi

from hornbeamglade.bench import loadengine
from hornbeamglade.standins import httpserver

THREADS = 300
_STACK_BYTES = 262_144
_BACKLOG = 512
_POLL_S = 0.05
_FORWARDED_HEADERS = {"HTTP_X_REQUEST_ID": "X-Request-Id", "HTTP_X_PRIORITY": "X-Priority"}


class BareRelay:
    """The WSGI application.

    :param engines: ``ip:port`` of each engine, used in round-robin order.
    """

    def __init__(self, engines: collections.abc.Sequence[str]) -> None:
        self._engine_cycle = itertools.cycle(engines)
        self._lock = threading.Lock()
        self._pool = urllib3.PoolManager(
            num_pools=len(engines), maxsize=THREADS, block=False, retries=False
        )

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        """Forward a request to the next engine and return its response."""
        with self._lock:
            engine = next(self._engine_cycle)
        header_by_name = {
            name: environ[key] for key, name in _FORWARDED_HEADERS.items() if key in environ
        }
        response = self._pool.request(
            environ["REQUEST_METHOD"],
            f"http://{engine}{environ['PATH_INFO']}",
            body=environ["wsgi.input"].read(),
            headers={"Content-Type": "application/json", **header_by_name},
            preload_content=False,
        )
        content_type = response.headers.get("Content-Type", "application/json")
        start_response(f"{response.status} {response.reason}", [("Content-Type", content_type)])
        return _relay_body(response)


def _relay_body(response: urllib3.BaseHTTPResponse) -> collections.abc.Iterator[bytes]:
    try:
        if response.chunked:
            yield from response.read_chunked(decode_content=False)
        else:
            yield response.read()
    finally:
        # Not reused: the caller may have disconnected in the middle of the response.
        response.close()


class RelayServer:
    """Serves the relay on a free loopback port."""

    def __init__(self, engines: collections.abc.Sequence[str]) -> None:
        threading.stack_size(_STACK_BYTES)
        self._server = wsgi.Server(
            ("127.0.0.1", 0),
            BareRelay(engines),
            numthreads=THREADS,
            request_queue_size=_BACKLOG,
            shutdown_timeout=1,
        )
        self._server.expiration_interval = _POLL_S
        self._server.prepare()
        host, port = self._server.bind_addr[:2]
        self.address = f"{host}:{port}"
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    def start(self) -> None:
        """Start serving requests on background threads."""
        self._thread.start()

    def stop(self) -> None:
        """Stop serving and free the port."""
        self._server.stop()
        if self._thread.is_alive():
            self._thread.join()


def main() -> None:
    """Serve until SIGTERM."""
    server = RelayServer(sys.argv[1:])
    loadengine.end_after(loadengine.LIFETIME_S)
    print(server.address, flush=True)
    httpserver.run_until_terminated(server)


if __name__ == "__main__":
    main()
