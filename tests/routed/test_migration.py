"""Migration of a run: target, slot, copy; every resource is released at the end."""

import asyncio
import dataclasses

import pytest

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.engines import control, models
from hornbeamglade.grants import asyncgrantacquirer, migrationcoordinator
from hornbeamglade.replicas import models as replicamodels
from hornbeamglade.routed import migration, runends
from tests import eventloop

SOURCE = replicamodels.Replica("e0", "llm", "10.0.0.1:1", "a", 8)
TARGET = replicamodels.Replica("e1", "llm", "10.0.0.2:1", "a", 8)
OTHER_TARGET = replicamodels.Replica("e2", "llm", "10.0.0.3:1", "a", 8)


class FakeEngines(control.EngineControl):
    """Completes each copy at once, or returns the next of ``copy_results``."""

    def __init__(self, steps):
        self._steps = steps
        self.copy_results = []
        self.dropped = []
        self.is_source_down = False
        self.copied = asyncio.Event()
        self.copied.set()

    async def report(self, address, *, new_only=False):
        return None

    async def copy_kv_cache(self, address, request_id, to, *, is_last, timeout_s):
        self._steps.append("stop" if is_last else "copy")
        await self.copied.wait()
        if self.copy_results:
            return self.copy_results.pop(0)
        return models.CopySucceeded("copy-1", 7)

    async def drop_copy(self, address, name):
        if self.is_source_down and address == SOURCE.address:
            return False
        self.dropped.append((address, name))
        return True


class FakeAcquirer:
    """Grants requests while ``has_capacity`` is set; counts the held grants."""

    def __init__(self, steps):
        self._steps = steps
        self.has_capacity = True
        self.target = TARGET
        self.held_grants = 0

    async def acquire_for_migration(self, placement, failure_domain):
        self._steps.append("granted" if self.has_capacity else "refused")
        if not self.has_capacity:
            return None
        self.held_grants += 1
        return asyncgrantacquirer.Grant(
            self.target.id, f"{placement.admission_id}@{self.target.id}"
        )

    def release(self, grant):
        self.held_grants -= 1


class FakeSlots:
    """Gives departure slots while ``may_leave`` is set, arrival slots while ``may_arrive`` is."""

    def __init__(self, steps):
        self._steps = steps
        self.may_leave = asyncio.Event()
        self.may_leave.set()

        self.leaving_tokens = []
        self.arrivals = []
        self.may_arrive = asyncio.Event()
        self.may_arrive.set()

    async def acquire(
        self, replica, request_id, tokens, direction=migrationcoordinator.SlotDirection.LEAVE
    ):
        if direction is migrationcoordinator.SlotDirection.ARRIVE:
            self.arrivals.append(("slot requested", replica))
            await self.may_arrive.wait()
            self.arrivals.append(("slot acquired", replica))
            return
        self.leaving_tokens.append(tokens)
        self._steps.append("slot requested")
        await self.may_leave.wait()
        self._steps.append("slot acquired")

    def release(self, replica, request_id, direction=migrationcoordinator.SlotDirection.LEAVE):
        if direction is migrationcoordinator.SlotDirection.ARRIVE:
            self.arrivals.append(("slot released", replica))
            return
        self._steps.append("slot released")


class FakeCatalog:
    def __init__(self):
        self.evacuated = set()
        self.leaving = set()

    def is_evacuated(self, replica):
        return replica.id in self.evacuated

    def may_continue_at(self, replica_id):
        return replica_id not in self.evacuated | self.leaving

    def replica(self, replica_id):
        return {each.id: each for each in (SOURCE, TARGET, OTHER_TARGET)}.get(replica_id)


