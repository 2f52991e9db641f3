"""What follows from the listed versions of a service."""

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.origins import versionhistory, versionrows
from hornbeamglade.store import contract

V1, V2 = 11, 12
WINDOW_S = 60.0


def make_history(*steps):
    """Observe sets of versions, with seconds after each; return the history and its clock."""
    clock = clocks.ManualClock(1000.0)
    history = versionhistory.VersionHistory(clock)
    for observed, seconds in steps:
        history.observe("llm", frozenset(observed))
        clock.advance(seconds)
    return history, clock


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        ([({V1}, 61.0)], V1),
        ([({V1}, 59.0)], None),
        ([({V1}, 500.0), ({V1, V2}, 0.0)], None),
        ([({V1}, 500.0), ({V1, V2}, 5.0), ({V2}, 59.0)], None),
        ([({V1}, 500.0), ({V1, V2}, 5.0), ({V2}, 61.0)], V2),
        ([({V1}, 500.0), ({V2}, 5.0)], None),
        ([({V1}, 500.0), ({V1, V2}, 5.0), ({V1}, 59.0)], None),
        ([], None),
    ],
)
def test_sole_version_is_known_only_if_no_other_was_listed_in_the_window(steps, expected):
    history, _ = make_history(*steps)
    assert history.sole_version("llm", WINDOW_S) == expected


def test_version_that_comes_back_after_all_replicas_were_gone_is_no_change():
    history, _ = make_history(({V1}, 500.0), ((), 5.0), ({V1}, 1.0))
    assert history.sole_version("llm", WINDOW_S) == V1


@pytest.mark.parametrize(
    ("stored", "expected"),
    [
        (versionhistory.StoredHistory(V1, 0.0), V1),
        (versionhistory.StoredHistory(V1, 1000.0 - 130.0), V1),
        (versionhistory.StoredHistory(V1, 1000.0 - 110.0), None),
        (versionhistory.StoredHistory(V1, 1000.0 - 50.0), None),
        (versionhistory.StoredHistory(V2, 0.0), None),
        (versionhistory.StoredHistory(None, 0.0), None),
    ],
)
def test_instance_that_has_just_started_relies_on_the_stored_history(stored, expected):
    """All instances were lost during a release: a stream goes on at the version that is left."""
    history, _ = make_history(({V1}, 0.0))
    history.restore("llm", stored)
    assert history.sole_version("llm", WINDOW_S) == expected


@pytest.mark.parametrize("ahead_s", [-45.0, 45.0])
def test_stored_time_of_a_clock_that_differs_does_not_shorten_the_window(ahead_s):
    """The clock of the instance that stored the history, or of this one, was set wrong."""
    history, clock = make_history(({V1}, 0.0))
    history.restore("llm", versionhistory.StoredHistory(V1, 1000.0 - 20.0 + ahead_s))
    assert history.sole_version("llm", WINDOW_S) is None
    clock.advance(WINDOW_S)
    assert history.sole_version("llm", WINDOW_S) == V1


def test_stored_time_does_not_change_when_it_is_stored_again():
    history, _ = make_history(({V1}, 0.0))
    stored = versionhistory.StoredHistory(V1, 900.0)
    history.restore("llm", stored)
    assert history.current("llm") == stored


def test_stored_history_is_void_once_a_change_was_observed():
    """A release is rolled back: the stored time is from before it."""
    history, clock = make_history(({V1}, 1.0), ({V1, V2}, 1.0), ({V1}, 1.0))
    history.restore("llm", versionhistory.StoredHistory(V1, 0.0))
    assert history.sole_version("llm", WINDOW_S) is None
    clock.advance(WINDOW_S)
    assert history.sole_version("llm", WINDOW_S) == V1


@pytest.mark.parametrize("stored", [(V1, 0.0), (2**64 - 1, 1e9), (None, 0.0)])
def test_row_is_read_as_written(stored):
    history = versionhistory.StoredHistory(*stored)
    put = versionrows.put("llm/é", history)
    assert versionrows.decode((contract.Row(put.key, put.value, 1),)) == {"llm/é": history}


@pytest.mark.parametrize("value", ["", "{}", '{"service":"a","version":"x","since":1}', "[1]"])
def test_malformed_row_is_skipped(value):
    key = versionrows.put("llm", versionhistory.StoredHistory(V1, 0.0)).key
    assert versionrows.decode((contract.Row(key, value, 1),)) == {}
