"""Reads a request's body completely and within its limit, or refuses the request."""

import typing

import cheroot.errors

from hornbeamglade.callers import server
from hornbeamglade.core import outcomes

MAX_DRAINED_BODY_BYTES = 8 * 1024 * 1024
"""An oversized body up to this size is read to its end before the 413 is sent: closing a
connection with unread data resets it, and the caller would not get the response."""

READ_PIECE_BYTES = 65_536
CHUNK_FRAMING = 4
"""Bytes that cheroot counts per byte of data if every chunk contains a single byte."""

_READ_ERRORS = (OSError, ValueError, cheroot.errors.MaxSizeExceeded)


def read(
    environ: dict[str, typing.Any], link: server.CallerLink, bound: int
) -> bytes | outcomes.Refusal:
    """Read the body of one request.

    :param environ: the WSGI environment.
    :param link: the caller's connection; closed after the response if the rest of
        the body cannot be skipped.
    :param bound: the maximum size of the body in bytes.
    """
    if environ.get("wsgi.input_terminated"):
        return _read_chunked(environ["wsgi.input"], link, bound)
    declared = int(environ.get("CONTENT_LENGTH") or 0)
    if declared < 0:
        link.close_after_answer()
        return outcomes.Refusal("body_malformed", 400, f"a body of {declared} bytes cannot be")
    return _read_declared(environ["wsgi.input"], link, bound, declared)


def _read_declared(
    source: typing.Any, link: server.CallerLink, bound: int, declared: int
) -> bytes | outcomes.Refusal:
    if declared > bound:
        if declared <= MAX_DRAINED_BODY_BYTES:
            _skip(source)
        return _too_large(bound)
    pieces: list[bytes] = []
    remaining = declared
    while remaining > 0:
        try:
            piece = source.read(min(READ_PIECE_BYTES, remaining))
        except _READ_ERRORS:
            break
        if not piece:
            break
        pieces.append(piece)
        remaining -= len(piece)
    link.body_read()
    if remaining:
        link.close_after_answer()
        detail = f"only {declared - remaining} of {declared} bytes of the body arrived in time"
        return outcomes.Refusal("body_timeout", 408, detail)
    return b"".join(pieces)


def _read_chunked(
    source: typing.Any, link: server.CallerLink, bound: int
) -> bytes | outcomes.Refusal:
    # cheroot reads each chunk completely: without this limit, one chunk that declares
    # gigabytes would fill this instance's memory before its size is checked here.
    source.maxlen = MAX_DRAINED_BODY_BYTES + CHUNK_FRAMING * bound
    pieces: list[bytes] = []
    size = 0
    try:
        while size <= bound:
            piece = source.read(READ_PIECE_BYTES)
            if not piece:
                break
            pieces.append(piece)
            size += len(piece)
        if size > bound:
            _skip(source)
            return _too_large(bound)
        # The empty line after the last chunk belongs to this request. If it were not read, it
        # would count as the start of another request, which times out with an unexpected 408.
        for _ in source.read_trailer_lines():
            pass
    except cheroot.errors.MaxSizeExceeded:
        return _too_large(bound)
    except (OSError, ValueError) as error:
        # A chunked body has no declared length, so only this error shows that it is
        # truncated; if forwarded, a backend server would run an incomplete request.
        link.close_after_answer()
        return _incomplete_refusal(error, bound)
    finally:
        link.body_read()
    return b"".join(pieces)


def _incomplete_refusal(error: Exception, bound: int) -> outcomes.Refusal:
    if isinstance(error, TimeoutError):
        return outcomes.Refusal("body_timeout", 408, "the body did not arrive in time")
    if isinstance(error, OSError) and error.errno is None:
        return _too_large(bound)  # how cheroot reports a chunk beyond ``maxlen``
    return outcomes.Refusal("body_malformed", 400, f"the chunked body is not whole: {error}")


def _skip(source: typing.Any) -> None:
    try:
        while source.read(READ_PIECE_BYTES):
            pass
    except _READ_ERRORS:
        pass


def _too_large(bound: int) -> outcomes.Refusal:
    return outcomes.Refusal("body_too_large", 413, f"the body is larger than {bound} bytes")
