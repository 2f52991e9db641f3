"""Live migration of a run to another engine while its stream continues.

Explanation
===========

The KV cache is first copied while the run continues, which takes some tenths of a second.
Then the run is stopped, the remaining part is copied, and the run continues at the other
engine; the stream pauses for some 40 ms. If the run were stopped before the first copy, the
pause would be as long as the whole copy, which exceeds the pause allowed in a steady stream.

A run is stopped only after the first copy is complete, and only while it holds a migration
slot (:mod:`hornbeamglade.grants.migrationslots`). Otherwise the final copy would wait behind
copies of other runs while its own stream is stopped. The target is selected before the slot
is acquired, so that no slot time is spent on the search. The target also receives one copy at
a time: when several engines stop at once, their runs can choose the same target, and most
streams whose copies share the link of a target pause for longer than a steady stream may. The
arrival slot is only acquired while the departure slot is held, never in the opposite order,
so no deadlock is possible.

A run continues from a copy only once its source is known not to work on it any more: the source
has confirmed the stop or, after its stream has ended, knows no such run or does not listen. An
order to stop may get no answer while the stream breaks off for another reason, such as a reset,
and the source would then work on the run beside the target. Before the stream has ended, a source
that does not listen may be completing its runs before it exits, and one that knows no such run may
have preempted it.

A target that accepted runs when it was selected may begin to leave, or be evacuated, during the
first copy. It is checked again before the run is stopped, which can still be copied elsewhere, and
once more when the request is sent there.

A run may end, or its caller may disconnect, while it is copied. An engine continues a copy
whose request was cancelled and keeps it for some ten seconds under a name that no one
received. A copy that was started is therefore awaited and then freed.
"""

import asyncio
import collections.abc
import dataclasses

from hornbeamglade.core import clocks
from hornbeamglade.engines import control, models
from hornbeamglade.grants import asyncgrantacquirer, migrationcoordinator
from hornbeamglade.replicas import models as replicamodels
from hornbeamglade.routed import calls, enginecatalog, runends

COPY_TIMEOUT_S = 2.5
"""Longer than any notice period before a stop; an engine that is gone resets the connection."""

FINAL_COPY_TIMEOUT_S = 0.8
FAR_COPY_FACTOR = 2
"""Copies between failure domains take twice as long."""

TARGET_RETRY_INTERVAL_S = 0.1
MAX_TARGETS = 3
MAX_STOP_ATTEMPTS = 3
STOP_RETRY_INTERVAL_S = 0.05
"""Pause while the source is busy with an earlier copy of the run."""

_BUSY = "busy"
_REFUSAL_CODES = frozenset((_BUSY, "no_run"))
"""Failures of an order to stop a run that show that it did not stop the run. One for want of room
is not among them: the run is stopped before that shows."""

