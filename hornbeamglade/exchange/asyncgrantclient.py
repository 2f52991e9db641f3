"""Sends grant requests to the owners of replicas, from the tasks of an event loop."""

import asyncio

from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, grantrequests, messages, transport
from hornbeamglade.speeds import pacemeter

_MIN_WAIT_S = 0.001


class AsyncGrantClient(grantrequests.GrantRequester):
    """Requests grants over a transport; the counterpart of ``GrantClient`` for an event loop.

    :param incarnation: this node's incarnation.
    :param sender: sends the messages.
    :param clock: monotonic time.
    """

    def __init__(self, incarnation: int, sender: transport.Transport, clock: clocks.Clock) -> None:
        self._tracker = grantrequests.GrantTracker(incarnation)
        self._transport = sender
        self._clock = clock
        self._event_by_id: dict[int, asyncio.Event] = {}

    def set_incarnation(self, incarnation: int) -> None:
        """Continue under another incarnation."""
        self._tracker.set_incarnation(incarnation)

    async def request_grant(
        self, owner: transport.Peer, request: messages.GrantRequest
    ) -> messages.GrantResponse | grantrequests.NoResponse | None:
        """Request a grant from ``owner`` and wait for the response or a timeout.

        :param owner: the owner of the replica.
        :param request: the request to send; its ``grant_id`` is replaced. The wait is
            bounded by its ``deadline_ms``; cancelling the wait abandons the request.
        :returns: a granted or refused response; ``NoResponse`` if the owner did not respond in
            time or before the deadline; or None if the deadline passed while queued. Only a
            granted response needs :meth:`close`, by its ``grant_id``.
        """
        ends_at = self._clock.now() + request.deadline_ms / 1000
        grant_id = self._tracker.open(owner, request, self._clock.now())
        self._event_by_id[grant_id] = asyncio.Event()
        outcome = None
        try:
            outcome = await self._wait(grant_id, ends_at)
            return outcome
        finally:
            del self._event_by_id[grant_id]
            if not _is_granted(outcome):
                self.close(grant_id)

    def record_progress(
        self, grant_id: int, produced: int, meter: pacemeter.PaceMeter | None = None
    ) -> None:
        """Record how many tokens a granted request has produced.

        :param meter: measures the pace of its stream.
        """
        self._tracker.record_progress(grant_id, produced, meter)

    def close(self, grant_id: int) -> None:
        """Release a grant at the end of its request; idempotent."""
        self._send(self._tracker.close(grant_id, self._clock.now()))

    def redirect(self, replica: str, owner: transport.Peer) -> None:
        """Report grants for ``replica`` to its new owner from now on."""
        self._tracker.redirect(messages.key_hash(replica), owner)

    def tick(self) -> None:
        """Send progress reports and repeated grant releases that are due."""
        self._send(self._tracker.tick(self._clock.now()))

    def on_response(
        self, response: messages.GrantResponse, sender: codec.Sender, source: transport.Endpoint
    ) -> None:
        """Handle a grant response from the transport."""
        owner = transport.Peer(sender.name, source)
        outgoing = self._tracker.on_response(owner, response, self._clock.now())
        response_event = self._event_by_id.get(response.grant_id)
        if response_event is not None:
            response_event.set()
        self._send(outgoing)

    async def _wait(
        self, grant_id: int, ends_at: float
    ) -> messages.GrantResponse | grantrequests.NoResponse | None:
        response_event = self._event_by_id[grant_id]
        while True:
            now = self._clock.now()
            response_event.clear()
            self._send(self._tracker.advance(grant_id, now))
            outcome = self._tracker.outcome(grant_id)
            if outcome is not None:
                return outcome
            if now >= ends_at:
                owner = self._tracker.owner(grant_id)
                return (
                    None
                    if self._tracker.has_response(grant_id)
                    else grantrequests.NoResponse(owner)
                )
            wait_s = min(self._tracker.wake_at(grant_id), ends_at) - now
            try:
                async with asyncio.timeout(max(_MIN_WAIT_S, wait_s)):
                    await response_event.wait()
            except TimeoutError:
                continue

    def _send(self, outgoing: tuple[grantrequests.Outgoing, ...]) -> None:
        for each in outgoing:
            self._transport.send(each.peer, each.message)


def _is_granted(outcome: messages.GrantResponse | grantrequests.NoResponse | None) -> bool:
    if not isinstance(outcome, messages.GrantResponse):
        return False
    return outcome.kind is messages.GrantKind.GRANTED
