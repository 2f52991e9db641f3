"""Recent changes of the replica list, for instances whose copy is slightly behind.

Explanation
===========

At a large site most instances receive the replica list from a follower of the store at each
change. The whole list has hundreds of kilobytes while a change has one row, so an instance
states the position that it holds and receives only the changes since, if they are still known.
"""

import collections
import collections.abc
import dataclasses
import json

from hornbeamglade.store import contract

MAX_CHANGES = 500


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    position: int
    key: str
    row: contract.Row | None


class ListHistory:
    """Row changes by position; not thread-safe.

    Examples
    ========

    >>> history = ListHistory()
    >>> history.reset(4)
    >>> history.add(contract.Changes((contract.Row("a", "1", 6),), ("b",), 7, 7))
    >>> history.changes_since(3) is None
    True
    >>> after_4, after_7 = history.changes_since(4), history.changes_since(7)
    >>> decode(after_4).deleted_keys, decode(after_7).deleted_keys
    (('b',), ())
    """

    def __init__(self) -> None:
        self._complete_from: int | None = None
        self._changes: collections.deque[_Change] = collections.deque()
        self._newest = 0

    def reset(self, position: int) -> None:
        """Restart from a position at which the whole list was read."""
        self._changes.clear()
        self._complete_from = self._newest = position

    def add(self, changes: contract.Changes) -> None:
        """Append changes that follow the previous ones."""
        position = changes.newest
        self._changes += [_Change(position, row.key, row) for row in changes.written_rows]
        self._changes += [_Change(position, key, None) for key in changes.deleted_keys]
        self._newest = position
        while len(self._changes) > MAX_CHANGES:
            self._complete_from = self._changes.popleft().position

    def changes_since(self, position: int) -> bytes | None:
        """Return a document with the changes after a position, or None if they are unknown."""
        if self._complete_from is None or not self._complete_from <= position <= self._newest:
            return None
        newest_by_key = {
            change.key: change for change in self._changes if change.position > position
        }
        changed = newest_by_key.values()
        document = {
            "since": position,
            "rows": [_row_fields(each.row) for each in changed if each.row is not None],
            "gone": [each.key for each in changed if each.row is None],
            "newest": self._newest,
        }
        return json.dumps(document).encode()


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """The changes of the list after a position.

    :param since: the position.
    :param changes: the changes.
    """

    since: int
    changes: contract.Changes

    @property
    def deleted_keys(self) -> tuple[str, ...]:
        """Keys of the rows that were deleted."""
        return self.changes.deleted_keys


def encode_list(rows: collections.abc.Iterable[contract.Row]) -> bytes:
    """Return a document with a whole list, its rows sorted by key.

    Instances that hold the same list produce the same bytes.
    """
    return json.dumps([_row_fields(row) for row in sorted(rows, key=lambda row: row.key)]).encode()


def decode(document: bytes) -> Delta | tuple[contract.Row, ...]:
    """Decode a document: either changes, or the rows of a whole list."""
    parsed = json.loads(document)
    if isinstance(parsed, list):
        return tuple(contract.Row(*row) for row in parsed)
    rows = tuple(contract.Row(*row) for row in parsed["rows"])
    newest = parsed["newest"]
    return Delta(parsed["since"], contract.Changes(rows, tuple(parsed["gone"]), newest, newest))


def _row_fields(row: contract.Row) -> list[object]:
    return [row.key, row.value, row.version, row.problem]
