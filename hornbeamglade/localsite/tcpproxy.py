"""TCP pass-throughs whose links can be held, stalled or cut without being closed.

Explanation
===========

A link that stalls shows no error at either end. No signal to a process gives
that, so benches and tests put one of these between a node and what it calls.
"""

import contextlib
import socket
import struct
import threading
import time

_PIECE_BYTES = 65_536
_LINGER_NONE = struct.pack("ii", 1, 0)


class TcpProxy:
    """Pass bytes between clients and one server.

    :param target: the server's ``ip:port``.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self.delay_s = 0.0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._open = threading.Event()
        self._open.set()
        self._requests_open = threading.Event()
        self._requests_open.set()
        self._unstalled = threading.Event()
        self._stalled: frozenset[socket.socket] = frozenset()
        self._sockets: set[socket.socket] = set()
        self._lock = threading.Lock()
        self.refuse = False
        self.responses_held = 0
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """The ``ip:port`` on which clients are taken."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def hold_responses(self) -> None:
        """Keep back what the server sends, on new connections too."""
        self._open.clear()

    def hold_requests(self) -> None:
        """Keep back what clients send, on new connections too."""
        self._requests_open.clear()

    def retarget(self, target: str) -> None:
        """Pass new connections on to another server; those that stand are reset."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self.reset_connections()

    def stall(self) -> None:
        """Keep back both directions of the connections that stand; new ones pass."""
        with self._lock:
            self._stalled = frozenset(self._sockets)

    def release(self) -> None:
        """Pass on what was kept back."""
        self.delay_s = 0.0
        self._open.set()
        self._requests_open.set()
        unstalled, self._unstalled = self._unstalled, threading.Event()
        self._stalled = frozenset()
        unstalled.set()

    def reset_connections(self) -> None:
        """Reset the connections that stand; new ones pass unless ``refuse`` is set."""
        with self._lock:
            sockets, self._sockets = self._sockets, set()
        for each in sockets:
            _reset(each)

    def close(self) -> None:
        """End all connections and take no more."""
        self.release()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.reset_connections()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            if self.refuse:
                _reset(client)
                continue
            try:
                server = socket.create_connection(self._target)
            except OSError:
                _reset(client)
                continue
            with self._lock:
                self._sockets |= {client, server}
            threading.Thread(target=self._pass, args=(client, server, False), daemon=True).start()
            threading.Thread(target=self._pass, args=(server, client, True), daemon=True).start()

    def _pass(self, source: socket.socket, sink: socket.socket, is_answer: bool) -> None:
        try:
            while piece := source.recv(_PIECE_BYTES):
                unstalled = self._unstalled
                if source in self._stalled:
                    unstalled.wait()
                if is_answer and not self._open.is_set():
                    self.responses_held += 1
                    self._open.wait()
                if not is_answer:
                    self._requests_open.wait()
                if self.delay_s:
                    time.sleep(self.delay_s)
                sink.sendall(piece)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            _reset(sink)


class TcpProxies:
    """The pass-throughs of one site, made when the site asks for a route.

    :param names: the processes before which one is put.
    """

    def __init__(self, *names: str) -> None:
        self._names = frozenset(names)
        self.link_by_name: dict[str, TcpProxy] = {}
        self._moved: set[str] = set()

    def route(self, name: str, address: str) -> str:
        """Return the address under which a process is reached."""
        if name not in self._names:
            return address
        if name not in self.link_by_name:
            self.link_by_name[name] = TcpProxy(address)
        elif name in self._moved:
            self._moved.discard(name)
            self.link_by_name[name].retarget(address)
        return self.link_by_name[name].address

    def retarget(self, name: str) -> None:
        """Have the next route to a process lead to its new address."""
        self._moved.add(name)

    def __getitem__(self, name: str) -> TcpProxy:
        """Return the link before a process."""
        return self.link_by_name[name]

    def close(self) -> None:
        """End all connections."""
        for link in self.link_by_name.values():
            link.close()


def _reset(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    connection.close()
