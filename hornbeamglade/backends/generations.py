"""Generations on an engine: open, read, cancel and resume a stream."""

import collections.abc
import dataclasses
import urllib.parse

import urllib3

from hornbeamglade.backends import eventparser, links, outcomes
from hornbeamglade.core import outcomes as core_outcomes

_READ_BYTES = 65_536
_ERROR_BODY_BYTES = 65_536


class Stream:
    """The events of one generation, from one connection.

    Explanation
    ===========

    The iteration ends after ``Finished``, ``Failed``, ``ConnectionLost`` or ``Stalled``.
    After the last two the connection is reset, so that the engine holds the
    stream for :func:`resume`; else it is closed in order. It is never reused.

    :param link: the connection, whose answer's head has been checked.
    :param progress_s: the longest silence, in seconds.
    """

    __slots__ = ("_link", "_parser", "_progress_s")

    def __init__(self, link: links.Link, progress_s: float) -> None:
        self._link = link
        link.wait_in_kernel(progress_s)
        self._parser = eventparser.EventParser()
        self._progress_s = progress_s

    def __iter__(self) -> collections.abc.Iterator[eventparser.Event]:
        """Read until the stream ends; leaving the iteration cancels it."""
        parser = self._parser
        resumable = False
        try:
            while not parser.ended:
                data = self._read()
                if type(data) is not bytes:
                    resumable = not self._link.cancellation.cancelled
                    yield data
                    return
                yield from parser.feed(data)
        finally:
            if resumable:
                self._link.abandon()
            else:
                self._link.close()

    def cancel(self) -> None:
        """Close the connection at once, from any thread; the engine cancels."""
        self._link.cancellation.cancel()

    def _read(self) -> bytes | eventparser.ConnectionLost | eventparser.Stalled:
        try:
            data = self._link.read1(_READ_BYTES)
        except links.ANSWER_ERRORS as error:
            return self._lost(repr(error))
        return data or self._lost("the answer ended early")

    def _lost(self, reason: str) -> eventparser.ConnectionLost | eventparser.Stalled:
        # A link that stalls shows as silence, and so does a slow engine without its
        # keep-alives; these come each second, so silence for longer is a stall, while a
        # queued or preempted stream goes on waiting.
        if self._link.silent:
            return eventparser.Stalled(self._progress_s)
        return eventparser.ConnectionLost(reason)


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """The engine runs the request; its events are to be read."""

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
    timeouts: links.Timeouts,
    cancellation: links.Cancellation | None = None,
) -> OpenOutcome:
    """Offer a generation to an engine.

    :param address: the engine's ``ip:port``.
    :param request_id: unique for this attempt.
    :param priority: larger is more urgent.
    :param cancellation: lets another thread cancel while the answer is awaited.
    """
    fields = urllib3.HTTPHeaderDict(headers)
    fields["X-Priority"] = str(priority)
    offer = links.Offer("POST", path, fields, body, request_id)
    link = links.offer(address, offer, timeouts, cancellation or links.Cancellation())
    if not isinstance(link, links.Link):
        return link
    status = link.response.status
    if status == 200:
        return Opened(Stream(link, timeouts.progress_s))
    try:
        if 300 <= status < 500:
            return outcomes.Rejected(status, _error_body(link))
        return outcomes.Lost(f"the engine answered {status}")
    finally:
        link.close()


def resume(
    address: str,
    request_id: str,
    last_offset: int,
    timeouts: links.Timeouts,
    cancellation: links.Cancellation | None = None,
) -> ResumeOutcome:
    """Continue the same generation after an offset; nothing is run again.

    That the engine can't be reached now doesn't undo that it ran the generation, so
    a failure is never ``NotRun``.

    :param last_offset: the last offset that was received; -1 for none.
    """
    fields = urllib3.HTTPHeaderDict({"Last-Event-ID": str(last_offset)})
    offer = links.Offer("GET", _stream_path(request_id), fields, None, request_id)
    link = links.offer(address, offer, timeouts, cancellation or links.Cancellation())
    if isinstance(link, outcomes.MismatchedResponse):
        return link
    if not isinstance(link, links.Link):
        if isinstance(link, outcomes.NotRun) and link.port_closed:
            return outcomes.PortClosed()
        return outcomes.Lost(link.reason, core_outcomes.RunStatus.RAN)
    status = link.response.status
    if status == 200:
        return Opened(Stream(link, timeouts.progress_s))
    link.close()
    if status == 404:
        return outcomes.StreamGone()
    return outcomes.Lost(f"the engine answered {status}", core_outcomes.RunStatus.RAN)


def cancel_remote(address: str, request_id: str, timeouts: links.Timeouts) -> bool:
    """Cancel a generation whose connection is lost; False when that isn't certain."""
    offer = links.Offer(
        "DELETE", _stream_path(request_id), urllib3.HTTPHeaderDict(), None, request_id
    )
    link = links.offer(address, offer, timeouts, links.Cancellation())
    if not isinstance(link, links.Link):
        return False
    link.close()
    return link.response.status in (200, 404)


def _stream_path(request_id: str) -> str:
    return f"/v1/streams/{urllib.parse.quote(request_id, safe='')}"


def _error_body(link: links.Link) -> bytes:
    try:
        return links.read_body(link, _ERROR_BODY_BYTES) or b""
    except links.ANSWER_ERRORS:
        return b""
