"""A TCP proxy that counts the bytes of a connection, as a sum of both directions."""

import contextlib
import socket
import threading

_READ_BYTES = 65_536


class CountingProxy:
    """Forwards connections to one server.

    :param target: ``ip:port`` of the server.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._lock = threading.Lock()
        self._bytes = 0
        threading.Thread(target=self._accept, name="counted-link", daemon=True).start()

    @property
    def address(self) -> str:
        """Address for clients to connect to, as ``ip:port``."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    @property
    def bytes_forwarded(self) -> int:
        """Bytes forwarded so far in both directions."""
        return self._bytes

    def close(self) -> None:
        """Stop accepting connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
                server = socket.create_connection(self._target)
            except OSError:
                return
            for source, sink in ((client, server), (server, client)):
                threading.Thread(target=self._forward, args=(source, sink), daemon=True).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(_READ_BYTES):
                with self._lock:
                    self._bytes += len(data)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
