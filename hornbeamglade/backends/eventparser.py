"""Parses the server-sent events of a generation.

Explanation
===========

The parser runs for every token: it parses the offset and passes the data line on
unchanged. JSON is parsed only in the event that ends a generation. Arbitrary bytes
result in events, never in an exception; the first malformed event yields a
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

    :param offset: its position in the generation, from 0.
    :param data: the event's data line, including ``data: ``, without the line end.
    """

    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class KeepAlive:
    """The engine is alive but currently computes nothing for this stream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The generation is complete.

    :param data: the last event's data line.
    :param finish_reason: ``stop`` or ``length``.
    :param completion_tokens: tokens that the engine counted.
    """

    data: bytes
    finish_reason: str
    completion_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The engine reported an error, or violated the event format.

    :param code: the engine's code, or ``event_malformed``, ``event_too_long``,
        ``end_without_finish``.
    :param detail: one sentence for a person.
    """

    code: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection ended before the generation did."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Stalled:
    """No bytes arrived, not even a keep-alive: the network stalls or the engine hangs.

    :param silent_s: for how long, in seconds.
    """

    silent_s: float


Event = Token | KeepAlive | Finished | Failed | ConnectionLost | Stalled
_KEEP_ALIVE = KeepAlive()


class EventParser:
    r"""Parses events from byte chunks with arbitrary boundaries.

    Examples
    ========

    >>> parser = EventParser()
    >>> parser.feed(b'id: 0\ndata: {"a":1}\n')
    []
    >>> parser.feed(b'\n: keep-alive\n\n')
    [Token(offset=0, data=b'data: {"a":1}'), KeepAlive()]
    """

    __slots__ = ("_buffer", "ended")

    def __init__(self) -> None:
        self._buffer = b""
        self.ended = False

    def feed(self, data: bytes) -> list[Event]:
        """Parse received bytes; no event follows one that ends the stream."""
        blocks = (self._buffer + data).split(b"\n\n")
        self._buffer = blocks.pop()
        events: list[Event] = []
        for block in blocks:
            event = _parse_token(block) or self._parse_other(block)
            events.append(event)
            if self.ended:
                return events
        if len(self._buffer) > _MAX_EVENT_BYTES:
            self.ended = True
            events.append(Failed("event_too_long", f"over {_MAX_EVENT_BYTES} bytes"))
        return events

    def _parse_other(self, block: bytes) -> Event:
        if block.startswith(b":") and b"\n" not in block:
            return _KEEP_ALIVE
        self.ended = True
        if block == _DONE:
            return Failed("end_without_finish", "the engine ended without a finish reason")
        return _parse_ending(block)


def _parse_token(block: bytes) -> Token | None:
    if not block.startswith(_ID):
        return None
    digits, _, data = block[4:].partition(b"\n")
    if not digits.isdigit() or len(digits) > _MAX_OFFSET_DIGITS:
        return None
    if not data.startswith(_DATA) or b"\n" in data:
        return None
    return Token(int(digits), data)


def _parse_ending(block: bytes) -> Finished | Failed:
    malformed = Failed("event_malformed", repr(block[:80]))
    if not block.startswith(_DATA) or b"\n" in block:
        return malformed
    try:
        chunk = json.loads(block[len(_DATA) :])
        if "error" in chunk:
            error = chunk["error"]
            return Failed(str(error["code"]), str(error["message"]))
        reason = chunk["choices"][0]["finish_reason"]
        count = chunk["usage"]["completion_tokens"]
    except (ValueError, LookupError, TypeError, RecursionError):
        return malformed
    if not isinstance(reason, str) or type(count) is not int:
        return malformed
    return Finished(block, reason, count)
