"""Responds to grant requests at the owner of a replica, deciding on each one once.

Explanation
===========

The scheduler decides; this module makes its decisions safe against a network that
loses, duplicates and reorders messages:

- The response to a grant request is stored, so a repeated request gets the same response
  and the scheduler sees it once.
- A request that was released is stored as such for :data:`RECORD_RETENTION_S`, so a
  delayed copy of it is not granted. The codec drops a frame that is older than the newest of
  its sender by more than :data:`replay.MAX_FRAME_DELAY_S
  <hornbeamglade.exchange.replay.MAX_FRAME_DELAY_S>`, a third of that.
- A grant without a report for :data:`GRANT_TIMEOUT_S` expires, and so does a queued
  request that is no longer repeated: the requester failed, or its releases were lost. All
  grants of a node expire at once through :meth:`GrantServer.expire_holder`.

A new owner, or one at which a grant expired while its holder was only partitioned,
receives reports of running requests that it did not admit. They are passed to the scheduler
by :meth:`GrantScheduler.adopt` so that it can account for their memory.
"""

import abc
import collections.abc
import dataclasses
import enum
import threading

from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, grantrequests, messages, replay, transport
from hornbeamglade.speeds import pacemeter

GRANT_TIMEOUT_S = 4 * grantrequests.REPORT_INTERVAL_S
RECORD_RETENTION_S = 3 * replay.MAX_FRAME_DELAY_S
MAX_RECORDS = 20_000

RETURNED = "grant_returned"
OWNER_FULL = "owner_full"


@dataclasses.dataclass(frozen=True, slots=True)
class GrantKey:
    """Identifies a grant request at the owner.

    :param holder: the requesting node's name.
    :param incarnation: the requesting node's incarnation.
    :param grant_id: the identifier of the request within that incarnation.
    """

    holder: str
    incarnation: int
    grant_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class SiteFigures:
    """What an owner knows of one service at the whole site.

    :param digests: the states of its replicas.
    :param waiting: the requests that wait for them.
    """

    digests: tuple[messages.AgedDigest, ...] = ()
    waiting: tuple[messages.WaitingClass, ...] = ()


ReadFigures = collections.abc.Callable[[int], SiteFigures]
"""Returns the figures of a replica's service, by the hash of the replica's name."""


class GrantScheduler(abc.ABC):
    """Decides on grant requests for the replicas that this node owns; thread-safe.

    Explanation
    ===========

    Called from several threads and without a lock held, so an implementation may
    call :meth:`GrantServer.push` from its methods while it holds its own lock.
    """

    @abc.abstractmethod
    def decide(self, key: GrantKey, request: messages.GrantRequest) -> messages.GrantResponse:
        """Grant, queue or refuse; called once for each key."""

    @abc.abstractmethod
    def progress(self, key: GrantKey, produced: int) -> None:
        """Record how many tokens a granted request has produced."""

    @abc.abstractmethod
    def release(self, key: GrantKey, produced: int) -> None:
        """Free the memory or queue position of a request that produced ``produced`` tokens."""

    @abc.abstractmethod
    def expire(self, key: GrantKey) -> None:
        """Free the memory or queue position of a request whose holder stopped reporting."""

    @abc.abstractmethod
    def adopt(self, key: GrantKey, progress: messages.GrantProgress) -> None:
        """Account for a running request that this scheduler did not admit."""

    @abc.abstractmethod
    def record_pace(self, key: GrantKey, measurement: pacemeter.Measurement) -> None:
        """Record the pace of a granted request's stream."""


class _Phase(enum.Enum):
    DECIDING = enum.auto()
    OPEN = enum.auto()
    REFUSED = enum.auto()
    RELEASED = enum.auto()
    EXPIRED = enum.auto()


@dataclasses.dataclass(slots=True)
class _Record:
    peer: transport.Peer
    last_seen_at: float
    phase: _Phase = _Phase.DECIDING
    response: messages.GrantResponse | None = None
    replica: int = 0


