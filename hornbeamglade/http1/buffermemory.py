"""The memory held for callers: their requests, buffered responses and unsent stream bytes.

Explanation
===========

Callers that stop reading each keep a part of their response here, and an instance that exceeds
its memory is killed with all its streams. The sum over all connections is therefore bounded. When
it exceeds its bound, the connection with the most unread bytes among those that made no progress
for ``STALLED_S`` is closed, then the next, until the sum is within the bound. A connection whose
caller reads at least once in that time is not closed.

Each change takes constant time, amortized. Connections with unsent bytes are kept in order of
their last progress; those that have stalled are moved to classes by size, four per power of two,
so the one that is closed holds at least four fifths of the most unread bytes. What callers have
read since the last write is only known by asking; a connection is asked before it is closed, and
all are asked by :meth:`BufferMemory.refresh`, about once a second.
"""

import abc
import collections.abc

from hornbeamglade.core import clocks

SHARE = 0.3
"""Share of an instance's memory that may be held. The rest is for the program itself, its tables,
and copies made while data is passed on."""

STALLED_S = 1.0
"""A caller that has read nothing for this long may lose its connection. Lost data is sent
again after 0.2 s and then 0.4 s, so a caller is not affected by two losses in a row."""

MAX_CHECKED = 8
"""Connections that one change may ask or close, which bounds its cost. One change adds at most
one piece of data, and closing one connection usually frees more."""


class Reader(abc.ABC):
    """A connection whose peer reads what is held for it."""

    @abc.abstractmethod
    def unsent_bytes(self) -> int:
        """Return how many bytes written to the connection have not been sent."""

    @abc.abstractmethod
    def read_ahead_bytes(self) -> int:
        """Return how many bytes are held that have not been written to the connection yet."""

    @abc.abstractmethod
    def close_unread(self, byte_count: int) -> None:
        """Close the connection immediately, as its peer does not read.

        :param byte_count: bytes that were held for the peer.
        """


class Holding:
    """The memory held for one connection or one buffered response.

    :param memory: the sum that it is part of.
    :param reader: the connection, or None if nothing is sent on it.
    """

    __slots__ = (
        "_memory",
        "held_bytes",
        "is_closed",
        "progress_at",
        "read_ahead_bytes",
        "reader",
        "size_class",
        "unsent_bytes",
    )

    def __init__(self, memory: "BufferMemory", reader: Reader | None) -> None:
        self._memory = memory
        self.reader = reader
        self.held_bytes = 0
        self.is_closed = False
        self.unsent_bytes = 0
        self.read_ahead_bytes = 0
        self.progress_at = 0.0
        self.size_class: int | None = None

    @property
    def unread_bytes(self) -> int:
        """All bytes that are held for the peer to read."""
        return self.unsent_bytes + self.read_ahead_bytes

    def hold(self, byte_count: int) -> None:
        """Set how much is held besides what the peer has to read: a request or a response."""
        self._memory.changed(self, byte_count)

    def hold_at_least(self, byte_count: int) -> None:
        """Hold so much unless more is held already."""
        if byte_count > self.held_bytes:
            self.hold(byte_count)

    def written(self, byte_count: int) -> None:
        """Record that bytes were written to the connection."""
        self._memory.measure(self, byte_count)

    def close(self) -> None:
        """Release everything, at the end of the connection; what is set later does not count."""
        self.is_closed = True
        self._memory.forget(self)
        # The connection refers to its holding too: a reference cycle, with what it has received.
        self.reader = None


