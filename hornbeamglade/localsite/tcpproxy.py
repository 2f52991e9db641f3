"""TCP proxies that can delay, hold, stall or reset the connections through them.

Explanation
===========

A stalled connection shows no error at either end, and no signal to a process can
cause that. Benches and tests therefore put a proxy between a node and its peers.
"""

import contextlib
import enum
import select
import socket
import struct
import threading
import time

_READ_BYTES = 65_536
_BACKLOG = 128
_FILLERS = 2
_POLL_S = 0.02
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Partition(enum.Enum):
    """How a partition of a link shows to its clients."""

    HANG = "hang"
    """Open connections stall, and attempts to connect get no response."""

    RESET = "reset"
    """Open connections are reset, and new ones refused."""

    REFUSE_NEW = "refuse_new"
    """Open connections work, and new ones are refused."""


class TcpProxy:
    """Relays bytes between clients and one server.

    :param target: the server's ``ip:port``.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self.delay_s = 0.0
        # Keeps the port while the proxy does not listen; a socket that is bound but does not
        # listen refuses connections.
        self._reservation = _bound_socket(0)
        self._port = self._reservation.getsockname()[1]
        self._listener: socket.socket | None = None
        self._stop_signal: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self._is_partitioned = False
        self._is_target_down = False
        self._is_closed = False
        self._responses_released = threading.Event()
        self._responses_released.set()
        self._requests_released = threading.Event()
        self._requests_released.set()
        self._unstalled = threading.Event()
        self._stalled: frozenset[socket.socket] = frozenset()
        self._sockets: set[socket.socket] = set()
        self._lock = threading.Lock()
        self.refuse = False
        self.responses_held = 0
        self._listen()

    @property
    def address(self) -> str:
        """The ``ip:port`` that clients connect to."""
        return f"127.0.0.1:{self._port}"

    def partition(self, how: Partition) -> None:
        """Partition clients from the server until :meth:`release`."""
        with self._lock:
            self._is_partitioned = True
            self._stop_accepting()
            if how is Partition.HANG:
                self._fill_backlog()
            else:
                self._stop_listening()
        if how is Partition.HANG:
            self.stall()
        elif how is Partition.RESET:
            self.reset_connections()

    def _fill_backlog(self) -> None:
        """Let attempts to connect get no response, which they get only while the backlog has room.

        The listener stays open: closing it would reset the connections that wait in its backlog.
        """
        if self._listener is None:
            self._listener = _bound_socket(self._port)
        self._listener.listen(0)
        for _ in range(_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self._port))
            self._fillers.append(filler)

    def _close_fillers(self) -> None:
        for filler in self._fillers:
            _reset(filler)
        self._fillers.clear()

    def _listen(self) -> None:
        """Accept connections, also those that wait in the backlog."""
        self._close_fillers()
        if self._listener is None:
            self._listener = _bound_socket(self._port)
        self._listener.setblocking(False)
        self._listener.listen(_BACKLOG)
        stopped, self._stop_signal = socket.socketpair()
        threading.Thread(
            target=self._accept, args=(self._listener, stopped, self._stop_signal), daemon=True
        ).start()

    def _stop_accepting(self) -> None:
        if self._stop_signal is not None:
            self._stop_signal.close()
            self._stop_signal = None

    def _stop_listening(self) -> None:
        self._stop_accepting()
        self._close_fillers()
        if self._listener is not None:
            # Closing alone has no effect until the thread that waits for connections ends.
            with contextlib.suppress(OSError):
                self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()
            self._listener = None

    def _end_partition(self) -> None:
        with self._lock:
            if not self._is_partitioned:
                return
            self._is_partitioned = False
            if self._is_target_down:
                self._stop_listening()
            else:
                self._listen()

    def _check_target(self) -> None:
        """Refuse connections from now on if nothing listens at the target, as its machine does."""
        if self._is_target_listening():
            return
        with self._lock:
            if self._is_target_down or self._is_closed:
                return
            self._is_target_down = True
            if not self._is_partitioned:
                self._stop_listening()
        threading.Thread(target=self._await_target, daemon=True).start()

    def _await_target(self) -> None:
        while not self._is_target_listening() and not self._is_closed:
            time.sleep(_POLL_S)
        with self._lock:
            self._is_target_down = False
            if not self._is_partitioned and not self._is_closed:
                self._listen()

    def _is_target_listening(self) -> bool:
        try:
            socket.create_connection(self._target).close()
        except ConnectionRefusedError:
            return False
        except OSError:
            # Whether it listens is not known, for example for want of descriptors.
            return True
        return True

    def hold_responses(self) -> None:
        """Hold back the data that the server sends, also on new connections."""
        self._responses_released.clear()

    def hold_requests(self) -> None:
        """Hold back the data that clients send, also on new connections."""
        self._requests_released.clear()

    def retarget(self, target: str) -> None:
        """Send new connections to another server and reset the open ones."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self.reset_connections()

    def stall(self) -> None:
        """Hold back both directions of the open connections; new ones work."""
        with self._lock:
            self._stalled = frozenset(self._sockets)

    def release(self) -> None:
        """Send the held data on, remove all delays and end a partition."""
        self._end_partition()
        self.delay_s = 0.0
        self._responses_released.set()
        self._requests_released.set()
        unstalled, self._unstalled = self._unstalled, threading.Event()
        self._stalled = frozenset()
        unstalled.set()

    def reset_connections(self) -> None:
        """Reset the open connections; new ones work unless ``refuse`` is set."""
        with self._lock:
            sockets, self._sockets = self._sockets, set()
        for connection in sockets:
            _reset(connection)

    def close(self) -> None:
        """Reset all connections and accept no more."""
        self.release()
        with self._lock:
            self._is_closed = True
            self._stop_listening()
        self._reservation.close()
        self.reset_connections()

    def _accept(
        self, listener: socket.socket, stopped: socket.socket, stop_signal: socket.socket
    ) -> None:
        poller = select.poll()
        poller.register(listener, select.POLLIN)
        poller.register(stopped, select.POLLIN)
        with stopped:
            while True:
                poller.poll()
                with self._lock:
                    if self._stop_signal is not stop_signal:
                        return
                    try:
                        client, _ = listener.accept()
                    except BlockingIOError:
                        continue
                    except OSError:
                        return
                    # From here on a partition affects it, although it has no server yet.
                    self._sockets.add(client)
                self._serve(client)

    def _serve(self, client: socket.socket) -> None:
        if self.refuse or not _is_connected(client):
            self._forget(client)
            return
        try:
            server = socket.create_connection(self._target)
        except OSError:
            self._check_target()
            self._forget(client)
            return
        with self._lock:
            self._sockets.add(server)
            if client in self._stalled:
                self._stalled |= {server}
        threading.Thread(target=self._relay, args=(client, server, False), daemon=True).start()
        threading.Thread(target=self._relay, args=(server, client, True), daemon=True).start()

    def _forget(self, client: socket.socket) -> None:
        """Reset a connection that has no server."""
        with self._lock:
            self._sockets.discard(client)
        _reset(client)

    def _relay(self, source: socket.socket, sink: socket.socket, is_response: bool) -> None:
        try:
            while data := source.recv(_READ_BYTES):
                unstalled = self._unstalled
                if source in self._stalled:
                    unstalled.wait()
                if is_response and not self._responses_released.is_set():
                    self.responses_held += 1
                    self._responses_released.wait()
                if not is_response:
                    self._requests_released.wait()
                if self.delay_s:
                    time.sleep(self.delay_s)
                sink.sendall(data)
            if is_response:
                self._check_target()
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            if is_response:
                self._check_target()
            _reset(sink)


