"""Incremental parser of an HTTP response with server-sent events.

Explanation
===========

The driver of a benchmark must not slow down what it measures, so it parses all
responses on one thread instead of using one thread per stream, at little cost per
token. The tokens of the stand-in engine contain the mark of their generation and their
offset, which is how the driver detects a splice, a gap or a repetition.
"""

import dataclasses
import re

from hornbeamglade.core import codederrors

_HEAD_END = b"\r\n\r\n"
_LINE_END = b"\r\n"
_EVENT_END = b"\n\n"
_DONE = b"[DONE]"
_ERROR = b'"error"'
_TOKEN = re.compile(rb"([0-9a-f]{8})\.(\d+) ")


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """One token as the caller received it.

    :param mark: identifies the generation.
    :param offset: position in the response, from 0.
    """

    mark: bytes
    offset: int


class KeepAlive:
    """A comment event: the engine has no token for the stream at present."""

    __slots__ = ()


class Done:
    """End of a complete response."""

    __slots__ = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StreamError:
    """The stream failed after the response had started.

    :param data: JSON of the error event.
    """

    data: bytes


Event = Token | KeepAlive | Done | StreamError

KEEP_ALIVE = KeepAlive()
DONE = Done()


class ResponseParser:
    r"""Parses the bytes of one HTTP response into events.

    Examples
    ========

    >>> reader = ResponseParser()
    >>> reader.feed(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
    []
    >>> reader.feed(b'data: {"text":"0badcafe.0 "}\n\n: x')
    [Token(mark=b'0badcafe', offset=0)]
    """

    def __init__(self) -> None:
        self.status: int | None = None
        self.header_by_name: dict[str, str] = {}
        self.body = b""
        self._raw = b""
        self._chunked = False
        self._is_stream = False
        self._body_length: int | None = None
        self._received = 0

    @property
    def complete(self) -> bool:
        """Whether the length of the body is known and all of it has arrived."""
        return self._body_length is not None and self._received >= self._body_length

    def feed(self, data: bytes) -> list[Event]:
        """Parse received bytes and return the events that they complete.

        :raises CodedError: when the bytes are not an HTTP response.
        """
        self._raw += data
        if self.status is None and not self._read_head():
            return []
        payload = self._dechunked() if self._chunked else self._take_raw()
        self._received += len(payload)
        self.body += payload
        return self._events() if self._is_stream else []

    def _read_head(self) -> bool:
        head, found, rest = self._raw.partition(_HEAD_END)
        if not found:
            return False
        first, *lines = head.decode("latin-1").split("\r\n")
        parts = first.split(" ", 2)
        if len(parts) < 2 or not parts[1].isdigit():
            raise codederrors.CodedError("answer_malformed", f"no status in {first[:80]!r}")
        for line in lines:
            name, _, value = line.partition(":")
            self.header_by_name[name.strip().lower()] = value.strip()
        self.status = int(parts[1])
        self._chunked = "chunked" in self.header_by_name.get("transfer-encoding", "")
        length = self.header_by_name.get("content-length")
        self._body_length = int(length) if length else None
        self._is_stream = "event-stream" in self.header_by_name.get("content-type", "")
        self._raw = rest
        return True

    def _take_raw(self) -> bytes:
        data, self._raw = self._raw, b""
        return data

    def _dechunked(self) -> bytes:
        parts = []
        raw = self._raw
        position = 0
        while (line_end := raw.find(_LINE_END, position)) >= 0:
            size = int(raw[position:line_end].partition(b";")[0], 16)
            start = line_end + len(_LINE_END)
            if len(raw) < start + size + len(_LINE_END):
                break
            if size == 0:
                self._body_length = self._received + sum(map(len, parts))
            parts.append(raw[start : start + size])
            position = start + size + len(_LINE_END)
        self._raw = raw[position:]
        return b"".join(parts)

    def _events(self) -> list[Event]:
        events: list[Event] = []
        *complete, self.body = self.body.split(_EVENT_END)
        for text in complete:
            if text.startswith(b":"):
                events.append(KEEP_ALIVE)
            elif _ERROR in text:
                events.append(StreamError(text.partition(b"data: ")[2]))
            elif _DONE in text:
                events.append(DONE)
            else:
                events.extend(Token(mark, int(offset)) for mark, offset in _TOKEN.findall(text))
        return events
