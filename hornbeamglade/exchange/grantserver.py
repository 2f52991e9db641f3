"""Answering asks at the owner of a replica, each ask once.

Explanation
===========

The scheduler decides; this module makes its decisions safe against a network that
loses, doubles and reorders:

- The response to a grant request is stored, so a repeated request gets the same response
  and the scheduler sees it once.
- A request whose grant was released is stored as such for :data:`RECORD_RETENTION_S`, so a
  delayed copy of it is not granted to nobody. The codec accepts no frame older than
  :data:`replay.MAX_FRAME_DELAY_S
  <hornbeamglade.exchange.replay.MAX_FRAME_DELAY_S>`, a third of that.
- A grant of which nothing is heard for :data:`GRANT_TIMEOUT_S` expires, and so does a queued
  request that is no longer repeated: the requester failed, or its releases were lost. All
  grants of a node expire at once through :meth:`GrantServer.expire_holder`.

An owner that is new, or that let a grant lapse whose holder was merely cut off,
hears of running requests that it did not admit; they are offered to the scheduler by
:meth:`GrantScheduler.adopt` so that it can count their memory.
"""

import abc
import collections.abc
import dataclasses
import enum
import threading

from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, grantrequests, messages, replay, transport

GRANT_TIMEOUT_S = 4 * grantrequests.REPORT_INTERVAL_S
RECORD_RETENTION_S = 3 * replay.MAX_FRAME_DELAY_S
MAX_RECORDS = 20_000

RETURNED = "grant_returned"
OWNER_FULL = "owner_full"


@dataclasses.dataclass(frozen=True, slots=True)
class GrantKey:
    """What names an ask at its owner.

    :param holder: the asking node's name.
    :param incarnation: the asking node's incarnation.
    :param grant_id: the number of the ask.
    """

    holder: str
    incarnation: int
    grant_id: int


class GrantScheduler(abc.ABC):
    """Decides on asks for the replicas that this node owns; thread-safe.

    Explanation
    ===========

    Called from several threads and without a lock held, so an implementation may
    call :meth:`GrantServer.push` from within, with its own lock held.
    """

    @abc.abstractmethod
    def decide(self, key: GrantKey, request: messages.GrantRequest) -> messages.GrantResponse:
        """Grant, queue or refuse; called once for each key."""

    @abc.abstractmethod
    def progress(self, key: GrantKey, produced: int) -> None:
        """Take note of how many tokens a granted request has produced."""

    @abc.abstractmethod
    def release(self, key: GrantKey, produced: int) -> None:
        """Free what an ask held or queued for; it produced so many tokens in all."""

    @abc.abstractmethod
    def expire(self, key: GrantKey) -> None:
        """Free what a silent holder's ask held or queued for."""

    @abc.abstractmethod
    def adopt(self, key: GrantKey, progress: messages.GrantProgress) -> None:
        """Count a running request that this scheduler did not admit."""


class _Phase(enum.Enum):
    ASKING = enum.auto()
    OPEN = enum.auto()
    REFUSED = enum.auto()
    RETURNED = enum.auto()
    LAPSED = enum.auto()


@dataclasses.dataclass(slots=True)
class _Record:
    peer: transport.Peer
    heard_at: float
    phase: _Phase = _Phase.ASKING
    answer: messages.GrantResponse | None = None


