"""Whole events of a stream, out of bytes that come in any pieces."""

import dataclasses
import re

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event.

    :param data: its bytes, the empty line at its end included.
    :param id: its id, or None when it has none.
    """

    data: bytes
    id: str | None


class EventSplitter:
    r"""Cuts a stream into events; an event that is not whole is never given out.

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
        """What has come of an event that is not whole."""
        return self._buffer

    def feed(self, data: bytes) -> list[Event]:
        """Take bytes; return the events that are whole now."""
        self._buffer += data
        events = []
        start = 0
        for end in _EVENT_END.finditer(self._buffer):
            event = self._buffer[start : end.end()]
            start = end.end()
            found = _ID.search(event)
            events.append(Event(event, found and found.group(1).decode("latin-1")))
        self._buffer = self._buffer[start:]
        return events
