"""A run's move: room first, then its turn, then the copy; nothing stays held."""

import asyncio

import pytest

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.engines import control, models
from hornbeamglade.grants import grantseeker
from hornbeamglade.replicas import models as replicamodels
from hornbeamglade.routed import handover
from tests import eventloop

SOURCE = replicamodels.Replica("e0", "llm", "10.0.0.1:1", "a", 8)
TARGET = replicamodels.Replica("e1", "llm", "10.0.0.2:1", "a", 8)


class Engines(control.EngineControl):
    """Copies at once, or as ``answers`` say."""

    def __init__(self, done):
        self._done = done
        self.answers = []
        self.dropped = []

    async def report(self, address):
        return None

    async def copy_run(self, address, request_id, to, *, is_last, timeout_s):
        self._done.append("stop" if is_last else "copy")
        if self.answers:
            return self.answers.pop(0)
        return models.CopyMade("copy-1", 7)

    async def drop_copy(self, address, name):
        self.dropped.append(name)


class Seeker:
    """Has room when ``has_room``; counts what is held."""

    def __init__(self, done):
        self._done = done
        self.has_room = True
        self.held = 0

    async def find_near(self, wish, failure_domain):
        self._done.append("room" if self.has_room else "full")
        if not self.has_room:
            return None
        self.held += 1
        return grantseeker.Grant(TARGET.id, f"{wish.grant_id}@{TARGET.id}")

    def release(self, grant):
        self.held -= 1


class Turns:
    """Gives the turn when ``go`` is set."""

    def __init__(self, done):
        self._done = done
        self.go = asyncio.Event()
        self.go.set()

    async def take(self, replica, request_id, tokens):
        self._done.append("asks")
        await self.go.wait()
        self._done.append("turn")

    def done(self, replica, request_id):
        self._done.append("done")


class Book:
    def replica(self, replica_id):
        return {each.id: each for each in (SOURCE, TARGET)}.get(replica_id)


class Move:
    """One move and all that it works with."""

    def __init__(self, limit_s=30.0):
        self.done = []
        self.engines, self.seeker = Engines(self.done), Seeker(self.done)
        self.turns, clock = Turns(self.done), clocks.SystemClock()
        parts = handover.HandoverParts(self.engines, self.seeker, self.turns, Book(), clock)
        work = outcomes.Work("r1", "draft", "clinic", 1, 500, 100)
        wish = grantseeker.Wish(work, 1.0, clock.now() + limit_s, tuple)
        self.handover = handover.Handover(SOURCE, "r1", wish, parts)

    async def run(self):
        await self.handover.run(40)


def test_room_is_found_before_the_turn_and_the_turn_is_for_the_copy():
    """Many runs leave one engine; each turn that is spent on looking costs another run."""

    async def test():
        move = Move()
        await move.run()
        return move.done, move.handover.outcome, move.seeker.held

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
        return move.seeker.held, move.done[-1]

    assert eventloop.run(test()) == (0, "done")


def test_copy_that_finds_no_room_after_all_is_tried_elsewhere():
    async def test():
        move = Move()
        move.engines.answers.append(models.CopyFailed("no_room"))
        await move.run()
        return move.handover.outcome, move.seeker.held, move.done.count("room")

    assert eventloop.run(test()) == ("moved", 1, 2)


@pytest.mark.parametrize("code", ["no_run", "no_answer"])
def test_copy_that_cannot_succeed_holds_nothing(code):
    async def test():
        move = Move()
        move.engines.answers.append(models.CopyFailed(code))
        await move.run()
        return move.handover.outcome, move.seeker.held

    assert eventloop.run(test()) == (code, 0)


def test_run_for_which_there_is_no_room_takes_no_turn():
    async def test():
        move = Move(limit_s=0.05)
        move.seeker.has_room = False
        await move.run()
        return move.handover.outcome, "asks" in move.done

    assert eventloop.run(test()) == ("no_room", False)


def test_stopped_run_whose_rest_was_not_copied_goes_on_where_it_was():
    async def test():
        move = Move()
        move.engines.answers += [models.CopyMade("copy-1", 7), models.CopyFailed("no_room", "c2")]
        await move.run()
        destination = move.handover.destination
        return destination.replica.id, destination.copy.name, move.seeker.held

    assert eventloop.run(test()) == ("e0", "c2", 0)
