"""Asking the owners of replicas for grants, from the tasks of an event loop."""

import asyncio

from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, grantrequests, messages, transport

_SHORTEST_WAIT_S = 0.001


class AsyncGrantClient(grantrequests.GrantRequester):
    """Asks over a transport; the counterpart of ``GrantClient`` for an event loop.

    :param incarnation: this node's incarnation.
    :param sender: carries the messages.
    :param clock: monotonic time.
    """

    def __init__(self, incarnation: int, sender: transport.Transport, clock: clocks.Clock) -> None:
        self._tracker = grantrequests.GrantTracker(incarnation)
        self._transport = sender
        self._clock = clock
        self._answered_by_number: dict[int, asyncio.Event] = {}

    def set_incarnation(self, incarnation: int) -> None:
        """Go on under another incarnation."""
        self._tracker.set_incarnation(incarnation)

    async def request_grant(
        self, owner: transport.Peer, ask: messages.GrantRequest
    ) -> messages.GrantResponse | grantrequests.NoResponse | None:
        """Ask ``owner`` and wait for a grant, a refusal or its silence.

        :param owner: the owner of the replica.
        :param ask: what is wanted; its ``grant_id`` is replaced. The wait is
            bounded by its ``deadline_ms``; cancelling it gives the ask up.
        :returns: a granted or refused answer; the owner's silence, also when the deadline
            is earlier; or None when the deadline passed while queued. Only a granted
            answer needs :meth:`close`, by its ``grant_id``.
        """
        ends_at = self._clock.now() + ask.deadline_ms / 1000
        number = self._tracker.open(owner, ask, self._clock.now())
        self._answered_by_number[number] = asyncio.Event()
        outcome = None
        try:
            outcome = await self._wait(number, ends_at)
            return outcome
        finally:
            del self._answered_by_number[number]
            if not _is_granted(outcome):
                self.close(number)

    def record_progress(self, number: int, produced: int) -> None:
        """Note how many tokens a granted request has produced."""
        self._tracker.record_progress(number, produced)

    def close(self, number: int) -> None:
        """Return a grant, at the end of its request; idempotent."""
        self._send(self._tracker.close(number, self._clock.now()))

    def redirect(self, replica: str, owner: transport.Peer) -> None:
        """Report grants for ``replica`` to its new owner from now on."""
        self._tracker.redirect(messages.key_hash(replica), owner)

    def tick(self) -> None:
        """Send reports of progress and repeated returns that are due."""
        self._send(self._tracker.tick(self._clock.now()))

    def on_response(
        self, answer: messages.GrantResponse, origin: codec.Sender, source: transport.Endpoint
    ) -> None:
        """Take an answer from the transport."""
        owner = transport.Peer(origin.name, source)
        outgoing = self._tracker.on_response(owner, answer, self._clock.now())
        answered = self._answered_by_number.get(answer.grant_id)
        if answered is not None:
            answered.set()
        self._send(outgoing)

    async def _wait(
        self, number: int, ends_at: float
    ) -> messages.GrantResponse | grantrequests.NoResponse | None:
        answered = self._answered_by_number[number]
        while True:
            now = self._clock.now()
            answered.clear()
            self._send(self._tracker.due(number, now))
            outcome = self._tracker.outcome(number)
            if outcome is not None:
                return outcome
            if now >= ends_at:
                owner = self._tracker.owner(number)
                return (
                    None if self._tracker.has_response(number) else grantrequests.NoResponse(owner)
                )
            wait_s = min(self._tracker.wake_at(number), ends_at) - now
            try:
                async with asyncio.timeout(max(_SHORTEST_WAIT_S, wait_s)):
                    await answered.wait()
            except TimeoutError:
                continue

    def _send(self, outgoing: tuple[grantrequests.Outgoing, ...]) -> None:
        for one in outgoing:
            self._transport.send(one.peer, one.message)


def _is_granted(outcome: messages.GrantResponse | grantrequests.NoResponse | None) -> bool:
    if not isinstance(outcome, messages.GrantResponse):
        return False
    return outcome.kind is messages.GrantKind.GRANTED
