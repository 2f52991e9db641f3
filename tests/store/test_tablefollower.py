"""Following a table through outages and lost history."""

import random

from hornbeamglade.core import clocks
from hornbeamglade.store import contract, memory, tablefollower


def follower(platform, told):
    return tablefollower.TableFollower(
        platform, "t", told.append, clocks.ManualClock(), random.Random(1)
    )


def put(platform, key, value="1"):
    platform.transact((), (contract.Put(key, value),))


def test_snapshot_comes_first_and_then_changes(monkeypatch):
    monkeypatch.setattr(tablefollower, "WAIT_S", 0.0)
    platform = memory.MemoryPlatform(clocks.ManualClock(), counts_together=True)
    put(platform, "t/a")
    told = []
    following = follower(platform, told)
    following.step()
    put(platform, "t/b")
    following.step()
    following.step()
    assert told == [
        contract.Snapshot((contract.Row("t/a", "1", 1),), 1),
        contract.Changes((contract.Row("t/b", "1", 2),), (), 2, 2),
        contract.Changes((), (), 2, 0),
    ]


def test_lost_history_is_answered_by_a_snapshot(monkeypatch):
    """The store drops its history while a row is deleted.

    Followed further, the change would never come, and a replica that is gone would
    stay believed.
    """
    monkeypatch.setattr(tablefollower, "WAIT_S", 0.0)
    platform = memory.MemoryPlatform(clocks.ManualClock(), counts_together=True)
    put(platform, "t/a")
    told = []
    following = follower(platform, told)
    following.step()
    platform.transact((), (contract.Delete("t/a"),))
    platform.forget_history()
    following.step()
    following.step()
    assert told[-1] == contract.Snapshot((), 2)


def test_outage_is_told_and_the_place_is_kept(monkeypatch):
    monkeypatch.setattr(tablefollower, "WAIT_S", 0.0)
    platform = memory.MemoryPlatform(clocks.ManualClock(), counts_together=True)
    told = []
    following = follower(platform, told)
    following.step()
    platform.set_faults(memory.Faults(down=True))
    assert not following.step()
    platform.set_faults(memory.Faults())
    put(platform, "t/a")
    following.step()
    assert isinstance(told[1], contract.Unavailable)
    assert told[2].present == (contract.Row("t/a", "1", 1),)
