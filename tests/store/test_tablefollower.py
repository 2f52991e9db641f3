"""Following a table through outages and lost history."""

import queue
import random

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.store import contract, memory, tablefollower


def follower(platform, outcomes):
    return tablefollower.TableFollower(
        platform, "t", outcomes.append, clocks.ManualClock(), random.Random(1)
    )


def put(platform, key, value="1"):
    platform.transact((), (contract.Put(key, value),))


def test_snapshot_comes_first_and_then_changes(monkeypatch):
    monkeypatch.setattr(tablefollower, "LONG_POLL_S", 0.0)
    platform = memory.MemoryPlatform(clocks.ManualClock(), shared_version_counter=True)
    put(platform, "t/a")
    outcomes = []
    following = follower(platform, outcomes)
    following.step()
    put(platform, "t/b")
    following.step()
    following.step()
    assert outcomes == [
        contract.Snapshot((contract.Row("t/a", "1", 1),), 1),
        contract.Changes((contract.Row("t/b", "1", 2),), (), 2, 2),
        contract.Changes((), (), 2, 0),
    ]


def test_lost_history_is_answered_by_a_snapshot(monkeypatch):
    """The store drops its history while a row is deleted.

    Followed further, the change would never come, and a replica that is gone would
    stay believed.
    """
    monkeypatch.setattr(tablefollower, "LONG_POLL_S", 0.0)
    platform = memory.MemoryPlatform(clocks.ManualClock(), shared_version_counter=True)
    put(platform, "t/a")
    outcomes = []
    following = follower(platform, outcomes)
    following.step()
    platform.transact((), (contract.Delete("t/a"),))
    platform.forget_history()
    following.step()
    following.step()
    assert outcomes[-1] == contract.Snapshot((), 2)


def test_outage_is_told_and_the_place_is_kept(monkeypatch):
    monkeypatch.setattr(tablefollower, "LONG_POLL_S", 0.0)
    platform = memory.MemoryPlatform(clocks.ManualClock(), shared_version_counter=True)
    outcomes = []
    following = follower(platform, outcomes)
    following.step()
    platform.set_faults(memory.Faults(down=True))
    assert not following.step()
    platform.set_faults(memory.Faults())
    put(platform, "t/a")
    following.step()
    assert isinstance(outcomes[1], contract.Unavailable)
    assert outcomes[2].written_rows == (contract.Row("t/a", "1", 1),)


def test_many_changes_are_taken_in_few_calls(monkeypatch):
    """Replicas come and go all the time at a large site.

    Each change woke each follower, and what they asked together passed what the store
    serves: it turned calls away, those of the operator's changes among them.
    """
    monkeypatch.setattr(tablefollower, "LONG_POLL_S", 0.0)
    clock = clocks.ManualClock()
    platform = memory.MemoryPlatform(clock, shared_version_counter=True)
    outcomes = []
    following = tablefollower.TableFollower(
        platform, "t", outcomes.append, clock, random.Random(1)
    )
    following.step()
    begun = clock.now()
    for number in range(10):
        put(platform, f"t/{number}")
        following.step()
    assert clock.now() - begun == pytest.approx(10 * tablefollower.COALESCE_S)
    assert [outcome.newest for outcome in outcomes[1:]] == list(range(1, 11))


class GatedFeed(contract.Feed):
    """Answers one question at a time, when the test lets it."""

    def __init__(self):
        self.asked = queue.Queue()
        self.answers = queue.Queue()
        self.is_paused = False
        self.asked_while_paused = 0

    def snapshot(self, table):
        return contract.Snapshot((), 3)

    def changes(self, table, after, wait_s):
        self.asked_while_paused += self.is_paused
        self.asked.put(after)
        return self.answers.get(timeout=30)


def test_paused_follower_makes_no_calls_and_goes_on_from_its_place():
    """Most nodes of a large site leave the store to a few, and take over when those die."""
    feed = GatedFeed()
    outcomes = queue.Queue()
    following = tablefollower.TableFollower(
        feed, "t", outcomes.put, clocks.ManualClock(), random.Random(1)
    )
    following.start()
    assert feed.asked.get(timeout=30) == 3
    following.pause()
    feed.is_paused = True
    feed.answers.put(contract.Changes((), (), 5, 5))
    assert isinstance(outcomes.get(timeout=30), contract.Snapshot)
    assert outcomes.get(timeout=30).version == 5
    feed.is_paused = False
    following.start()
    assert feed.asked.get(timeout=30) == 5
    assert not feed.asked_while_paused
    following.stop()
    feed.answers.put(contract.Unavailable("over"))


def test_a_table_that_came_back_from_an_older_copy_is_read_anew_and_once_more(monkeypatch):
    """Guards the list against versions that go back and are given out again.

    Followed from the old version, the feed would skip what was written between the backup and it.
    """
    monkeypatch.setattr(tablefollower, "LONG_POLL_S", 0.0)
    clock = clocks.ManualClock()
    platform = memory.MemoryPlatform(clock, shared_version_counter=True)
    put(platform, "t/a")
    backup = platform.backup()
    put(platform, "t/lost")
    outcomes = []
    following = tablefollower.TableFollower(
        platform, "t", outcomes.append, clock, random.Random(1)
    )
    following.step()
    platform.restore(backup)
    for name in ("b", "c", "d"):
        put(platform, f"t/{name}")
    following.step()
    following.step()
    assert isinstance(outcomes[-1], contract.Snapshot)
    assert [each.key for each in outcomes[-1].rows] == ["t/a", "t/b", "t/c", "t/d"]
    assert outcomes[-1].version > outcomes[0].version
    clock.advance(tablefollower.REREAD_DELAY_S)
    following.step()
    assert [type(each) for each in outcomes] == [contract.Snapshot] * 3
