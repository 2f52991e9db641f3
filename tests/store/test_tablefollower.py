"""Following a table despite outages and lost history."""

import queue
import random

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.store import contract, memory, tablefollower


class Followed:
    """A table in memory, and a follower of it with the outcomes that it reported."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.platform = memory.MemoryPlatform(self.clock, shared_version_counter=True)
        self.outcomes = []
        self.follower = tablefollower.TableFollower(
            self.platform, "t", self.outcomes.append, self.clock, random.Random(1)
        )


@pytest.fixture
def followed(monkeypatch):
    monkeypatch.setattr(tablefollower, "LONG_POLL_S", 0.0)
    return Followed()


def put(platform, key, value="1"):
    platform.transact((), (contract.Put(key, value),))


def test_snapshot_comes_first_and_then_changes(followed):
    put(followed.platform, "t/a")
    followed.follower.step()
    put(followed.platform, "t/b")
    followed.follower.step()
    followed.follower.step()
    assert followed.outcomes == [
        contract.Snapshot((contract.Row("t/a", "1", 1),), 1),
        contract.Changes((contract.Row("t/b", "1", 2),), (), 2, 2),
        contract.Changes((), (), 2, 0),
    ]


def test_lost_history_causes_a_snapshot(followed):
    """The store drops its history while a row is deleted.

    Continuing from the old version would never deliver the deletion, and a replica that no
    longer exists would stay in use.
    """
    put(followed.platform, "t/a")
    followed.follower.step()
    followed.platform.transact((), (contract.Delete("t/a"),))
    followed.platform.forget_history()
    followed.follower.step()
    followed.follower.step()
    assert followed.outcomes[-1] == contract.Snapshot((), 2)


def test_outage_is_reported_and_the_position_kept(followed):
    followed.follower.step()
    followed.platform.set_faults(memory.Faults(down=True))
    assert not followed.follower.step()
    followed.platform.set_faults(memory.Faults())
    put(followed.platform, "t/a")
    followed.follower.step()
    assert isinstance(followed.outcomes[1], contract.Unavailable)
    assert followed.outcomes[2].written_rows == (contract.Row("t/a", "1", 1),)


def test_many_changes_are_read_in_few_calls(followed):
    """At a large site, replicas are added and removed all the time.

    Each change woke every follower, and their calls together exceeded the capacity of the
    store, which then refused calls, among them the operator's own changes.
    """
    followed.follower.step()
    started_at = followed.clock.now()
    for number in range(10):
        put(followed.platform, f"t/{number}")
        followed.follower.step()
    assert followed.clock.now() - started_at == pytest.approx(10 * tablefollower.COALESCE_S)
    assert [outcome.newest for outcome in followed.outcomes[1:]] == list(range(1, 11))


class GatedFeed(contract.Feed):
    """Answers one call at a time, when the test allows it."""

    def __init__(self):
        self.calls = queue.Queue()
        self.responses = queue.Queue()
        self.is_paused = False
        self.calls_while_paused = 0

    def snapshot(self, table):
        return contract.Snapshot((), 3)

    def changes(self, table, after, wait_s):
        self.calls_while_paused += self.is_paused
        self.calls.put(after)
        return self.responses.get(timeout=30)


def test_paused_follower_makes_no_calls_and_resumes_from_its_position():
    """Most nodes of a large site leave the store to a few followers and take over if those die."""
    feed = GatedFeed()
    outcomes = queue.Queue()
    table_follower = tablefollower.TableFollower(
        feed, "t", outcomes.put, clocks.ManualClock(), random.Random(1)
    )
    table_follower.start()
    assert feed.calls.get(timeout=30) == 3
    table_follower.pause()
    feed.is_paused = True
    feed.responses.put(contract.Changes((), (), 5, 5))
    assert isinstance(outcomes.get(timeout=30), contract.Snapshot)
    assert outcomes.get(timeout=30).version == 5
    feed.is_paused = False
    table_follower.start()
    assert feed.calls.get(timeout=30) == 5
    assert not feed.calls_while_paused
    table_follower.stop()
    feed.responses.put(contract.Unavailable("over"))


def test_restored_table_is_read_twice(followed):
    """After a restore, versions go back and are reused.

    Following from the old version would skip changes written between the backup's version and
    the old one.
    """
    put(followed.platform, "t/a")
    backup = followed.platform.backup()
    put(followed.platform, "t/lost")
    followed.follower.step()
    followed.platform.restore(backup)
    for name in ("b", "c", "d"):
        put(followed.platform, f"t/{name}")
    followed.follower.step()
    followed.follower.step()
    assert isinstance(followed.outcomes[-1], contract.Snapshot)
    assert [each.key for each in followed.outcomes[-1].rows] == ["t/a", "t/b", "t/c", "t/d"]
    assert followed.outcomes[-1].version > followed.outcomes[0].version
    followed.clock.advance(tablefollower.REREAD_DELAY_S)
    followed.follower.step()
    assert [type(each) for each in followed.outcomes] == [contract.Snapshot] * 3