class MigrationSetup:
    """One migration with fake dependencies."""

    def __init__(self, limit_s=30.0, source=SOURCE, orders_by_copy_time=False):
        self.steps = []
        self.engines, self.acquirer = FakeEngines(self.steps), FakeAcquirer(self.steps)
        self.slots, self.catalog = FakeSlots(self.steps), FakeCatalog()
        clock = clocks.SystemClock()
        dependencies = migration.MigrationDependencies(
            self.engines,
            self.acquirer,
            self.slots,
            self.catalog,
            clock,
            orders_by_copy_time=lambda _service: orders_by_copy_time,
        )
        work = outcomes.Work("r1", "draft", "clinic", 1, 500, 100)
        placement = asyncgrantacquirer.PlacementRequest(work, 1.0, clock.now() + limit_s, tuple)
        self.migration = migration.Migration(source, "r1", placement, dependencies)

    async def run(self):
        await self.migration.run(40)

    def respond_after_first_copy(self, *results):
        """Let the first copy succeed, and the orders after it have these results."""
        self.engines.copy_results = [models.CopySucceeded("copy-1", 7), *results]

    async def start_until_arrival(self):
        """Start the run, which waits for a slot at its target; return its task."""
        self.slots.may_arrive.clear()
        task = asyncio.ensure_future(self.run())
        await eventloop.until(lambda: self.slots.arrivals)
        return task

    async def start_until_copy(self):
        """Start the run, whose copies wait from the first one on; return its task."""
        self.engines.copied.clear()
        task = asyncio.ensure_future(self.run())
        await eventloop.until(lambda: "copy" in self.steps)
        return task

    async def complete_copy(self, task):
        self.engines.copied.set()
        await asyncio.wait((task,))
        await asyncio.sleep(0)

    async def end_run_during_copy(self):
        """End the run during its first copy, then let the copy complete."""
        task = await self.start_until_copy()
        self.migration.run_ended(task)
        await asyncio.sleep(0)
        await self.complete_copy(task)

    async def end_run_during_final_copy(self):
        """End the run after its order to stop, then let the final copy complete."""
        task = await self.start_until_copy()
        self.engines.copied.set()
        self.engines.copied.clear()
        await eventloop.until(lambda: "stop" in self.steps)
        self.migration.run_ended(task)
        await self.complete_copy(task)


async def test_target_is_selected_before_the_slot_and_the_slot_covers_only_the_copy():
    """Many runs leave one engine before it stops.

    Each slot that is held during the search for a target costs another run its migration.
    """
    setup = MigrationSetup()
    await setup.run()
    assert (setup.steps, setup.migration.outcome, setup.acquirer.held_grants) == (
        ["granted", "slot requested", "slot acquired", "copy", "stop", "slot released"],
        "moved",
        1,
    )


async def test_run_that_ends_while_it_waits_for_its_slot_releases_the_grant():
    """Otherwise the grant of an ended run is held until the instance stops."""
    setup = MigrationSetup()
    setup.slots.may_leave.clear()
    task = asyncio.ensure_future(setup.run())
    await eventloop.until(lambda: "slot requested" in setup.steps)
    task.cancel()
    await asyncio.wait((task,))
    assert (setup.acquirer.held_grants, setup.steps[-1]) == (0, "slot released")


@pytest.mark.parametrize("state", ["evacuated", "leaving"])
async def test_nothing_is_copied_to_an_engine_evacuated_or_leaving_since_its_grant(state):
    """The run has waited for its slots in the meantime."""
    setup = MigrationSetup(limit_s=0.3)
    task = await setup.start_until_arrival()
    getattr(setup.catalog, state).add(TARGET.id)
    setup.slots.may_arrive.set()
    await task
    assert (setup.steps.count("copy"), setup.acquirer.held_grants) == (0, 0)


async def test_nothing_is_copied_to_an_engine_that_receives_another_run():
    """Five engines stop in the same second, and runs of three of them migrate to one engine.

    With concurrent copies, the final copy of a stopped run waits behind the whole KV caches
    of the others; streams paused for up to 0.8 s.
    """
    setup = MigrationSetup()
    task = await setup.start_until_arrival()
    before = list(setup.steps)
    setup.slots.may_arrive.set()
    await task
    steps, arrivals = setup.steps, setup.slots.arrivals
    assert before == ["granted", "slot requested", "slot acquired"]
    assert steps == ["granted", "slot requested", "slot acquired", "copy", "stop", "slot released"]
    assert arrivals == [("slot requested", "e1"), ("slot acquired", "e1"), ("slot released", "e1")]


@pytest.mark.parametrize("state", ["evacuated", "leaving"])
async def test_run_is_not_stopped_for_an_engine_evacuated_or_leaving_since_its_copy_began(state):
    """It was stopped and sent to an engine that had announced its stop seconds before."""
    setup = MigrationSetup()
    task = await setup.start_until_copy()
    getattr(setup.catalog, state).add(TARGET.id)
    setup.acquirer.has_capacity = False
    await setup.complete_copy(task)
    assert "stop" not in setup.steps
    assert (setup.migration.destination, setup.acquirer.held_grants) == (None, 0)
    assert setup.engines.dropped == [(SOURCE.address, "copy-1")]


