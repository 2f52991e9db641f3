"""Lists that are passed on by what has changed in them."""

import json

from hypothesis import given, strategies

from hornbeamglade.entry import listhistory
from hornbeamglade.store import contract

KEYS = strategies.sampled_from("abcd")
CHANGES = strategies.lists(
    strategies.tuples(strategies.lists(KEYS, max_size=3), strategies.lists(KEYS, max_size=2)),
    max_size=12,
)


def changes(written, deleted, at):
    rows = {key: contract.Row(key, f"{key}{at}", at) for key in written}
    return contract.Changes(tuple(rows.values()), tuple(set(deleted) - set(written)), at, at)


def applied(rows, step):
    kept = {key: row for key, row in rows.items() if key not in step.deleted_keys}
    return kept | {row.key: row for row in step.written_rows}


@given(CHANGES, strategies.integers(0, 12))
def test_what_has_changed_since_any_position_gives_the_same_list(steps, since):
    history = listhistory.ListHistory()
    history.reset(10)
    lists = [{}]
    for number, (written, deleted) in enumerate(steps, 11):
        step = changes(written, deleted, number)
        history.add(step)
        lists.append(applied(lists[-1], step))
    since = min(since, len(steps))
    delta = listhistory.decode(history.changes_since(10 + since))
    assert delta.since == 10 + since
    assert applied(lists[since], delta.changes) == lists[-1]


def test_a_position_that_is_not_known_any_more_gets_the_whole_list():
    """Guards an instance that is far behind against a list with holes."""
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


def test_a_whole_list_is_read_back_with_what_is_wrong_in_it():
    rows = (contract.Row("b", "2", 2), contract.Row("a", "", 1, "no text"))
    assert listhistory.decode(listhistory.encode_list(rows)) == (rows[1], rows[0])