class TcpProxies:
    """The proxies of one site, created when the site asks for a route.

    :param names: the processes that get a proxy.
    """

    def __init__(self, *names: str) -> None:
        self._names = frozenset(names)
        self.link_by_name: dict[str, TcpProxy] = {}
        self._retargeted: set[str] = set()

    def route(self, name: str, address: str) -> str:
        """Return the address under which a process is reached."""
        return self.link(name, address).address if name in self._names else address

    def link(self, name: str, address: str) -> TcpProxy:
        """Return the proxy of a process, which is created for its address if it has none."""
        if name not in self.link_by_name:
            self.link_by_name[name] = TcpProxy(address)
        elif name in self._retargeted:
            self._retargeted.discard(name)
            self.link_by_name[name].retarget(address)
        return self.link_by_name[name]

    def retarget(self, name: str) -> None:
        """Make the next call of :meth:`route` for a process use its new address."""
        self._retargeted.add(name)

    def __getitem__(self, name: str) -> TcpProxy:
        """Return the proxy of a process."""
        return self.link_by_name[name]

    def close(self) -> None:
        """Close all proxies."""
        for link in self.link_by_name.values():
            link.close()


def _bound_socket(port: int) -> socket.socket:
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    bound.bind(("127.0.0.1", port))
    return bound


def _is_connected(connection: socket.socket) -> bool:
    """Return whether a client is still there; fillers, for example, are not."""
    try:
        connection.getpeername()
    except OSError:
        return False
    return True


def _reset(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    connection.close()