class GrantServer:
    """Dispatches asks and progress to a scheduler; safe to use from several threads.

    Explanation
    ===========

    Its lock guards the records only and is never held while the scheduler or the
    transport is called, so no order of locks between them can deadlock.
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

    def on_request(
        self, ask: messages.GrantRequest, origin: codec.Sender, source: transport.Endpoint
    ) -> None:
        """Take an ask from the transport and answer it."""
        key = GrantKey(origin.name, origin.incarnation, ask.grant_id)
        peer = transport.Peer(origin.name, source)
        self._lapse_former_runs(origin)
        with self._lock:
            record = self._record_by_key.get(key)
            if record is not None:
                record.heard_at = self._clock.now()
                record.peer = peer
                answer = _remembered_answer(ask, record)
            elif len(self._record_by_key) >= MAX_RECORDS:
                answer = _refusal(ask.grant_id, OWNER_FULL)
            else:
                answer = None
                self._record_by_key[key] = _Record(peer, self._clock.now())
        if record is None and answer is None:
            answer = self._decide(key, ask)
        if answer is not None:
            self._reply(key, peer, answer)

    def on_progress(
        self,
        progress: messages.Progress,
        origin: codec.Sender,
        source: transport.Endpoint,
    ) -> None:
        """Take a report of progress from the transport."""
        peer = transport.Peer(origin.name, source)
        for grant in progress.released:
            self._returned(GrantKey(origin.name, origin.incarnation, grant.grant_id), peer, grant)
        for grant in progress.running:
            self._advanced(GrantKey(origin.name, origin.incarnation, grant.grant_id), peer, grant)

    def push(self, key: GrantKey, answer: messages.GrantResponse) -> bool:
        """Send the answer that a queued ask was waiting for.

        :returns: False when the ask has ended meanwhile; then nothing is sent and
            the scheduler has been, or is about to be, told so.
        """
        with self._lock:
            record = self._record_by_key.get(key)
            if record is None or record.phase not in (_Phase.ASKING, _Phase.OPEN):
                return False
            record.answer = answer
            if _is_refused(answer):
                record.phase = _Phase.REFUSED
            peer = record.peer
        self._reply(key, peer, answer)
        return True

    def expire_holder(self, name: str) -> None:
        """Let all grants of a node lapse; membership holds it for dead."""
        self._lapse(lambda key, record: key.holder == name)

    def tick(self) -> None:
        """Let silent asks lapse and forget what ended long ago."""
        now = self._clock.now()
        self._lapse(lambda key, record: now - record.heard_at > GRANT_TIMEOUT_S)
        with self._lock:
            forgotten = [
                key
                for key, record in self._record_by_key.items()
                if not _is_open(record) and now - record.heard_at > RECORD_RETENTION_S
            ]
            for key in forgotten:
                del self._record_by_key[key]
            holders = {key.holder for key in self._record_by_key}
            for holder in self._incarnation_by_holder.keys() - holders:
                del self._incarnation_by_holder[holder]

    def _decide(self, key: GrantKey, ask: messages.GrantRequest) -> messages.GrantResponse:
        answer = self._scheduler.decide(key, ask)
        with self._lock:
            record = self._record_by_key[key]
            if record.phase is _Phase.ASKING:
                # A push that came while the scheduler was returning is newer than "queued".
                record.answer = record.answer or answer
                refused = _is_refused(record.answer)
                record.phase = _Phase.REFUSED if refused else _Phase.OPEN
                return record.answer
            if record.phase is _Phase.REFUSED:
                return record.answer
        # The ask was returned while the scheduler decided: free what it just gave.
        self._scheduler.release(key, 0)
        return _refusal(ask.grant_id, RETURNED)

    def _returned(self, key: GrantKey, peer: transport.Peer, grant: messages.GrantRelease) -> None:
        with self._lock:
            record = self._record_by_key.get(key)
            was_open = record is not None and record.phase is _Phase.OPEN
            if record is None and len(self._record_by_key) < MAX_RECORDS:
                record = _Record(peer, self._clock.now())
                self._record_by_key[key] = record
            # Guards against an ask that the network delivers after its return: it
            # would be granted, and hold memory that nobody uses. The record stays.
            if record is not None:
                record.phase = _Phase.RETURNED
                record.heard_at = self._clock.now()
        if was_open:
            self._scheduler.release(key, grant.produced)

    def _advanced(
        self, key: GrantKey, peer: transport.Peer, grant: messages.GrantProgress
    ) -> None:
        with self._lock:
            record = self._record_by_key.get(key)
            known = record is not None and record.phase is _Phase.OPEN
            adopted = record is None or record.phase is _Phase.LAPSED
            if known:
                record.heard_at = self._clock.now()
            elif adopted and (record is not None or len(self._record_by_key) < MAX_RECORDS):
                answer = messages.GrantResponse(key.grant_id, messages.GrantKind.GRANTED)
                self._record_by_key[key] = _Record(peer, self._clock.now(), _Phase.OPEN, answer)
            else:
                return
        if known:
            self._scheduler.progress(key, grant.produced)
        else:
            self._scheduler.adopt(key, grant)

    def _lapse_former_runs(self, origin: codec.Sender) -> None:
        with self._lock:
            newest = self._incarnation_by_holder.get(origin.name)
            self._incarnation_by_holder[origin.name] = origin.incarnation
        if newest is not None and newest != origin.incarnation:
            self._lapse(
                lambda key, record: (
                    key.holder == origin.name and key.incarnation != origin.incarnation
                )
            )

    def _lapse(self, chosen: collections.abc.Callable[[GrantKey, _Record], bool]) -> None:
        with self._lock:
            lapsed = [
                key
                for key, record in self._record_by_key.items()
                if record.phase is _Phase.OPEN and chosen(key, record)
            ]
            for key in lapsed:
                record = self._record_by_key[key]
                record.phase = _Phase.LAPSED
                record.heard_at = self._clock.now()
        for key in lapsed:
            self._scheduler.expire(key)

    def _reply(self, key: GrantKey, peer: transport.Peer, answer: messages.GrantResponse) -> None:
        addressed = dataclasses.replace(answer, grant_id=key.grant_id, incarnation=key.incarnation)
        self._transport.send(peer, addressed)


def _is_open(record: _Record) -> bool:
    return record.phase in (_Phase.ASKING, _Phase.OPEN)


def _is_refused(answer: messages.GrantResponse) -> bool:
    return answer.kind is messages.GrantKind.REFUSED


def _remembered_answer(
    ask: messages.GrantRequest, record: _Record
) -> messages.GrantResponse | None:
    if record.phase in (_Phase.RETURNED, _Phase.LAPSED):
        return _refusal(ask.grant_id, RETURNED)
    return record.answer


def _refusal(grant_id: int, code: str) -> messages.GrantResponse:
    return messages.GrantResponse(grant_id, messages.GrantKind.REFUSED, code)
