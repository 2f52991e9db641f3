"""Moving one run to another engine while its stream goes on.

Explanation
===========

The run's memory is copied first while the run goes on, which takes some tenths of a
second. Then the run is stopped, the little that is new is copied, and the run goes on at
the other engine: the stream pauses for some 40 ms. Weighed against stopping first: the
pause is then as long as the copy, and longer than a steady stream may pause.

A run is stopped only when its copy is there, and only at its turn
(:mod:`hornbeamglade.grants.migrationslots`): what is copied last would else wait behind the
copies of other runs with its stream stopped. It looks for room before its turn, so that no
turn is spent on looking. The engine that it goes to takes in one copy at a time, too: where
several engines stop at once, runs of all of them meet there, and most streams that share a
destination's link with another stand still for longer than a steady stream may. Whoever waits
for the second turn holds the first one, never the other way round, so no two wait for each
other.

A run may end, or lose its caller, while it is copied. An engine goes on with a copy whose
call is given up, and keeps it for some ten seconds under a name that nobody was told. So a
copy that was begun is waited for, and freed.
"""

import asyncio
import dataclasses

from hornbeamglade.core import clocks
from hornbeamglade.engines import control, models
from hornbeamglade.grants import asyncgrantacquirer, migrationcoordinator
from hornbeamglade.replicas import models as replicamodels
from hornbeamglade.routed import calls, enginecatalog

COPY_TIMEOUT_S = 2.5
"""Longer than any notice of a stop: an engine that is gone resets the call."""

LAST_COPY_TIMEOUT_S = 0.8
ROOM_AGAIN_S = 0.1
TRIES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """Where a run can go on.

    :param replica: the engine.
    :param copy: the run's memory.
    :param grant: leave to run there, or None at the engine that it was stopped at.
    """

    replica: replicamodels.Replica
    copy: calls.Copy
    grant: asyncgrantacquirer.Grant | None


_Target = tuple[asyncgrantacquirer.Grant, replicamodels.Replica]
"""An engine with room, and leave to run there."""


