"""Requesting migration slots for runs, and granting them as the owner of a replica."""

import asyncio
import enum

from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, messages, transport
from hornbeamglade.grants import grantacquirer, migrationslots

RESEND_S = 0.04
OWNER_TIMEOUT_S = 0.13
"""An owner responds to every request; after three requests without a response the run stops
waiting for it."""

FIRST_GRANT_DELAY_S = migrationslots.COLLECT_S + 0.001


class SlotDirection(enum.Enum):
    """What a slot is for; each replica has a separate queue for each direction."""

    LEAVE = "leave"
    ARRIVE = "arrive"


class MigrationCoordinator:
    """Requests and grants migration slots in one node's event loop.

    :param name: this node's name.
    :param owners: which node owns which replica.
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
        self._slots = migrationslots.MigrationSlots()
        self._peer_by_holder: dict[str, transport.Peer] = {}
        self._granted_by_run: dict[tuple[int, int], asyncio.Event] = {}
        self._last_seen_at_by_run: dict[tuple[int, int], float] = {}

    async def acquire(
        self,
        replica: str,
        request_id: str,
        tokens: int,
        direction: SlotDirection = SlotDirection.LEAVE,
    ) -> None:
        """Wait for a run's slot; call :meth:`release` afterwards, also when cancelled.

        Returns without a slot if the replica's owner does not respond: otherwise the runs
        would be lost only because no node orders their migrations.
        """
        run = _run_key(replica, request_id, direction)
        granted = self._granted_by_run.setdefault(run, asyncio.Event())
        self._last_seen_at_by_run[run] = self._clock.now()
        while not granted.is_set():
            owner = self._owners.owner(replica)
            if owner is None:
                self._on_request(run, self._name, tokens)
            else:
                request = messages.MigrationSlot(messages.MigrationSlotKind.REQUEST, *run, tokens)
                self._transport.send(owner, request)
            try:
                async with asyncio.timeout(RESEND_S):
                    await granted.wait()
            except TimeoutError:
                if owner is not None and self._is_owner_silent(run):
                    return

    def release(
        self, replica: str, request_id: str, direction: SlotDirection = SlotDirection.LEAVE
    ) -> None:
        """Release a run's slot, or withdraw its request for one; idempotent."""
        run = _run_key(replica, request_id, direction)
        if self._granted_by_run.pop(run, None) is None:
            return
        self._last_seen_at_by_run.pop(run, None)
        owner = self._owners.owner(replica)
        if owner is None:
            self._on_release(run)
            return
        # Sent twice: if it is lost, the next run waits until the slot expires.
        for _ in range(2):
            self._transport.send(
                owner, messages.MigrationSlot(messages.MigrationSlotKind.RELEASE, *run)
            )

    def handle_message(
        self, slot: messages.MigrationSlot, origin: codec.Sender, source: transport.Endpoint
    ) -> None:
        """Handle a message from the transport."""
        run = (slot.replica, slot.run)
        if slot.kind is messages.MigrationSlotKind.REQUEST:
            peer = transport.Peer(origin.name, source)
            self._peer_by_holder[origin.name] = peer
            self._on_request(run, origin.name, slot.tokens)
            self._transport.send(
                peer, messages.MigrationSlot(messages.MigrationSlotKind.WAIT, *run)
            )
        elif slot.kind is messages.MigrationSlotKind.RELEASE:
            self._on_release(run)
        elif run in self._granted_by_run:
            self._last_seen_at_by_run[run] = self._clock.now()
            if slot.kind is messages.MigrationSlotKind.GRANT:
                self._granted_by_run[run].set()

    @property
    def is_idle(self) -> bool:
        """Whether no run waits for a slot that this node grants."""
        return self._slots.is_idle

    def tick(self) -> None:
        """Grant the slots that are due; called several times a second."""
        if self._slots.is_idle:
            return
        for slot in self._slots.due(self._clock.now()):
            run = (int(slot.replica), int(slot.run.id))
            if slot.run.holder == self._name:
                if run in self._granted_by_run:
                    self._granted_by_run[run].set()
            else:
                peer = self._peer_by_holder[slot.run.holder]
                self._transport.send(
                    peer, messages.MigrationSlot(messages.MigrationSlotKind.GRANT, *run)
                )

    def _on_request(self, run: tuple[int, int], holder: str, tokens: int) -> None:
        replica, run_id = run
        migrating = migrationslots.MigratingRun(str(run_id), holder, tokens)
        if self._slots.request(str(replica), migrating, self._clock.now()):
            asyncio.get_running_loop().call_later(FIRST_GRANT_DELAY_S, self.tick)

    def _on_release(self, run: tuple[int, int]) -> None:
        replica, run_id = run
        self._slots.release(str(replica), str(run_id), self._clock.now())
        self.tick()

    def _is_owner_silent(self, run: tuple[int, int]) -> bool:
        return self._clock.now() - self._last_seen_at_by_run[run] > OWNER_TIMEOUT_S


def _run_key(replica: str, request_id: str, direction: SlotDirection) -> tuple[int, int]:
    """Return the hashes of the slot queue's name and of the request id."""
    queue = replica if direction is SlotDirection.LEAVE else f"{direction.value}/{replica}"
    return messages.key_hash(queue), messages.key_hash(request_id)
