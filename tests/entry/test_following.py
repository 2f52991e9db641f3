"""What an instance believes of the configuration and the list, and what it logs of it."""

import json
import random

import hypothesis
import pytest
from hypothesis import strategies

from hornbeamglade.core import clocks
from hornbeamglade.entry import following
from hornbeamglade.exchange import messages
from hornbeamglade.replicas import availability, evacuations, ratelimits, replicalist, slowstart
from hornbeamglade.routed import views
from hornbeamglade.store import contract, positions
from tests.entry import site

CONFIGURATION, REPLICAS = messages.Subject.CONFIGURATION, messages.Subject.REPLICAS


class Server:
    """What an entry of the list needs of a server."""

    address = "10.0.0.1:80"


def row(name, version, state="ready"):
    return contract.Row(f"servers/{name}", site.entry(Server, "web", "a", state), version)


def config(version, **changes):
    return contract.Row("op/config", json.dumps(site.manifest(version, **changes)), version)


class Believer:
    """A follower, with what it told and logged."""

    def __init__(self):
        self.told = []
        self.configured = 0
        self.views = views.CurrentView()
        self.list = replicalist.ReplicaList()
        self.available = availability.Availability(
            self.list,
            slowstart.SlowStarts(random.Random(1)),
            ratelimits.RateLimits(clocks.ManualClock()),
            slowstart.Bound(),
            {"a": "r", "b": "s"},
        )
        self.evacuated = []
        self.following = following.Following(
            self.views,
            self.available,
            clocks.ManualClock(),
            self.told.extend,
            self._configure,
            lambda: self.evacuated.append(sorted(self.available.evacuations.domains)),
        )

    def _configure(self):
        self.configured += 1


@pytest.fixture
def lines(monkeypatch):
    written = []

    def state_changed(subject, before, after, **fields):
        written.append((subject, before, after, fields))

    monkeypatch.setattr(following.logs, "state_changed", state_changed)
    return written


def test_changes_of_the_list_are_taken_and_logged(lines):
    believer = Believer()
    believer.following.on_replicas(contract.Snapshot((row("a", 1), row("b", 2)), 2))
    believer.following.on_replicas(
        contract.Changes((row("a", 3, "draining"),), ("servers/b",), 4, 4)
    )
    assert [(each.replica.id, each.kind) for each in believer.told] == [
        ("a", "added"),
        ("b", "added"),
        ("a", "leaving"),
        ("b", "gone"),
    ]
    assert [line[2] for line in lines if line[0] == "replica"] == [
        "added",
        "added",
        "leaving",
        "gone",
    ]


def test_entry_that_cannot_be_read_hides_no_other(lines):
    believer = Believer()
    broken = contract.Row("servers/x", "{}", 1)
    believer.following.on_replicas(contract.Snapshot((broken, row("a", 2)), 2))
    assert list(believer.list.by_id) == ["a"]
    assert ("replica_entry", "unread", "replica_entry_invalid") in [line[:3] for line in lines]


def test_entry_that_turns_bad_is_told_once_and_takes_its_replica_out(lines):
    """Another program writes the same bad entry over a good one, again and again."""
    believer = Believer()
    believer.following.on_replicas(contract.Snapshot((row("a", 1), row("b", 2)), 2))
    for version in range(3, 8):
        bad = contract.Row("servers/a", "", version, "not UTF-8")
        believer.following.on_replicas(contract.Changes((bad,), (), version, version))
    assert list(believer.list.by_id) == ["b"]
    told = [line for line in lines if line[0] == "replica_entry"]
    assert [line[3]["reason"] for line in told] == ["servers/a:_value:_not_UTF-8"]
    believer.following.on_replicas(contract.Changes((row("a", 8),), (), 8, 8))
    assert sorted(believer.list.by_id) == ["a", "b"]
    assert [line[:3] for line in lines if line[0] == "replica_entry"][1:] == [
        ("replica_entry", "unread", "read")
    ]


def test_lines_on_bad_entries_are_bounded(lines):
    believer = Believer()
    rows = tuple(contract.Row(f"servers/x{n}", "{}", n) for n in range(1, 500))
    believer.following.on_replicas(contract.Snapshot(rows, 500))
    assert len([line for line in lines if line[0] == "replica_entry"]) == following.MAX_PROBLEMS


def test_row_that_cannot_be_read_is_passed_on_to_peers_as_such(lines):
    ahead, behind = Believer(), Believer()
    bad = contract.Row("servers/x", "", 1, "not UTF-8")
    ahead.following.on_replicas(contract.Snapshot((bad, row("a", 2)), 2))
    behind.following.take(REPLICAS, 2, ahead.following.read(REPLICAS))
    assert list(behind.list.by_id) == ["a"]
    assert behind.following.read(REPLICAS) == ahead.following.read(REPLICAS)


