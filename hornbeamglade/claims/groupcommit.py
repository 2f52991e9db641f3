"""Combines the writes of many threads of one node into few transactions.

Explanation
===========

The table sustains several hundred transactions per second for all nodes together. The first
thread sends its own unit at once. Units submitted while a transaction is in flight wait and
are sent together in the next one (group commit [1]_). There is no separate thread, and no
delay when no transaction is in flight.

A conflict of one unit must not fail the others: that unit is removed and the rest is sent
again.

References
==========

.. [1] D. DeWitt et al., Implementation techniques for main memory database
   systems, SIGMOD 1984.
"""

import dataclasses
import threading

from hornbeamglade.store import contract

DEFAULT_MAX_UNITS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Unit:
    """Writes that take effect together or not at all.

    :param conditions: conditions that must hold, each on a key of this unit.
    :param writes: the writes.
    """

    conditions: tuple[contract.Condition, ...]
    writes: tuple[contract.Put | contract.Delete, ...]

    @property
    def keys(self) -> frozenset[str]:
        """All keys in the unit's conditions and writes."""
        return frozenset(item.key for item in self.conditions + self.writes)


def commit_units(
    table: contract.Table, units: tuple[Unit, ...]
) -> tuple[contract.WriteOutcome, ...]:
    """Commit units of distinct keys in as few transactions as conflicts allow.

    :param table: where to commit.
    :param units: units of which no two share a key.
    :return: the outcome of each unit, in order.
    """
    outcome_by_index: dict[int, contract.WriteOutcome] = {}
    remaining = dict(enumerate(units))
    while remaining:
        outcome = _transact(table, remaining.values())
        conflicting = _conflicting_index(remaining, outcome)
        if conflicting is None:
            for index, unit in remaining.items():
                outcome_by_index[index] = _unit_outcome(unit, outcome)
            break
        outcome_by_index[conflicting] = outcome
        del remaining[conflicting]
    return tuple(outcome_by_index[index] for index in range(len(units)))


def _transact(table: contract.Table, units) -> contract.WriteOutcome:
    conditions = tuple(condition for unit in units for condition in unit.conditions)
    writes = tuple(write for unit in units for write in unit.writes)
    return table.transact(conditions, writes)


def _conflicting_index(
    unit_by_index: dict[int, Unit], outcome: contract.WriteOutcome
) -> int | None:
    if not isinstance(outcome, contract.Conflict):
        return None
    return next(index for index, unit in unit_by_index.items() if outcome.key in unit.keys)


def _unit_outcome(unit: Unit, outcome: contract.WriteOutcome) -> contract.WriteOutcome:
    if not isinstance(outcome, contract.Committed):
        return outcome
    version_by_key = outcome.version_by_key
    return contract.Committed(
        {key: version_by_key[key] for key in unit.keys if key in version_by_key}
    )


class _Waiter:
    def __init__(self, unit: Unit) -> None:
        self.unit = unit
        self.outcome: contract.WriteOutcome | None = None


class GroupCommit:
    """Batches the units of concurrent threads.

    :param table: where to commit.
    :param max_units: maximum number of units in one transaction.
    """

    def __init__(self, table: contract.Table, max_units: int = DEFAULT_MAX_UNITS) -> None:
        self._table = table
        self._max_units = max_units
        self._changed = threading.Condition()
        self._queue: list[_Waiter] = []
        self._committing = False

    def submit(self, unit: Unit) -> contract.WriteOutcome:
        """Commit one unit; blocks at most for the transactions before it and its own."""
        waiter = _Waiter(unit)
        with self._changed:
            self._queue.append(waiter)
        while True:
            batch = self._next_batch(waiter)
            if not batch:
                return waiter.outcome
            self._commit(batch)

    def _next_batch(self, waiter: _Waiter) -> list[_Waiter]:
        with self._changed:
            self._changed.wait_for(lambda: waiter.outcome is not None or not self._committing)
            if waiter.outcome is not None:
                return []
            self._committing = True
            return self._take_batch()

    def _take_batch(self) -> list[_Waiter]:
        # Two claims of one key in one transaction would both find the row absent and both
        # succeed, so the request would run twice. Each key is therefore included once, and
        # later units with that key wait.
        seen: set[str] = set()
        batch = []
        for waiter in self._queue:
            if len(batch) < self._max_units and seen.isdisjoint(waiter.unit.keys):
                batch.append(waiter)
            seen |= waiter.unit.keys
        self._queue = [waiter for waiter in self._queue if waiter not in batch]
        return batch

    def _commit(self, batch: list[_Waiter]) -> None:
        # If the table raises, the other threads must not wait forever. Whether their writes
        # took effect is then unknown.
        outcomes = (contract.Unknown("the committing thread failed"),) * len(batch)
        try:
            outcomes = commit_units(self._table, tuple(waiter.unit for waiter in batch))
        finally:
            with self._changed:
                for waiter, outcome in zip(batch, outcomes, strict=True):
                    waiter.outcome = outcome
                self._committing = False
                self._changed.notify_all()
