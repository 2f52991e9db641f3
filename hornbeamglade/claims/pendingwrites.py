"""Terminal states of attempts that are not yet written to the table.

Explanation
===========

The end of an attempt (released, done, unknown) is written as soon as it is known. If the table
is down at that moment, or the response is lost, the write is kept here until
:meth:`PendingWrites.write_pending` succeeds.

An attempt that was reported "not run" because its claim write got no response is written as
``RELEASED`` too. Its claim write may have taken effect, or may still do so later. Reading the
row cannot rule that out, but writing it does: the row's version then differs from the one that
the late write is conditional on.
"""

import dataclasses
import enum
import threading

from hornbeamglade.claims import claimrecords, claimvalues, groupcommit
from hornbeamglade.store import contract


@dataclasses.dataclass(frozen=True, slots=True)
class TerminalWrite:
    """The end of one attempt, to be written to the claim's row.

    :param claim: the attempt; if ``claimed`` is False, its ``version`` is the one that its
        last claim write without response was conditional on.
    :param record: the record to write.
    :param claimed: whether the claim is known to have taken effect.
    :param object_text: the answer's body for the object store, or None.
    """

    claim: claimvalues.Claim
    record: claimrecords.ClaimRecord
    claimed: bool
    object_text: str | None = None

    def unit(self, version: int) -> groupcommit.Unit:
        """Return the write of the record, conditional on the row's ``version``."""
        row_key = self.claim.row_key
        return groupcommit.Unit(
            (contract.Condition(row_key, version),), (contract.Put(row_key, self.record.text()),)
        )

    def store_object(self, objects: contract.ObjectStore) -> bool:
        """Store the answer's body, if there is one; return whether it is stored."""
        answer = self.record.answer
        if answer is None or answer.object_key is None:
            return True
        outcome = objects.put(answer.object_key, self.object_text)
        return isinstance(outcome, contract.Committed)


class _Resolved(enum.Enum):
    """The row shows that nothing is left to write."""

    RESOLVED = enum.auto()


class PendingWrites:
    """The terminal writes that wait for the table; bounded, thread-safe.

    :param table: the platform's table.
    :param objects: the platform's object store.
    :param limit: maximum number of writes kept. Dropping one is safe: its key stays
        claimed and is answered "outcome unknown" from then on.
    """

    def __init__(self, table: contract.Table, objects: contract.ObjectStore, limit: int) -> None:
        self._table = table
        self._objects = objects
        self._limit = limit
        self._lock = threading.Lock()
        self._write_by_attempt: dict[str, TerminalWrite] = {}
        self.dropped_count = 0

    def __len__(self) -> int:
        return len(self._write_by_attempt)

    def add(self, terminal_write: TerminalWrite) -> None:
        """Keep a write until the table accepts it."""
        with self._lock:
            if len(self._write_by_attempt) >= self._limit:
                self.dropped_count += 1
                return
            self._write_by_attempt[terminal_write.claim.attempt] = terminal_write

    def is_released(self, attempt: str) -> bool:
        """Return whether the attempt may not dispatch and waits here to be released."""
        with self._lock:
            terminal_write = self._write_by_attempt.get(attempt)
        return (
            terminal_write is not None
            and terminal_write.record.state is claimrecords.ClaimState.RELEASED
        )

    def write_pending(self, limit: int = groupcommit.DEFAULT_MAX_UNITS) -> int:
        """Try some of the writes, oldest first.

        :param limit: maximum number of writes to try.
        :return: how many were completed.
        """
        with self._lock:
            candidates = list(self._write_by_attempt.values())[:limit]
        write_by_key: dict[str, TerminalWrite] = {}
        units = []
        done = []
        for terminal_write in candidates:
            plan = self._plan(terminal_write)
            if plan is None:
                break  # the platform is down; the other writes would time out too
            if plan is _Resolved.RESOLVED:
                done.append(terminal_write)
            elif terminal_write.claim.row_key not in write_by_key:
                write_by_key[terminal_write.claim.row_key] = terminal_write
                units.append(plan)
        outcomes = groupcommit.commit_units(self._table, tuple(units))
        for terminal_write, outcome in zip(write_by_key.values(), outcomes, strict=True):
            if isinstance(outcome, contract.Committed):
                done.append(terminal_write)
        self._discard(done)
        return len(done)

    def _plan(self, terminal_write: TerminalWrite) -> groupcommit.Unit | _Resolved | None:
        if not terminal_write.store_object(self._objects):
            return None
        claim = terminal_write.claim
        match self._table.read(claim.row_key):
            case contract.Found(row):
                record = claimrecords.ClaimRecord.parse(row.value)
                is_own = record is not None and record.attempt == claim.attempt
                if is_own and record.state is claimrecords.ClaimState.CLAIMED:
                    return terminal_write.unit(row.version)
                version = row.version
            case contract.Missing():
                is_own = False
                version = 0
            case _:
                return None
        # The claim write has not taken effect but still can, as long as the row has the
        # version that it is conditional on. It would then show as a claim that nobody ever
        # dispatches or ends. Writing the row prevents that.
        if not is_own and not terminal_write.claimed and version == claim.version:
            return terminal_write.unit(version)
        return _Resolved.RESOLVED

    def _discard(self, done: list[TerminalWrite]) -> None:
        with self._lock:
            for terminal_write in done:
                self._write_by_attempt.pop(terminal_write.claim.attempt, None)