def test_configuration_that_is_no_text_leaves_the_former_in_force(lines):
    believer = Believer()
    believer.following.on_configuration(contract.Snapshot((config(1),), 1))
    bad = contract.Row("op/config", "", 2, "not UTF-8")
    believer.following.on_configuration(contract.Changes((bad,), (), 2, 2))
    assert believer.following.versions().configuration == 1
    assert believer.following.problem == "config_invalid"


_VALUES = strategies.one_of(
    strategies.text(max_size=20),
    strategies.sampled_from(
        [site.entry(Server, "web", born=5), site.entry(Server, "web", born=6)]
    ),
    strategies.sampled_from([site.entry(Server, "web", slots=True), "[]", "{}", "null"]),
)


@hypothesis.given(strategies.lists(strategies.tuples(strategies.sampled_from("ab"), _VALUES)))
def test_nothing_but_good_rows_is_used_whatever_comes(rows):
    believer = Believer()
    newest = {"a": 0, "b": 0}
    for version, (name, value) in enumerate(rows, 1):
        made = contract.Row(f"servers/{name}", value, version)
        believer.following.on_replicas(contract.Changes((made,), (), version, version))
        for born in (5, 6):
            if value == site.entry(Server, "web", born=born):
                newest[name] = max(newest[name], born)
        for each in believer.list.by_id.values():
            assert each.started_ms == newest[each.name] > 0
            assert each.address == Server.address


def test_outage_and_return_of_the_store_are_logged_once(lines):
    believer = Believer()
    for outcome in (
        contract.Unavailable("status 503"),
        contract.Unavailable("status 503"),
        contract.Snapshot((), 1),
        contract.Changes((), (), 2),
    ):
        believer.following.on_replicas(outcome)
    states = [line[:3] for line in lines if line[0] == "store"]
    assert states == [("store", "unknown", "lost"), ("store", "lost", "reached")]


def test_document_of_a_peer_is_taken_like_the_stores_own(lines):
    ahead, behind = Believer(), Believer()
    ahead.following.on_configuration(contract.Snapshot((config(3),), 9))
    ahead.following.on_replicas(contract.Snapshot((row("a", 7),), 9))
    for subject, version in ((CONFIGURATION, 3), (REPLICAS, 9)):
        behind.following.take(subject, version, ahead.following.read(subject))
    assert behind.following.versions() == ahead.following.versions()
    assert (list(behind.list.by_id), behind.configured) == (["a"], 1)
    assert behind.following.read(REPLICAS) == ahead.following.read(REPLICAS)


def test_late_document_of_a_peer_changes_nothing(lines):
    believer = Believer()
    believer.following.on_configuration(contract.Snapshot((config(3),), 9))
    believer.following.on_replicas(contract.Changes((row("a", 12),), (), 12, 12))
    believer.following.take(CONFIGURATION, 2, config(2).value.encode())
    believer.following.take(REPLICAS, 11, b"[]")
    assert believer.following.versions().configuration == 3
    assert list(believer.list.by_id) == ["a"]


def test_bad_configuration_is_logged_once_with_its_field(lines):
    believer = Believer()
    believer.following.on_configuration(contract.Snapshot((config(1),), 1))
    bad = contract.Row("op/config", json.dumps(site.manifest(2, routes=[{}])), 2)
    for _ in range(2):
        believer.following.on_configuration(contract.Changes((bad,), (), 2, 2))
    problems = [line for line in lines if line[0] == "config_problem" and line[1] != line[2]]
    assert len(problems) == 1
    assert "routes.0.name" in problems[0][3]["reason"]
    believer.following.on_configuration(contract.Changes((config(3),), (), 3, 3))
    assert (believer.following.problem, believer.following.versions().configuration) == (None, 3)


def test_evacuations_are_taken_from_rows_and_logged_once(lines):
    believer = Believer()
    mark = contract.Row("op/evacuate/a", "", 3)
    believer.following.on_configuration(contract.Snapshot((config(1), mark), 3))
    believer.following.on_configuration(contract.Snapshot((config(1), mark), 4))
    believer.following.on_configuration(contract.Changes((), ("op/evacuate/a",), 6, 6))
    assert believer.evacuated == [["a"], []]
    told = [line for line in lines if line[0] == "evacuation"]
    assert [(line[1], line[2], line[3]["sequence"]) for line in told] == [
        ("serving", "evacuated", 3),
        ("evacuated", "serving", 6),
    ]


def test_evacuation_is_not_ended_by_a_peers_older_state(lines):
    believer = Believer()
    mark = contract.Row("op/evacuate/a", "", 5)
    believer.following.on_configuration(contract.Changes((mark,), (), 5, 5))
    for state in (evacuations.Evacuations(), evacuations.Evacuations(4)):
        believer.following.on_hint(messages.VersionAnnouncement(1, 1, True, state))
    assert believer.evacuated == [["a"]]
    believer.following.on_hint(
        messages.VersionAnnouncement(1, 1, True, evacuations.Evacuations(6))
    )
    assert believer.evacuated == [["a"], []]


