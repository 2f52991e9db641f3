"""An in-memory platform with configurable faults.

Explanation
===========

Tests run the decision logic against this class, and the stand-in platform serves it over
HTTP. It provides the weakest guarantees that the contract allows: a row that was deleted and
written again restarts its versions at 1, and a write whose response is lost may also take
effect later than the next read. It can be restored from a backup of itself: then its versions
go back, are reused, and belong to the next era.
"""

import dataclasses
import threading

from hornbeamglade.core import clocks
from hornbeamglade.store import contract, positions

Write = contract.Put | contract.Delete

MAX_HISTORY = 10_000
"""Number of changes kept for feeds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """The current faults of the platform.

    :param down: every call is refused and takes no effect.
    :param store_down: the same; separate for tests that count outages of the store.
    :param lose_answers: writes take effect and return ``Unknown``.
    :param lose_writes: writes take no effect and return ``Unknown``.
    :param stall_writes: writes return ``Unknown`` and take effect (if their
        conditions still hold) only at :meth:`MemoryPlatform.deliver_stalled`.
    :param delay_s: duration of each call, seconds.
    :param lag_s: seconds after which a feed shows a change.
    """

    down: bool = False
    store_down: bool = False
    lose_answers: bool = False
    lose_writes: bool = False
    stall_writes: bool = False
    delay_s: float = 0.0
    lag_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    """A row that was written, or deleted if ``row`` is None."""

    revision: int
    key: str
    row: contract.Row | None
    made_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _StalledTransaction:
    conditions: tuple[contract.Condition, ...]
    writes: tuple[Write, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Backup:
    """The rows of a platform at one moment.

    :param revision: the number of the newest transaction at that moment.
    :param row_by_key: the rows; their versions do not include an era.
    """

    revision: int
    row_by_key: dict[str, contract.Row]


class MemoryPlatform(contract.Table, contract.ObjectStore, contract.Feed):
    """Table, feeds and object store held in memory; thread-safe.

    :param clock: measures the lag of feeds and the delay of calls.
    :param shared_version_counter: whether all rows draw their versions from one counter.

    Examples
    ========

    >>> platform = MemoryPlatform(clocks.ManualClock())
    >>> new = (contract.Condition("heads/a", 0),)
    >>> platform.transact(new, (contract.Put("heads/a", "1"),))
    Committed(version_by_key={'heads/a': 1})
    >>> platform.transact(new, (contract.Put("heads/a", "2"),))
    Conflict(key='heads/a')
    """

    def __init__(
        self, clock: clocks.Clock | None = None, *, shared_version_counter: bool = False
    ) -> None:
        self._clock = clock or clocks.SystemClock()
        self._shared_version_counter = shared_version_counter
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._revision = 0
        self._era = 0
        self._history_start = 0
        self._history: list[_Change] = []
        self._row_by_key: dict[str, contract.Row] = {}
        self._object_by_key: dict[str, str] = {}
        self._stalled: list[_StalledTransaction] = []
        self._faults = Faults()
        self._transaction_count = 0

    @property
    def faults(self) -> Faults:
        """The current faults."""
        return self._faults

    @property
    def transaction_count(self) -> int:
        """Number of transactions that reached the platform, whatever their outcome."""
        return self._transaction_count

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults; this affects calls that begin later."""
        self._faults = faults

    def read(self, key: str) -> contract.ReadOutcome:
        """Read the newest version of one row."""
        if refusal := self._refusal():
            return refusal
        with self._lock:
            row = self._row_by_key.get(key)
            return (
                contract.Missing(key) if row is None else contract.Found(self._with_position(row))
            )

    def scan(
        self, prefix: str, limit: int | None = None
    ) -> tuple[contract.Row, ...] | contract.Unavailable:
        """Read rows whose key begins with ``prefix``, sorted by key."""
        if refusal := self._refusal():
            return refusal
        with self._lock:
            keys = sorted(key for key in self._row_by_key if key.startswith(prefix))
            return tuple(self._with_position(self._row_by_key[key]) for key in keys[:limit])

    def transact(
        self,
        conditions: tuple[contract.Condition, ...],
        writes: tuple[Write, ...],
    ) -> contract.WriteOutcome:
        """Apply all writes if every condition holds, otherwise none."""
        if refusal := self._refusal():
            return refusal
        faults = self._faults
        with self._lock:
            self._transaction_count += 1
            if faults.stall_writes:
                self._stalled.append(_StalledTransaction(conditions, writes))
                return contract.Unknown("stalled")
            if faults.lose_writes:
                return contract.Unknown("lost before its effect")
            outcome = self._apply(conditions, writes)
            self._changed.notify_all()
        if faults.lose_answers:
            return contract.Unknown("answer lost")
        return outcome

    @property
    def revision(self) -> int:
        """The number of the newest transaction that took effect."""
        return self._revision

    def snapshot(self, table: str) -> contract.Snapshot | contract.Unavailable:
        """Read the content of a table at one moment."""
        if refusal := self._refusal():
            return refusal
        with self._lock:
            keys = sorted(key for key in self._row_by_key if _is_in(key, table))
            rows = tuple(self._with_position(self._row_by_key[key]) for key in keys)
            return contract.Snapshot(rows, self._position(self._revision))

    def changes(
        self, table: str, after: int, wait_s: float
    ) -> contract.Changes | contract.HistoryLost | contract.Unavailable:
        """Wait up to ``wait_s`` seconds for changes of a table."""
        if refusal := self._refusal():
            return refusal
        with self._changed:
            version, era = positions.version(after), self._era
            if not self._has_history(after):
                return contract.HistoryLost()
            self._changed.wait_for(
                lambda: self._era != era or self._changes_after(table, version), wait_s
            )
            if not self._has_history(after):
                return contract.HistoryLost()
            recent = self._changes_after(table, version)
            change_by_key = {change.key: change for change in recent}
            written_rows = tuple(
                self._with_position(each.row)
                for each in change_by_key.values()
                if each.row is not None
            )
            deleted_keys = tuple(each.key for each in change_by_key.values() if each.row is None)
            # Changes that a lagging feed does not show yet must be requested again.
            shown = self._revision if not self._faults.lag_s else version
            newest = max((change.revision for change in recent), default=0)
            return contract.Changes(
                written_rows,
                deleted_keys,
                self._position(max(shown, newest)),
                self._position(newest) if newest else 0,
            )

    @property
    def era(self) -> int:
        """How often the platform was restored from a backup."""
        return self._era

    def backup(self) -> Backup:
        """Return a copy of all rows for a later :meth:`restore`."""
        with self._lock:
            return Backup(self._revision, dict(self._row_by_key))

    def restore(self, backup: Backup) -> None:
        """Restore a backup: everything written since is lost."""
        with self._lock:
            self._era += 1
            self._revision = backup.revision
            self._row_by_key = dict(backup.row_by_key)
            self._history.clear()
            self._history_start = backup.revision
            self._stalled.clear()
            self._changed.notify_all()

    def forget_history(self) -> None:
        """Discard the history of all changes so far."""
        with self._lock:
            self._history_start = self._revision + 1
            self._history.clear()

    def deliver_stalled(self) -> None:
        """Apply the stalled transactions, in order, if their conditions still hold."""
        with self._lock:
            stalled, self._stalled = self._stalled, []
            for transaction in stalled:
                self._apply(transaction.conditions, transaction.writes)
            self._changed.notify_all()

    def get(self, key: str) -> contract.ReadOutcome:
        """Read one object."""
        if refusal := self._refusal():
            return refusal
        with self._lock:
            value = self._object_by_key.get(key)
        if value is None:
            return contract.Missing(key)
        return contract.Found(contract.Row(key, value, 0))

    def put(
        self, key: str, value: str
    ) -> contract.Committed | contract.Unavailable | contract.Unknown:
        """Write one object."""
        if refusal := self._refusal():
            return refusal
        faults = self._faults
        if faults.lose_writes or faults.stall_writes:
            return contract.Unknown("lost before its effect")
        with self._lock:
            self._object_by_key[key] = value
        if faults.lose_answers:
            return contract.Unknown("answer lost")
        return contract.Committed({})

    def _refusal(self) -> contract.Unavailable | None:
        faults = self._faults
        if faults.delay_s:
            self._clock.sleep(faults.delay_s)
        return contract.Unavailable("down") if faults.down or faults.store_down else None

    def _apply(
        self,
        conditions: tuple[contract.Condition, ...],
        writes: tuple[Write, ...],
    ) -> contract.Committed | contract.Conflict:
        for condition in conditions:
            row = self._row_by_key.get(condition.key)
            if condition.version != (0 if row is None else self._position(row.version)):
                return contract.Conflict(condition.key)
        version_by_key = {}
        self._revision += 1
        for write in writes:
            if isinstance(write, contract.Delete):
                self._row_by_key.pop(write.key, None)
                self._history.append(_Change(self._revision, write.key, None, self._clock.now()))
                continue
            next_version = self._version(write.key) + 1
            version = self._revision if self._shared_version_counter else next_version
            row = contract.Row(write.key, write.value, version)
            self._row_by_key[write.key] = row
            self._history.append(_Change(self._revision, write.key, row, self._clock.now()))
            version_by_key[write.key] = self._position(version)
        del self._history[:-MAX_HISTORY]
        if self._history and len(self._history) == MAX_HISTORY:
            self._history_start = max(self._history_start, self._history[0].revision - 1)
        return contract.Committed(version_by_key)

    def _changes_after(self, table: str, after: int) -> list[_Change]:
        seen_at = self._clock.now() - self._faults.lag_s
        return [
            change
            for change in self._history
            if change.revision > after and _is_in(change.key, table) and change.made_at <= seen_at
        ]

    def _has_history(self, after: int) -> bool:
        version = positions.version(after)
        is_of_era = positions.era(after) == self._era and version <= self._revision
        return is_of_era and version >= self._history_start

    def _position(self, version: int) -> int:
        return positions.position(self._era, version)

    def _with_position(self, row: contract.Row) -> contract.Row:
        return dataclasses.replace(row, version=self._position(row.version))

    def _version(self, key: str) -> int:
        row = self._row_by_key.get(key)
        return 0 if row is None else row.version


def _is_in(key: str, table: str) -> bool:
    return key == table or key.startswith(f"{table}/")
