"""Reading and writing of HTTP/1.1 messages for the stand-ins, on asyncio streams."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Message:
    """A request or response: its first line, its header fields and its body."""

    line: str
    fields: dict[str, str]
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a message without its body; return None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *rest = head.decode("latin-1").split("\r\n")
    fields = {}
    for each in rest:
        name, _, value = each.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return Message(line, fields)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a body of known length, in chunks, or none."""
    message = await read_head(reader)
    if message is None:
        return None
    if message.fields.get("transfer-encoding", "") == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            message.body += (await reader.readexactly(size + 2))[:size]
            if not size:
                return message
    message.body = await reader.readexactly(int(message.fields.get("content-length", "0")))
    return message


def response(status: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return a complete response."""
    lines = [f"HTTP/1.1 {status} -", *(f"{name}: {value}" for name, value in fields.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def request(method: str, target: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return a complete request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
