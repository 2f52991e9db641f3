"""The storage interface that hornbeamglade requires of an operator's platform.

Explanation
===========

Platforms differ between operators, so the decision logic sees only these abstract base
classes. Every call is bounded in time by the adapter and returns a value: an outage is an
outcome, not an exception. ``Unknown`` is a separate outcome: the write may have taken effect,
but its response was lost.

Versions here are positions (:mod:`hornbeamglade.store.positions`). They keep growing even if
the platform's store is restored from an older copy and reuses its own version numbers.
"""

import abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row of the table.

    :param key: the row's full key, segments separated by ``/``.
    :param value: a JSON document as text.
    :param version: a number that grows with every write of the row; from 1.
    :param problem: why the value cannot be decoded as text, in which case it is empty; else
        None.
    """

    key: str
    value: str
    version: int
    problem: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """A read found the row or object.

    :param row: the row; an object is represented as a row with version 0.
    """

    row: Row


@dataclasses.dataclass(frozen=True, slots=True)
class Missing:
    """A read reached the platform, but there is no such row or object."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform was unreachable or refused the call; a write took no effect."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """A write was sent but its response was lost: it may have taken effect."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """A row must have this version when a transaction commits.

    :param key: the row's key.
    :param version: the expected version; 0 means that the row must not exist.
    """

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Write a row."""

    key: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """Delete a row."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """A transaction took effect completely.

    :param version_by_key: the new version of each row that was put.
    """

    version_by_key: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A condition did not hold; nothing was written.

    :param key: the first row whose version differed.
    """

    key: str


ReadOutcome = Found | Missing | Unavailable
WriteOutcome = Committed | Conflict | Unavailable | Unknown


class Table(abc.ABC):
    """A transactional table of versioned rows."""

    @abc.abstractmethod
    def read(self, key: str) -> ReadOutcome:
        """Read the newest version of one row (linearizable)."""

    @abc.abstractmethod
    def scan(self, prefix: str, limit: int | None = None) -> tuple[Row, ...] | Unavailable:
        """Read rows whose key begins with ``prefix``, sorted by key.

        :param limit: the first rows that are read, or None for all.
        """

    @abc.abstractmethod
    def transact(
        self, conditions: tuple[Condition, ...], writes: tuple[Put | Delete, ...]
    ) -> WriteOutcome:
        """Apply all writes if every condition holds, otherwise none."""


class ObjectStore(abc.ABC):
    """An object store, whose objects are written once under a digest, or replaced."""

    @abc.abstractmethod
    def get(self, key: str) -> ReadOutcome:
        """Read one object."""

    @abc.abstractmethod
    def put(self, key: str, value: str) -> Committed | Unavailable | Unknown:
        """Write one object; idempotent for content named by its digest."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The content of a table at one moment.

    :param rows: all its rows.
    :param version: the store's newest version at that moment, from which to follow changes.
    """

    rows: tuple[Row, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """The changes of a table since a version.

    :param written_rows: rows that were written, in order.
    :param deleted_keys: keys of rows that were deleted.
    :param version: the version up to which the changes are complete.
    :param newest: the version of the newest of these changes, or 0 if there are none.
    """

    written_rows: tuple[Row, ...]
    deleted_keys: tuple[str, ...]
    version: int
    newest: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer keeps the changes since the version: read a snapshot instead."""


class Feed(abc.ABC):
    """Provides the changes of a table."""

    @abc.abstractmethod
    def snapshot(self, table: str) -> Snapshot | Unavailable:
        """Read the content of a table at one moment (linearizable)."""

    @abc.abstractmethod
    def changes(
        self, table: str, after: int, wait_s: float
    ) -> Changes | HistoryLost | Unavailable:
        """Wait up to ``wait_s`` seconds for changes after a version."""


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One entry of the platform's list of instances, which lags.

    :param name: the instance's name, unique within the operator.
    :param failure_domain: the instance's failure domain.
    :param address: ``ip:port`` for callers.
    :param exchange: ``ip:port`` (UDP) for other nodes.
    :param leaving: whether the platform has announced that the instance will stop.
    """

    name: str
    failure_domain: str
    address: str
    exchange: str
    leaving: bool


class InstanceList(abc.ABC):
    """The platform's list of live and leaving instances, which lags."""

    @abc.abstractmethod
    def list(self) -> tuple[Instance, ...] | Unavailable:
        """Read the list as the platform currently sees it."""
