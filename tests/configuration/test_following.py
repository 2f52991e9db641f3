import dataclasses

import hypothesis
from hypothesis import stateful, strategies

from hornbeamglade.configuration import documents, following, headrecords
from tests.configuration import samples

NODES = ("n1", "n2", "n3")
NODE = strategies.sampled_from(NODES)
PEERS = strategies.sets(NODE).map(sorted)
LAST = 4
REVISION_BY_NUMBER = {number: samples.revision(number) for number in range(1, LAST + 1)}
STALE_S = 2 * following.ANNOUNCEMENT_FRESH_S


def head_of(number: int) -> headrecords.Head:
    revision = REVISION_BY_NUMBER[number]
    return headrecords.Head(number, revision.digest, revision.change_id)


def starting_node(*nodes: str) -> following.RevisionTracker:
    node = following.RevisionTracker("krakow", "n1")
    node.set_listed_nodes(frozenset(nodes or NODES), 0.0)
    return node


def read_head(node: following.RevisionTracker, number: int, now: float = 0.0) -> bool:
    node.compare_head(head_of(number), now)
    return node.needs_content(head_of(number)) and node.adopt_head(
        REVISION_BY_NUMBER[number], now, now
    )


class RevisionTrackerMachine(stateful.RuleBasedStateMachine):
    """Three nodes, each of which may lose the store or be replaced at any time."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.head = 1
        self.node_by_name = {name: self.start_node(name) for name in NODES}
        for name in NODES:
            read_head(self.node_by_name[name], 1)
        self.active_since = [(0.0, 1)]
        self.pending_read_by_name: dict[str, tuple[int, float]] = {}

    def start_node(self, name: str) -> following.RevisionTracker:
        node = following.RevisionTracker("krakow", name)
        node.set_listed_nodes(frozenset(NODES), self.now)
        return node

    def check(self, name: str, before: int) -> None:
        number = self.node_by_name[name].number
        assert number >= before
        recently = self.now - following.ANNOUNCEMENT_FRESH_S
        floor = max([held for since, held in self.active_since if since < recently], default=0)
        assert before or not number or number >= floor
        held = sorted(node.number for node in self.node_by_name.values())
        self.active_since.append((self.now, held[len(NODES) // 2]))

    @stateful.rule(cut_off=NODE, wait_s=strategies.sampled_from([0.0, STALE_S]))
    def all_but_one_read_a_change(self, cut_off, wait_s):
        self.head = min(LAST, self.head + 1)
        for name in sorted({*NODES} - {cut_off}):
            before = self.node_by_name[name].number
            read_head(self.node_by_name[name], self.head, self.now)
            self.check(name, before)
        self.now += wait_s

    @stateful.rule()
    def delayed_reads_finish(self):
        for name, (number, asked_at) in self.pending_read_by_name.items():
            before = self.node_by_name[name].number
            revision = REVISION_BY_NUMBER[number]
            self.node_by_name[name].adopt_head(revision, asked_at, self.now)
            self.check(name, before)
        self.pending_read_by_name = {}

    @stateful.rule(name=NODE, peers=PEERS, offers=strategies.booleans())
    def peers_announce_to_a_node(self, name, peers, offers):
        node, before = self.node_by_name[name], self.node_by_name[name].number
        for peer in peers:
            node.on_version_announcement(self.node_by_name[peer].number, self.now, peer)
            if offers and (held := self.node_by_name[peer].current):
                node.consider(held, self.now)
        self.check(name, before)

    @stateful.rule(name=NODE, number=strategies.integers(1, LAST))
    def a_document_arrives_late(self, name, number):
        before = self.node_by_name[name].number
        self.node_by_name[name].consider(REVISION_BY_NUMBER[min(number, self.head)], self.now)
        self.check(name, before)

    @stateful.rule(name=NODE, peers=PEERS, offers=strategies.booleans())
    def a_node_is_replaced(self, name, peers, offers):
        self.node_by_name[name] = self.start_node(name)
        self.pending_read_by_name[name] = (self.head, self.now)
        self.peers_announce_to_a_node(name, peers, offers)

    @stateful.rule()
    def time_passes(self):
        self.now += STALE_S


TestRevisionTrackerMachine = RevisionTrackerMachine.TestCase
TestRevisionTrackerMachine.settings = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=600, stateful_step_count=10
)


def test_a_newer_revision_replaces_an_older_one_but_not_the_reverse():
    node = starting_node()
    assert read_head(node, 3)
    assert not node.adopt_head(REVISION_BY_NUMBER[2], 0.0, 0.0)
    assert not node.consider(REVISION_BY_NUMBER[2], 0.0)
    assert read_head(node, 4)
    assert node.number == 4


def test_a_node_without_a_majority_stays_unready():
    # One peer was disconnected from the store at revision 1, and the nodes that had
    # revision 2 were replaced while the store was down. Starting from the one peer would
    # bring the older configuration back.
    node = starting_node(*NODES, "n4", "n5")
    node.on_version_announcement(1, 0.0, "n2")
    node.consider(REVISION_BY_NUMBER[1], 0.0)
    node.on_version_announcement(0, 0.0, "n3")
    node.on_version_announcement(0, 0.0, "n4")
    node.on_version_announcement(1, 0.0, "n5")
    assert (node.current, node.readiness) == (None, following.Readiness.FEW_PEERS)


def test_a_majority_lets_a_node_start_by_the_newest():
    node = starting_node()
    node.on_version_announcement(2, 0.0, "n3")
    node.consider(REVISION_BY_NUMBER[1], 0.0)
    node.on_version_announcement(1, 0.0, "n2")
    assert node.readiness is following.Readiness.BEHIND_PEERS
    node.consider(REVISION_BY_NUMBER[2], 0.0)
    assert (node.number, node.provisional) == (2, True)
    assert node.active.site.node.max_streams == 2


def test_an_old_announcement_does_not_count():
    # A new node received an announcement of revision 1, then revision 2 became active, and
    # later another peer that lags behind announced revision 1. Counted together, the node
    # would start with the older configuration.
    node = starting_node()
    node.consider(REVISION_BY_NUMBER[1], 0.0)
    node.on_version_announcement(1, 0.0, "n2")
    node.on_version_announcement(1, STALE_S, "n3")
    assert node.current is None


def test_a_starting_node_does_not_adopt_a_head_lower_than_announced():
    # After the store was restored from a backup, replaced nodes would serve by an older
    # configuration than their peers.
    node = starting_node()
    node.on_version_announcement(3, 0.0)
    assert not read_head(node, 2)
    assert (node.current, node.problem) == (None, "config_head_behind")


def test_a_starting_node_does_not_adopt_a_late_response_of_the_store():
    # A new node read revision 1 and was paused. Meanwhile revision 2 became active at its
    # peers and the store went down, so the node would keep the older configuration.
    node = starting_node()
    assert not node.adopt_head(REVISION_BY_NUMBER[1], 0.0, STALE_S)
    assert (node.current, node.problem) == (None, "config_read_late")


def test_the_head_confirms_a_provisional_revision():
    node = starting_node()
    node.consider(REVISION_BY_NUMBER[1], 0.0)
    node.on_version_announcement(1, 0.0, "n2")
    node.on_version_announcement(1, 0.0, "n3")
    assert (node.provisional, node.age_s(4.0)) == (True, None)
    node.compare_head(head_of(1), 3.0)
    assert (node.provisional, node.age_s(4.0)) == (False, 1.0)


def test_other_content_with_the_same_number_is_reported():
    node = starting_node()
    read_head(node, 1)
    node.compare_head(headrecords.Head(1, REVISION_BY_NUMBER[2].digest, "other"), 1.0)
    assert (node.number, node.problem) == (1, "config_head_differs")


def test_content_that_differs_from_its_digest_is_not_adopted():
    # A peer's response was damaged or mixed up; the node would serve a configuration that
    # was never accepted.
    node = starting_node()
    read_head(node, 1)
    text = REVISION_BY_NUMBER[3].document
    assert not node.consider(dataclasses.replace(REVISION_BY_NUMBER[2], document=text), 0.0)
    assert (node.number, node.problem) == (1, "config_digest_differs")


def test_an_unsupported_revision_is_fetched_only_once():
    # The newest revision has a key that an older release does not support. Without the
    # check, its nodes would fetch the whole content with each poll.
    text = REVISION_BY_NUMBER[2].document.replace("max_streams", "new_key")
    newer = documents.Revision(2, documents.digest(text), "c2", text)
    node = starting_node()
    read_head(node, 1)
    newer_head = headrecords.Head(2, newer.digest, "c2")
    assert node.needs_content(newer_head)
    assert not node.adopt_head(newer, 0.0, 0.0)
    node.compare_head(newer_head, 1.0)
    assert (node.needs_content(newer_head), node.number) == (False, 1)
    assert node.problem == following.Readiness.REFUSED.value


def test_a_missing_head_is_reported():
    node = starting_node()
    node.compare_head(None, 0.0)
    assert node.readiness is following.Readiness.NO_HEAD
