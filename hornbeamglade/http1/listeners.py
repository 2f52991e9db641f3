"""Settings of a listener, and what is recorded of the connections at its limit."""

import abc
import dataclasses

RECEIVE_BUFFER_BYTES = 32_768
"""Size of the receive buffer of each connection, which counts as memory of the process."""

WRITE_BUFFER_BYTES = 262_144
"""Bytes of a response that may be buffered for a slow caller: 256 KiB hold two seconds of the
densest stream, and a thousand such buffers still do not fill an instance's memory."""


class ListenerObserver(abc.ABC):
    """Records what becomes of connections at the limit of a listener."""

    @abc.abstractmethod
    def refused(self, listener: str, peer: str, count: int) -> None:
        """Record a connection that was closed at once, as no other one could be closed.

        :param listener: name of the listener.
        :param peer: address of the caller.
        :param count: connections that are open.
        """

    @abc.abstractmethod
    def closed_unused(self, listener: str, peer: str, count: int) -> None:
        """Record a connection without a request in progress that was closed for another one."""

    @abc.abstractmethod
    def request_refused(self, listener: str, peer: str, count: int) -> None:
        """Record a request that was refused, as too many connections have one in progress.

        :param count: requests in progress.
        """

    @abc.abstractmethod
    def reading_paused(self, listener: str) -> None:
        """Record a connection that is not read for now, as its caller is too far ahead."""

    @abc.abstractmethod
    def accept_failed(self, listener: str, error: OSError | None) -> None:
        """Record that connections cannot be accepted, or with None that they are again."""


class SilentObserver(ListenerObserver):
    """Records nothing."""

    def refused(self, listener: str, peer: str, count: int) -> None:
        """Record nothing."""

    def closed_unused(self, listener: str, peer: str, count: int) -> None:
        """Record nothing."""

    def request_refused(self, listener: str, peer: str, count: int) -> None:
        """Record nothing."""

    def reading_paused(self, listener: str) -> None:
        """Record nothing."""

    def accept_failed(self, listener: str, error: OSError | None) -> None:
        """Record nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerSettings:
    """Settings of one listener.

    :param name: its name in logs and metrics.
    :param max_connections: most connections that are open at once, or None for no limit.
    :param write_buffer_bytes: bytes that may be buffered for one caller.
    """

    name: str = "callers"
    max_connections: int | None = None
    write_buffer_bytes: int = WRITE_BUFFER_BYTES
