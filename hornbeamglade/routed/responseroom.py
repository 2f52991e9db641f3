"""Room for what is held of replicas' responses while they are received.

Explanation
===========

The length of a response may be unknown until its end, and a replica in trouble sends bytes without
end. What is received of each response is therefore reserved in steps, and counted in
:class:`buffermemory.BufferMemory <hornbeamglade.http1.buffermemory.BufferMemory>` before it is
read. Short responses need no room, as most are short and soon sent. A step beyond that waits until
half of the bound is free. The other half is left to requests, to what arrives of responses that
wait, and to the oldest of the large responses, which may use it to its end: each could otherwise
hold what another one waits for. Large requests leave a share of the bound to that response, so it
ends although all of them wait for their own.

A response that waits is not read, so that its connection pauses the replica. Waiting ends with the
time of its request.
"""

import asyncio
import collections.abc

from hornbeamglade.http1 import buffermemory

MAX_RESPONSE_BYTES = 16_777_216
UNCHECKED_BYTES = 65_536
"""What is read of a response although there may be no room."""

WAITING_BYTES = 2 * UNCHECKED_BYTES
"""Most bytes of a response that waits: those that are read, and as many read ahead."""

MAX_STEP_BYTES = 1_048_576
"""Most bytes that are reserved ahead for a response of unknown length."""

RESERVE_SHARE = 0.375
"""Share of the bound that large requests leave to the oldest of the large responses."""

ROOM_POLL_S = 0.05


class ResponseRoom:
    """The room of all responses that an instance receives.

    :param memory: counts what is held, and bounds it.
    """

    def __init__(self, memory: buffermemory.BufferMemory) -> None:
        self._memory = memory
        # Ordered: the first has been large for the longest time.
        self._large: dict[Reservation, None] = {}
        memory.unused_reserve_bytes = self._unused_reserve_bytes

    def open(self) -> "Reservation":
        """Return the reservation of a response of which nothing is held yet."""
        return Reservation(self, self._memory.open())

    async def wait(self, reservation: "Reservation", byte_count: int) -> None:
        """Wait until a large response may hold so many further bytes."""
        self._large.setdefault(reservation)
        while not self._may_hold(reservation, byte_count):
            await asyncio.sleep(ROOM_POLL_S)

    def forget(self, reservation: "Reservation") -> None:
        """Let others use the room of a response that grows no further."""
        self._large.pop(reservation, None)

    @property
    def _reserve_bytes(self) -> int:
        bound_bytes = self._memory.bound_bytes or 0
        return min(MAX_RESPONSE_BYTES, int(bound_bytes * RESERVE_SHARE))

    def _unused_reserve_bytes(self) -> int:
        """Return what the oldest of the large responses has left of the reserve."""
        oldest = next(iter(self._large), None)
        return max(0, self._reserve_bytes - (0 if oldest is None else oldest.held_bytes))

    def _may_hold(self, reservation: "Reservation", byte_count: int) -> bool:
        memory = self._memory
        if next(iter(self._large)) is not reservation:
            return memory.has_room_for_response() and memory.has_room(MAX_RESPONSE_BYTES)
        # The oldest one has room to end: what waits for that holds a little each meanwhile.
        wanted_bytes = min(MAX_RESPONSE_BYTES, reservation.held_bytes + byte_count)
        waiting_bytes = sum(
            min(each.held_bytes, WAITING_BYTES) for each in self._large if each is not reservation
        )
        unused_bytes = self._reserve_bytes - reservation.held_bytes
        if wanted_bytes <= self._reserve_bytes and memory.has_room(unused_bytes - waiting_bytes):
            return True
        if not any(each.is_large for each in self._large if each is not reservation):
            # The bound may be smaller than a response.
            byte_count = -reservation.held_bytes
        return memory.has_room(byte_count)


class Reservation:
    """What is reserved for one response.

    :param room: the room of all responses.
    :param holding: counts what is held.
    """

    def __init__(self, room: ResponseRoom, holding: buffermemory.Holding) -> None:
        self._room = room
        self._holding = holding
        self._reserved_bytes = UNCHECKED_BYTES

    @property
    def is_large(self) -> bool:
        """Whether more than a short response is reserved."""
        return self._reserved_bytes > UNCHECKED_BYTES

    @property
    def held_bytes(self) -> int:
        """Bytes that are counted."""
        return self._holding.held_bytes

    def hold(self, byte_count: int, read_ahead_bytes: int) -> None:
        """Count what is held.

        :param byte_count: bytes that were read.
        :param read_ahead_bytes: bytes that were received and not read.
        """
        reserved_bytes = self._reserved_bytes if self.is_large else 0
        self._holding.hold(max(reserved_bytes, byte_count + read_ahead_bytes))

    async def reserve(self, byte_count: int) -> None:
        """Wait until so many bytes may be held in all; nothing may be received meanwhile."""
        if byte_count > self._reserved_bytes:
            await self._room.wait(self, byte_count - self._reserved_bytes)
            self._reserved_bytes = byte_count
            self._holding.hold_at_least(byte_count)

    async def grow(
        self,
        byte_count: int,
        read_ahead: collections.abc.Callable[[], int],
        pause: collections.abc.Callable[[], None],
    ) -> None:
        """Count what was read, and wait if more may be read only when there is room.

        :param byte_count: bytes that were read so far.
        :param read_ahead: returns the bytes that were received and not read.
        :param pause: pauses the connection, which continues when it is read again.
        """
        self.hold(byte_count, read_ahead())
        if byte_count <= self._reserved_bytes:
            return
        pause()
        self.hold(byte_count, read_ahead())
        await self.reserve(byte_count + min(byte_count, MAX_STEP_BYTES))

    def end(self, byte_count: int) -> None:
        """Keep only what the response takes, as it does not grow for now."""
        self._room.forget(self)
        self._reserved_bytes = UNCHECKED_BYTES
        self._holding.hold(byte_count)

    def close(self) -> None:
        """Release everything."""
        self._room.forget(self)
        self._holding.close()
