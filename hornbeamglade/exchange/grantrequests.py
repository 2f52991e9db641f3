"""The asks of one node and the grants that it holds, without I/O.

Explanation
===========

Datagrams get lost, doubled and overtaken, so the asking side carries the whole
protocol and the owner only ever answers:

- An ask is sent again each :data:`RESEND_INTERVAL_S` until something is heard; it keeps its
  number, so the owner treats it as one.
- While queued, the ask is repeated each :data:`POLL_INTERVAL_S`. This recovers a lost push
  and tells the owner that someone still waits.
- Silence of :data:`RESPONSE_TIMEOUT_S` (:data:`QUEUED_TIMEOUT_S` while queued) gives the ask
  up, so the caller can try another replica; the owner may still have granted
  it, so the give-up is announced by :class:`messages.GrantRelease`.
- An answer that comes for an ask that was given up is returned at once.
- Progress of all grants is reported each :data:`REPORT_INTERVAL_S`, in one message for each
  owner, but of none younger than :data:`FIRST_REPORT_AFTER_S`, which has little to tell.
- A return is sent at once, and again with the next :data:`RELEASE_REPEATS` reports; if
  all are lost the grant lapses at the owner, as no progress is reported for it.

A frame costs far more bytes than an entry in it, so reports are rare and joined:
the mean answer lasts about 7 s at the target size and gets one or two.

Weighed against acknowledged delivery in both directions: it needs timers and
resends at the owner, for each of its askers, and the owner is the crowded side.
"""

import abc
import collections.abc
import dataclasses
import enum
import typing

from hornbeamglade.exchange import messages, transport

RESEND_INTERVAL_S = 0.1
RESPONSE_TIMEOUT_S = 0.3
POLL_INTERVAL_S = 1.0
QUEUED_TIMEOUT_S = 3.0
REPORT_INTERVAL_S = 5.0
FIRST_REPORT_AFTER_S = REPORT_INTERVAL_S / 2
# With one datagram in 100 lost, one return in 10,000 is lost twice, and holds its
# room until it lapses.
RELEASE_REPEATS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class NoResponse:
    """The owner was not heard in time; it was told that the ask is given up.

    :param owner: the silent node's name.
    """

    owner: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message that the caller of the aggregate must send."""

    peer: transport.Peer
    message: messages.Message


class _State(enum.Enum):
    UNANSWERED = enum.auto()
    QUEUED = enum.auto()
    GRANTED = enum.auto()
    SETTLED = enum.auto()


@dataclasses.dataclass(slots=True)
class _Ask:
    peer: transport.Peer
    ask: messages.GrantRequest
    heard_at: float
    send_at: float
    state: _State = _State.UNANSWERED
    outcome: messages.GrantResponse | NoResponse | None = None
    report_from: float = 0.0
    produced: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Return:
    peer: transport.Peer
    grant: messages.GrantRelease
    repeats_left: int


class _Entry(typing.NamedTuple):
    """One line of a report."""

    peer: transport.Peer
    grant: messages.GrantProgress | messages.GrantRelease


class GrantRequester(abc.ABC):
    """Whatever names this node's incarnation in what it asks."""

    @abc.abstractmethod
    def set_incarnation(self, incarnation: int) -> None:
        """Go on under another incarnation."""


