"""Streams of generations on an engine: open, read, cancel and resume."""

import collections.abc
import dataclasses
import urllib.parse

import urllib3

from hornbeamglade.backends import eventparser, httpexchange, outcomes
from hornbeamglade.core import outcomes as core_outcomes

_READ_BYTES = 65_536
_ERROR_BODY_BYTES = 65_536


class Stream:
    """The events of one generation, read from one connection.

    Explanation
    ===========

    The iteration ends after ``Finished``, ``Failed``, ``ConnectionLost`` or ``Stalled``.
    After the last two, the connection is reset, so that the engine keeps the stream
    for :func:`resume`; otherwise it is shut down in order. It is never reused.

    :param exchange: the exchange, whose response head has been checked.
    :param progress_s: the longest wait for bytes, in seconds.
    """

    __slots__ = ("_exchange", "_parser", "_progress_s")

    def __init__(self, exchange: httpexchange.HttpExchange, progress_s: float) -> None:
        self._exchange = exchange
        exchange.use_kernel_timeout(progress_s)
        self._parser = eventparser.EventParser()
        self._progress_s = progress_s

    def __iter__(self) -> collections.abc.Iterator[eventparser.Event]:
        """Yield events until the stream ends; leaving the iteration cancels the stream."""
        parser = self._parser
        resumable = False
        try:
            while not parser.ended:
                data = self._read()
                if type(data) is not bytes:
                    resumable = not self._exchange.cancellation.cancelled
                    yield data
                    return
                yield from parser.feed(data)
        finally:
            if resumable:
                self._exchange.reset()
            else:
                self._exchange.close()

    def cancel(self) -> None:
        """Shut the connection down at once, from any thread; the engine cancels."""
        self._exchange.cancellation.cancel()

    def _read(self) -> bytes | eventparser.ConnectionLost | eventparser.Stalled:
        try:
            data = self._exchange.read1(_READ_BYTES)
        except httpexchange.RESPONSE_ERRORS as error:
            return self._lost_event(repr(error))
        return data or self._lost_event("the answer ended early")

    def _lost_event(self, reason: str) -> eventparser.ConnectionLost | eventparser.Stalled:
        # A stalled network and an engine that hangs both show as a connection without
        # bytes. Engines send a keep-alive each second, also for queued and preempted
        # streams, so a longer silence is a stall.
        if self._exchange.is_silent:
            return eventparser.Stalled(self._progress_s)
        return eventparser.ConnectionLost(reason)


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """The engine runs the request; its events can be read.

    :param stream: the events.
    """

    stream: Stream


OpenOutcome = (
    Opened | outcomes.NotRun | outcomes.Lost | outcomes.MismatchedResponse | outcomes.Rejected
)
ResumeOutcome = (
    Opened
    | outcomes.StreamGone
    | outcomes.PortClosed
    | outcomes.Lost
    | outcomes.MismatchedResponse
)


def open_stream(
    address: str,
    path: str,
    body: bytes,
    headers: collections.abc.Mapping[str, str],
    request_id: str,
    priority: int,
    timeouts: httpexchange.Timeouts,
    cancellation: httpexchange.Cancellation | None = None,
) -> OpenOutcome:
    """Send a generation request to an engine and wait for the response head.

    :param address: the engine's ``ip:port``.
    :param path: the request's path.
    :param body: the request's body.
    :param headers: the request's header fields.
    :param request_id: unique for this attempt.
    :param priority: larger is more urgent.
    :param timeouts: of the connection and the response.
    :param cancellation: lets another thread cancel the request at any time.
    """
    fields = urllib3.HTTPHeaderDict(headers)
    fields["X-Priority"] = str(priority)
    request = httpexchange.OutgoingRequest("POST", path, fields, body, request_id)
    exchange = httpexchange.send_request(
        address, request, timeouts, cancellation or httpexchange.Cancellation()
    )
    if not isinstance(exchange, httpexchange.HttpExchange):
        return exchange
    status = exchange.response.status
    if status == 200:
        return Opened(Stream(exchange, timeouts.progress_s))
    try:
        if 300 <= status < 500:
            return outcomes.Rejected(status, _error_body(exchange))
        return outcomes.Lost(f"the engine answered {status}")
    finally:
        exchange.close()


def resume(
    address: str,
    request_id: str,
    last_offset: int,
    timeouts: httpexchange.Timeouts,
    cancellation: httpexchange.Cancellation | None = None,
) -> ResumeOutcome:
    """Continue the same generation after an offset, without running it again.

    The engine has already run the generation, even when it can't be reached now, so
    a failure is never ``NotRun``.

    :param address: the engine's ``ip:port``.
    :param request_id: the one that the generation was opened with.
    :param last_offset: the last offset that was received; -1 for none.
    :param timeouts: of the connection and the response.
    :param cancellation: lets another thread cancel the request at any time.
    """
    fields = urllib3.HTTPHeaderDict({"Last-Event-ID": str(last_offset)})
    request = httpexchange.OutgoingRequest(
        "GET", _stream_path(request_id), fields, None, request_id
    )
    exchange = httpexchange.send_request(
        address, request, timeouts, cancellation or httpexchange.Cancellation()
    )
    if isinstance(exchange, outcomes.MismatchedResponse):
        return exchange
    if not isinstance(exchange, httpexchange.HttpExchange):
        if isinstance(exchange, outcomes.NotRun) and exchange.port_closed:
            return outcomes.PortClosed()
        return outcomes.Lost(exchange.reason, core_outcomes.RunStatus.RAN)
    status = exchange.response.status
    if status == 200:
        return Opened(Stream(exchange, timeouts.progress_s))
    exchange.close()
    if status == 404:
        return outcomes.StreamGone()
    return outcomes.Lost(f"the engine answered {status}", core_outcomes.RunStatus.RAN)


def cancel_remote(address: str, request_id: str, timeouts: httpexchange.Timeouts) -> bool:
    """Cancel a generation whose connection is lost; return False when that isn't certain."""
    request = httpexchange.OutgoingRequest(
        "DELETE", _stream_path(request_id), urllib3.HTTPHeaderDict(), None, request_id
    )
    exchange = httpexchange.send_request(address, request, timeouts, httpexchange.Cancellation())
    if not isinstance(exchange, httpexchange.HttpExchange):
        return False
    exchange.close()
    return exchange.response.status in (200, 404)


def _stream_path(request_id: str) -> str:
    return f"/v1/streams/{urllib.parse.quote(request_id, safe='')}"


def _error_body(exchange: httpexchange.HttpExchange) -> bytes:
    try:
        return httpexchange.read_body(exchange, _ERROR_BODY_BYTES) or b""
    except httpexchange.RESPONSE_ERRORS:
        return b""
