"""What a server of callers needs of the program that answers their requests."""

import abc
import http

from hornbeamglade.http1 import callerrequests, exchanges


class Handler(abc.ABC):
    """Answers requests."""

    @abc.abstractmethod
    async def handle(self, exchange: exchanges.Exchange) -> None:
        """Answer one request; cancelled if the caller disconnects."""

    @abc.abstractmethod
    def limits(self) -> callerrequests.ConnectionLimits:
        """Return the current limits."""

    def refused(self, status: http.HTTPStatus, reason: str) -> None:  # noqa: B027
        """Record a request that was refused before it could be handled."""

    def body_refused(self, peer: str, byte_count: int, held_bytes: int) -> None:  # noqa: B027
        """Record a request that found no memory; it was refused with status 503.

        :param peer: address of the caller.
        :param byte_count: length of its body, or of the part that has arrived.
        :param held_bytes: what all connections held.
        """

    def closed_unread(self, peer: str, byte_count: int, held_bytes: int) -> None:  # noqa: B027
        """Record a connection that was closed because its caller did not read.

        :param peer: address of the caller.
        :param byte_count: bytes that were held for the caller.
        :param held_bytes: what the other connections hold.
        """

    def truncated(self, peer: str, byte_count: int) -> None:  # noqa: B027
        """Record a complete response that the end of the process truncates.

        :param peer: address of the caller.
        :param byte_count: bytes that were not sent.
        """

    def failed(self, error: Exception) -> None:  # noqa: B027
        """Record an error that handling a request raised."""