class GrantServer:
    """Passes grant requests and progress to a scheduler; safe to use from several threads.

    Explanation
    ===========

    The lock guards only the records and is never held while the scheduler or the
    transport is called, so no lock order between them can cause a deadlock.
    """

    def __init__(
        self, scheduler: GrantScheduler, sender: transport.Transport, clock: clocks.Clock
    ) -> None:
        self._scheduler = scheduler
        self._transport = sender
        self._clock = clock
        self._lock = threading.Lock()
        self._record_by_key: dict[GrantKey, _Record] = {}
        self._incarnation_by_holder: dict[str, int] = {}
        self._read_figures: ReadFigures = lambda _replica: SiteFigures()

    def set_figures(self, read_figures: ReadFigures) -> None:
        """Set the function that returns the figures that each response carries."""
        self._read_figures = read_figures

    def on_request(
        self, request: messages.GrantRequest, sender: codec.Sender, source: transport.Endpoint
    ) -> None:
        """Handle a grant request from the transport and respond to it."""
        key = GrantKey(sender.name, sender.incarnation, request.grant_id)
        peer = transport.Peer(sender.name, source)
        self._expire_former_incarnations(sender)
        with self._lock:
            record = self._record_by_key.get(key)
            if record is not None:
                record.last_seen_at = self._clock.now()
                record.peer = peer
                response = _stored_response(request, record)
            elif len(self._record_by_key) >= MAX_RECORDS:
                response = _refusal(request.grant_id, OWNER_FULL)
            else:
                response = None
                self._record_by_key[key] = _Record(
                    peer, self._clock.now(), replica=request.replica
                )
        if record is None and response is None:
            response = self._decide(key, request)
        if response is not None:
            self._reply(key, peer, response, request.replica)

    def on_progress(
        self,
        progress: messages.Progress,
        sender: codec.Sender,
        source: transport.Endpoint,
    ) -> None:
        """Handle a progress report from the transport."""
        peer = transport.Peer(sender.name, source)
        for grant in progress.released:
            self._on_release(
                GrantKey(sender.name, sender.incarnation, grant.grant_id), peer, grant
            )
        for grant in progress.running:
            self._on_progress(
                GrantKey(sender.name, sender.incarnation, grant.grant_id), peer, grant
            )

    def push(self, key: GrantKey, response: messages.GrantResponse) -> bool:
        """Send the response that a queued request was waiting for.

        :returns: False if the request has ended in the meantime; then nothing is sent, and
            the scheduler has been, or is about to be, notified.
        """
        with self._lock:
            record = self._record_by_key.get(key)
            if record is None or record.phase not in (_Phase.DECIDING, _Phase.OPEN):
                return False
            record.response = response
            if _is_refused(response):
                record.phase = _Phase.REFUSED
            peer, replica = record.peer, record.replica
        self._reply(key, peer, response, replica)
        return True

    def expire_holder(self, name: str) -> None:
        """Expire all grants of a node that membership considers failed."""
        self._expire_matching(lambda key, record: key.holder == name)

    def tick(self) -> None:
        """Expire requests without reports and delete records that ended long ago."""
        now = self._clock.now()
        self._expire_matching(lambda key, record: now - record.last_seen_at > GRANT_TIMEOUT_S)
        with self._lock:
            outdated = [
                key
                for key, record in self._record_by_key.items()
                if not _is_open(record) and now - record.last_seen_at > RECORD_RETENTION_S
            ]
            for key in outdated:
                del self._record_by_key[key]
            holders = {key.holder for key in self._record_by_key}
            for holder in self._incarnation_by_holder.keys() - holders:
                del self._incarnation_by_holder[holder]

    def _decide(self, key: GrantKey, request: messages.GrantRequest) -> messages.GrantResponse:
        response = self._scheduler.decide(key, request)
        with self._lock:
            record = self._record_by_key[key]
            if record.phase is _Phase.DECIDING:
                # A push that was made while the scheduler returned is newer than "queued".
                record.response = record.response or response
                refused = _is_refused(record.response)
                record.phase = _Phase.REFUSED if refused else _Phase.OPEN
                return record.response
            if record.phase is _Phase.REFUSED:
                return record.response
        # The request was released while the scheduler decided: free what it just granted.
        self._scheduler.release(key, 0)
        return _refusal(request.grant_id, RETURNED)

    def _on_release(
        self, key: GrantKey, peer: transport.Peer, grant: messages.GrantRelease
    ) -> None:
        with self._lock:
            record = self._record_by_key.get(key)
            was_open = record is not None and record.phase is _Phase.OPEN
            if record is None and len(self._record_by_key) < MAX_RECORDS:
                record = _Record(peer, self._clock.now())
                self._record_by_key[key] = record
            # Guards against a request that the network delivers after its release: it
            # would be granted, and reserve unused memory. The record is kept.
            if record is not None:
                record.phase = _Phase.RELEASED
                record.last_seen_at = self._clock.now()
        if was_open:
            self._record_pace(key, grant)
            self._scheduler.release(key, grant.produced)

    def _on_progress(
        self, key: GrantKey, peer: transport.Peer, grant: messages.GrantProgress
    ) -> None:
        with self._lock:
            record = self._record_by_key.get(key)
            is_known = record is not None and record.phase is _Phase.OPEN
            is_adopted = record is None or record.phase is _Phase.EXPIRED
            if is_known:
                record.last_seen_at = self._clock.now()
            elif is_adopted and (record is not None or len(self._record_by_key) < MAX_RECORDS):
                response = messages.GrantResponse(key.grant_id, messages.GrantKind.GRANTED)
                self._record_by_key[key] = _Record(peer, self._clock.now(), _Phase.OPEN, response)
            else:
                return
        if is_known:
            self._scheduler.progress(key, grant.produced)
        else:
            self._scheduler.adopt(key, grant)
        self._record_pace(key, grant)

    def _record_pace(
        self, key: GrantKey, grant: messages.GrantProgress | messages.GrantRelease
    ) -> None:
        if grant.token_us or grant.pause_ms:
            measurement = pacemeter.Measurement(grant.token_us, grant.pause_ms)
            self._scheduler.record_pace(key, measurement)

    def _expire_former_incarnations(self, sender: codec.Sender) -> None:
        with self._lock:
            newest = self._incarnation_by_holder.get(sender.name)
            self._incarnation_by_holder[sender.name] = sender.incarnation
        if newest is not None and newest != sender.incarnation:
            self._expire_matching(
                lambda key, record: (
                    key.holder == sender.name and key.incarnation != sender.incarnation
                )
            )

    def _expire_matching(
        self, matches: collections.abc.Callable[[GrantKey, _Record], bool]
    ) -> None:
        with self._lock:
            expired = [
                key
                for key, record in self._record_by_key.items()
                if record.phase is _Phase.OPEN and matches(key, record)
            ]
            for key in expired:
                record = self._record_by_key[key]
                record.phase = _Phase.EXPIRED
                record.last_seen_at = self._clock.now()
        for key in expired:
            self._scheduler.expire(key)

    def _reply(
        self, key: GrantKey, peer: transport.Peer, response: messages.GrantResponse, replica: int
    ) -> None:
        # The figures are read here and not stored: a stored response is sent again later.
        figures = self._read_figures(replica)
        addressed = dataclasses.replace(
            response,
            grant_id=key.grant_id,
            incarnation=key.incarnation,
            digests=figures.digests,
            waiting=figures.waiting,
        )
        self._transport.send(peer, addressed)


def _is_open(record: _Record) -> bool:
    return record.phase in (_Phase.DECIDING, _Phase.OPEN)


def _is_refused(response: messages.GrantResponse) -> bool:
    return response.kind is messages.GrantKind.REFUSED


def _stored_response(
    request: messages.GrantRequest, record: _Record
) -> messages.GrantResponse | None:
    if record.phase in (_Phase.RELEASED, _Phase.EXPIRED):
        return _refusal(request.grant_id, RETURNED)
    return record.response


def _refusal(grant_id: int, code: str) -> messages.GrantResponse:
    return messages.GrantResponse(grant_id, messages.GrantKind.REFUSED, code)
