import asyncio
import dataclasses

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.quarantine import crashdetector
from hornbeamglade.replicas import models, replicalist
from tests import eventloop

REPLICA = models.Replica("e1", "llm", "10.0.0.1:80", "a", 8)


class Detected:
    """A detector whose probes are answered as told."""

    def __init__(self, listens=False):
        self.clock = clocks.ManualClock()
        self.list = replicalist.ReplicaList()
        self.listens = listens
        self.probed = []
        self.reported = set()
        self.crashes = []
        self.detector = crashdetector.CrashDetector(
            self.list,
            self.probe,
            self.reported.__contains__,
            lambda replica, lost: self.crashes.append(
                (replica.id, sorted(run.fingerprint for run in lost))
            ),
            self.clock,
        )
        self.take(REPLICA)

    async def probe(self, address):
        self.probed.append(address)
        await asyncio.sleep(0)
        return self.listens

    def take(self, *present, gone=()):
        changes = self.list.update(present, gone, self.list.version + 1)
        self.detector.list_changed(changes)


async def settled():
    for _ in range(5):
        await asyncio.sleep(0)


def play(test, **more):
    async def main():
        detected = Detected(**more)
        await test(detected)
        await settled()
        return detected

    return eventloop.run(main())


async def lose_two(detected):
    detected.detector.run_lost(7, REPLICA, 0.0)
    detected.detector.run_lost(8, REPLICA, 0.0)


def test_a_replica_that_refuses_connections_has_crashed_and_is_asked_once():
    detected = play(lose_two)
    assert detected.crashes == [("e1", [7, 8])]
    assert detected.probed == [REPLICA.address]


def test_a_run_that_is_lost_after_its_replicas_crash_was_found_is_told_too():
    async def test(detected):
        await lose_two(detected)
        await settled()
        detected.detector.run_lost(9, REPLICA, 0.0)

    assert play(test).crashes == [("e1", [7, 8]), ("e1", [9])]


def test_an_answer_broken_off_by_a_replica_that_lives_is_no_crash():
    """Guards innocent requests against blame for resets and torn answers."""

    async def test(detected):
        await lose_two(detected)
        await settled()
        detected.take(gone=["e1"])

    assert play(test, listens=True).crashes == []


def test_a_machine_that_falls_silent_has_crashed_when_its_entry_lapses():
    """Guards against crashes that refuse no connection."""

    async def test(detected):
        await lose_two(detected)
        await settled()
        detected.clock.advance(4.0)
        detected.take(gone=["e1"])

    assert play(test, listens=None).crashes == [("e1", [7, 8])]


def test_a_run_without_an_answer_at_a_replica_whose_entry_has_lapsed_was_ended_by_a_crash():
    async def test(detected):
        detected.take(gone=["e1"])
        detected.detector.run_unanswered(7, REPLICA, 0.0)

    assert play(test).crashes == [("e1", [7])]


def test_a_replica_that_was_unlisted_before_its_connections_closed_stopped_as_planned():
    async def test(detected):
        detected.take(gone=["e1"])
        detected.detector.run_lost(7, REPLICA, 0.0)

    assert play(test).crashes == []


@pytest.mark.parametrize("by_report", [True, False])
def test_a_reclaimed_engine_is_no_crash(by_report):
    """Guards innocent requests against blame for engines that are taken away."""

    async def test(detected):
        if by_report:
            detected.reported.add("e1")
        else:
            detected.take(dataclasses.replace(REPLICA, is_leaving=True))
        await lose_two(detected)
        await settled()
        detected.take(gone=["e1"])
        detected.detector.run_unanswered(9, REPLICA, 0.0)

    assert play(test).crashes == []


def test_a_server_that_starts_again_under_its_name_has_crashed():
    async def test(detected):
        detected.take(dataclasses.replace(REPLICA, id="e1@5", name="e1", started_ms=5))
        detected.detector.run_lost(7, REPLICA, 0.0)

    assert play(test).crashes == [("e1", [7])]


def test_a_replica_that_stays_listed_is_forgotten():
    async def test(detected):
        await lose_two(detected)
        await settled()
        detected.clock.advance(crashdetector.UNLISTED_WITHIN_S + 1.0)
        detected.detector.forget_old()
        detected.take(gone=["e1"])

    assert play(test, listens=None).crashes == []