def in_era(version, era=1):
    return positions.position(era, version)


def names(believer):
    return {name: replica.is_leaving for name, replica in believer.list.by_id.items()}


def test_a_list_from_an_older_copy_is_joined_with_what_is_known(lines):
    """Guards servers that stop, are gone, or are new against seconds that the store has lost."""
    believer = Believer()
    listed = (row("old", 1), row("stops", 2), row("gone", 3))
    believer.following.on_replicas(contract.Snapshot(listed, 3))
    believer.following.on_replicas(
        contract.Changes((row("stops", 4, "draining"), row("new", 5)), ("servers/gone",), 6, 6)
    )
    believer.following.on_replicas(contract.Snapshot(listed, in_era(3)))
    assert names(believer) == {"old": False, "stops": True, "new": False}
    back = row("stops", in_era(4))
    believer.following.on_replicas(contract.Changes((back,), (), in_era(4), in_era(4)))
    assert names(believer) == {"old": False, "stops": False, "new": False}


def test_what_was_not_written_again_is_gone_with_the_next_reading(lines):
    believer = Believer()
    believer.following.on_replicas(contract.Snapshot((row("a", 1), row("b", 2)), 2))
    believer.following.on_replicas(contract.Snapshot((row("a", 1),), in_era(1)))
    assert set(names(believer)) == {"a", "b"}
    believer.following.on_replicas(contract.Snapshot((row("a", 1),), in_era(9)))
    assert set(names(believer)) == {"a"}


def test_an_evacuation_of_the_lost_seconds_holds_until_it_is_written_again():
    """Guards an evacuated failure domain against a store that has forgotten it."""
    believer = Believer()
    mark = contract.Row("op/evacuate/a", "", 3)
    believer.following.on_configuration(contract.Snapshot((config(1),), 2))
    believer.following.on_configuration(contract.Changes((mark,), (), 3, 3))
    believer.following.on_configuration(contract.Snapshot((config(1),), in_era(2)))
    assert believer.available.evacuations.domains == {"a"}
    believer.following.on_configuration(contract.Changes((mark,), (), in_era(3), in_era(3)))
    believer.following.on_configuration(
        contract.Changes((), ("op/evacuate/a",), in_era(4), in_era(4))
    )
    assert believer.evacuated == [["a"], []]


def test_an_evacuation_that_is_not_written_again_ends_with_the_next_reading():
    believer = Believer()
    mark = contract.Row("op/evacuate/a", "", 3)
    believer.following.on_configuration(contract.Snapshot((config(1), mark), 3))
    believer.following.on_configuration(contract.Snapshot((config(1),), in_era(2)))
    believer.following.on_configuration(contract.Snapshot((config(1),), in_era(5)))
    assert believer.evacuated == [["a"], []]


def test_a_configuration_from_an_older_copy_changes_nothing():
    believer = Believer()
    believer.following.on_configuration(contract.Snapshot((config(4),), 4))
    believer.following.on_configuration(contract.Snapshot((config(2),), in_era(2)))
    assert believer.following.versions().configuration == 4


def test_an_answer_of_an_era_that_is_over_changes_nothing():
    believer = Believer()
    believer.following.on_replicas(contract.Snapshot((row("a", 1),), in_era(1)))
    believer.following.on_replicas(contract.Snapshot((row("b", 900),), 900))
    believer.following.on_replicas(contract.Changes((row("c", 901),), (), 901, 901))
    assert set(names(believer)) == {"a"}


def test_changes_of_a_peer_are_taken_in_their_order_only():
    """Guards the list against changes that come late, or follow on one that is not known."""
    ahead, behind = Believer(), Believer()
    ahead.following.on_replicas(contract.Snapshot((row("a", 1),), 1))
    behind.following.on_replicas(contract.Snapshot((row("a", 1),), 1))
    ahead.following.on_replicas(contract.Changes((row("b", 2),), ("servers/a",), 3, 3))
    first = ahead.following.read(messages.Subject.REPLICAS, 1)
    ahead.following.on_replicas(contract.Changes((row("c", 4),), (), 4, 4))
    second = ahead.following.read(messages.Subject.REPLICAS, 3)
    behind.following.take(messages.Subject.REPLICAS, 4, second)
    assert set(names(behind)) == {"a"}
    behind.following.take(messages.Subject.REPLICAS, 3, first)
    behind.following.take(messages.Subject.REPLICAS, 4, second)
    behind.following.take(messages.Subject.REPLICAS, 3, first)
    assert set(names(behind)) == {"b", "c"}
    assert behind.following.versions() == ahead.following.versions()
    assert behind.following.read(messages.Subject.REPLICAS) == ahead.following.read(
        messages.Subject.REPLICAS
    )
