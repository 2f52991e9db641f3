"""Changes of the platform's list of replicas."""

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from hornbeamglade.replicas import models, replicalist


def replica(name, *, leaving=False, service="llm", started_ms=0):
    return models.Replica(
        models.replica_id(name, started_ms),
        service,
        f"10.0.0.1:{len(name)}",
        "a",
        8,
        leaving,
        started_ms=started_ms,
        name=name,
    )


def changed(changes):
    return [(change.replica.id, change.kind) for change in changes]


@pytest.fixture
def known():
    return replicalist.ReplicaList()


def test_changes_are_reported_once(known):
    first = known.replace([replica("a"), replica("b")], 5)
    second = known.update([replica("a", leaving=True)], ["b"], 6)
    third = known.update([replica("a", leaving=True)], ["b"], 7)
    assert changed(first) == [("a", "added"), ("b", "added")]
    assert changed(second) == [("a", "leaving"), ("b", "gone")]
    assert third == ()
    assert [known.is_usable(name) for name in ("a", "b")] == [False, False]


def test_older_lists_and_changes_are_ignored(known):
    """Guards against a list that arrives late from another instance.

    It would restore a removed replica, whose address may be in use by another service.
    """
    known.replace([replica("a")], 5)
    known.update([], ["a"], 8)
    assert known.replace([replica("a")], 7) == ()
    assert known.update([replica("a")], [], 8) == ()
    assert known.by_id == {}


def test_removed_replica_remains_known_as_departed(known):
    known.replace([replica("a")], 1)
    known.update([], ["a"], 2)
    assert list(known.departed_by_id) == ["a"]
    known.update([replica("a")], [], 3)
    assert known.departed_by_id == {}


def test_other_changes_of_an_entry_are_reported_as_changed(known):
    known.replace([replica("a")], 1)
    warmer = dataclasses.replace(replica("a"), warm_in_s=0.5)
    assert changed(known.update([warmer], [], 2)) == [("a", "changed")]


def test_replicas_are_found_by_service(known):
    known.replace([replica("b"), replica("a"), replica("c", service="web")], 1)
    assert [each.id for each in known.of_service("llm")] == ["a", "b"]
    assert known.of_service("none") == ()


def test_restarted_server_is_another_replica(known):
    """Guards against an engine that is never used again after a restart with the same name.

    Instances that knew of its stop took the restarted engine for the leaving one.
    """
    known.update([replica("a", started_ms=5, leaving=True)], [], 1)
    changes = known.update([replica("a", started_ms=6)], [], 2)
    assert changed(changes) == [("a@5", "restarted"), ("a@6", "added")]
    assert (known.is_usable("a@5"), known.is_usable("a@6")) == (False, True)
    assert known.departed_by_id == {}


def test_late_entry_of_a_previous_incarnation_is_ignored(known):
    known.update([replica("a", started_ms=6)], [], 1)
    assert known.update([replica("a", started_ms=5)], [], 2) == ()
    assert known.replace([replica("a", started_ms=5)], 3) == ()
    assert list(known.by_id) == ["a@6"]


def test_entry_without_start_time_is_unread_after_an_entry_with_one(known):
    known.update([replica("a", started_ms=6)], [], 1)
    assert changed(known.update([replica("a")], [], 2)) == [("a@6", "unread")]
    assert changed(known.update([replica("a", started_ms=6)], [], 3)) == [("a@6", "added")]


def test_replica_with_a_malformed_entry_is_unusable_until_the_entry_is_valid(known):
    known.replace([replica("a"), replica("b")], 1)
    assert changed(known.update([], [], 2, ["a"])) == [("a", "unread")]
    assert (known.is_usable("a"), known.is_usable("b")) == (False, True)
    assert known.departed_by_id == {}
    assert changed(known.replace([replica("a"), replica("b")], 3)) == [("a", "added")]


def test_no_entry_takes_back_that_a_replica_has_stated_that_it_is_leaving(known):
    known.replace([replica("a"), replica("b")], 1)
    assert changed(known.record_leaving("a")) == [("a", "leaving")]
    assert known.record_leaving("a") == ()
    known.update([dataclasses.replace(replica("a"), slots=9)], [], 2)
    known.update([], ["a"], 3)
    known.update([replica("a")], [], 4)
    known.replace([replica("a"), replica("b")], 5)
    assert [known.is_usable(name) for name in ("a", "b")] == [False, True]


def test_leaving_stated_by_a_previous_incarnation_does_not_concern_the_next_one(known):
    known.update([replica("a", started_ms=5)], [], 1)
    known.update([replica("a", started_ms=6)], [], 2)
    assert known.record_leaving("a@5") == ()
    assert known.is_usable("a@6")


def test_number_of_unlisted_replicas_known_as_leaving_is_bounded(known):
    known.replace([replica("a")], 1)
    known.record_leaving("a")
    for number in range(replicalist.MAX_LEAVING_UNLISTED + 1):
        known.record_leaving(f"gone-{number}")
    known.update([replica("a"), replica("gone-0"), replica("gone-1")], [], 2)
    usable = [known.is_usable(name) for name in ("a", "gone-0", "gone-1")]
    assert usable == [False, True, False]


_ENTRIES = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("good"), strategies.sampled_from("ab"), strategies.integers(0, 3)
        ),
        strategies.tuples(
            strategies.sampled_from(["bad", "gone"]),
            strategies.sampled_from("ab"),
            strategies.just(0),
        ),
    ),
    max_size=30,
)


@hypothesis.given(_ENTRIES)
def test_no_state_of_a_previous_incarnation_outlives_a_newer_one(entries):
    """Entries of several incarnations and of other writers arrive in any order."""
    known = replicalist.ReplicaList()
    newest = {"a": 0, "b": 0}
    for version, (kind, name, started) in enumerate(entries, 1):
        present = [replica(name, started_ms=started)] if kind == "good" else []
        gone = [name] if kind == "gone" else []
        known.update(present, gone, version, [name] if kind == "bad" else [])
        newest[name] = 0 if kind == "gone" else max(newest[name], started)
        of_name = [each for each in known.by_id.values() if each.name == name]
        assert len(of_name) <= 1
        if kind != "good" or (newest[name] and not started):
            assert not of_name
        for each in known.by_id.values():
            assert each.started_ms == newest[each.name]
        listed = sorted(each.id for each in known.of_service("llm"))
        assert listed == sorted(known.by_id)
