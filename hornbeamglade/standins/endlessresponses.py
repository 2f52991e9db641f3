"""Bytes that a server in trouble sends without end, in each part of a response."""

import asyncio
import collections.abc
import itertools
import types

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

PARTS = {
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "status_line": (b"HTTP/1.1 200 ", b"O"),
    "field_lines": (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n"),
    "field_value": (b"HTTP/1.1 200 OK\r\na: ", b"b"),
    "no_http": (b"", b"\x00\xff"),
    "chunk_size": (CHUNKED, b"0"),
    "chunk_extension": (CHUNKED + b"1;", b"a"),
    "chunk_extensions": (CHUNKED, b"1;" + b"a" * 2000 + b"\r\nx\r\n"),
    "chunks": (CHUNKED, b"1\r\nx\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"a: b\r\n"),
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
}
"""The beginning of a response and what follows it without end, by name."""

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
FAST_BYTES = 65_536


async def send(
    writer: asyncio.StreamWriter,
    name: str,
    pause_s: float = 0.0,
    fields: collections.abc.Mapping[str, str] = types.MappingProxyType({}),
) -> None:
    """Send a response without end until the peer closes.

    :param name: one of :data:`PARTS`.
    :param pause_s: seconds between two repetitions of what follows; 0 for full speed.
    :param fields: header fields that follow a whole status line.
    """
    beginning, unit = PARTS[name]
    lines = "".join(f"{field}: {value}\r\n" for field, value in fields.items())
    writer.write(beginning.replace(STATUS_LINE, STATUS_LINE + lines.encode()))
    data = unit if pause_s else unit * (FAST_BYTES // len(unit) + 1)
    try:
        for _ in itertools.count():
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(pause_s)
    except ConnectionError:
        pass


def step(
    name: str, pause_s: float = 0.0
) -> collections.abc.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], collections.abc.Awaitable[None]
]:
    """Return a handler of connections that answers with such a response."""

    async def respond(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await send(writer, name, pause_s)

    return respond
