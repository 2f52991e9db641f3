"""Updates of the configuration, replica list and evacuations, and their log lines."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from hornbeamglade.core import clocks
from hornbeamglade.entry import clusterstate
from hornbeamglade.exchange import messages
from hornbeamglade.replicas import evacuations, replicalist
from hornbeamglade.routed import views
from hornbeamglade.store import contract, positions
from tests.entry import site
from tests.replicas import availabilities

CONFIGURATION, REPLICAS = messages.Subject.CONFIGURATION, messages.Subject.REPLICAS


class Server:
    """The attributes of a server that its list entry needs."""

    address = "10.0.0.1:80"


def row(name, version, state="ready"):
    return contract.Row(f"servers/{name}", site.server_row(Server, "web", "a", state), version)


def config(version, **changes):
    return contract.Row("op/config", json.dumps(site.manifest(version, **changes)), version)


class Harness:
    """A cluster state with the callbacks it made."""

    def __init__(self):
        self.list_changes = []
        self.configured = 0
        self.views = views.CurrentView()
        self.list = replicalist.ReplicaList()
        self.available = availabilities.make(self.list)
        self.evacuated = []
        self.state = clusterstate.ClusterState(
            self.views,
            self.available,
            clocks.ManualClock(),
            self.list_changes.extend,
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

    monkeypatch.setattr(clusterstate.logs, "state_changed", state_changed)
    return written


@pytest.fixture
def harness():
    return Harness()


def test_list_changes_are_applied_and_logged(harness, lines):
    harness.state.on_replicas(contract.Snapshot((row("a", 1), row("b", 2)), 2))
    harness.state.on_replicas(contract.Changes((row("a", 3, "draining"),), ("servers/b",), 4, 4))
    assert [(each.replica.id, each.kind) for each in harness.list_changes] == [
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


def test_undecodable_entry_does_not_affect_others(harness, lines):
    broken = contract.Row("servers/x", "{}", 1)
    harness.state.on_replicas(contract.Snapshot((broken, row("a", 2)), 2))
    assert list(harness.list.by_id) == ["a"]
    assert ("replica_entry", "unread", "replica_entry_invalid") in [line[:3] for line in lines]


def test_entry_that_becomes_invalid_is_logged_once_and_removes_its_replica(harness, lines):
    """Another program repeatedly overwrites a good entry with the same bad one."""
    harness.state.on_replicas(contract.Snapshot((row("a", 1), row("b", 2)), 2))
    for version in range(3, 8):
        bad = contract.Row("servers/a", "", version, "not UTF-8")
        harness.state.on_replicas(contract.Changes((bad,), (), version, version))
    assert list(harness.list.by_id) == ["b"]
    logged = [line for line in lines if line[0] == "replica_entry"]
    assert [line[3]["reason"] for line in logged] == ["servers/a:_value:_not_UTF-8"]
    harness.state.on_replicas(contract.Changes((row("a", 8),), (), 8, 8))
    assert sorted(harness.list.by_id) == ["a", "b"]
    assert [line[:3] for line in lines if line[0] == "replica_entry"][1:] == [
        ("replica_entry", "unread", "read")
    ]


def test_log_lines_about_bad_entries_are_limited(harness, lines):
    rows = tuple(contract.Row(f"servers/x{n}", "{}", n) for n in range(1, 500))
    harness.state.on_replicas(contract.Snapshot(rows, 500))
    assert (
        len([line for line in lines if line[0] == "replica_entry"])
        == clusterstate.MAX_LOGGED_PROBLEMS
    )


def test_undecodable_row_is_forwarded_to_peers_unchanged(lines):
    ahead, behind = Harness(), Harness()
    bad = contract.Row("servers/x", "", 1, "not UTF-8")
    ahead.state.on_replicas(contract.Snapshot((bad, row("a", 2)), 2))
    behind.state.apply_document(REPLICAS, 2, ahead.state.read_document(REPLICAS))
    assert list(behind.list.by_id) == ["a"]
    assert behind.state.read_document(REPLICAS) == ahead.state.read_document(REPLICAS)


def test_configuration_that_is_not_text_leaves_the_former_in_force(harness, lines):
    harness.state.on_configuration(contract.Snapshot((config(1),), 1))
    bad = contract.Row("op/config", "", 2, "not UTF-8")
    harness.state.on_configuration(contract.Changes((bad,), (), 2, 2))
    assert harness.state.versions().configuration == 1
    assert harness.state.problem == "config_invalid"


_VALUES = strategies.one_of(
    strategies.text(max_size=20),
    strategies.sampled_from(
        [site.server_row(Server, "web", born=5), site.server_row(Server, "web", born=6)]
    ),
    strategies.sampled_from([site.server_row(Server, "web", slots=True), "[]", "{}", "null"]),
)


@hypothesis.given(strategies.lists(strategies.tuples(strategies.sampled_from("ab"), _VALUES)))
def test_only_valid_rows_are_used(rows):
    harness = Harness()
    newest = {"a": 0, "b": 0}
    for version, (name, value) in enumerate(rows, 1):
        changed_row = contract.Row(f"servers/{name}", value, version)
        harness.state.on_replicas(contract.Changes((changed_row,), (), version, version))
        for born in (5, 6):
            if value == site.server_row(Server, "web", born=born):
                newest[name] = max(newest[name], born)
        for each in harness.list.by_id.values():
            assert each.started_ms == newest[each.name] > 0
            assert each.address == Server.address


def test_store_outage_and_recovery_are_logged_once(harness, lines):
    for outcome in (
        contract.Unavailable("status 503"),
        contract.Unavailable("status 503"),
        contract.Snapshot((), 1),
        contract.Changes((), (), 2),
    ):
        harness.state.on_replicas(outcome)
    states = [line[:3] for line in lines if line[0] == "store"]
    assert states == [("store", "unknown", "lost"), ("store", "lost", "reached")]


def test_document_from_a_peer_is_applied_like_the_stores(lines):
    ahead, behind = Harness(), Harness()
    ahead.state.on_configuration(contract.Snapshot((config(3),), 9))
    ahead.state.on_replicas(contract.Snapshot((row("a", 7),), 9))
    for subject, version in ((CONFIGURATION, 3), (REPLICAS, 9)):
        behind.state.apply_document(subject, version, ahead.state.read_document(subject))
    assert behind.state.versions() == ahead.state.versions()
    assert (list(behind.list.by_id), behind.configured) == (["a"], 1)
    assert behind.state.read_document(REPLICAS) == ahead.state.read_document(REPLICAS)


def test_outdated_document_from_a_peer_changes_nothing(harness, lines):
    harness.state.on_configuration(contract.Snapshot((config(3),), 9))
    harness.state.on_replicas(contract.Changes((row("a", 12),), (), 12, 12))
    harness.state.apply_document(CONFIGURATION, 2, config(2).value.encode())
    harness.state.apply_document(REPLICAS, 11, b"[]")
    assert harness.state.versions().configuration == 3
    assert list(harness.list.by_id) == ["a"]


def test_bad_configuration_is_logged_once_with_its_field(harness, lines):
    harness.state.on_configuration(contract.Snapshot((config(1),), 1))
    bad = contract.Row("op/config", json.dumps(site.manifest(2, routes=[{}])), 2)
    for _ in range(2):
        harness.state.on_configuration(contract.Changes((bad,), (), 2, 2))
    problems = [line for line in lines if line[0] == "config_problem" and line[1] != line[2]]
    assert len(problems) == 1
    assert "routes.0.name" in problems[0][3]["reason"]
    harness.state.on_configuration(contract.Changes((config(3),), (), 3, 3))
    assert (harness.state.problem, harness.state.versions().configuration) == (None, 3)


def test_evacuations_are_read_from_rows_and_logged_once(harness, lines):
    evacuation_row = contract.Row("op/evacuate/a", "", 3)
    harness.state.on_configuration(contract.Snapshot((config(1), evacuation_row), 3))
    harness.state.on_configuration(contract.Snapshot((config(1), evacuation_row), 4))
    harness.state.on_configuration(contract.Changes((), ("op/evacuate/a",), 6, 6))
    assert harness.evacuated == [["a"], []]
    logged = [line for line in lines if line[0] == "evacuation"]
    assert [(line[1], line[2], line[3]["sequence"]) for line in logged] == [
        ("serving", "evacuated", 3),
        ("evacuated", "serving", 6),
    ]


def test_evacuation_is_not_ended_by_a_peers_older_state(harness, lines):
    evacuation_row = contract.Row("op/evacuate/a", "", 5)
    harness.state.on_configuration(contract.Changes((evacuation_row,), (), 5, 5))
    for state in (evacuations.Evacuations(), evacuations.Evacuations(4)):
        harness.state.on_announcement(messages.VersionAnnouncement(1, 1, True, state))
    assert harness.evacuated == [["a"]]
    harness.state.on_announcement(
        messages.VersionAnnouncement(1, 1, True, evacuations.Evacuations(6))
    )
    assert harness.evacuated == [["a"], []]


def in_era(version, era=1):
    return positions.position(era, version)


def names(harness):
    return {name: replica.is_leaving for name, replica in harness.list.by_id.items()}


def test_list_of_a_restored_store_is_merged_with_the_known_state(harness, lines):
    """Leaving, departed and new servers are kept although a restored store lacks those writes."""
    listed = (row("old", 1), row("stops", 2), row("gone", 3))
    harness.state.on_replicas(contract.Snapshot(listed, 3))
    harness.state.on_replicas(
        contract.Changes((row("stops", 4, "draining"), row("new", 5)), ("servers/gone",), 6, 6)
    )
    harness.state.on_replicas(contract.Snapshot(listed, in_era(3)))
    assert names(harness) == {"old": False, "stops": True, "new": False}
    back = row("stops", in_era(4))
    harness.state.on_replicas(contract.Changes((back,), (), in_era(4), in_era(4)))
    assert names(harness) == {"old": False, "stops": False, "new": False}


def test_rows_not_rewritten_are_removed_by_the_next_snapshot(harness, lines):
    harness.state.on_replicas(contract.Snapshot((row("a", 1), row("b", 2)), 2))
    harness.state.on_replicas(contract.Snapshot((row("a", 1),), in_era(1)))
    assert set(names(harness)) == {"a", "b"}
    harness.state.on_replicas(contract.Snapshot((row("a", 1),), in_era(9)))
    assert set(names(harness)) == {"a"}


def test_evacuation_lost_by_a_restored_store_holds_until_rewritten(harness):
    """A failure domain stays evacuated although a restored store lacks the evacuation."""
    evacuation_row = contract.Row("op/evacuate/a", "", 3)
    harness.state.on_configuration(contract.Snapshot((config(1),), 2))
    harness.state.on_configuration(contract.Changes((evacuation_row,), (), 3, 3))
    harness.state.on_configuration(contract.Snapshot((config(1),), in_era(2)))
    assert harness.available.evacuations.domains == {"a"}
    harness.state.on_configuration(contract.Changes((evacuation_row,), (), in_era(3), in_era(3)))
    harness.state.on_configuration(contract.Changes((), ("op/evacuate/a",), in_era(4), in_era(4)))
    assert harness.evacuated == [["a"], []]


def test_evacuation_not_rewritten_ends_with_the_next_snapshot(harness):
    evacuation_row = contract.Row("op/evacuate/a", "", 3)
    harness.state.on_configuration(contract.Snapshot((config(1), evacuation_row), 3))
    harness.state.on_configuration(contract.Snapshot((config(1),), in_era(2)))
    harness.state.on_configuration(contract.Snapshot((config(1),), in_era(5)))
    assert harness.evacuated == [["a"], []]


def test_configuration_of_a_restored_store_changes_nothing(harness):
    harness.state.on_configuration(contract.Snapshot((config(4),), 4))
    harness.state.on_configuration(contract.Snapshot((config(2),), in_era(2)))
    assert harness.state.versions().configuration == 4


def test_outcome_of_an_earlier_era_changes_nothing(harness):
    harness.state.on_replicas(contract.Snapshot((row("a", 1),), in_era(1)))
    harness.state.on_replicas(contract.Snapshot((row("b", 900),), 900))
    harness.state.on_replicas(contract.Changes((row("c", 901),), (), 901, 901))
    assert set(names(harness)) == {"a"}


def test_changes_from_a_peer_are_applied_in_order_only():
    """Changes that arrive late, or that follow an unknown position, must not corrupt the list."""
    ahead, behind = Harness(), Harness()
    ahead.state.on_replicas(contract.Snapshot((row("a", 1),), 1))
    behind.state.on_replicas(contract.Snapshot((row("a", 1),), 1))
    ahead.state.on_replicas(contract.Changes((row("b", 2),), ("servers/a",), 3, 3))
    first = ahead.state.read_document(messages.Subject.REPLICAS, 1)
    ahead.state.on_replicas(contract.Changes((row("c", 4),), (), 4, 4))
    second = ahead.state.read_document(messages.Subject.REPLICAS, 3)
    behind.state.apply_document(messages.Subject.REPLICAS, 4, second)
    assert set(names(behind)) == {"a"}
    behind.state.apply_document(messages.Subject.REPLICAS, 3, first)
    behind.state.apply_document(messages.Subject.REPLICAS, 4, second)
    behind.state.apply_document(messages.Subject.REPLICAS, 3, first)
    assert set(names(behind)) == {"b", "c"}
    assert behind.state.versions() == ahead.state.versions()
    assert behind.state.read_document(messages.Subject.REPLICAS) == ahead.state.read_document(
        messages.Subject.REPLICAS
    )
