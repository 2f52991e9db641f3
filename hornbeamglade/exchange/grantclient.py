"""Asking the owners of replicas for grants, from the threads that serve requests."""

import collections.abc
import threading

from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, grantrequests, messages, transport

_SHORTEST_WAIT_S = 0.001
_WANTED_EVERY_S = 0.5


class GrantClient(grantrequests.GrantRequester):
    """Blocking asks over a transport; safe to use from several threads.

    Explanation
    ===========

    The thread that asks also sends its own repetitions, so an ask needs no other
    thread; :meth:`tick` must be called a few times a second for reports.
    """

    def __init__(self, incarnation: int, sender: transport.Transport, clock: clocks.Clock) -> None:
        self._tracker = grantrequests.GrantTracker(incarnation)
        self._transport = sender
        self._clock = clock
        self._lock = threading.Lock()
        self._event_by_number: dict[int, threading.Event] = {}

    def set_incarnation(self, incarnation: int) -> None:
        """Go on under another incarnation."""
        with self._lock:
            self._tracker.set_incarnation(incarnation)

    def request_grant(
        self,
        owner: transport.Peer,
        ask: messages.GrantRequest,
        wanted: collections.abc.Callable[[], bool] = lambda: True,
    ) -> messages.GrantResponse | grantrequests.NoResponse | None:
        """Ask ``owner`` and wait for a grant, a refusal or its silence.

        :param owner: the owner of the replica.
        :param ask: what is wanted; its ``grant_id`` is replaced. The wait is
            bounded by its ``deadline_ms``.
        :param wanted: asked at least twice a second while queued; False ends the
            ask, for a caller who has gone.
        :returns: a granted or refused answer; the owner's silence; or None when the
            deadline passed or the ask was no longer wanted. Only a granted
            answer needs :meth:`close`, by its ``grant_id``.
        """
        ends_at = self._clock.now() + ask.deadline_ms / 1000
        answered = threading.Event()
        with self._lock:
            number = self._tracker.open(owner, ask, self._clock.now())
            self._event_by_number[number] = answered
        granted = False
        try:
            outcome = self._wait(number, answered, ends_at, wanted)
            granted = (
                isinstance(outcome, messages.GrantResponse)
                and outcome.kind is messages.GrantKind.GRANTED
            )
            return outcome
        finally:
            with self._lock:
                del self._event_by_number[number]
            if not granted:
                self.close(number)

    def record_progress(self, number: int, produced: int) -> None:
        """Note how many tokens a granted request has produced."""
        with self._lock:
            self._tracker.record_progress(number, produced)

    def close(self, number: int) -> None:
        """Return a grant, at the end of its request; idempotent."""
        with self._lock:
            outgoing = self._tracker.close(number, self._clock.now())
        self._send(outgoing)

    def redirect(self, replica: str, owner: transport.Peer) -> None:
        """Report grants for ``replica`` to its new owner from now on."""
        with self._lock:
            self._tracker.redirect(messages.key_hash(replica), owner)

    def tick(self) -> None:
        """Send reports of progress and repeated returns that are due."""
        with self._lock:
            outgoing = self._tracker.tick(self._clock.now())
        self._send(outgoing)

    def on_response(
        self,
        answer: messages.GrantResponse,
        origin: codec.Sender,
        source: transport.Endpoint,
    ) -> None:
        """Take an answer from the transport."""
        owner = transport.Peer(origin.name, source)
        with self._lock:
            outgoing = self._tracker.on_response(owner, answer, self._clock.now())
            event = self._event_by_number.get(answer.grant_id)
        if event is not None:
            event.set()
        self._send(outgoing)

    def _wait(
        self,
        number: int,
        answered: threading.Event,
        ends_at: float,
        wanted: collections.abc.Callable[[], bool],
    ) -> messages.GrantResponse | grantrequests.NoResponse | None:
        while True:
            now = self._clock.now()
            answered.clear()
            with self._lock:
                outgoing = self._tracker.due(number, now)
                outcome = self._tracker.outcome(number)
                wake_at = self._tracker.wake_at(number)
            self._send(outgoing)
            if outcome is not None:
                return outcome
            if now >= ends_at or not wanted():
                return None
            wait_s = min(wake_at - now, ends_at - now, _WANTED_EVERY_S)
            answered.wait(max(_SHORTEST_WAIT_S, wait_s))

    def _send(self, outgoing: tuple[grantrequests.Outgoing, ...]) -> None:
        for one in outgoing:
            self._transport.send(one.peer, one.message)
