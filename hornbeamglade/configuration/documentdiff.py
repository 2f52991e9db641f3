"""Differences between two canonical documents, value by value."""

import dataclasses
import json

from hornbeamglade.configuration import documents, documentyaml

MAX_SHOWN_LENGTH = 60


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One value that differs.

    :param key: the path, such as ``base.teams.notary.weight``.
    :param before: the old value as JSON, or None when the key was added.
    :param after: the new value as JSON, or None when the key was removed.
    """

    key: str
    before: str | None
    after: str | None

    def __str__(self) -> str:
        """Return the line that is shown to operators."""
        return f"{self.key}: {_abbreviated(self.before)} -> {_abbreviated(self.after)}"


def differences(before: str | None, after: str) -> tuple[Difference, ...]:
    """Return the values that differ, sorted by key.

    :param before: a canonical document, or None when there was none.
    :param after: a canonical document.

    Examples
    ========

    >>> old = '{"base":{"node":{"max_streams":9}},"overlays":{}}'
    >>> new = '{"base":{"node":{"max_streams":12}},"overlays":{"krakow":{}}}'
    >>> for difference in differences(old, new):
    ...     print(difference)
    base.node.max_streams: 9 -> 12
    overlays.krakow: absent -> {}
    """
    before_by_path = _leaves(before) if before is not None else {}
    after_by_path = _leaves(after)
    paths = sorted(before_by_path.keys() | after_by_path.keys())
    return tuple(
        Difference(
            documentyaml.dotted_key(path), before_by_path.get(path), after_by_path.get(path)
        )
        for path in paths
        if before_by_path.get(path) != after_by_path.get(path)
    )


def _abbreviated(value: str | None) -> str:
    if value is None:
        return "absent"
    return value if len(value) <= MAX_SHOWN_LENGTH else value[: MAX_SHOWN_LENGTH - 3] + "..."


def _leaves(text: str) -> dict[tuple[str, ...], str]:
    """Return the leaf values by path; lists and empty mappings are leaves."""
    base, overlay_by_site = documents.parts(text)
    leaf_by_path: dict[tuple[str, ...], str] = {}
    pending: list[tuple[tuple[str, ...], object]]
    pending = [(("base",), base)]
    pending += [(("overlays", site), overlay) for site, overlay in overlay_by_site.items()]
    while pending:
        path, value = pending.pop()
        if isinstance(value, dict) and value:
            pending += [((*path, key), inner) for key, inner in value.items()]
        else:
            leaf_by_path[path] = json.dumps(value, sort_keys=True)
    return leaf_by_path
