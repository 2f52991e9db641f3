"""Ends of attempts that the table does not know of yet.

Explanation
===========

The end of an attempt (released, done, unknown) is written when it is known. If
the table is down just then, or the answer is lost, the end waits here until
:meth:`PendingWrites.write_pending` can bring it in.

An attempt that was told "not run" because its claim's write got no answer is
brought in as ``RELEASED`` too. Its write may have taken effect, or may still do
so later. Reading the row does not settle that; writing it does: the row's
version then differs from the one that the late write was conditioned on.
"""

import dataclasses
import enum
import threading

from hornbeamglade.claims import claimrecords, claimvalues, groupcommit
from hornbeamglade.store import contract


@dataclasses.dataclass(frozen=True, slots=True)
class TerminalWrite:
    """How one attempt ended.

    :param claim: the attempt; ``version`` is the one that its last unanswered
        claim write was conditioned on when ``claimed`` is False.
    :param record: what the row shall say.
    :param claimed: whether the claim is known to have taken effect.
    :param object_text: the answer's body for the object store, or None.
    """

    claim: claimvalues.Claim
    record: claimrecords.ClaimRecord
    claimed: bool
    object_text: str | None = None

    def unit(self, version: int) -> groupcommit.Unit:
        """Return the write of the ending onto the row at ``version``."""
        row_key = self.claim.row_key
        return groupcommit.Unit(
            (contract.Condition(row_key, version),), (contract.Put(row_key, self.record.text()),)
        )

    def store_object(self, objects: contract.ObjectStore) -> bool:
        """Put the answer's body, if it has one; return whether it is there."""
        answer = self.record.answer
        if answer is None or answer.object_key is None:
            return True
        outcome = objects.put(answer.object_key, self.object_text)
        return isinstance(outcome, contract.Committed)


class _Over(enum.Enum):
    """The row says that nothing is left to write."""

    OVER = enum.auto()


class PendingWrites:
    """The endings that wait for the table; bounded, thread-safe.

    :param table: the platform's table.
    :param objects: the platform's object store.
    :param limit: the most endings kept. Dropping one is safe: its key stays
        claimed and is answered "outcome unknown" from then on.
    """

    def __init__(self, table: contract.Table, objects: contract.ObjectStore, limit: int) -> None:
        self._table = table
        self._objects = objects
        self._limit = limit
        self._lock = threading.Lock()
        self._ending_by_attempt: dict[str, TerminalWrite] = {}
        self.dropped_count = 0

    def __len__(self) -> int:
        return len(self._ending_by_attempt)

    def add(self, ending: TerminalWrite) -> None:
        """Keep an ending until the table can take it."""
        with self._lock:
            if len(self._ending_by_attempt) >= self._limit:
                self.dropped_count += 1
                return
            self._ending_by_attempt[ending.claim.attempt] = ending

    def is_released(self, attempt: str) -> bool:
        """Return whether the attempt is barred and waits here to be released."""
        with self._lock:
            ending = self._ending_by_attempt.get(attempt)
        return ending is not None and ending.record.state is claimrecords.ClaimState.RELEASED

    def write_pending(self, limit: int = groupcommit.DEFAULT_MAX_UNITS) -> int:
        """Bring in some endings, oldest first.

        :param limit: the most endings tried.
        :return: how many are settled.
        """
        with self._lock:
            endings = list(self._ending_by_attempt.values())[:limit]
        ending_by_key: dict[str, TerminalWrite] = {}
        units = []
        settled = []
        for ending in endings:
            plan = self._plan(ending)
            if plan is None:
                break  # the platform is down; the others would only time out too
            if plan is _Over.OVER:
                settled.append(ending)
            elif ending.claim.row_key not in ending_by_key:
                ending_by_key[ending.claim.row_key] = ending
                units.append(plan)
        outcomes = groupcommit.commit_units(self._table, tuple(units))
        for ending, outcome in zip(ending_by_key.values(), outcomes, strict=True):
            if isinstance(outcome, contract.Committed):
                settled.append(ending)
        self._forget(settled)
        return len(settled)

    def _plan(self, ending: TerminalWrite) -> groupcommit.Unit | _Over | None:
        if not ending.store_object(self._objects):
            return None
        claim = ending.claim
        match self._table.read(claim.row_key):
            case contract.Found(row):
                record = claimrecords.ClaimRecord.parse(row.value)
                mine = record is not None and record.attempt == claim.attempt
                if mine and record.state is claimrecords.ClaimState.CLAIMED:
                    return ending.unit(row.version)
                version = row.version
            case contract.Missing():
                mine = False
                version = 0
            case _:
                return None
        # The claim's write has not taken effect but still can, as long as the
        # row stands at the version it was conditioned on. It would show as a
        # claim that nobody ever dispatches or ends. Writing the row bars it.
        if not mine and not ending.claimed and version == claim.version:
            return ending.unit(version)
        return _Over.OVER

    def _forget(self, endings: list[TerminalWrite]) -> None:
        with self._lock:
            for ending in endings:
                self._ending_by_attempt.pop(ending.claim.attempt, None)
