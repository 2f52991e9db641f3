import asyncio
import dataclasses

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.quarantine import crashdetector
from hornbeamglade.replicas import models, replicalist

REPLICA = models.Replica("e1", "llm", "10.0.0.1:80", "a", 8)


class DetectorHarness:
    """A detector with a configurable result of its probes."""

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
        self.update_list(REPLICA)

    async def probe(self, address):
        self.probed.append(address)
        await asyncio.sleep(0)
        return self.listens

    def update_list(self, *present, gone=()):
        changes = self.list.update(present, gone, self.list.version + 1)
        self.detector.list_changed(changes)

    async def lose_two_runs(self):
        self.detector.run_lost(7, REPLICA, 0.0)
        self.detector.run_lost(8, REPLICA, 0.0)
        await run_pending_tasks()

    async def found_crashes(self):
        await run_pending_tasks()
        return self.crashes


async def run_pending_tasks():
    for _ in range(5):
        await asyncio.sleep(0)


async def test_a_replica_that_refuses_connections_has_crashed_and_is_probed_once():
    harness = DetectorHarness()
    await harness.lose_two_runs()
    assert await harness.found_crashes() == [("e1", [7, 8])]
    assert harness.probed == [REPLICA.address]


async def test_a_run_lost_after_the_crash_of_its_replica_was_detected_is_reported_too():
    harness = DetectorHarness()
    await harness.lose_two_runs()
    harness.detector.run_lost(9, REPLICA, 0.0)
    assert await harness.found_crashes() == [("e1", [7, 8]), ("e1", [9])]


async def test_a_response_aborted_by_a_live_replica_is_no_crash():
    """Guards requests against false evidence from connection resets and truncated responses."""
    harness = DetectorHarness(listens=True)
    await harness.lose_two_runs()
    harness.update_list(gone=["e1"])
    assert await harness.found_crashes() == []


async def test_an_unreachable_machine_has_crashed_when_its_entry_expires():
    """Guards against missing a crash after which no connection is refused."""
    harness = DetectorHarness(listens=None)
    await harness.lose_two_runs()
    harness.clock.advance(4.0)
    harness.update_list(gone=["e1"])
    assert await harness.found_crashes() == [("e1", [7, 8])]


async def test_a_run_without_response_at_a_replica_with_an_expired_entry_was_ended_by_a_crash():
    harness = DetectorHarness()
    harness.update_list(gone=["e1"])
    harness.detector.run_unanswered(7, REPLICA, 0.0)
    assert await harness.found_crashes() == [("e1", [7])]


async def test_a_replica_that_was_removed_before_its_connections_closed_stopped_as_planned():
    harness = DetectorHarness()
    harness.update_list(gone=["e1"])
    harness.detector.run_lost(7, REPLICA, 0.0)
    assert await harness.found_crashes() == []


@pytest.mark.parametrize("by_report", [True, False])
async def test_a_reclaimed_engine_is_no_crash(by_report):
    """Guards requests against false evidence from engines that are reclaimed."""
    harness = DetectorHarness()
    if by_report:
        harness.reported.add("e1")
    else:
        harness.update_list(dataclasses.replace(REPLICA, is_leaving=True))
    await harness.lose_two_runs()
    harness.update_list(gone=["e1"])
    harness.detector.run_unanswered(9, REPLICA, 0.0)
    assert await harness.found_crashes() == []


async def test_a_server_that_restarts_with_the_same_name_has_crashed():
    harness = DetectorHarness()
    harness.update_list(dataclasses.replace(REPLICA, id="e1@5", name="e1", started_ms=5))
    harness.detector.run_lost(7, REPLICA, 0.0)
    assert await harness.found_crashes() == [("e1", [7])]


async def test_lost_runs_of_a_replica_that_remains_listed_are_forgotten():
    harness = DetectorHarness(listens=None)
    await harness.lose_two_runs()
    harness.clock.advance(crashdetector.UNLISTED_TIMEOUT_S + 1.0)
    harness.detector.forget_old()
    harness.update_list(gone=["e1"])
    assert await harness.found_crashes() == []
