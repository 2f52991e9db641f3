"""Services whose replicas share their machines, and malformed load reports."""

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.replicas import loadproblems, sharedmachines
from hornbeamglade.routed import calls


@pytest.fixture(name="lines")
def _lines(monkeypatch):
    lines = []
    monkeypatch.setattr(
        sharedmachines.logs, "state_changed", lambda *states, **fields: lines.append(states[2])
    )
    return lines


def test_service_shares_machines_for_a_minute_after_a_slowdown_was_reported(lines):
    """A service that stops reporting must be served as before, not by stale figures."""
    clock = clocks.ManualClock()
    shared = sharedmachines.SharedMachines(clock)
    shared.observe("web", calls.Load(1, 0, 6))
    assert not shared.shares_machines("web")
    for _ in range(3):
        shared.observe("web", calls.Load(1, 0, 6, 1.0))
        clock.advance(60.0)
        assert shared.shares_machines("web")
    assert not shared.shares_machines("llm")
    clock.advance(0.1)
    assert not shared.shares_machines("web")
    shared.forget_old()
    assert lines == ["shared", "own"]


def test_service_that_is_not_configured_any_more_is_forgotten():
    """Guards against a table that grows with every renamed service."""
    shared = sharedmachines.SharedMachines(clocks.ManualClock())
    shared.observe("web", calls.Load(1, 0, 6, 1.0))
    shared.observe("llm", calls.Load(1, 0, 6, 1.0))
    shared.configure({"llm": None})
    assert not shared.shares_machines("web")
    assert shared.shares_machines("llm")


def test_malformed_report_is_logged_once_for_each_replica(lines):
    """A replica sends its malformed header with each of many responses a second."""
    problems = loadproblems.LoadProblems()
    for replica_id in ("i0", "i0", "i1", "i0"):
        problems.record(replica_id, "replica_load_invalid")
    assert lines == ["malformed"] * 2
    problems.forget_absent({"i1"})
    for number in range(2 * loadproblems.MAX_REPLICAS):
        problems.record(f"r{number}", "replica_load_invalid")
    assert len(lines) == 2 + loadproblems.MAX_REPLICAS - 1