class BufferMemory:
    """The sum of what is held, and its bound.

    :param clock: monotonic time.
    :param bound_bytes: the bound, or None for no bound.
    :ivar unused_reserve_bytes: returns what is left of the room that large requests leave to a
        response.

    Examples
    ========

    >>> memory = BufferMemory(clocks.ManualClock(), bound_bytes=100_000)
    >>> memory.open().hold(40_000)
    >>> memory.held_bytes, memory.has_room(50_000), memory.has_room(70_000)
    (40000, True, False)
    """

    def __init__(self, clock: clocks.Clock, bound_bytes: int | None = None) -> None:
        self._clock = clock
        self.bound_bytes = bound_bytes
        self.held_bytes = 0
        self.unused_reserve_bytes: collections.abc.Callable[[], int] = lambda: 0
        # Both are ordered: the first has waited longest for progress or in its class.
        self._recent: dict[Holding, None] = {}
        self._stalled_by_class: dict[int, dict[Holding, None]] = {}
        self._class_bits = 0

    def open(self, reader: Reader | None = None) -> Holding:
        """Return what is held for a new connection or response: nothing yet."""
        return Holding(self, reader)

    def has_room(self, byte_count: int) -> bool:
        """Return whether so many further bytes are within the bound.

        Connections that have stalled are closed to make room, unless the bound alone is too small.
        """
        if self.bound_bytes is None:
            return True
        if byte_count <= self.bound_bytes:
            self._reclaim(byte_count)
        return self.held_bytes + byte_count <= self.bound_bytes

    def has_room_for_body(self, byte_count: int) -> bool:
        """Return whether a large request is within the bound beside what a response may need.

        Its own response could otherwise wait for the room that it takes itself.
        """
        return self.has_room(byte_count + self.unused_reserve_bytes())

    def has_room_for_response(self) -> bool:
        """Return whether a large response may be read: half of the bound has to be free.

        The other half is left to requests and to what arrives of responses that wait for this.
        """
        return self.bound_bytes is None or self.has_room(self.bound_bytes // 2)

    def changed(self, holding: Holding, byte_count: int) -> None:
        """Set how much a holding holds besides what its peer has to read."""
        if holding.is_closed:
            return
        self.held_bytes += byte_count - holding.held_bytes
        holding.held_bytes = byte_count
        self._reclaim()

    def measure(self, holding: Holding, written_bytes: int = 0) -> None:
        """Ask a connection what is unsent.

        :param written_bytes: bytes written to it since it was asked last.
        """
        unsent = 0 if holding.is_closed else holding.reader.unsent_bytes()
        if not unsent and not holding.unsent_bytes and not holding.read_ahead_bytes:
            return
        has_progress = unsent < holding.unsent_bytes + written_bytes or not holding.unsent_bytes
        read_ahead = holding.reader.read_ahead_bytes() if unsent else 0
        self.held_bytes += unsent + read_ahead - holding.unread_bytes
        holding.unsent_bytes = unsent
        holding.read_ahead_bytes = read_ahead
        if has_progress:
            self._remove(holding)
            holding.progress_at = self._clock.now()
            if unsent:
                self._recent[holding] = None
        elif holding.size_class not in (None, _size_class(holding.unread_bytes)):
            self._remove(holding)
            self._add_stalled(holding)
        if written_bytes:
            self._reclaim()

    def refresh(self) -> None:
        """Ask every connection with unsent bytes what is still unsent."""
        stalled = [each for members in self._stalled_by_class.values() for each in members]
        for holding in (*self._recent, *stalled):
            self.measure(holding)
        self._reclaim()

    def forget(self, holding: Holding) -> None:
        """Release what a holding holds."""
        self._remove(holding)
        self.held_bytes -= holding.held_bytes + holding.unread_bytes
        holding.held_bytes = holding.unsent_bytes = holding.read_ahead_bytes = 0

    def _reclaim(self, wanted_bytes: int = 0) -> None:
        """Close stalled connections while the sum and the wanted bytes exceed the bound."""
        if self.bound_bytes is None:
            return
        for _ in range(MAX_CHECKED):
            if self.held_bytes + wanted_bytes <= self.bound_bytes:
                return
            holding = self._largest_stalled()
            if holding is None:
                return
            self.measure(holding)
            if holding.size_class is not None:
                unread = holding.unread_bytes
                self.forget(holding)
                holding.reader.close_unread(unread)

    def _largest_stalled(self) -> Holding | None:
        stalled_since = self._clock.now() - STALLED_S
        while self._recent:
            holding = next(iter(self._recent))
            if holding.progress_at > stalled_since:
                break
            del self._recent[holding]
            self._add_stalled(holding)
        if not self._class_bits:
            return None
        return next(iter(self._stalled_by_class[self._class_bits.bit_length() - 1]))

    def _add_stalled(self, holding: Holding) -> None:
        holding.size_class = _size_class(holding.unread_bytes)
        self._stalled_by_class.setdefault(holding.size_class, {})[holding] = None
        self._class_bits |= 1 << holding.size_class

    def _remove(self, holding: Holding) -> None:
        self._recent.pop(holding, None)
        if holding.size_class is None:
            return
        members = self._stalled_by_class[holding.size_class]
        del members[holding]
        if not members:
            del self._stalled_by_class[holding.size_class]
            self._class_bits &= ~(1 << holding.size_class)
        holding.size_class = None


def _size_class(byte_count: int) -> int:
    """Return the class of a size: its power of two and the two bits below the highest.

    Examples
    ========

    >>> _size_class(262_144), _size_class(300_000), _size_class(327_680)
    (76, 76, 77)
    """
    length = byte_count.bit_length()
    return 4 * length + ((byte_count << 2 >> (length - 1)) & 3 if length else 0)
