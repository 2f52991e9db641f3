"""A run's move: room first, then its turn, then the copy; nothing stays held."""

import asyncio

import pytest

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.engines import control, models
from hornbeamglade.grants import asyncgrantacquirer, migrationcoordinator
from hornbeamglade.replicas import models as replicamodels
from hornbeamglade.routed import migration
from tests import eventloop

SOURCE = replicamodels.Replica("e0", "llm", "10.0.0.1:1", "a", 8)
TARGET = replicamodels.Replica("e1", "llm", "10.0.0.2:1", "a", 8)


class Engines(control.EngineControl):
    """Copies at once, or as ``answers`` say."""

    def __init__(self, done):
        self._done = done
        self.answers = []
        self.dropped = []
        self.is_source_gone = False
        self.copied = asyncio.Event()
        self.copied.set()

    async def report(self, address):
        return None

    async def copy_kv_cache(self, address, request_id, to, *, is_last, timeout_s):
        self._done.append("stop" if is_last else "copy")
        await self.copied.wait()
        if self.answers:
            return self.answers.pop(0)
        return models.CopySucceeded("copy-1", 7)

    async def drop_copy(self, address, name):
        if self.is_source_gone and address == SOURCE.address:
            return False
        self.dropped.append((address, name))
        return True


class Seeker:
    """Has room when ``has_room``; counts what is held."""

    def __init__(self, done):
        self._done = done
        self.has_room = True
        self.held = 0

    async def acquire_for_migration(self, placement, failure_domain):
        self._done.append("room" if self.has_room else "full")
        if not self.has_room:
            return None
        self.held += 1
        return asyncgrantacquirer.Grant(TARGET.id, f"{placement.admission_id}@{TARGET.id}")

    def release(self, grant):
        self.held -= 1


class Turns:
    """Gives the turn when ``go`` is set."""

    def __init__(self, done):
        self._done = done
        self.go = asyncio.Event()
        self.go.set()

        self.arrivals = []
        self.may_arrive = asyncio.Event()
        self.may_arrive.set()

    async def acquire(
        self, replica, request_id, tokens, direction=migrationcoordinator.SlotDirection.LEAVE
    ):
        if direction is migrationcoordinator.SlotDirection.ARRIVE:
            self.arrivals.append(("asks", replica))
            await self.may_arrive.wait()
            self.arrivals.append(("turn", replica))
            return
        self._done.append("asks")
        await self.go.wait()
        self._done.append("turn")

    def release(self, replica, request_id, direction=migrationcoordinator.SlotDirection.LEAVE):
        if direction is migrationcoordinator.SlotDirection.ARRIVE:
            self.arrivals.append(("done", replica))
            return
        self._done.append("done")


class Book:
    def __init__(self):
        self.evacuated = set()

    def is_evacuated(self, replica):
        return replica.id in self.evacuated

    def replica(self, replica_id):
        return {each.id: each for each in (SOURCE, TARGET)}.get(replica_id)


class Move:
    """One move and all that it works with."""

    def __init__(self, limit_s=30.0):
        self.done = []
        self.engines, self.acquirer = Engines(self.done), Seeker(self.done)
        self.turns, self.catalog, clock = Turns(self.done), Book(), clocks.SystemClock()
        parts = migration.MigrationDependencies(
            self.engines, self.acquirer, self.turns, self.catalog, clock
        )
        work = outcomes.Work("r1", "draft", "clinic", 1, 500, 100)
        placement = asyncgrantacquirer.PlacementRequest(work, 1.0, clock.now() + limit_s, tuple)
        self.migration = migration.Migration(SOURCE, "r1", placement, parts)

    async def run(self):
        await self.migration.run(40)

    async def end_while_copied(self):
        """Let the run end in the middle of its first copy, and the copy come to its end."""
        self.engines.copied.clear()
        task = asyncio.ensure_future(self.run())
        await eventloop.until(lambda: "copy" in self.done)
        self.migration.run_ended(task)
        await asyncio.sleep(0)
        self.engines.copied.set()
        await asyncio.wait((task,))
        await asyncio.sleep(0)


def test_room_is_found_before_the_turn_and_the_turn_is_for_the_copy():
    """Many runs leave one engine; each turn that is spent on looking costs another run."""

    async def test():
        move = Move()
        await move.run()
        return move.done, move.migration.outcome, move.acquirer.held

    assert eventloop.run(test()) == (["room", "asks", "turn", "copy", "stop", "done"], "moved", 1)


def test_stream_that_ends_while_it_waits_for_its_turn_gives_its_room_back():
    """Room for a run that has ended would be held until the instance stops."""

    async def test():
        move = Move()
        move.turns.go.clear()
        task = asyncio.ensure_future(move.run())
        await eventloop.until(lambda: "asks" in move.done)
        task.cancel()
        await asyncio.wait((task,))
        return move.acquirer.held, move.done[-1]

    assert eventloop.run(test()) == (0, "done")