class GrantTracker(GrantRequester):
    """All asks and grants of one incarnation of a node.

    Examples
    ========

    >>> owner = transport.Peer("b", transport.Endpoint("127.0.0.1", 7000))
    >>> tracker = GrantTracker(incarnation=1)
    >>> names = [messages.key_hash(name) for name in ("engine-1", "chat", "clerks")]
    >>> ask = messages.GrantRequest(0, *names, 0, 10, None, 1.0, 500)
    >>> number = tracker.open(owner, ask, now=0.0)
    >>> [type(out.message).__name__ for out in tracker.due(number, now=0.0)]
    ['GrantRequest']
    >>> kind = messages.GrantKind.GRANTED
    >>> granted = messages.GrantResponse(number, kind, incarnation=1)
    >>> tracker.on_response(owner, granted, now=0.01)
    ()
    >>> tracker.outcome(number) == granted
    True
    """

    def __init__(self, incarnation: int) -> None:
        """Make the tracker of one run of a node.

        :param incarnation: this node's incarnation.
        """
        self._incarnation = incarnation
        self._last_number = 0
        self._ask_by_number: dict[int, _Ask] = {}
        self._returns: list[_Return] = []
        self._report_at = 0.0

    def set_incarnation(self, incarnation: int) -> None:
        """Go on under another incarnation; answers to asks under the former one are void."""
        self._incarnation = incarnation

    def open(self, owner: transport.Peer, ask: messages.GrantRequest, now: float) -> int:
        """Begin to ask ``owner``.

        :param ask: what is wanted; its ``grant_id`` is replaced.
        :param now: monotonic seconds.
        :returns: the number of the ask.
        """
        self._last_number += 1
        number = self._last_number
        numbered = dataclasses.replace(ask, grant_id=number)
        self._ask_by_number[number] = _Ask(owner, numbered, heard_at=now, send_at=now)
        return number

    def outcome(self, number: int) -> messages.GrantResponse | NoResponse | None:
        """Return how the ask ended, or None while it is open."""
        ask = self._ask_by_number.get(number)
        return ask.outcome if ask else None

    def owner(self, number: int) -> str:
        """Return the name of the node that an ask goes to."""
        return self._ask_by_number[number].peer.name

    def has_response(self, number: int) -> bool:
        """Tell whether the owner has answered the ask at all."""
        return self._ask_by_number[number].state is not _State.UNANSWERED

    def wake_at(self, number: int) -> float:
        """Return when :meth:`due` wants to be called next for an open ask."""
        ask = self._ask_by_number[number]
        return min(ask.send_at, ask.heard_at + _silence_bound_s(ask))

    def due(self, number: int, now: float) -> tuple[Outgoing, ...]:
        """Advance an open ask: give it up, or send it again, when the time has come."""
        ask = self._ask_by_number[number]
        if ask.state not in (_State.UNANSWERED, _State.QUEUED):
            return ()
        if now - ask.heard_at >= _silence_bound_s(ask):
            ask.outcome = NoResponse(ask.peer.name)
            return self._return(number, ask)
        if now < ask.send_at:
            return ()
        ask.send_at = now + (POLL_INTERVAL_S if ask.state is _State.QUEUED else RESEND_INTERVAL_S)
        return (Outgoing(ask.peer, ask.ask),)

    def on_response(
        self, owner: transport.Peer, answer: messages.GrantResponse, now: float
    ) -> tuple[Outgoing, ...]:
        """Take an answer.

        :param owner: the node that answered, and where it can be reached.
        :param answer: its answer.
        :param now: monotonic seconds.
        :returns: a return of the grant if nobody waits for it any more.
        """
        # Numbers begin anew with each run. Guards against an answer to the former
        # run of this node, which would show as a grant that the owner never gave.
        if answer.incarnation != self._incarnation:
            return ()
        ask = self._ask_by_number.get(answer.grant_id)
        if ask is None or ask.state is _State.SETTLED:
            return _return_late(owner, answer)
        # Guards against an overtaken "queued" that arrives after the grant, and
        # against an answer of a node that this ask did not go to.
        if ask.peer.name != owner.name or ask.state is _State.GRANTED:
            return ()
        ask.heard_at = now
        if answer.kind is messages.GrantKind.QUEUED:
            _note_queued(ask, now)
            return ()
        granted = answer.kind is messages.GrantKind.GRANTED
        if granted and answer.replica:
            # Its progress is told to whoever owns the replica that it runs on.
            ask.ask = dataclasses.replace(ask.ask, replica=answer.replica)
        ask.state = _State.GRANTED if granted else _State.SETTLED
        ask.outcome = answer
        ask.report_from = now + FIRST_REPORT_AFTER_S
        return ()

    def record_progress(self, number: int, produced: int) -> None:
        """Note the tokens that a granted request has produced so far."""
        ask = self._ask_by_number.get(number)
        if ask is not None:
            ask.produced = produced

    def close(self, number: int, now: float) -> tuple[Outgoing, ...]:
        """End an ask or grant: finished, failed or no longer wanted; idempotent."""
        ask = self._ask_by_number.get(number)
        if ask is None:
            return ()
        outgoing: tuple[Outgoing, ...] = ()
        if ask.state is not _State.SETTLED:
            outgoing = self._return(number, ask)
        del self._ask_by_number[number]
        return outgoing

    def redirect(self, replica: int, owner: transport.Peer) -> None:
        """Report grants for a replica to its new owner from now on.

        :param replica: :func:`messages.key_hash
            <hornbeamglade.exchange.messages.key_hash>` of its name.
        """
        for ask in self._ask_by_number.values():
            if ask.ask.replica == replica and ask.state is _State.GRANTED:
                ask.peer = owner
                # Guards against a new owner that plans memory which is in use: it hears
                # of this grant by its first report only.
                ask.report_from = 0.0

    def tick(self, now: float) -> tuple[Outgoing, ...]:
        """Return the reports that are due: progress, and returns once more."""
        if now < self._report_at:
            return ()
        self._report_at = now + REPORT_INTERVAL_S
        entries_by_peer: dict[transport.Peer, list[_Entry]] = {}
        for entry in (*self._running(now), *self._repeated_returns()):
            entries_by_peer.setdefault(entry.peer, []).append(entry)
        return tuple(
            Outgoing(peer, message)
            for peer, entries in entries_by_peer.items()
            for message in _reports(entries)
        )

    def _return(self, number: int, ask: _Ask) -> tuple[Outgoing, ...]:
        ask.state = _State.SETTLED
        grant = messages.GrantRelease(number, ask.produced)
        self._returns.append(_Return(ask.peer, grant, RELEASE_REPEATS))
        return (Outgoing(ask.peer, messages.Progress(released=(grant,))),)

    def _running(self, now: float) -> collections.abc.Iterator[_Entry]:
        for number, ask in self._ask_by_number.items():
            if ask.state is _State.GRANTED and now >= ask.report_from:
                grant = messages.GrantProgress(number, ask.ask.replica, ask.produced)
                yield _Entry(ask.peer, grant)

    def _repeated_returns(self) -> collections.abc.Iterator[_Entry]:
        returns, self._returns = self._returns, []
        for one in returns:
            if one.repeats_left > 1:
                again = dataclasses.replace(one, repeats_left=one.repeats_left - 1)
                self._returns.append(again)
            yield _Entry(one.peer, one.grant)


