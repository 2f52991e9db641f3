"""Splits a byte stream into complete server-sent events."""

import dataclasses
import re

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_END_OVERLAP = 3
"""Bytes of the end of an event that may have been received before its last one."""

MAX_EVENT_BYTES = 1_048_576
_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One server-sent event.

    :param data: its bytes, including the empty line that ends it.
    :param id: its id, or None if it has none.
    """

    data: bytes
    id: str | None


class EventSplitter:
    r"""Incremental splitter; an incomplete event is never returned.

    Examples
    ========

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    [Event(data=b'id: 1\ndata: a\n\n', id='1')]
    >>> splitter.remainder
    b'id: 2\nda'
    """

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def remainder(self) -> bytes:
        """Bytes received of an incomplete event."""
        return self._buffer

    @property
    def is_excessive(self) -> bool:
        """Whether the incomplete event is longer than an event may be."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[Event]:
        """Add received bytes; return the events completed by them."""
        searched = max(0, len(self._buffer) - _END_OVERLAP)
        self._buffer += data
        events = []
        start = 0
        for end in _EVENT_END.finditer(self._buffer, searched):
            event = self._buffer[start : end.end()]
            start = end.end()
            found = _ID.search(event)
            events.append(Event(event, found and found.group(1).decode("latin-1")))
        self._buffer = self._buffer[start:]
        return events
