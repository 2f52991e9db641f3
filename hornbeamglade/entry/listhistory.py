"""The latest changes of the list of replicas, for instances that are a little behind.

Explanation
===========

At a large site most instances have the list from one that follows the store, at each change. The
whole list is hundreds of kilobytes, of which a change is one row: so an instance says which
position it has, and gets what has changed since, where that is still known.
"""

import collections
import collections.abc
import dataclasses
import json

from hornbeamglade.store import contract

MOST_CHANGES = 500


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    at: int
    key: str
    row: contract.Row | None


class ListHistory:
    """Changes of rows by position; not thread-safe.

    Examples
    ========

    >>> history = ListHistory()
    >>> history.begin(4)
    >>> history.add(contract.Changes((contract.Row("a", "1", 6),), ("b",), 7, 7))
    >>> history.since(3) is None
    True
    >>> decode(history.since(4)).deleted_keys, decode(history.since(7)).deleted_keys
    (('b',), ())
    """

    def __init__(self) -> None:
        self._complete_from: int | None = None
        self._changes: collections.deque[_Change] = collections.deque()
        self._newest = 0

    def begin(self, at: int) -> None:
        """Begin anew at a position as of which the whole list was read."""
        self._changes.clear()
        self._complete_from = self._newest = at

    def add(self, changes: contract.Changes) -> None:
        """Take changes that follow on those before."""
        at = changes.newest
        self._changes += [_Change(at, row.key, row) for row in changes.written_rows]
        self._changes += [_Change(at, key, None) for key in changes.deleted_keys]
        self._newest = at
        while len(self._changes) > MOST_CHANGES:
            self._complete_from = self._changes.popleft().at

    def since(self, at: int) -> bytes | None:
        """Return a document of what has changed after a position, or None if not known."""
        if self._complete_from is None or not self._complete_from <= at <= self._newest:
            return None
        newest_by_key = {change.key: change for change in self._changes if change.at > at}
        changed = newest_by_key.values()
        document = {
            "since": at,
            "rows": [_fields(each.row) for each in changed if each.row is not None],
            "gone": [each.key for each in changed if each.row is None],
            "newest": self._newest,
        }
        return json.dumps(document).encode()


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """What has changed in the list after a position.

    :param since: the position.
    :param changes: the changes.
    """

    since: int
    changes: contract.Changes

    @property
    def deleted_keys(self) -> tuple[str, ...]:
        """Keys of rows that were deleted."""
        return self.changes.deleted_keys


def whole(rows: collections.abc.Iterable[contract.Row]) -> bytes:
    """Return a document of a whole list, its rows in order of key.

    Instances with the same list have the same bytes of it.
    """
    return json.dumps([_fields(row) for row in sorted(rows, key=lambda row: row.key)]).encode()


def decode(document: bytes) -> Delta | tuple[contract.Row, ...]:
    """Read a document: what has changed, or the rows of a whole list."""
    told = json.loads(document)
    if isinstance(told, list):
        return tuple(contract.Row(*row) for row in told)
    rows = tuple(contract.Row(*row) for row in told["rows"])
    newest = told["newest"]
    return Delta(told["since"], contract.Changes(rows, tuple(told["gone"]), newest, newest))


def _fields(row: contract.Row) -> list[object]:
    return [row.key, row.value, row.version, row.problem]
