import pytest

from hornbeamglade.core import clocks
from hornbeamglade.quarantine import quarantinewriter
from hornbeamglade.store import contract, memory

PUT = contract.Put("instances/quarantine:07", "{}")


class Keeper(quarantinewriter.QuarantineWriter):
    """Carries its writes out when asked."""

    def _run(self):
        pass


@pytest.mark.parametrize("times_down", [0, 2, quarantinewriter.TRIES])
def test_a_write_is_made_again_while_the_store_is_away_and_then_given_up(times_down):
    class Table(memory.MemoryPlatform):
        calls = 0

        def transact(self, conditions, writes):
            self.calls += 1
            if self.calls <= times_down:
                return contract.Unavailable("down")
            return super().transact(conditions, writes)

    table = Table(clocks.ManualClock())
    keeper = Keeper(table, clocks.ManualClock())
    keeper.add(PUT)
    keeper.step()
    assert table.calls == min(times_down + 1, quarantinewriter.TRIES)
    is_written = isinstance(table.read(PUT.key), contract.Found)
    assert is_written is (times_down < quarantinewriter.TRIES)


def test_pending_writes_are_bounded():
    keeper = Keeper(memory.MemoryPlatform(), clocks.ManualClock())
    for _ in range(2 * quarantinewriter.MOST_PENDING):
        keeper.add(PUT)
    assert keeper._pending.qsize() == quarantinewriter.MOST_PENDING
