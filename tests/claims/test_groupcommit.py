"""Units of many threads share transactions without failing one another."""

import concurrent.futures
import threading

import pytest

from hornbeamglade.claims import groupcommit
from hornbeamglade.store import contract, memory


class GatedTable(memory.MemoryPlatform):
    """Blocks each transaction until the gate opens, so that units queue up."""

    def __init__(self):
        super().__init__()
        self.gate = threading.Event()
        self.started = threading.Semaphore(0)

    def transact(self, conditions, writes):
        self.started.release()
        assert self.gate.wait(10)
        return super().transact(conditions, writes)


def new_row(key, value="1"):
    return groupcommit.Unit((contract.Condition(key, 0),), (contract.Put(key, value),))


def submit_together(commits, table, units):
    """Submit one unit and, while it is in flight, the others; return all outcomes."""
    with concurrent.futures.ThreadPoolExecutor(len(units)) as pool:
        first = pool.submit(commits.submit, units[0])
        assert table.started.acquire(timeout=10)
        others = [pool.submit(commits.submit, unit) for unit in units[1:]]
        while len(commits._queue) < len(others):
            threading.Event().wait(0.001)
        table.gate.set()
        return [future.result(10) for future in [first, *others]]


def test_waiting_units_share_one_transaction():
    table = GatedTable()
    commits = groupcommit.GroupCommit(table)
    outcomes = submit_together(commits, table, [new_row(f"k{n}") for n in range(50)])
    assert outcomes == [contract.Committed({f"k{n}": 1}) for n in range(50)]
    assert table.transaction_count == 2


def test_conflict_of_one_does_not_fail_the_others():
    table = GatedTable()
    commits = groupcommit.GroupCommit(table)
    table._apply((), (contract.Put("k2", "taken"),))
    outcomes = submit_together(commits, table, [new_row(f"k{n}") for n in range(5)])
    assert outcomes.pop(2) == contract.Conflict("k2")
    assert all(isinstance(outcome, contract.Committed) for outcome in outcomes)


def test_two_claims_of_one_key_are_never_both_committed():
    """A caller's request and its retry reach one node simultaneously.

    Both claims wait for the next transaction. If it contained both, both conditions would hold
    and both would commit, so the request would run twice.
    """
    table = GatedTable()
    commits = groupcommit.GroupCommit(table)
    units = [new_row("other"), new_row("k", "a"), new_row("k", "b")]
    outcomes = submit_together(commits, table, units)
    assert sorted(map(repr, outcomes[1:])) == [
        repr(contract.Committed({"k": 1})),
        repr(contract.Conflict("k")),
    ]


def test_large_queue_is_split():
    table = GatedTable()
    commits = groupcommit.GroupCommit(table, max_units=4)
    outcomes = submit_together(commits, table, [new_row(f"k{n}") for n in range(9)])
    assert all(isinstance(outcome, contract.Committed) for outcome in outcomes)
    assert table.transaction_count == 3


def test_exception_of_the_table_leaves_no_thread_waiting():
    """The table's adapter raises because of a bug.

    The committing thread sees the exception; the other threads would wait forever.
    """

    class Raising(GatedTable):
        def transact(self, conditions, writes):
            super().transact(conditions, writes)
            raise RuntimeError("fault")

    table = Raising()
    commits = groupcommit.GroupCommit(table)
    with pytest.raises(RuntimeError):
        submit_together(commits, table, [new_row(f"k{n}") for n in range(5)])
    assert isinstance(commits._queue, list)
    assert not commits._committing