def test_nothing_is_copied_to_an_engine_that_is_evacuated_meanwhile():
    """Guards against a copy to an engine that let the run in before its evacuation."""

    async def test():
        move = Move(limit_s=0.3)
        move.turns.may_arrive.clear()
        task = asyncio.ensure_future(move.run())
        await eventloop.until(lambda: move.turns.arrivals)
        move.catalog.evacuated.add(TARGET.id)
        move.turns.may_arrive.set()
        await task
        return move.done.count("copy"), move.acquirer.held

    assert eventloop.run(test()) == (0, 0)


def test_nothing_is_copied_to_an_engine_that_takes_in_another_run():
    """Five engines stop in the same second, and runs of three go to the same fourth.

    Copied beside each other, the last part of one run, sent while its stream stands still,
    waits behind the whole memory of the others: streams paused for up to 0.8 s.
    """

    async def test():
        move = Move()
        move.turns.may_arrive.clear()
        task = asyncio.ensure_future(move.run())
        await eventloop.until(lambda: move.turns.arrivals)
        before = list(move.done)
        move.turns.may_arrive.set()
        await task
        return before, move.done, move.turns.arrivals

    before, done, arrivals = eventloop.run(test())
    assert before == ["room", "asks", "turn"]
    assert done == ["room", "asks", "turn", "copy", "stop", "done"]
    assert arrivals == [("asks", "e1"), ("turn", "e1"), ("done", "e1")]


def test_a_run_that_ends_while_it_waits_to_arrive_lets_the_next_one_in():
    async def test():
        move = Move()
        move.turns.may_arrive.clear()
        task = asyncio.ensure_future(move.run())
        await eventloop.until(lambda: move.turns.arrivals)
        task.cancel()
        await asyncio.wait((task,))
        return move.turns.arrivals[-1], move.done[-1], move.acquirer.held

    assert eventloop.run(test()) == (("done", "e1"), "done", 0)


def test_copy_that_finds_no_room_after_all_is_tried_elsewhere():
    async def test():
        move = Move()
        move.engines.answers.append(models.CopyFailed("no_room"))
        await move.run()
        return move.migration.outcome, move.acquirer.held, move.done.count("room")

    assert eventloop.run(test()) == ("moved", 1, 2)


@pytest.mark.parametrize("code", ["no_run", "no_answer"])
def test_copy_that_cannot_succeed_holds_nothing(code):
    async def test():
        move = Move()
        move.engines.answers.append(models.CopyFailed(code))
        await move.run()
        return move.migration.outcome, move.acquirer.held

    assert eventloop.run(test()) == (code, 0)


def test_run_for_which_there_is_no_room_takes_no_turn():
    async def test():
        move = Move(limit_s=0.05)
        move.acquirer.has_room = False
        await move.run()
        return move.migration.outcome, "asks" in move.done

    assert eventloop.run(test()) == ("no_room", False)


def test_stopped_run_whose_rest_was_not_copied_goes_on_where_it_was():
    async def test():
        move = Move()
        move.engines.answers += [
            models.CopySucceeded("copy-1", 7),
            models.CopyFailed("no_room", "c2"),
        ]
        await move.run()
        destination = move.migration.destination
        return destination.replica.id, destination.copy.name, move.acquirer.held

    assert eventloop.run(test()) == ("e0", "c2", 0)


def test_copy_of_a_run_that_ended_meanwhile_is_freed():
    """A run ends while its memory is copied to another engine.

    The engine goes on with the copy. Given up, it stayed there for ten seconds under a name
    that nobody knew: two of them held a fifth of an engine's memory, and drafts that would
    have fitted waited.
    """

    async def test():
        move = Move()
        await move.end_while_copied()
        return move.engines.dropped, move.acquirer.held, move.done[-1], move.migration.outcome

    freed = [(SOURCE.address, "copy-1")]
    assert eventloop.run(test()) == (freed, 0, "done", "run_ended")


def test_copy_is_freed_where_it_is_when_its_source_is_gone():
    async def test():
        move = Move()
        move.engines.is_source_gone = True
        await move.end_while_copied()
        return move.engines.dropped

    assert eventloop.run(test()) == [(TARGET.address, "copy-1")]


def test_run_that_ended_while_it_was_stopped_leaves_no_copy():
    async def test():
        move = Move()
        task = asyncio.ensure_future(move.run())
        await eventloop.until(lambda: "copy" in move.done)
        move.engines.copied.clear()
        await eventloop.until(lambda: "stop" in move.done)
        move.migration.run_ended(task)
        move.engines.copied.set()
        await asyncio.wait((task,))
        await asyncio.sleep(0)
        return move.engines.dropped, move.acquirer.held

    assert eventloop.run(test()) == ([(SOURCE.address, "copy-1")], 0)


def test_failed_copy_of_a_run_that_ended_is_not_tried_elsewhere():
    async def test():
        move = Move()
        move.engines.answers.append(models.CopyFailed("no_room"))
        await move.end_while_copied()
        return move.done.count("copy"), move.acquirer.held

    assert eventloop.run(test()) == (1, 0)
