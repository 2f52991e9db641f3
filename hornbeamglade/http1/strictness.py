"""Detection of heads that two parsers may interpret differently, or that are not one head.

Explanation
===========

:func:`ambiguity` guards against request smuggling: a backend server that finds the end of a body,
or the name of a field, at another position than this node would take part of one caller's body for
a separate request. The parser accepts some of these forms (folded fields, bare line feeds, a
length with chunked encoding) for old senders, so they are refused before parsing.

A server may stop in the middle of a head, and another response may follow on the connection. The
line that broke off then continues into the status line of that response, and both parse as one
head with fields of either: :func:`is_joined` tells such heads. If it stops in the middle of a body
of stated length, the start of the other response fills it. What is left of that response then
follows the body: :func:`is_body_joined` tells such bodies.

References
==========

- RFC 9112, sections 2.2, 5.1, 5.2 and 6.3
"""

import re

from hornbeamglade.http1 import fields

HEAD_END = b"\r\n\r\n"

_BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
_BARE_RETURN = re.compile(rb"\r(?!\n)")
_FOLDED = re.compile(rb"\n[ \t]")
_SPACE_BEFORE_COLON = re.compile(rb"\n[^:\r\n]*[ \t]:")
_LENGTH = re.compile(rb"\ncontent-length:[ \t]*([^\r\n]*)", re.IGNORECASE)
_TRANSFER = re.compile(rb"\ntransfer-encoding:[ \t]*([^\r\n]*)", re.IGNORECASE)
_HOST = re.compile(rb"\nhost:", re.IGNORECASE)
_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}")
_STATUS_LINE_BYTES = 12
_STATUS_LINE_START = re.compile(
    rb"H(?:T(?:T(?:P(?:/(?:[0-9](?:\.(?:[0-9](?: [0-9]{0,2})?)?)?)?)?)?)?)?\Z"
)
_RESPONSE_START = b"HTTP/1."
_MAX_JOINED_BYTES = 65_536
"""Bytes at the end of a body that are searched for the start of another response."""


def ambiguity(head: bytes) -> str | None:
    r"""Return the reason why a request head is ambiguous, or None.

    :param head: from the request line to the empty line.

    Examples
    ========

    >>> ambiguity(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n") is None
    True
    >>> ambiguity(b"GET / HTTP/1.1\r\nHost : a\r\n\r\n")
    'a space stands before a colon'
    """
    if _BARE_LINE_FEED.search(head) or _BARE_RETURN.search(head):
        return "a line does not end with CR LF"
    if _FOLDED.search(head):
        return "a field is folded"
    if _SPACE_BEFORE_COLON.search(head):
        return "a space stands before a colon"
    if len(_HOST.findall(head)) > 1:
        return "the host is given twice"
    lengths = _LENGTH.findall(head)
    if len(lengths) > 1 or any(not length.strip().isdigit() for length in lengths):
        return "the length of the body is not one number"
    transfers = _TRANSFER.findall(head)
    if lengths and transfers:
        return "a length stands beside a transfer encoding"
    if transfers and [each.strip().lower() for each in transfers] != [b"chunked"]:
        return "the transfer encoding is not plain chunked"
    return None


def is_joined(reason: bytes, response_fields: fields.Fields) -> bool:
    """Return whether the head of a response continues into the status line of another one.

    Examples
    ========

    >>> is_joined(b"OK", ((b"Load", b"1,0,8"),)), is_joined(b"O", ((b"L", b"1,0HTTP/1.1 503 No"),))
    (False, True)
    """
    parts = (reason, *(value for _, value in response_fields))
    return any(_STATUS_LINE.search(part) for part in parts)


def is_body_joined(body: bytes, rest: bytes) -> bool:
    """Return whether a body ends within another response.

    :param body: a complete body by its stated length.
    :param rest: the bytes that follow it; a response that follows a body begins with its first
        byte.

    Examples
    ========

    >>> is_body_joined(b"aHTTP/1.1 50", b"3 No")
    True
    >>> is_body_joined(b"HTTP/1.1 503 No", b"HTTP/1.1 200 OK")
    False
    """
    if not rest or _RESPONSE_START.startswith(rest[: len(_RESPONSE_START)]):
        return False
    found = _STATUS_LINE.search(body[-_MAX_JOINED_BYTES:] + rest[:_STATUS_LINE_BYTES])
    return found is not None and found.start() < min(len(body), _MAX_JOINED_BYTES)


def may_be_joined(body: bytes, rest: bytes) -> bool:
    """Return whether more bytes decide if a body ends within another response.

    :param body: as for :func:`is_body_joined`.
    :param rest: the bytes that follow it so far.

    Examples
    ========

    >>> may_be_joined(b"aHTTP/1.1 503 No", b""), may_be_joined(b"aH", b"TTP/1.")
    (True, True)
    >>> may_be_joined(b"aH", b"TTP "), may_be_joined(b"HTTP ", b"")
    (False, False)
    """
    end = body[-_MAX_JOINED_BYTES:]
    if not rest and _STATUS_LINE.search(end) is not None:
        return True
    found = _STATUS_LINE_START.search(end + rest[:_STATUS_LINE_BYTES])
    return found is not None and found.start() < len(end)
