"""Limits the time that a caller may take to send one request.

Explanation
===========

A caller that sends a byte occasionally occupies a thread without end:
the socket's timeout restarts with each byte. Every connection that is
being read is registered here, and a sweep ends the reading of those that took
longer than the limit. The connection can still be written to, so the caller gets a 408.
"""

import socket
import threading

from hornbeamglade.core import clocks

REQUEST_READ_S = 20.0


class SlowSenders:
    """Connections whose request is being read, with the time at which it began.

    :param clock: monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._start_by_connection: dict[socket.socket, float] = {}

    def begin(self, connection: socket.socket) -> None:
        """Record that a request begins to arrive."""
        with self._lock:
            self._start_by_connection[connection] = self._clock.now()

    def done(self, connection: socket.socket) -> None:
        """Record that the request has arrived completely or was abandoned; idempotent."""
        with self._lock:
            self._start_by_connection.pop(connection, None)

    def sweep(self) -> int:
        """End reading from the connections that took too long; return how many."""
        late = self._remove_late()
        for connection in late:
            try:
                connection.shutdown(socket.SHUT_RD)
            except OSError:
                pass
        return len(late)

    def _remove_late(self) -> tuple[socket.socket, ...]:
        oldest = self._clock.now() - REQUEST_READ_S
        with self._lock:
            late = tuple(
                c for c, started_at in self._start_by_connection.items() if started_at < oldest
            )
            for connection in late:
                del self._start_by_connection[connection]
        return late
