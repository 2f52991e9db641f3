"""A store wrapper that counts calls by operation and outcome."""

import collections.abc
import typing

from hornbeamglade.store import contract

_Outcome = typing.TypeVar("_Outcome")
LISTED = "Listed"


class OutcomeCounter(typing.Protocol):
    """Counts calls; :class:`hornbeamglade.observability.metricsinstruments.Counter` is one."""

    def add(self, amount: float = 1, labels: tuple[str, ...] = ()) -> None:
        """Count one call under ``(operation, outcome)``."""


class CountedStore(contract.Table, contract.ObjectStore, contract.Feed):
    """Forwards every call and counts its outcome.

    :param platform: implements table, object store and feed.
    :param counter: counts by operation and outcome, the outcome by the name of its type.
    """

    def __init__(self, platform: typing.Any, counter: OutcomeCounter) -> None:
        self._platform = platform
        self._counter = counter

    def read(self, key: str) -> contract.ReadOutcome:
        """Read one row."""
        return self._counted("read", self._platform.read(key))

    def scan(
        self, prefix: str, limit: int | None = None
    ) -> tuple[contract.Row, ...] | contract.Unavailable:
        """Read rows by prefix."""
        return self._counted("scan", self._platform.scan(prefix, limit))

    def transact(
        self,
        conditions: tuple[contract.Condition, ...],
        writes: tuple[contract.Put | contract.Delete, ...],
    ) -> contract.WriteOutcome:
        """Apply a transaction."""
        return self._counted("transact", self._platform.transact(conditions, writes))

    def get(self, key: str) -> contract.ReadOutcome:
        """Read one object."""
        return self._counted("get", self._platform.get(key))

    def put(
        self, key: str, value: str
    ) -> contract.Committed | contract.Unavailable | contract.Unknown:
        """Write one object."""
        return self._counted("put", self._platform.put(key, value))

    def snapshot(self, table: str) -> contract.Snapshot | contract.Unavailable:
        """Read the content of a table at one moment."""
        return self._counted("snapshot", self._platform.snapshot(table))

    def changes(
        self, table: str, after: int, wait_s: float
    ) -> contract.Changes | contract.HistoryLost | contract.Unavailable:
        """Wait for changes after a version."""
        return self._counted("changes", self._platform.changes(table, after, wait_s))

    def _counted(self, operation: str, outcome: _Outcome) -> _Outcome:
        is_sequence = isinstance(outcome, collections.abc.Sequence)
        name = LISTED if is_sequence else type(outcome).__name__
        self._counter.add(labels=(operation, name.lower()))
        return outcome
