"""Which connection is closed when another one is accepted at the limit."""

import abc
import itertools

from hornbeamglade.core import clocks

STALLED_S = 1.0
"""A caller that has sent nothing of its request for this long may lose its connection."""

MAX_CHECKED = 8
"""Connections of a kind that are looked at before one is closed, which bounds the time."""


class Connection(abc.ABC):
    """A connection that may be closed for another one."""

    @abc.abstractmethod
    def unsent_bytes(self) -> int:
        """Return how many bytes of responses have not been sent."""


class ConnectionOrder:
    """The connections without a request in progress, the longest unused first.

    Explanation
    ===========

    A connection whose request was refused is closed first: it carries no other request, and stays
    open only for its caller to read the refusal. Next is the longest idle one of all whose
    responses are sent, then one whose caller has stopped in the middle of a request: such a
    request has not been handled. A connection with a request in progress is never closed.

    :param clock: monotonic time.

    Examples
    ========

    >>> order = ConnectionOrder(clocks.ManualClock())
    >>> order.next_to_close() is None
    True
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._refused: dict[Connection, None] = {}
        self._idle: dict[Connection, None] = {}
        self._received_at: dict[Connection, float] = {}

    def set_refused(self, connection: Connection) -> None:
        """Record that a request was refused, and that no other one will be read."""
        self.remove(connection)
        self._refused[connection] = None

    def set_idle(self, connection: Connection) -> None:
        """Record that a connection waits for a request."""
        self.remove(connection)
        self._idle[connection] = None

    def set_receiving(self, connection: Connection) -> None:
        """Record that a part of a request has arrived."""
        self.remove(connection)
        self._received_at[connection] = self._clock.now()

    def remove(self, connection: Connection) -> None:
        """Record that a connection has a request in progress, or has ended."""
        self._refused.pop(connection, None)
        self._idle.pop(connection, None)
        self._received_at.pop(connection, None)

    def next_to_close(self) -> Connection | None:
        """Return the connection to close, which is removed, or None."""
        connection = self._find()
        if connection is not None:
            self.remove(connection)
        return connection

    def has_any_to_close(self) -> bool:
        """Return whether there is a connection to close."""
        return self._find() is not None

    def _find(self) -> Connection | None:
        for waiting in (self._refused, self._idle):
            for connection in itertools.islice(waiting, MAX_CHECKED):
                if not connection.unsent_bytes():
                    return connection
        stalled_since = self._clock.now() - STALLED_S
        for connection, received_at in self._received_at.items():
            if received_at > stalled_since:
                break
            return connection
        # Others get their turn at the next call.
        for connection in tuple(itertools.islice(self._refused, MAX_CHECKED)):
            self.set_refused(connection)
        for connection in tuple(itertools.islice(self._idle, MAX_CHECKED)):
            self.set_idle(connection)
        return None
