"""The open connections of a listener, and which of them have a request in progress."""

from hornbeamglade.core import clocks
from hornbeamglade.http1 import connectionorder, listeners, receivebuffer

REFUSAL_SHARE = 1 / 16
"""Share of a listener's connections that have no request in progress. On these, requests beyond
the limit are refused; without them, their callers would be reset without a response."""


class OpenConnections:
    """Counts connections and admits requests on them, up to the limit of a listener.

    :param clock: monotonic time.
    :param settings: limits of the listener.
    :param observer: records what becomes of connections at the limit.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        settings: listeners.ListenerSettings,
        observer: listeners.ListenerObserver,
    ) -> None:
        self.settings = settings
        self._observer = observer
        self._opening: set[connectionorder.Connection] = set()
        self.opened: set[connectionorder.Connection] = set()
        self._admitted: set[connectionorder.Connection] = set()
        self.order = connectionorder.ConnectionOrder(clock)
        self.read_buffer = memoryview(bytearray(receivebuffer.PIECE_BYTES))

    def add_opening(self, connection: connectionorder.Connection) -> None:
        """Count an accepted connection that is not open yet."""
        self._opening.add(connection)

    def remove_opening(self, connection: connectionorder.Connection) -> None:
        """Count a connection that could not be opened no more."""
        self._opening.discard(connection)

    def add(self, connection: connectionorder.Connection) -> None:
        """Add a connection that is open."""
        self._opening.discard(connection)
        self.opened.add(connection)

    def remove(self, connection: connectionorder.Connection) -> None:
        """Remove a connection that has ended."""
        self.release(connection)
        self.opened.discard(connection)
        self.order.remove(connection)

    def admit(self, connection: connectionorder.Connection) -> bool:
        """Count a request whose head is complete; return False if there are too many."""
        limit = self.settings.max_connections
        if limit is not None and len(self._admitted) >= limit - int(REFUSAL_SHARE * limit):
            return False
        self._admitted.add(connection)
        return True

    def release(self, connection: connectionorder.Connection) -> None:
        """Record that a connection has no request in progress."""
        self._admitted.discard(connection)

    def request_refused(self, peer: str) -> None:
        """Record that a request was not admitted.

        :param peer: address of the caller.
        """
        self._observer.request_refused(self.settings.name, peer, len(self._admitted))

    def reading_paused(self) -> None:
        """Record that a connection is not read for now."""
        self._observer.reading_paused(self.settings.name)

    @property
    def is_full(self) -> bool:
        """Whether the limit is reached."""
        limit = self.settings.max_connections
        return limit is not None and self._count >= limit

    @property
    def is_about_to_have_room(self) -> bool:
        """Whether a connection may soon be closed for another one, but none can be now."""
        return (
            self.is_full
            and not self.order.has_any_to_close()
            and self._count != len(self._admitted)
        )

    @property
    def _count(self) -> int:
        return len(self.opened) + len(self._opening)