async def test_run_is_copied_to_another_target_if_the_first_begins_to_leave_meanwhile():
    """A stream was broken off beside empty engines, as its run was not sent to another one."""
    setup = MigrationSetup()
    task = await setup.start_until_copy()
    setup.catalog.leaving.add(TARGET.id)
    setup.acquirer.target = OTHER_TARGET
    await setup.complete_copy(task)
    assert setup.steps[-4:] == ["granted", "copy", "stop", "slot released"]
    assert setup.migration.destination.replica is OTHER_TARGET


async def test_run_that_ends_while_it_waits_to_arrive_releases_its_slots():
    setup = MigrationSetup()
    task = await setup.start_until_arrival()
    task.cancel()
    await asyncio.wait((task,))
    assert setup.slots.arrivals[-1] == ("slot released", "e1")
    assert setup.steps[-1] == "slot released"
    assert setup.acquirer.held_grants == 0


async def test_copy_refused_for_lack_of_memory_is_retried_at_another_target():
    setup = MigrationSetup()
    setup.engines.copy_results.append(models.CopyFailed("no_room"))
    await setup.run()
    assert setup.migration.outcome == "moved"
    assert setup.acquirer.held_grants == 1
    assert setup.steps.count("granted") == 2


@pytest.mark.parametrize("code", ["no_run", "no_answer"])
async def test_failed_copy_releases_the_grant(code):
    setup = MigrationSetup()
    setup.engines.copy_results.append(models.CopyFailed(code))
    await setup.run()
    assert (setup.migration.outcome, setup.acquirer.held_grants) == (code, 0)


async def test_run_without_a_target_requests_no_slot():
    setup = MigrationSetup(limit_s=0.05)
    setup.acquirer.has_capacity = False
    await setup.run()
    assert (setup.migration.outcome, "slot requested" in setup.steps) == ("no_room", False)


async def test_stopped_run_with_a_failed_final_copy_continues_at_its_source():
    setup = MigrationSetup()
    setup.respond_after_first_copy(models.CopyFailed("no_room", "c2"))
    await setup.run()
    destination = setup.migration.destination
    assert destination.replica.id == "e0"
    assert destination.copy.name == "c2"
    assert setup.acquirer.held_grants == 0


async def test_rest_that_is_kept_at_the_source_is_not_freed_with_the_copy_at_the_target():
    """The source may name both alike, and frees at both ends what it is asked to free."""
    setup = MigrationSetup()
    setup.respond_after_first_copy(models.CopyFailed("no_room", "copy-1"))
    await setup.run()
    await asyncio.sleep(0)
    assert setup.engines.dropped == [(TARGET.address, "copy-1")]


async def test_copy_of_a_run_that_ended_during_the_copy_is_freed():
    """A run ends while its KV cache is copied to another engine, which completes the copy.

    A cancelled copy stayed there for ten seconds under a name that no one had received. Two
    such copies held a fifth of an engine's memory, and requests that would have fitted waited.
    """
    freed = [(SOURCE.address, "copy-1")]
    setup = MigrationSetup()
    await setup.end_run_during_copy()
    assert setup.engines.dropped == freed
    assert setup.acquirer.held_grants == 0
    assert setup.steps[-1] == "slot released"
    assert setup.migration.outcome == "run_ended"


async def test_copy_is_freed_at_the_target_when_the_source_is_down():
    setup = MigrationSetup()
    setup.engines.is_source_down = True
    await setup.end_run_during_copy()
    assert setup.engines.dropped == [(TARGET.address, "copy-1")]


async def test_run_that_ended_during_the_final_copy_leaves_no_copy():
    setup = MigrationSetup()
    await setup.end_run_during_final_copy()
    assert (setup.engines.dropped, setup.acquirer.held_grants) == ([(SOURCE.address, "copy-1")], 0)


async def test_failed_copy_of_an_ended_run_is_not_retried():
    setup = MigrationSetup()
    setup.engines.copy_results.append(models.CopyFailed("no_room"))
    await setup.end_run_during_copy()
    assert (setup.steps.count("copy"), setup.acquirer.held_grants) == (1, 0)


