"""Encoding and decoding of the replica list as changes since a position."""

import json

import hypothesis
from hypothesis import strategies

from hornbeamglade.entry import listhistory
from hornbeamglade.store import contract
from tests import cputime

EXAMPLE_CPU_S = 0.2

KEYS = strategies.sampled_from("abcd")
CHANGES = strategies.lists(
    strategies.tuples(strategies.lists(KEYS, max_size=3), strategies.lists(KEYS, max_size=2)),
    max_size=12,
)


def changes(written, deleted, at):
    rows = {key: contract.Row(key, f"{key}{at}", at) for key in written}
    return contract.Changes(tuple(rows.values()), tuple(set(deleted) - set(written)), at, at)


def apply_changes(rows, change):
    kept = {key: row for key, row in rows.items() if key not in change.deleted_keys}
    return kept | {row.key: row for row in change.written_rows}


@hypothesis.settings(deadline=None)
@hypothesis.given(CHANGES, strategies.integers(0, 12))
def test_changes_since_any_position_yield_the_same_list(written_and_deleted, since):
    with cputime.bounded(EXAMPLE_CPU_S):
        history = listhistory.ListHistory()
        history.reset(10)
        lists = [{}]
        for number, (written, deleted) in enumerate(written_and_deleted, 11):
            change = changes(written, deleted, number)
            history.add(change)
            lists.append(apply_changes(lists[-1], change))
        since = min(since, len(written_and_deleted))
        delta = listhistory.decode(history.changes_since(10 + since))
        assert delta.since == 10 + since
        assert apply_changes(lists[since], delta.changes) == lists[-1]


def test_unknown_position_has_no_changes():
    """An instance that is far behind must not end up with a list that misses changes."""
    history = listhistory.ListHistory()
    assert history.changes_since(0) is None
    history.reset(10)
    for at in range(11, 11 + 2 * listhistory.MAX_CHANGES):
        history.add(changes(["a"], [], at))
    assert history.changes_since(10) is None
    newest = 10 + 2 * listhistory.MAX_CHANGES
    assert history.changes_since(newest + 1) is None
    assert len(json.loads(history.changes_since(newest - 5))["rows"]) == 1
    history.reset(5000)
    assert history.changes_since(newest) is None


def test_whole_list_is_decoded_including_row_problems():
    rows = (contract.Row("b", "2", 2), contract.Row("a", "", 1, "no text"))
    assert listhistory.decode(listhistory.encode_list(rows)) == (rows[1], rows[0])
