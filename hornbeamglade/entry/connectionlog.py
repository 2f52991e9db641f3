"""Counts and logs what becomes of connections at the limits of an instance's listeners."""

import errno

from hornbeamglade.http1 import listeners
from hornbeamglade.observability import logs, metrics

ACCEPTING = "accepting"


class ConnectionLog(listeners.ListenerObserver):
    """Counts and logs the events of all listeners of an instance.

    :param instruments: the instance's metrics.
    """

    def __init__(self, instruments: metrics.NodeMetrics) -> None:
        self._refusals = instruments.refusals
        self._routed = instruments.routed
        self._state_by_listener: dict[str, str] = {}

    def refused(self, listener: str, peer: str, count: int) -> None:
        """Record a connection that was refused at the limit."""
        self._routed.refused_connections.add(labels=(listener,))
        logs.decided("-", "connection", "refused", source=listener, address=peer, count=count)

    def closed_unused(self, listener: str, peer: str, count: int) -> None:
        """Record a connection that was closed for another one."""
        self._routed.closed_unused.add(labels=(listener,))
        logs.decided(
            "-", "connection", "closed_unused", source=listener, address=peer, count=count
        )

    def request_refused(self, listener: str, peer: str, count: int) -> None:
        """Record a request that was refused for want of connections."""
        self._refusals.add(labels=("connections_full", ""))
        logs.decided(
            "-", "connection", "request_refused", source=listener, address=peer, count=count
        )

    def reading_paused(self, listener: str) -> None:
        """Count a connection that is not read for now, as its caller is too far ahead."""
        self._routed.paused_reads.add(labels=(listener,))

    def accept_failed(self, listener: str, error: OSError | None) -> None:
        """Log that connections cannot be accepted, or are again."""
        after = ACCEPTING if error is None else errno.errorcode.get(error.errno, "unknown")
        before = self._state_by_listener.get(listener, ACCEPTING)
        self._state_by_listener[listener] = after
        logs.state_changed("listener", before, after, source=listener)
