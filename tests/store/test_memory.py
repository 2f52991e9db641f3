"""MemoryPlatform provides the weakest guarantees that the contract allows."""

from hornbeamglade.core import clocks
from hornbeamglade.store import contract, memory


def put_new(platform, key="a", value="1"):
    return platform.transact((contract.Condition(key, 0),), (contract.Put(key, value),))


def test_transaction_applies_all_or_nothing():
    platform = memory.MemoryPlatform(clocks.ManualClock())
    put_new(platform, "a")
    outcome = platform.transact(
        (contract.Condition("a", 0),), (contract.Put("b", "2"), contract.Delete("a"))
    )
    assert outcome == contract.Conflict("a")
    assert platform.read("b") == contract.Missing("b")


def test_versions_restart_after_a_delete():
    platform = memory.MemoryPlatform(clocks.ManualClock())
    put_new(platform)
    platform.transact((), (contract.Delete("a"),))
    assert put_new(platform) == contract.Committed({"a": 1})


def test_write_during_an_outage_has_no_effect():
    platform = memory.MemoryPlatform(clocks.ManualClock())
    platform.set_faults(memory.Faults(down=True))
    assert put_new(platform) == contract.Unavailable("down")
    platform.set_faults(memory.Faults())
    assert platform.scan("") == ()


def test_write_with_a_lost_response_takes_effect():
    platform = memory.MemoryPlatform(clocks.ManualClock())
    platform.set_faults(memory.Faults(lose_answers=True))
    assert isinstance(put_new(platform), contract.Unknown)
    assert platform.read("a") == contract.Found(contract.Row("a", "1", 1))


def test_stalled_write_takes_effect_after_a_read_missed_it():
    platform = memory.MemoryPlatform(clocks.ManualClock())
    platform.set_faults(memory.Faults(stall_writes=True))
    assert isinstance(put_new(platform), contract.Unknown)
    assert platform.read("a") == contract.Missing("a")
    platform.deliver_stalled()
    assert isinstance(platform.read("a"), contract.Found)


def test_feed_lags():
    """The list of nodes is followed through a feed, which may lag."""
    clock = clocks.ManualClock()
    platform = memory.MemoryPlatform(clock)
    platform.set_faults(memory.Faults(lag_s=5.0))
    put_new(platform, "instances/n1")
    clock.advance(4.0)
    assert platform.changes("instances", 0, 0.0) == contract.Changes((), (), 0)
    clock.advance(1.0)
    row = contract.Row("instances/n1", "1", 1)
    assert platform.changes("instances", 0, 0.0) == contract.Changes((row,), (), 1, 1)


def test_feed_returns_the_newest_state_of_rows_and_deletions():
    platform = memory.MemoryPlatform(clocks.ManualClock(), shared_version_counter=True)
    put_new(platform, "a/1")
    put_new(platform, "a/2")
    put_new(platform, "b/1")
    platform.transact((), (contract.Put("a/1", "2"), contract.Delete("a/2")))
    changes = platform.changes("a", 1, 0.0)
    assert changes == contract.Changes((contract.Row("a/1", "2", 4),), ("a/2",), 4, 4)
    assert platform.snapshot("b") == contract.Snapshot((contract.Row("b/1", "1", 3),), 4)


def test_discarded_history_is_reported():
    platform = memory.MemoryPlatform(clocks.ManualClock(), shared_version_counter=True)
    put_new(platform, "a/1")
    platform.forget_history()
    assert platform.changes("a", 0, 0.0) == contract.HistoryLost()
