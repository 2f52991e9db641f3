"""Reads and parses the requests on one connection.

Explanation
===========

A request's body is read completely before it is handled: only then may the request be sent
to a second backend server, and a caller's slow body never occupies a slot of a replica.
"""

import asyncio
import collections.abc
import http

import h11

from hornbeamglade.core import clocks
from hornbeamglade.http1 import (
    callerrequests,
    fields,
    receivebuffer,
    responsewriter,
    strictness,
)

EVENTS_PER_TURN = 32
"""Parsed events of a body after which other tasks get a turn; a chunk may have one byte."""

EMPTY_LINE = b"\r\n"


class RefusedError(Exception):
    """A request that cannot be handled, with the status to respond with."""

    def __init__(self, status: http.HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class NoConnectionError(Exception):
    """A request that would leave too few connections without one in progress."""


class RequestReader:
    """Reads one request after the other.

    :param received: what the caller has sent.
    :param writer: tells the caller to continue, if it waits for this before it sends a body.
    :param clock: monotonic time.
    :param limits: returns the current limits.
    """

    def __init__(
        self,
        received: receivebuffer.ReceiveBuffer,
        writer: responsewriter.ResponseWriter,
        clock: clocks.Clock,
        limits: collections.abc.Callable[[], callerrequests.ConnectionLimits],
    ) -> None:
        self._received = received
        self._writer = writer
        self._clock = clock
        self._limits = limits
        self.is_receiving = False

    async def read(
        self, state: h11.Connection, admit: collections.abc.Callable[[], bool]
    ) -> callerrequests.Request | None:
        """Read one request; return None if none begins in time.

        :param state: the state of HTTP for this request.
        :param admit: counts a request whose head is complete; returns False if there are too many.
        :raises RefusedError: if the request is not valid, too long or too slow.
        :raises NoConnectionError: if it is not admitted.
        :raises hornbeamglade.http1.receivebuffer.NoMemoryError: if there is no room for it.
        """
        limits = self._limits()
        if not await self._await_first_byte(limits):
            return None
        self.is_receiving = True
        try:
            arrived_at = self._clock.now()
            head = await self._read_head(limits)
            ambiguity = strictness.ambiguity(head)
            if ambiguity is not None:
                raise RefusedError(http.HTTPStatus.BAD_REQUEST, ambiguity)
            if not admit():
                raise NoConnectionError
            state.receive_data(self._received.take())
            started = state.next_event()
            self._received.set_head(len(head), len(started.headers))
            body = await self._read_body(state, started, limits)
        except h11.RemoteProtocolError as error:
            # It refers to itself through the parser's frames: a reference cycle, with the body.
            error.__traceback__ = None
            raise RefusedError(http.HTTPStatus(error.error_status_hint), str(error)) from error
        finally:
            self.is_receiving = False
        self._received.put_back(state.trailing_data[0])
        return callerrequests.Request(
            bytes(started.method),
            bytes(started.target),
            tuple((bytes(name), bytes(value)) for name, value in started.headers.raw_items()),
            body,
            arrived_at,
        )

    async def _await_first_byte(self, limits: callerrequests.ConnectionLimits) -> bool:
        # RFC 9112, section 2.2: an empty line before a request is ignored.
        ignored_bytes = 0
        while True:
            while self._received.data.startswith(EMPTY_LINE):
                del self._received.data[: len(EMPTY_LINE)]
                ignored_bytes += len(EMPTY_LINE)
            if ignored_bytes > limits.head_bytes:
                raise RefusedError(http.HTTPStatus.BAD_REQUEST, "too many empty lines")
            if self._received.data and self._received.data != EMPTY_LINE[:1]:
                return True
            if not await self._received.await_data(limits.idle_s):
                return False

    async def _read_head(self, limits: callerrequests.ConnectionLimits) -> bytes:
        ends_at = self._clock.now() + limits.head_s
        searched_bytes = 0
        while (end := self._received.data.find(strictness.HEAD_END, searched_bytes)) < 0:
            if len(self._received.data) > limits.head_bytes:
                break
            searched_bytes = max(0, len(self._received.data) - len(strictness.HEAD_END))
            if not await self._received.await_data(ends_at - self._clock.now()):
                raise RefusedError(http.HTTPStatus.REQUEST_TIMEOUT, "the head took too long")
            self._received.require_room()
        if end < 0 or end > limits.head_bytes:
            status = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            raise RefusedError(status, "the head is too long")
        return bytes(self._received.data[: end + len(strictness.HEAD_END)])

    async def _read_body(
        self, state: h11.Connection, started: h11.Request, limits: callerrequests.ConnectionLimits
    ) -> bytes:
        length = fields.value(started.headers, b"content-length")
        if length is not None and int(length) > limits.body_bytes:
            raise RefusedError(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long")
        # The whole body is counted before it is read, so that it is not refused halfway.
        announced = 0 if length is None else int(length)
        self._received.reserve(announced)
        if state.they_are_waiting_for_100_continue:
            self._writer.write_interim(
                state.send(h11.InformationalResponse(status_code=100, headers=[]))
            )
        body = bytearray()
        events_in_turn = 0
        while True:
            event = state.next_event()
            events_in_turn += 1
            if events_in_turn > EVENTS_PER_TURN:
                events_in_turn = 0
                await asyncio.sleep(0)
            if event is h11.NEED_DATA:
                if not self._received.data and not await self._received.await_data(limits.idle_s):
                    raise RefusedError(http.HTTPStatus.REQUEST_TIMEOUT, "the body took too long")
                state.receive_data(self._received.take())
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.body_bytes:
                    status = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
                    raise RefusedError(status, "the body is too long")
                if len(body) > announced:
                    self._received.reserve(len(body))
            else:
                return bytes(body)
