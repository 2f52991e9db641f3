"""Parses the server-sent events of a generation.

Explanation
===========

The parser is on the path of every token: it reads the offset and hands on the
data line as it came. JSON is parsed only in the event that ends a generation.
Whatever the bytes are, the result is events; the first malformed one is a
``Failed`` and ends the stream.
"""

import dataclasses
import json

_MAX_EVENT_BYTES = 1 << 20
_MAX_OFFSET_DIGITS = 9
_ID = b"id: "
_DATA = b"data: "
_DONE = b"data: [DONE]"


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """One token.

    :param offset: its place in the generation, from 0.
    :param data: the event's data line, from ``data: `` on, without a line end.
    """

    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class KeepAlive:
    """The engine lives and computes nothing for this stream now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The generation is whole.

    :param data: the last event's data line.
    :param finish_reason: ``stop`` or ``length``.
    :param completion_tokens: tokens that the engine counted.
    """

    data: bytes
    finish_reason: str
    completion_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The engine failed midway, or sent what it may not send.

    :param code: the engine's code, or ``event_malformed``, ``event_too_long``,
        ``end_without_finish``.
    """

    code: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection ended before the generation did."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Stalled:
    """Nothing came, not even a keep-alive: the link stalls or the engine hangs.

    :param silent_s: for how long, in seconds.
    """

    silent_s: float


Event = Token | KeepAlive | Finished | Failed | ConnectionLost | Stalled
_KEEP_ALIVE = KeepAlive()


class EventParser:
    r"""Turns bytes into events, wherever the bytes are cut.

    Examples
    ========

    >>> parser = EventParser()
    >>> parser.feed(b'id: 0\ndata: {"a":1}\n')
    []
    >>> parser.feed(b'\n: keep-alive\n\n')
    [Token(offset=0, data=b'data: {"a":1}'), KeepAlive()]
    """

    __slots__ = ("_rest", "ended")

    def __init__(self) -> None:
        self._rest = b""
        self.ended = False

    def feed(self, data: bytes) -> list[Event]:
        """Parse what has arrived; nothing follows an event that ends the stream."""
        parts = (self._rest + data).split(b"\n\n")
        self._rest = parts.pop()
        events: list[Event] = []
        for part in parts:
            event = _token(part) or self._other(part)
            events.append(event)
            if self.ended:
                return events
        if len(self._rest) > _MAX_EVENT_BYTES:
            self.ended = True
            events.append(Failed("event_too_long", f"over {_MAX_EVENT_BYTES} bytes"))
        return events

    def _other(self, part: bytes) -> Event:
        if part.startswith(b":") and b"\n" not in part:
            return _KEEP_ALIVE
        self.ended = True
        if part == _DONE:
            return Failed("end_without_finish", "the engine ended without a finish reason")
        return _ending(part)


def _token(part: bytes) -> Token | None:
    if not part.startswith(_ID):
        return None
    digits, _, data = part[4:].partition(b"\n")
    if not digits.isdigit() or len(digits) > _MAX_OFFSET_DIGITS:
        return None
    if not data.startswith(_DATA) or b"\n" in data:
        return None
    return Token(int(digits), data)


def _ending(part: bytes) -> Finished | Failed:
    malformed = Failed("event_malformed", repr(part[:80]))
    if not part.startswith(_DATA) or b"\n" in part:
        return malformed
    try:
        chunk = json.loads(part[len(_DATA) :])
        if "error" in chunk:
            error = chunk["error"]
            return Failed(str(error["code"]), str(error["message"]))
        reason = chunk["choices"][0]["finish_reason"]
        count = chunk["usage"]["completion_tokens"]
    except (ValueError, LookupError, TypeError, RecursionError):
        return malformed
    if not isinstance(reason, str) or type(count) is not int:
        return malformed
    return Finished(part, reason, count)
