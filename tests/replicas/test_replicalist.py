"""The platform's list of replicas, as it changes."""

import dataclasses

from hornbeamglade.replicas import models, replicalist


def replica(name, *, leaving=False, service="llm"):
    return models.Replica(name, service, f"10.0.0.1:{len(name)}", "a", 8, leaving)


def changed(changes):
    return [(change.replica.id, change.what) for change in changes]


def test_changes_are_told_once():
    known = replicalist.ReplicaList()
    first = known.replace([replica("a"), replica("b")], 5)
    second = known.update([replica("a", leaving=True)], ["b"], 6)
    third = known.update([replica("a", leaving=True)], ["b"], 7)
    assert changed(first) == [("a", "added"), ("b", "added")]
    assert changed(second) == [("a", "leaving"), ("b", "gone")]
    assert third == ()
    assert [known.is_usable(name) for name in ("a", "b")] == [False, False]


def test_older_word_changes_nothing():
    """A list comes late from another instance, after a replica has left.

    Taken, it would bring back a replica whose address another service has by now.
    """
    known = replicalist.ReplicaList()
    known.replace([replica("a")], 5)
    known.update([], ["a"], 8)
    assert known.replace([replica("a")], 7) == ()
    assert known.update([replica("a")], [], 8) == ()
    assert known.by_id == {}


def test_replica_that_was_taken_off_stays_known_as_departed():
    known = replicalist.ReplicaList()
    known.replace([replica("a")], 1)
    known.update([], ["a"], 2)
    assert list(known.departed_by_id) == ["a"]
    known.update([replica("a")], [], 3)
    assert known.departed_by_id == {}


def test_other_changes_are_told_as_such():
    known = replicalist.ReplicaList()
    known.replace([replica("a")], 1)
    warmer = dataclasses.replace(replica("a"), warm_in_s=0.5)
    assert changed(known.update([warmer], [], 2)) == [("a", "changed")]


def test_replicas_are_found_by_service():
    known = replicalist.ReplicaList()
    known.replace([replica("b"), replica("a"), replica("c", service="web")], 1)
    assert [each.id for each in known.of_service("llm")] == ["a", "b"]
    assert known.of_service("none") == ()
