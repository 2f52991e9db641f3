import pytest

from hornbeamglade.core import clocks
from hornbeamglade.quarantine import quarantinewriter
from hornbeamglade.store import contract, memory

PUT = contract.Put("instances/quarantine:07", "{}")


class Writer(quarantinewriter.QuarantineWriter):
    """Performs writes only in explicit calls of ``step``."""

    def _run(self):
        pass


@pytest.mark.parametrize("times_down", [0, 2, quarantinewriter.MAX_ATTEMPTS])
def test_a_write_is_retried_while_the_store_is_unavailable_and_then_dropped(times_down):
    class Table(memory.MemoryPlatform):
        calls = 0

        def transact(self, conditions, writes):
            self.calls += 1
            if self.calls <= times_down:
                return contract.Unavailable("down")
            return super().transact(conditions, writes)

    table = Table(clocks.ManualClock())
    writer = Writer(table, clocks.ManualClock())
    writer.add(PUT)
    writer.step()
    assert table.calls == min(times_down + 1, quarantinewriter.MAX_ATTEMPTS)
    is_written = isinstance(table.read(PUT.key), contract.Found)
    assert is_written is (times_down < quarantinewriter.MAX_ATTEMPTS)


def test_pending_writes_are_bounded():
    writer = Writer(memory.MemoryPlatform(), clocks.ManualClock())
    for _ in range(2 * quarantinewriter.MAX_PENDING):
        writer.add(PUT)
    assert writer._pending.qsize() == quarantinewriter.MAX_PENDING
