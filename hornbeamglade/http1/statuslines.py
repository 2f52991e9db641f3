"""Status lines of responses.

Explanation
===========

A server in trouble may send lines that look like status lines: with a status that HTTP does not
define, such as 000 or 600, or with the version of another protocol. What such a response means is
not known, so it is none: its request has no response, and the server has failed.

An undefined status from 100 to 599 counts as the status x00 of its class. No request asks for
another protocol, so a status that switches to one is not valid either.

References
==========

- RFC 9110, sections 2.5, 6.4.1, 7.8 and 15
- RFC 9112, section 4
"""

import re

VERSIONS = frozenset((b"1.0", b"1.1"))
MIN_STATUS = 100
MAX_STATUS = 599
SWITCHING = frozenset((101,))
"""Statuses after which the connection carries another protocol."""

MAX_INTERIM_RESPONSES = 16
"""Interim responses that may precede a response."""

_MIN_FINAL_STATUS = 200
_BODILESS = frozenset((204, 304))
_LINE = re.compile(rb"HTTP/([0-9]\.[0-9]) ([0-9]{3})(?: ((?:[ \t]|[^\x00\s])*))?")


def parse(line: bytes) -> tuple[bytes, int, bytes] | None:
    """Return the version, status and reason of a status line; None if it is not valid.

    :param line: the line without its end.

    Examples
    ========

    >>> parse(b"HTTP/1.1 404 Not Found")
    (b'1.1', 404, b'Not Found')
    >>> parse(b"HTTP/1.1 000 Zero"), parse(b"HTTP/1.1 0200 OK"), parse(b"HTTP/2.0 200 OK")
    (None, None, None)
    """
    found = _LINE.fullmatch(line)
    if found is None:
        return None
    version, status, reason = found[1], int(found[2]), found[3] or b""
    return (version, status, reason) if is_valid(version, status) else None


def is_valid(version: bytes, status: int) -> bool:
    """Return whether a response may have this version and status.

    Examples
    ========

    >>> is_valid(b"1.1", 200), is_valid(b"2.0", 200), is_valid(b"1.1", 600), is_valid(b"1.1", 101)
    (True, False, False, False)
    """
    return version in VERSIONS and MIN_STATUS <= status <= MAX_STATUS and status not in SWITCHING


def is_interim(status: int) -> bool:
    """Return whether another response follows to the same request."""
    return status < _MIN_FINAL_STATUS


def has_body(status: int) -> bool:
    """Return whether a response with this status may have a body, whatever its fields say.

    Examples
    ========

    >>> has_body(200), has_body(204), has_body(103)
    (True, False, False)
    """
    return not is_interim(status) and status not in _BODILESS