def _note_queued(ask: _Ask, now: float) -> None:
    # Only the first "queued" moves the next poll: each poll is answered by another
    # "queued", and the polls would come ever later behind slow answers.
    if ask.state is _State.UNANSWERED:
        ask.send_at = now + POLL_INTERVAL_S
    ask.state = _State.QUEUED


def _return_late(owner: transport.Peer, answer: messages.GrantResponse) -> tuple[Outgoing, ...]:
    if answer.kind is messages.GrantKind.REFUSED:
        return ()
    # Guards against a grant that nobody uses: its answer was late, the request
    # went elsewhere, and the owner would hold memory for it. The returns that
    # were scheduled at the give-up may all be lost.
    return (
        Outgoing(owner, messages.Progress(released=(messages.GrantRelease(answer.grant_id),))),
    )


def _reports(entries: list[_Entry]) -> collections.abc.Iterator[messages.Progress]:
    for start in range(0, len(entries), messages.MAX_PROGRESS):
        grants = [entry.grant for entry in entries[start : start + messages.MAX_PROGRESS]]
        yield messages.Progress(
            tuple(grant for grant in grants if isinstance(grant, messages.GrantProgress)),
            tuple(grant for grant in grants if isinstance(grant, messages.GrantRelease)),
        )


def _silence_bound_s(ask: _Ask) -> float:
    return QUEUED_TIMEOUT_S if ask.state is _State.QUEUED else RESPONSE_TIMEOUT_S
