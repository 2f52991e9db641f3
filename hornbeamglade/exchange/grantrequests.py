"""The grant requests of one node and the grants that it holds, without I/O.

Explanation
===========

Datagrams are lost, duplicated and reordered, so the requester drives the whole
protocol and the owner only responds:

- A request is sent again every :data:`RESEND_INTERVAL_S` until a response is received; it
  keeps its ``grant_id``, so the owner treats all copies as one.
- While queued, the request is repeated every :data:`POLL_INTERVAL_S`. This recovers a lost push
  and tells the owner that the requester still waits.
- After :data:`RESPONSE_TIMEOUT_S` (:data:`QUEUED_TIMEOUT_S` while queued) without a
  response the request is abandoned, so that the caller can try another replica. The owner may
  still have granted it, so the requester announces this with :class:`messages.GrantRelease`.
- A grant that arrives for an abandoned request is released immediately.
- Progress of all grants is reported every :data:`REPORT_INTERVAL_S`, in one message for each
  owner, but not of grants younger than :data:`FIRST_REPORT_AFTER_S`, which have made little
  progress.
- The first measurement of a stream's pace is reported as soon as its meter is ready: engines
  of uneven speed may live for only some 20 s.
- A release is sent immediately, and again with the next :data:`RELEASE_REPEATS` reports; if
  all are lost, the grant expires at the owner, as no progress is reported for it.

A frame costs far more bytes than an entry in it, so reports are rare and batched:
the mean generation lasts about 7 s at the target size and gets one or two reports.

The alternative is acknowledged delivery in both directions. It needs timers and
retransmissions at the owner for each requester, and the owner is the more loaded side.
"""

import abc
import collections.abc
import dataclasses
import enum
import typing

from hornbeamglade.exchange import messages, transport
from hornbeamglade.speeds import pacemeter

RESEND_INTERVAL_S = 0.1
RESPONSE_TIMEOUT_S = 0.3
POLL_INTERVAL_S = 1.0
QUEUED_TIMEOUT_S = 3.0
REPORT_INTERVAL_S = 5.0
FIRST_REPORT_AFTER_S = REPORT_INTERVAL_S / 2
# With one datagram in 100 lost, one release in 10,000 is lost twice, and its grant
# occupies memory until it expires.
RELEASE_REPEATS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class NoResponse:
    """The owner did not respond in time; it was told that the request is abandoned.

    :param owner: the name of the node that did not respond.
    """

    owner: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message that the caller of the tracker must send."""

    peer: transport.Peer
    message: messages.Message


class _RequestState(enum.Enum):
    UNANSWERED = enum.auto()
    QUEUED = enum.auto()
    GRANTED = enum.auto()
    SETTLED = enum.auto()


@dataclasses.dataclass(slots=True)
class _OpenRequest:
    peer: transport.Peer
    message: messages.GrantRequest
    last_seen_at: float
    send_at: float
    state: _RequestState = _RequestState.UNANSWERED
    outcome: messages.GrantResponse | NoResponse | None = None
    report_after: float = 0.0
    produced: int = 0
    meter: pacemeter.PaceMeter | None = None
    is_pace_reported: bool = False

    def take_pace(self) -> pacemeter.Measurement:
        """Return the pace since the previous report; unknown without a meter."""
        return pacemeter.Measurement() if self.meter is None else self.meter.take()


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRelease:
    peer: transport.Peer
    grant: messages.GrantRelease
    repeats_left: int


class _ReportEntry(typing.NamedTuple):
    """One entry of a progress report."""

    peer: transport.Peer
    grant: messages.GrantProgress | messages.GrantRelease


class GrantRequester(abc.ABC):
    """A sender of grant requests that carry this node's incarnation."""

    @abc.abstractmethod
    def set_incarnation(self, incarnation: int) -> None:
        """Continue under another incarnation."""


