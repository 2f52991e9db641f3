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


def applied(rows, told):
    kept = {key: row for key, row in rows.items() if key not in told.deleted_keys}
    return kept | {row.key: row for row in told.written_rows}


@given(CHANGES, strategies.integers(0, 12))
def test_what_has_changed_since_any_position_gives_the_same_list(made, since):
    history = listhistory.ListHistory()
    history.begin(10)
    lists = [{}]
    for number, (written, deleted) in enumerate(made, 11):
        told = changes(written, deleted, number)
        history.add(told)
        lists.append(applied(lists[-1], told))
    since = min(since, len(made))
    delta = listhistory.decode(history.since(10 + since))
    assert delta.since == 10 + since
    assert applied(lists[since], delta.changes) == lists[-1]


def test_a_position_that_is_not_known_any_more_gets_the_whole_list():
    """Guards an instance that is far behind against a list with holes."""
    history = listhistory.ListHistory()
    assert history.since(0) is None
    history.begin(10)
    for at in range(11, 11 + 2 * listhistory.MOST_CHANGES):
        history.add(changes(["a"], [], at))
    assert history.since(10) is None
    newest = 10 + 2 * listhistory.MOST_CHANGES
    assert history.since(newest + 1) is None
    assert len(json.loads(history.since(newest - 5))["rows"]) == 1
    history.begin(5000)
    assert history.since(newest) is None


def test_a_whole_list_is_read_back_with_what_is_wrong_in_it():
    rows = (contract.Row("b", "2", 2), contract.Row("a", "", 1, "no text"))
    assert listhistory.decode(listhistory.whole(rows)) == (rows[1], rows[0])
