"""Waiting for a run's turn to leave a replica or to come to one, and giving turns as owner."""

import asyncio
import enum

from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, messages, transport
from hornbeamglade.grants import grantacquirer, migrationslots

ASK_AGAIN_S = 0.04
SILENT_S = 0.13
"""An owner answers each ask; one that left three unanswered is not waited for."""

SETTLE_S = migrationslots.COLLECT_S + 0.001


class SlotDirection(enum.Enum):
    """What a turn is for; each replica has a line for each."""

    LEAVE = "leave"
    ARRIVE = "arrive"


class MigrationCoordinator:
    """Both sides of turns, of one node's event loop.

    :param name: this node's name.
    :param owners: who owns which replica.
    :param sender: carries the messages.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        name: str,
        owners: grantacquirer.ReplicaOwners,
        sender: transport.Transport,
        clock: clocks.Clock,
    ) -> None:
        self._name = name
        self._owners = owners
        self._transport = sender
        self._clock = clock
        self._turns = migrationslots.MigrationSlots()
        self._peer_by_holder: dict[str, transport.Peer] = {}
        self._go_by_run: dict[tuple[int, int], asyncio.Event] = {}
        self._heard_at_by_run: dict[tuple[int, int], float] = {}

    async def acquire(
        self,
        replica: str,
        request_id: str,
        tokens: int,
        direction: SlotDirection = SlotDirection.LEAVE,
    ) -> None:
        """Wait for a run's turn; end it with :meth:`release`, also when cancelled.

        Returns without a turn when the replica's owner is silent: its runs would be lost
        for want of someone to order them.
        """
        run = _run(replica, request_id, direction)
        go = self._go_by_run.setdefault(run, asyncio.Event())
        self._heard_at_by_run[run] = self._clock.now()
        while not go.is_set():
            owner = self._owners.owner(replica)
            if owner is None:
                self._asked(run, self._name, tokens)
            else:
                ask = messages.MigrationSlot(messages.MigrationSlotKind.REQUEST, *run, tokens)
                self._transport.send(owner, ask)
            try:
                async with asyncio.timeout(ASK_AGAIN_S):
                    await go.wait()
            except TimeoutError:
                if owner is not None and self._is_silent(run):
                    return

    def release(
        self, replica: str, request_id: str, direction: SlotDirection = SlotDirection.LEAVE
    ) -> None:
        """End a run's turn, or its wait for one; idempotent."""
        run = _run(replica, request_id, direction)
        if self._go_by_run.pop(run, None) is None:
            return
        self._heard_at_by_run.pop(run, None)
        owner = self._owners.owner(replica)
        if owner is None:
            self._done(run)
            return
        # Said twice: when it is lost, the next run waits for the turn to lapse.
        for _ in range(2):
            self._transport.send(
                owner, messages.MigrationSlot(messages.MigrationSlotKind.RELEASE, *run)
            )

    def handle_message(
        self, turn: messages.MigrationSlot, origin: codec.Sender, source: transport.Endpoint
    ) -> None:
        """Take a message from the transport."""
        run = (turn.replica, turn.run)
        if turn.kind is messages.MigrationSlotKind.REQUEST:
            peer = transport.Peer(origin.name, source)
            self._peer_by_holder[origin.name] = peer
            self._asked(run, origin.name, turn.tokens)
            self._transport.send(
                peer, messages.MigrationSlot(messages.MigrationSlotKind.WAIT, *run)
            )
        elif turn.kind is messages.MigrationSlotKind.RELEASE:
            self._done(run)
        elif run in self._go_by_run:
            self._heard_at_by_run[run] = self._clock.now()
            if turn.kind is messages.MigrationSlotKind.GRANT:
                self._go_by_run[run].set()

    @property
    def is_idle(self) -> bool:
        """Whether no run waits here for a turn that this node gives."""
        return self._turns.is_idle

    def tick(self) -> None:
        """Give the turns that are due; called several times a second."""
        if self._turns.is_idle:
            return
        for turn in self._turns.due(self._clock.now()):
            run = (int(turn.replica), int(turn.run.id))
            if turn.run.holder == self._name:
                if run in self._go_by_run:
                    self._go_by_run[run].set()
            else:
                peer = self._peer_by_holder[turn.run.holder]
                self._transport.send(
                    peer, messages.MigrationSlot(messages.MigrationSlotKind.GRANT, *run)
                )

    def _asked(self, run: tuple[int, int], holder: str, tokens: int) -> None:
        replica, run_id = run
        asked = migrationslots.MigratingRun(str(run_id), holder, tokens)
        if self._turns.request(str(replica), asked, self._clock.now()):
            asyncio.get_running_loop().call_later(SETTLE_S, self.tick)

    def _done(self, run: tuple[int, int]) -> None:
        replica, run_id = run
        self._turns.release(str(replica), str(run_id), self._clock.now())
        self.tick()

    def _is_silent(self, run: tuple[int, int]) -> bool:
        return self._clock.now() - self._heard_at_by_run[run] > SILENT_S


def _run(replica: str, request_id: str, direction: SlotDirection) -> tuple[int, int]:
    """Return the hashes of a line and of a run in it."""
    line = replica if direction is SlotDirection.LEAVE else f"{direction.value}/{replica}"
    return messages.key_hash(line), messages.key_hash(request_id)