_ENDED_CODES = frozenset(("no_run", "not_listening"))
"""Failures of an order to stop a run that show, after its stream has ended, that its source does
not work on it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """The engine at which a run can continue.

    :param replica: the engine.
    :param copy: the copy of the run's KV cache.
    :param grant: the grant to run there, or None for the engine that the run was stopped at.
    :param accepted_at: monotonic time at which the engine was last known to accept runs, or None
        for the engine that the run was stopped at.
    """

    replica: replicamodels.Replica
    copy: calls.KvCopy
    grant: asyncgrantacquirer.Grant | None
    accepted_at: float | None = None


_Target = tuple[asyncgrantacquirer.Grant, replicamodels.Replica]
"""An engine with free capacity, and the grant to run there."""


class Migration:
    """The migration of one run.

    :param source: the engine that the run leaves.
    :param request_id: the request id of the run.
    :param placement: placement request for the target.
    :param dependencies: shared dependencies of migrations.

    The attribute ``stop_order`` is what is known of the order to stop the run, ``stop_evidence``
    the code of what it was answered with. ``is_stopped`` tells whether the source is known not to
    work on the run any more.
    The attributes ``search_s``, ``slot_wait_s`` and ``copy_s`` are the seconds spent on finding
    a target, on waiting for the migration slot and on copying; None until that step begins.
    """

    def __init__(
        self,
        source: replicamodels.Replica,
        request_id: str,
        placement: asyncgrantacquirer.PlacementRequest,
        dependencies: "MigrationDependencies",
    ) -> None:
        self._source = source
        self._request_id = request_id
        self._placement = placement
        self._dependencies = dependencies
        self._grant: asyncgrantacquirer.Grant | None = None
        self._is_copying = False
        self._has_ended = False
        self.destination: Destination | None = None
        self.stop_order = runends.StopOrder.NONE
        self.is_stopped = False
        self.stop_evidence = "-"
        self.outcome = "begun"
        self.search_s: float | None = None
        self.slot_wait_s: float | None = None
        self._target_found_at = 0.0
        self._copy_started_at: float | None = None

    async def run(self, produced: int) -> None:
        """Migrate the run; the outcome is stored in the attributes.

        :param produced: tokens generated so far.
        """
        tokens = self._placement.work.prompt_tokens + produced
        placement = dataclasses.replace(self._placement, produced=max(1, produced))
        migration_slots = self._dependencies.migration_slots
        started_at = self._dependencies.clock.now()
        target = await self._wait_for_target(placement)
        self.search_s = self._dependencies.clock.now() - started_at
        if target is None:
            self.outcome = "no_room"
            return
        target_found_at = self._dependencies.clock.now()
        try:
            await migration_slots.acquire(
                self._source.id, self._request_id, self._slot_tokens(tokens, target)
            )
            self._target_found_at = target_found_at
            await self._try_targets(placement, target)
        finally:
            migration_slots.release(self._source.id, self._request_id)
            self._release()

    def _slot_tokens(self, tokens: int, target: "_Target") -> int:
        """Return the size by which the run is ordered among those that leave its engine.

        Where engines keep departing, runs whose copies take twice as long leave last: otherwise
        they take the time in which two others could be copied.
        """
        _, replica = target
        is_far = replica.failure_domain != self._source.failure_domain
        if is_far and self._dependencies.orders_by_copy_time(self._source.service):
            return FAR_COPY_FACTOR * tokens
        return tokens

    @property
    def copy_s(self) -> float | None:
        """Seconds since the first copy was started, or None before."""
        since = self._copy_started_at
        return None if since is None else self._dependencies.clock.now() - since

    @property
    def may_have_stopped_run(self) -> bool:
        """Whether an order to stop the run was obeyed, or may still be."""
        return self.stop_order in (runends.StopOrder.UNANSWERED, runends.StopOrder.OBEYED)

    async def confirm_stop(self) -> bool:
        """Return whether the source no longer works on the run, after its stream has closed.

        If that is not known yet, the source is told again to stop the run.
        """
        for _ in range(MAX_STOP_ATTEMPTS):
            destination = self.destination
            if self.is_stopped or destination is None:
                break
            result = await self._order_stop(destination.replica)
            if isinstance(result, models.CopySucceeded) or result.code in _ENDED_CODES:
                self.is_stopped = True
            elif result.name is not None:
                self._continue_at_source(result.name)
            elif result.code != _BUSY:
                break
            else:
                await asyncio.sleep(STOP_RETRY_INTERVAL_S)
        return self.is_stopped

    def run_ended(self, task: asyncio.Task[None]) -> None:
        """Cancel the migration, as the run has ended or its caller has disconnected.

        A copy in progress is awaited in the background and freed. Without this, two copies of
        runs that had ended while they were copied held a fifth of an engine's memory for ten
        seconds.

        :param task: the task that executes :meth:`run`.
        """
        self._has_ended = True
        if self._is_copying:
            self._dependencies.track(task)
            return
        task.cancel()
        self.abandon()

    def abandon(self) -> None:
        """Release the grant and the copy of a destination that is not used."""
        destination = self._give_up_destination()
        if destination is not None:
            self._free_copy(destination.copy.name, destination.replica)

    def _give_up_destination(self) -> Destination | None:
        """Release the grant of a destination that is not used; its copy is still to be freed."""
        destination, self.destination = self.destination, None
        if destination is not None and destination.grant is not None:
            self._dependencies.acquirer.release(destination.grant)
        return destination

    def _free_copy(self, name: str, at: replicamodels.Replica) -> None:
        """Free a copy at both engines via the source, or at the target if the source is gone."""
        self._dependencies.free_copy(name, (self._source.address, at.address))

    async def _try_targets(
        self, placement: asyncgrantacquirer.PlacementRequest, first: "_Target"
    ) -> None:
        target: _Target | None = first
        for attempt in range(1, MAX_TARGETS + 1):
            if target is None:
                self.outcome = "no_room"
                return
            if await self._migrate_in_arrival_slot(*target):
                return
            target = await self._find_target(
                dataclasses.replace(placement, attempt=placement.attempt + attempt)
            )

    async def _migrate_in_arrival_slot(
        self, grant: asyncgrantacquirer.Grant, replica: replicamodels.Replica
    ) -> bool:
        """Migrate to one engine while holding its arrival slot.

        :returns: whether the migration has ended.
        """
        if not self._dependencies.arrivals_in_turn:
            return await self._migrate_to(grant, replica)
        migration_slots = self._dependencies.migration_slots
        arrival = (replica.id, self._request_id)
        try:
            await migration_slots.acquire(
                *arrival,
                self._placement.work.prompt_tokens,
                migrationcoordinator.SlotDirection.ARRIVE,
            )
            return await self._migrate_to(grant, replica)
        finally:
            migration_slots.release(*arrival, migrationcoordinator.SlotDirection.ARRIVE)

    async def _migrate_to(
        self, grant: asyncgrantacquirer.Grant, replica: replicamodels.Replica
    ) -> bool:
        """Copy the run to one engine and stop it; return whether the migration has ended."""
        # The run may have waited for its slots for seconds since the grant was given.
        if not self._may_continue_at(replica):
            return self._has_ended
        if self._copy_started_at is None:
            self._copy_started_at = self._dependencies.clock.now()
            self.slot_wait_s = self._copy_started_at - self._target_found_at
        result = await self._copy(replica, is_last=False)
        if isinstance(result, models.CopyFailed):
            self._release()
            self.outcome = result.code
            return self._has_ended or result.code in (*_ENDED_CODES, "no_answer")
        if self._has_ended:
            self._free_copy(result.name, replica)
            self.outcome = "run_ended"
            return True
        if not self._may_continue_at(replica):
            self._free_copy(result.name, replica)
            return False
        copy = calls.KvCopy(self._source.address, result.name)
        accepted_at = self._dependencies.clock.now()
        self.destination, self._grant = Destination(replica, copy, grant, accepted_at), None
        return await self._stop_and_copy_rest(replica)

    def _may_continue_at(self, replica: replicamodels.Replica) -> bool:
        """Return whether a target still accepts runs; its grant is released otherwise."""
        if self._dependencies.catalog.may_continue_at(replica.id):
            return True
        self._release()
        is_evacuated = self._dependencies.catalog.is_evacuated(replica)
        self.outcome = "evacuated" if is_evacuated else "target_withheld"
        return False

    async def _stop_and_copy_rest(self, replica: replicamodels.Replica) -> bool:
        """Stop the run and copy the rest; return whether the migration has ended."""
        result = await self._order_stop(replica)
        if self._has_ended:
            self.abandon()
            if isinstance(result, models.CopyFailed) and result.name is not None:
                self._dependencies.free_copy(result.name, (self._source.address,))
            self.outcome = "run_ended"
            return True
        if isinstance(result, models.CopySucceeded):
            self.is_stopped = True
            self.outcome = "moved"
            return True
        self.outcome = f"stop_{result.code}"
        if result.name is not None:
            self._continue_at_source(result.name)
            return True
        if result.code in (_BUSY, "no_room"):
            # If the run goes on, another target may be tried.
            self.abandon()
            return False
        # The stream has not ended: what else the source answers does not show that it has stopped.
        return True

    def _continue_at_source(self, name: str) -> None:
        """Continue at the source, which stopped the run and is the only one to have its rest."""
        former = self._give_up_destination()
        if former is not None:
            # The source frees at both ends, and may name the rest that it keeps like the copy.
            self._dependencies.free_copy(former.copy.name, (former.replica.address,))
        self.is_stopped = True
        self.destination = Destination(
            self._source, calls.KvCopy(self._source.address, name), None
        )

    async def _wait_for_target(
        self, placement: asyncgrantacquirer.PlacementRequest
    ) -> "_Target | None":
        """Search for a target until the deadline, by which the source engine must be gone."""
        while self._dependencies.clock.now() < placement.deadline:
            target = await self._find_target(placement)
            if target is not None:
                return target
            await asyncio.sleep(TARGET_RETRY_INTERVAL_S)
        return None

    async def _find_target(
        self, placement: asyncgrantacquirer.PlacementRequest
    ) -> "_Target | None":
        grant = await self._dependencies.acquirer.acquire_for_migration(
            placement, self._source.failure_domain
        )
        if grant is None:
            return None
        replica = self._dependencies.catalog.replica(grant.replica)
        if replica is None:
            self._dependencies.acquirer.release(grant)
            return None
        self._grant = grant
        return grant, replica

    def _release(self) -> None:
        """Release an unused grant."""
        grant, self._grant = self._grant, None
        if grant is not None:
            self._dependencies.acquirer.release(grant)

    async def _order_stop(
        self, to: replicamodels.Replica
    ) -> models.CopySucceeded | models.CopyFailed:
        """Order the source to stop the run and to copy its rest."""
        is_earlier_unanswered = self.stop_order is runends.StopOrder.UNANSWERED
        self.stop_order = runends.StopOrder.UNANSWERED
        result = await self._copy(to, is_last=True)
        is_failed = isinstance(result, models.CopyFailed)
        if not is_failed or result.name is not None:
            self.stop_order = runends.StopOrder.OBEYED
        elif result.code in _REFUSAL_CODES and not is_earlier_unanswered:
            self.stop_order = runends.StopOrder.REFUSED
        self.stop_evidence = result.code if is_failed else "stopped"
        return result

    async def _copy(
        self, to: replicamodels.Replica, *, is_last: bool
    ) -> models.CopySucceeded | models.CopyFailed:
        timeout_s = FINAL_COPY_TIMEOUT_S if is_last else COPY_TIMEOUT_S
        self._is_copying = True
        try:
            return await self._dependencies.engines.copy_kv_cache(
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
    """Dependencies shared by all migrations of a node.

    :param engines: control interface of the engines.
    :param acquirer: acquires grants at engines.
    :param migration_slots: departure and arrival slots of replicas.
    :param catalog: the known engines.
    :param clock: monotonic time.
    :param arrivals_in_turn: whether an engine receives one copy at a time.
    :param orders_by_copy_time: whether runs of a service leave an engine in the order of their
        copies' times, rather than of their sizes.
    :param tasks: background tasks that are not awaited by anyone else.
    """

    engines: control.EngineControl
    acquirer: asyncgrantacquirer.AsyncGrantAcquirer
    migration_slots: migrationcoordinator.MigrationCoordinator
    catalog: enginecatalog.EngineCatalog
    clock: clocks.Clock
    arrivals_in_turn: bool = True
    orders_by_copy_time: collections.abc.Callable[[str], bool] = lambda _service: False
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)

    def free_copy(self, name: str, addresses: tuple[str, ...]) -> None:
        """Free a copy in the background at the first of the engines that responds."""
        self.track(asyncio.ensure_future(self._free_copy(name, addresses)))

    def track(self, task: asyncio.Task[None]) -> None:
        """Keep a reference to a background task until it is done."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _free_copy(self, name: str, addresses: tuple[str, ...]) -> None:
        for address in addresses:
            if await self.engines.drop_copy(address, name):
                return