@pytest.mark.parametrize(
    ("domain", "orders_by_copy_time", "tokens"),
    [("a", True, 540), ("b", True, 1080), ("b", False, 540)],
)
async def test_runs_are_ordered_by_the_time_of_their_copies(domain, orders_by_copy_time, tokens):
    """A copy between failure domains took the time in which two others could be completed."""
    setup = MigrationSetup(
        source=dataclasses.replace(SOURCE, failure_domain=domain),
        orders_by_copy_time=orders_by_copy_time,
    )
    await setup.run()
    assert setup.slots.leaving_tokens == [tokens]


@pytest.mark.parametrize(
    ("results", "is_stopped", "is_at_source"),
    [
        ([models.CopySucceeded("copy-1", 9)], True, False),
        ([models.CopyFailed("no_run")], True, False),
        ([models.CopyFailed("not_listening")], True, False),
        ([models.CopyFailed("no_room", "rest-1")], True, True),
        ([models.CopyFailed("busy"), models.CopySucceeded("copy-1", 9)], True, False),
        ([models.CopyFailed("busy")] * 3, False, False),
        ([models.CopyFailed("no_room")], False, False),
        ([models.CopyFailed("no_answer")], False, False),
    ],
)
async def test_run_whose_stop_got_no_answer_continues_only_once_it_is_known_to_have_stopped(
    results, is_stopped, is_at_source
):
    """The stream breaks off after an order to stop that got no answer."""
    setup = MigrationSetup()
    setup.respond_after_first_copy(models.CopyFailed("no_answer"), *results)
    await setup.run()
    confirmed = await setup.migration.confirm_stop()
    assert (confirmed, setup.migration.destination.replica is SOURCE) == (is_stopped, is_at_source)


async def test_confirmed_stop_is_not_ordered_again():
    setup = MigrationSetup()
    await setup.run()
    steps = tuple(setup.steps)
    assert (await setup.migration.confirm_stop(), tuple(setup.steps) == steps) == (True, True)


@pytest.mark.parametrize("code", ["no_run", "not_listening"])
async def test_engine_that_still_sends_the_stream_has_not_stopped_the_run(code):
    """A server that stops closes its port and completes its runs; a preempted run is unknown."""
    setup = MigrationSetup()
    setup.engines.copy_results += [models.CopySucceeded("c1", 7), models.CopyFailed(code)]
    await setup.run()
    stopped_before = setup.migration.is_stopped
    setup.engines.copy_results.append(models.CopyFailed("no_answer"))
    assert (stopped_before, await setup.migration.confirm_stop()) == (False, False)


@pytest.mark.parametrize(
    ("results", "order"),
    [
        ([], runends.StopOrder.OBEYED),
        ([models.CopyFailed("no_run")], runends.StopOrder.REFUSED),
        ([models.CopyFailed("no_room", "rest-1")], runends.StopOrder.OBEYED),
        ([models.CopyFailed("no_room")], runends.StopOrder.UNANSWERED),
        ([models.CopyFailed("no_answer")], runends.StopOrder.UNANSWERED),
        ([models.CopyFailed("not_listening")], runends.StopOrder.UNANSWERED),
    ],
)
async def test_only_an_answer_that_cannot_follow_a_stop_shows_that_the_run_was_not_stopped(
    results, order
):
    """A 503 without the name of the rest counted as a run that goes on."""
    setup = MigrationSetup()
    setup.respond_after_first_copy(*results)
    if results and results[0].code == "no_room":
        setup.engines.copy_results.append(models.CopyFailed("no_answer"))
    await setup.run()
    assert setup.migration.stop_order is order


async def test_answer_to_a_second_order_does_not_show_what_became_of_the_first_one():
    """A run that an unanswered order had stopped counted as one that had ended before it."""
    setup = MigrationSetup()
    setup.respond_after_first_copy(models.CopyFailed("no_answer"), models.CopyFailed("no_run"))
    await setup.run()
    await setup.migration.confirm_stop()
    assert setup.migration.stop_order is runends.StopOrder.UNANSWERED


async def test_rest_of_a_run_whose_caller_left_is_freed_at_the_source():
    """It stayed there under a name of its own until it expired."""
    setup = MigrationSetup()
    setup.respond_after_first_copy(models.CopyFailed("no_room", "rest-1"))
    await setup.end_run_during_final_copy()
    assert sorted(setup.engines.dropped) == [
        (SOURCE.address, "copy-1"),
        (SOURCE.address, "rest-1"),
    ]