class GrantTracker(GrantRequester):
    """All grant requests and grants of one incarnation of a node.

    Examples
    ========

    >>> owner = transport.Peer("b", transport.Endpoint("127.0.0.1", 7000))
    >>> tracker = GrantTracker(incarnation=1)
    >>> names = [messages.key_hash(name) for name in ("engine-1", "chat", "clerks")]
    >>> request = messages.GrantRequest(0, *names, 0, 10, None, 1.0, 500)
    >>> grant_id = tracker.open(owner, request, now=0.0)
    >>> [type(outgoing.message).__name__ for outgoing in tracker.advance(grant_id, now=0.0)]
    ['GrantRequest']
    >>> kind = messages.GrantKind.GRANTED
    >>> granted = messages.GrantResponse(grant_id, kind, incarnation=1)
    >>> tracker.on_response(owner, granted, now=0.01)
    ()
    >>> tracker.outcome(grant_id) == granted
    True
    """

    def __init__(self, incarnation: int) -> None:
        """Create the tracker of one incarnation of a node.

        :param incarnation: this node's incarnation.
        """
        self._incarnation = incarnation
        self._last_grant_id = 0
        self._request_by_id: dict[int, _OpenRequest] = {}
        self._pending_releases: list[_PendingRelease] = []
        self._report_at = 0.0
        self._pace_due: list[int] = []

    def set_incarnation(self, incarnation: int) -> None:
        """Continue under another incarnation; responses to the former one are ignored."""
        self._incarnation = incarnation

    def open(self, owner: transport.Peer, request: messages.GrantRequest, now: float) -> int:
        """Begin a grant request to ``owner``.

        :param request: the request to send; its ``grant_id`` is replaced.
        :param now: monotonic seconds.
        :returns: the ``grant_id`` of the request.
        """
        self._last_grant_id += 1
        grant_id = self._last_grant_id
        numbered = dataclasses.replace(request, grant_id=grant_id)
        self._request_by_id[grant_id] = _OpenRequest(
            owner, numbered, last_seen_at=now, send_at=now
        )
        return grant_id

    def outcome(self, grant_id: int) -> messages.GrantResponse | NoResponse | None:
        """Return the outcome of the request, or None while it is open."""
        request = self._request_by_id.get(grant_id)
        return request.outcome if request else None

    def owner(self, grant_id: int) -> str:
        """Return the name of the node that the request is sent to."""
        return self._request_by_id[grant_id].peer.name

    def has_response(self, grant_id: int) -> bool:
        """Return whether the owner has responded to the request at all."""
        return self._request_by_id[grant_id].state is not _RequestState.UNANSWERED

    def wake_at(self, grant_id: int) -> float:
        """Return when :meth:`advance` must be called next for an open request."""
        request = self._request_by_id[grant_id]
        return min(request.send_at, request.last_seen_at + _silence_timeout_s(request))

    def advance(self, grant_id: int, now: float) -> tuple[Outgoing, ...]:
        """Abandon an open request or send it again if its timeout has passed."""
        request = self._request_by_id[grant_id]
        if request.state not in (_RequestState.UNANSWERED, _RequestState.QUEUED):
            return ()
        if now - request.last_seen_at >= _silence_timeout_s(request):
            request.outcome = NoResponse(request.peer.name)
            return self._release(grant_id, request)
        if now < request.send_at:
            return ()
        request.send_at = now + (
            POLL_INTERVAL_S if request.state is _RequestState.QUEUED else RESEND_INTERVAL_S
        )
        return (Outgoing(request.peer, request.message),)

    def on_response(
        self, owner: transport.Peer, response: messages.GrantResponse, now: float
    ) -> tuple[Outgoing, ...]:
        """Handle a response.

        :param owner: the node that responded, and its endpoint.
        :param response: its response.
        :param now: monotonic seconds.
        :returns: the release of the grant if no request waits for it any more.
        """
        # Grant ids start again with each incarnation. Guards against a response to a former
        # incarnation of this node, which would be taken for a grant the owner never gave.
        if response.incarnation != self._incarnation:
            return ()
        request = self._request_by_id.get(response.grant_id)
        if request is None or request.state is _RequestState.SETTLED:
            return _release_late_grant(owner, response)
        # Guards against a reordered "queued" that arrives after the grant, and
        # against a response from a node that this request was not sent to.
        if request.peer.name != owner.name or request.state is _RequestState.GRANTED:
            return ()
        request.last_seen_at = now
        if response.kind is messages.GrantKind.QUEUED:
            _set_queued(request, now)
            return ()
        granted = response.kind is messages.GrantKind.GRANTED
        if granted and response.replica:
            # Progress is reported to the owner of the replica that runs the request.
            request.message = dataclasses.replace(request.message, replica=response.replica)
        request.state = _RequestState.GRANTED if granted else _RequestState.SETTLED
        request.outcome = response
        request.report_after = now + FIRST_REPORT_AFTER_S
        return ()

    def record_progress(
        self, grant_id: int, produced: int, meter: pacemeter.PaceMeter | None = None
    ) -> None:
        """Record how many tokens a granted request has produced so far.

        :param meter: measures the pace of its stream.
        """
        request = self._request_by_id.get(grant_id)
        if request is None:
            return
        request.produced = produced
        request.meter = meter
        if meter is not None and not request.is_pace_reported and meter.is_ready:
            request.is_pace_reported = True
            self._pace_due.append(grant_id)

    def close(self, grant_id: int, now: float) -> tuple[Outgoing, ...]:
        """End a request or grant that finished, failed or is no longer wanted; idempotent."""
        request = self._request_by_id.get(grant_id)
        if request is None:
            return ()
        outgoing: tuple[Outgoing, ...] = ()
        if request.state is not _RequestState.SETTLED:
            outgoing = self._release(grant_id, request)
        del self._request_by_id[grant_id]
        return outgoing

    def redirect(self, replica: int, owner: transport.Peer) -> None:
        """Report grants for a replica to its new owner from now on.

        :param replica: :func:`messages.key_hash
            <hornbeamglade.exchange.messages.key_hash>` of its name.
        """
        for request in self._request_by_id.values():
            if request.message.replica == replica and request.state is _RequestState.GRANTED:
                request.peer = owner
                # Guards against a new owner that plans with memory that is in use: it learns
                # of this grant only by its first report.
                request.report_after = 0.0

    def tick(self, now: float) -> tuple[Outgoing, ...]:
        """Return the reports that are due: progress and repeated releases."""
        if now < self._report_at:
            entries = tuple(self._first_pace_entries()) if self._pace_due else ()
        else:
            self._report_at = now + REPORT_INTERVAL_S
            entries = (
                *self._first_pace_entries(),
                *self._progress_entries(now),
                *self._repeated_releases(),
            )
        entries_by_peer: dict[transport.Peer, list[_ReportEntry]] = {}
        for entry in entries:
            entries_by_peer.setdefault(entry.peer, []).append(entry)
        return tuple(
            Outgoing(peer, message)
            for peer, entries in entries_by_peer.items()
            for message in _split_reports(entries)
        )

    def _release(self, grant_id: int, request: _OpenRequest) -> tuple[Outgoing, ...]:
        request.state = _RequestState.SETTLED
        pace = request.take_pace()
        grant = messages.GrantRelease(grant_id, request.produced, pace.token_us, pace.pause_ms)
        self._pending_releases.append(_PendingRelease(request.peer, grant, RELEASE_REPEATS))
        return (Outgoing(request.peer, messages.Progress(released=(grant,))),)

    def _progress_entries(self, now: float) -> collections.abc.Iterator[_ReportEntry]:
        for grant_id, request in self._request_by_id.items():
            if request.state is _RequestState.GRANTED and now >= request.report_after:
                yield _progress_entry(grant_id, request)

    def _first_pace_entries(self) -> collections.abc.Iterator[_ReportEntry]:
        due, self._pace_due = self._pace_due, []
        for grant_id in due:
            request = self._request_by_id.get(grant_id)
            if request is not None and request.state is _RequestState.GRANTED:
                yield _progress_entry(grant_id, request)

    def _repeated_releases(self) -> collections.abc.Iterator[_ReportEntry]:
        releases, self._pending_releases = self._pending_releases, []
        for each in releases:
            if each.repeats_left > 1:
                again = dataclasses.replace(each, repeats_left=each.repeats_left - 1)
                self._pending_releases.append(again)
            yield _ReportEntry(each.peer, each.grant)