class Migration:
    """One run's move.

    :param source: the engine that it leaves.
    :param request_id: the run.
    :param placement: asks for room elsewhere.
    :param parts: what it works with.

    Its ``room_s`` is how long it looked for room, ``turn_s`` how long it waited for its turn,
    and ``copy_s`` how long its memory was being copied; None while it has not come to that.
    """

    def __init__(
        self,
        source: replicamodels.Replica,
        request_id: str,
        placement: asyncgrantacquirer.PlacementRequest,
        parts: "MigrationDependencies",
    ) -> None:
        self._source = source
        self._request_id = request_id
        self._placement = placement
        self._parts = parts
        self._held: asyncgrantacquirer.Grant | None = None
        self._is_copying = False
        self._has_ended = False
        self.destination: Destination | None = None
        self.has_stopped_run = False
        self.outcome = "begun"
        self.room_s: float | None = None
        self.turn_s: float | None = None
        self._found_at = 0.0
        self._copying_since: float | None = None

    async def run(self, produced: int) -> None:
        """Move the run; what came of it is in the attributes.

        :param produced: tokens of the answer so far.
        """
        tokens = self._placement.work.prompt_tokens + produced
        placement = dataclasses.replace(self._placement, produced=max(1, produced))
        turns = self._parts.turns
        begun_at = self._parts.clock.now()
        target = await self._find_room(placement)
        self.room_s = self._parts.clock.now() - begun_at
        if target is None:
            self.outcome = "no_room"
            return
        found_at = self._parts.clock.now()
        try:
            await turns.acquire(self._source.id, self._request_id, tokens)
            self._found_at = found_at
            await self._copy_and_stop(placement, target)
        finally:
            turns.release(self._source.id, self._request_id)
            self._release()

    @property
    def copy_s(self) -> float | None:
        """Seconds since its memory began to be copied, or None before."""
        since = self._copying_since
        return None if since is None else self._parts.clock.now() - since

    def run_ended(self, task: asyncio.Task[None]) -> None:
        """Give up the move, as the run has ended or its caller has left.

        Guards engines' memory: a fifth of an engine's was held for ten seconds by two copies
        of runs that had ended while they were copied. The copy under way is waited for in
        the background and freed.

        :param task: carries out :meth:`run`.
        """
        self._has_ended = True
        if self._is_copying:
            self._parts.keep(task)
            return
        task.cancel()
        self.abandon()

    def abandon(self) -> None:
        """Give back what a move that is not used has taken."""
        destination, self.destination = self.destination, None
        if destination is None:
            return
        if destination.grant is not None:
            self._parts.acquirer.release(destination.grant)
        self._drop(destination.copy.name, destination.replica)

    def _drop(self, name: str, at: replicamodels.Replica) -> None:
        """Free a copy at both engines, or at the other one where the source is gone."""
        self._parts.drop(name, (self._source.address, at.address))

    async def _copy_and_stop(
        self, placement: asyncgrantacquirer.PlacementRequest, first: "_Target"
    ) -> None:
        target: _Target | None = first
        for attempt in range(1, TRIES + 1):
            if target is None:
                self.outcome = "no_room"
                return
            if await self._copy_and_stop_at(*target):
                return
            target = await self._look_for_room(
                dataclasses.replace(placement, attempt=placement.attempt + attempt)
            )

    async def _copy_and_stop_at(
        self, grant: asyncgrantacquirer.Grant, replica: replicamodels.Replica
    ) -> bool:
        """Move the run to one engine at its turn there; return whether the move has ended."""
        if not self._parts.arrivals_in_turn:
            return await self._move_to(grant, replica)
        turns = self._parts.turns
        arrival = (replica.id, self._request_id)
        try:
            await turns.acquire(
                *arrival,
                self._placement.work.prompt_tokens,
                migrationcoordinator.SlotDirection.ARRIVE,
            )
            return await self._move_to(grant, replica)
        finally:
            turns.release(*arrival, migrationcoordinator.SlotDirection.ARRIVE)

    async def _move_to(
        self, grant: asyncgrantacquirer.Grant, replica: replicamodels.Replica
    ) -> bool:
        """Copy the run to one engine and stop it; return whether the move has ended."""
        if self._parts.catalog.is_evacuated(replica):
            # It may have waited for its turns for seconds since the engine let it in.
            self._release()
            self.outcome = "evacuated"
            return self._has_ended
        if self._copying_since is None:
            self._copying_since = self._parts.clock.now()
            self.turn_s = self._copying_since - self._found_at
        made = await self._copy(replica, is_last=False)
        if isinstance(made, models.CopyFailed):
            self._release()
            self.outcome = made.code
            return self._has_ended or made.code in ("no_run", "no_answer")
        if self._has_ended:
            self._drop(made.name, replica)
            self.outcome = "run_ended"
            return True
        copy = calls.Copy(self._source.address, made.name)
        self.destination, self._held = Destination(replica, copy, grant), None
        return await self._stop(replica)

    async def _stop(self, replica: replicamodels.Replica) -> bool:
        """Stop the run and copy what is new; return whether the move is at its end."""
        made = await self._copy(replica, is_last=True)
        if self._has_ended:
            self.abandon()
            self.outcome = "run_ended"
            return True
        if isinstance(made, models.CopySucceeded):
            self.has_stopped_run = True
            self.outcome = "moved"
            return True
        self.outcome = f"stop_{made.code}"
        if made.name is None:
            # The run was not stopped: it goes on, and another engine may be tried.
            if made.code in ("busy", "no_room"):
                self.abandon()
                return False
            return True
        # The run was stopped, and its memory is where it was: it can only go on there.
        self.abandon()
        self.has_stopped_run = True
        copy = calls.Copy(self._source.address, made.name)
        self.destination = Destination(self._source, copy, None)
        return True

    async def _find_room(self, placement: asyncgrantacquirer.PlacementRequest) -> "_Target | None":
        """Look for room until there is some, or the engine must be gone."""
        while self._parts.clock.now() < placement.deadline:
            target = await self._look_for_room(placement)
            if target is not None:
                return target
            await asyncio.sleep(ROOM_AGAIN_S)
        return None

    async def _look_for_room(
        self, placement: asyncgrantacquirer.PlacementRequest
    ) -> "_Target | None":
        grant = await self._parts.acquirer.acquire_for_migration(
            placement, self._source.failure_domain
        )
        if grant is None:
            return None
        replica = self._parts.catalog.replica(grant.replica)
        if replica is None:
            self._parts.acquirer.release(grant)
            return None
        self._held = grant
        return grant, replica

    def _release(self) -> None:
        """Give back leave that did not come to be used."""
        held, self._held = self._held, None
        if held is not None:
            self._parts.acquirer.release(held)

    async def _copy(
        self, to: replicamodels.Replica, *, is_last: bool
    ) -> models.CopySucceeded | models.CopyFailed:
        timeout_s = LAST_COPY_TIMEOUT_S if is_last else COPY_TIMEOUT_S
        self._is_copying = True
        try:
            return await self._parts.engines.copy_kv_cache(
                self._source.address,
                self._request_id,
                to.address,
                is_last=is_last,
                timeout_s=timeout_s,
            )
        finally:
            self._is_copying = False


@dataclasses.dataclass(frozen=True, slots=True)
class MigrationDependencies:
    """What moves work with.

    :param engines: calls to engines.
    :param acquirer: asks for room.
    :param turns: turns to leave a replica and to come to one.
    :param catalog: the engines that there are.
    :param clock: monotonic time.
    :param arrivals_in_turn: whether an engine takes in one copy at a time.
    """

    engines: control.EngineControl
    acquirer: asyncgrantacquirer.AsyncGrantAcquirer
    turns: migrationcoordinator.MigrationCoordinator
    catalog: enginecatalog.EngineCatalog
    clock: clocks.Clock
    arrivals_in_turn: bool = True
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)

    def drop(self, name: str, addresses: tuple[str, ...]) -> None:
        """Free a copy in the background, at the first of some engines that answers."""
        self.keep(asyncio.ensure_future(self._drop(name, addresses)))

    def keep(self, task: asyncio.Task[None]) -> None:
        """Let a task go on for which nobody waits any more."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _drop(self, name: str, addresses: tuple[str, ...]) -> None:
        for address in addresses:
            if await self.engines.drop_copy(address, name):
                return
