"""Connections of the blocking HTTP client whose response heads are whole.

Explanation
===========

:mod:`http.client` takes the end of a connection, and a line that is no field, for the end of a
head. If a server stops within the head of its response and closes, the fields that are missing
decide how the response is read: without a length it ends with the connection and has an empty
body, which looks complete.

A head that runs into the status line of another response is rejected as well
(:func:`hornbeamglade.http1.strictness.is_joined`), and so is a status line that
:mod:`hornbeamglade.http1.statuslines` does not allow: :mod:`http.client` accepts other versions
and any number from 100 to 999, and takes interim responses other than 100 for the response.
"""

import email.errors
import http.client
import typing

import urllib3
import urllib3.connection

from hornbeamglade.http1 import statuslines, strictness

_MAX_LINE_BYTES = 65_536
_NO_FIELD = email.errors.MissingHeaderBodySeparatorDefect


class BrokenHeadError(http.client.HTTPException):
    """The head of a response broke off, or ran into another response."""


class _HeadLines:
    """The lines of a head, each with its end.

    :param received: the bytes that the server sent.
    """

    def __init__(self, received: typing.BinaryIO) -> None:
        self._received = received

    def readline(self, limit: int) -> bytes:
        """Return the next line; one of ``limit`` bytes may lack its end."""
        line = self._received.readline(limit)
        if line and len(line) < limit and not line.endswith(b"\n"):
            raise BrokenHeadError("the connection ended within a line")
        if not line:
            raise BrokenHeadError("the connection ended before the head did")
        return line

    def close(self) -> None:
        """Close the connection's file."""
        self._received.close()


class WholeHeadResponse(http.client.HTTPResponse):
    """A response that is received only if its head is whole.

    :ivar is_end_stated: whether the response states its end itself, by a length or chunks.
    """

    is_end_stated = False

    def begin(self) -> None:
        """Read the head.

        :raises BrokenHeadError: if it breaks off or runs into another response.
        """
        if self.headers is not None:
            return
        received = self.fp
        self.fp = _HeadLines(received)
        try:
            super().begin()
        finally:
            if self.fp is not None:
                self.fp = received
        _check_fields(self.reason.encode("latin-1"), self.headers)
        if not statuslines.has_body(self.status):
            self.chunked = False
            self.length = 0
        self.is_end_stated = self.chunked or self.length is not None

    def _read_status(self) -> tuple[str, int, str]:
        """Return version, status and reason of the response after any interim ones."""
        for _ in range(statuslines.MAX_INTERIM_RESPONSES + 1):
            line = self.fp.readline(_MAX_LINE_BYTES)
            parsed = statuslines.parse(line.removesuffix(b"\n").removesuffix(b"\r"))
            if parsed is None:
                raise BrokenHeadError("the status line is malformed")
            version, status, reason = parsed
            if not statuslines.is_interim(status):
                return f"HTTP/{version.decode()}", status, reason.decode("latin-1")
            _check_fields(reason, http.client.parse_headers(self.fp))
        raise BrokenHeadError("there are too many interim responses")


class WholeHeadConnection(urllib3.connection.HTTPConnection):
    """A connection whose responses have whole heads."""

    response_class = WholeHeadResponse


class WholeHeadPool(urllib3.HTTPConnectionPool):
    """A pool of connections whose responses have whole heads."""

    ConnectionCls = WholeHeadConnection


def pool_manager(**options: typing.Any) -> urllib3.PoolManager:
    """Return pools of connections whose responses have whole heads.

    :param options: those of :class:`urllib3.PoolManager`.
    """
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": WholeHeadPool}
    return manager


def _check_fields(reason: bytes, received: http.client.HTTPMessage) -> None:
    if any(isinstance(each, _NO_FIELD) for each in received.defects):
        raise BrokenHeadError("a line of the head is no field")
    head_fields = tuple(
        (name.encode("latin-1"), value.encode("latin-1")) for name, value in received.items()
    )
    if strictness.is_joined(reason, head_fields):
        raise BrokenHeadError("the head runs into another response")
