"""Sends grant requests to the owners of replicas, from the threads that serve requests."""

import collections.abc
import threading

from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, grantrequests, messages, transport

_MIN_WAIT_S = 0.001
_WANTED_CHECK_S = 0.5


class GrantClient(grantrequests.GrantRequester):
    """Blocking grant requests over a transport; safe to use from several threads.

    Explanation
    ===========

    The requesting thread also sends its own retransmissions, so a request needs no other
    thread; :meth:`tick` must be called a few times a second to send reports.
    """

    def __init__(self, incarnation: int, sender: transport.Transport, clock: clocks.Clock) -> None:
        self._tracker = grantrequests.GrantTracker(incarnation)
        self._transport = sender
        self._clock = clock
        self._lock = threading.Lock()
        self._event_by_id: dict[int, threading.Event] = {}

    def set_incarnation(self, incarnation: int) -> None:
        """Continue under another incarnation."""
        with self._lock:
            self._tracker.set_incarnation(incarnation)

    def request_grant(
        self,
        owner: transport.Peer,
        request: messages.GrantRequest,
        is_wanted: collections.abc.Callable[[], bool] = lambda: True,
    ) -> messages.GrantResponse | grantrequests.NoResponse | None:
        """Request a grant from ``owner`` and wait for the response or a timeout.

        :param owner: the owner of the replica.
        :param request: the request to send; its ``grant_id`` is replaced. The wait is
            bounded by its ``deadline_ms``.
        :param is_wanted: called at least twice a second while queued; False ends the
            request, for a caller that has disconnected.
        :returns: a granted or refused response; ``NoResponse`` if the owner did not respond in
            time; or None if the deadline passed or the request was no longer wanted. Only
            a granted response needs :meth:`close`, by its ``grant_id``.
        """
        ends_at = self._clock.now() + request.deadline_ms / 1000
        response_event = threading.Event()
        with self._lock:
            grant_id = self._tracker.open(owner, request, self._clock.now())
            self._event_by_id[grant_id] = response_event
        granted = False
        try:
            outcome = self._wait(grant_id, response_event, ends_at, is_wanted)
            granted = (
                isinstance(outcome, messages.GrantResponse)
                and outcome.kind is messages.GrantKind.GRANTED
            )
            return outcome
        finally:
            with self._lock:
                del self._event_by_id[grant_id]
            if not granted:
                self.close(grant_id)

    def record_progress(self, grant_id: int, produced: int) -> None:
        """Record how many tokens a granted request has produced."""
        with self._lock:
            self._tracker.record_progress(grant_id, produced)

    def close(self, grant_id: int) -> None:
        """Release a grant at the end of its request; idempotent."""
        with self._lock:
            outgoing = self._tracker.close(grant_id, self._clock.now())
        self._send(outgoing)

    def redirect(self, replica: str, owner: transport.Peer) -> None:
        """Report grants for ``replica`` to its new owner from now on."""
        with self._lock:
            self._tracker.redirect(messages.key_hash(replica), owner)

    def tick(self) -> None:
        """Send progress reports and repeated grant releases that are due."""
        with self._lock:
            outgoing = self._tracker.tick(self._clock.now())
        self._send(outgoing)

    def on_response(
        self,
        response: messages.GrantResponse,
        sender: codec.Sender,
        source: transport.Endpoint,
    ) -> None:
        """Handle a grant response from the transport."""
        owner = transport.Peer(sender.name, source)
        with self._lock:
            outgoing = self._tracker.on_response(owner, response, self._clock.now())
            event = self._event_by_id.get(response.grant_id)
        if event is not None:
            event.set()
        self._send(outgoing)

    def _wait(
        self,
        grant_id: int,
        response_event: threading.Event,
        ends_at: float,
        is_wanted: collections.abc.Callable[[], bool],
    ) -> messages.GrantResponse | grantrequests.NoResponse | None:
        while True:
            now = self._clock.now()
            response_event.clear()
            with self._lock:
                outgoing = self._tracker.advance(grant_id, now)
                outcome = self._tracker.outcome(grant_id)
                wake_at = self._tracker.wake_at(grant_id)
            self._send(outgoing)
            if outcome is not None:
                return outcome
            if now >= ends_at or not is_wanted():
                return None
            wait_s = min(wake_at - now, ends_at - now, _WANTED_CHECK_S)
            response_event.wait(max(_MIN_WAIT_S, wait_s))

    def _send(self, outgoing: tuple[grantrequests.Outgoing, ...]) -> None:
        for each in outgoing:
            self._transport.send(each.peer, each.message)
