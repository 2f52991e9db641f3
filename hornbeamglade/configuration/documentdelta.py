"""Deltas between canonical documents, which save nodes from reading whole documents.

Explanation
===========

A change affects few values of a document of up to a megabyte. A node that has the
previous document applies the delta and checks the digest of the result. When the
delta is missing, damaged or of another document, it reads the whole document.
"""

import json
import typing

import pydantic

from hornbeamglade.configuration import documents


class _ValueChange(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    path: tuple[str, ...]
    value: typing.Any = None
    removed: bool = False


class _Delta(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    before: str
    settings: tuple[_ValueChange, ...]


def make(before: str, after: str) -> str:
    """Return the delta between two canonical documents, as JSON.

    :param before: the document that the delta applies to.
    :param after: the document that results.

    Examples
    ========

    >>> before = documents.canonical({"base": {"node": {"max_streams": 9}}, "overlays": {}})
    >>> after = documents.canonical({"base": {"node": {"max_streams": 12}}, "overlays": {}})
    >>> apply(before, make(before, after)) == after
    True
    """
    settings = tuple(_changes(json.loads(before), json.loads(after), ()))
    return _Delta(before=documents.digest(before), settings=settings).model_dump_json()


def apply(before: str, delta: str) -> str | None:
    """Return the document that results from a delta.

    :param before: the document that the delta applies to.
    :param delta: the delta, as JSON.
    :returns: None when the delta is damaged or is not of ``before``.
    """
    try:
        parsed = _Delta.model_validate_json(delta)
        if parsed.before != documents.digest(before):
            return None
        value = json.loads(before)
        for change in parsed.settings:
            _apply_change(value, change)
        return documents.canonical(value)
    except (ValueError, KeyError, TypeError, IndexError, RecursionError):
        # The caller reads the whole document instead of using a damaged delta.
        return None


def _changes(
    before: dict[str, object], after: dict[str, object], path: tuple[str, ...]
) -> typing.Iterator[_ValueChange]:
    for key in before.keys() - after.keys():
        yield _ValueChange(path=(*path, key), removed=True)
    for key, value in after.items():
        present = before.get(key)
        if isinstance(present, dict) and isinstance(value, dict):
            yield from _changes(present, value, (*path, key))
        elif key not in before or documents.canonical(present) != documents.canonical(value):
            yield _ValueChange(path=(*path, key), value=value)


def _apply_change(value: dict[str, typing.Any], change: _ValueChange) -> None:
    *outer, last = change.path
    for key in outer:
        value = value[key]
    if change.removed:
        del value[last]
    else:
        value[last] = change.value