def _progress_entry(grant_id: int, request: _OpenRequest) -> _ReportEntry:
    pace = request.take_pace()
    grant = messages.GrantProgress(
        grant_id, request.message.replica, request.produced, pace.token_us, pace.pause_ms
    )
    return _ReportEntry(request.peer, grant)


def _set_queued(request: _OpenRequest, now: float) -> None:
    # Only the first "queued" postpones the next poll: each poll is answered by another
    # "queued", and slow responses would delay the polls more and more.
    if request.state is _RequestState.UNANSWERED:
        request.send_at = now + POLL_INTERVAL_S
    request.state = _RequestState.QUEUED


def _release_late_grant(
    owner: transport.Peer, response: messages.GrantResponse
) -> tuple[Outgoing, ...]:
    if response.kind is messages.GrantKind.REFUSED:
        return ()
    # Guards against an unused grant: its response was late, the request went to
    # another replica, and the owner would reserve memory for it. The releases that
    # were scheduled when the request was abandoned may all be lost.
    return (
        Outgoing(owner, messages.Progress(released=(messages.GrantRelease(response.grant_id),))),
    )


def _split_reports(entries: list[_ReportEntry]) -> collections.abc.Iterator[messages.Progress]:
    for start in range(0, len(entries), messages.MAX_PROGRESS):
        grants = [entry.grant for entry in entries[start : start + messages.MAX_PROGRESS]]
        yield messages.Progress(
            tuple(grant for grant in grants if isinstance(grant, messages.GrantProgress)),
            tuple(grant for grant in grants if isinstance(grant, messages.GrantRelease)),
        )


def _silence_timeout_s(request: _OpenRequest) -> float:
    return QUEUED_TIMEOUT_S if request.state is _RequestState.QUEUED else RESPONSE_TIMEOUT_S
