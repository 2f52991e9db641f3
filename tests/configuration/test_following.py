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


def fresh(*nodes: str) -> following.RevisionTracker:
    node = following.RevisionTracker("krakow", "n1")
    node.set_listed_nodes(frozenset(nodes or NODES), 0.0)
    return node


def read_head(node: following.RevisionTracker, number: int, now: float = 0.0) -> bool:
    node.see_head(head_of(number), now)
    return node.wants(head_of(number)) and node.take_head(REVISION_BY_NUMBER[number], now, now)


class FollowingMachine(stateful.RuleBasedStateMachine):
    """Three nodes; each may be cut off from the store and replaced at any time."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.head = 1
        self.node_by_name = {name: self.started(name) for name in NODES}
        for name in NODES:
            read_head(self.node_by_name[name], 1)
        self.in_force_since = [(0.0, 1)]
        self.coming_by_name: dict[str, tuple[int, float]] = {}

    def started(self, name: str) -> following.RevisionTracker:
        node = following.RevisionTracker("krakow", name)
        node.set_listed_nodes(frozenset(NODES), self.now)
        return node

    def check(self, name: str, before: int) -> None:
        number = self.node_by_name[name].number
        assert number >= before
        recently = self.now - following.ANNOUNCEMENT_FRESH_S
        floor = max([held for since, held in self.in_force_since if since < recently], default=0)
        assert before or not number or number >= floor
        held = sorted(node.number for node in self.node_by_name.values())
        self.in_force_since.append((self.now, held[len(NODES) // 2]))

    @stateful.rule(cut_off=NODE, wait_s=strategies.sampled_from([0.0, STALE_S]))
    def a_change_reaches_all_but_one(self, cut_off, wait_s):
        self.head = min(LAST, self.head + 1)
        for name in sorted({*NODES} - {cut_off}):
            before = self.node_by_name[name].number
            read_head(self.node_by_name[name], self.head, self.now)
            self.check(name, before)
        self.now += wait_s

    @stateful.rule()
    def answers_come(self):
        for name, (number, asked_at) in self.coming_by_name.items():
            before = self.node_by_name[name].number
            revision = REVISION_BY_NUMBER[number]
            self.node_by_name[name].take_head(revision, asked_at, self.now)
            self.check(name, before)
        self.coming_by_name = {}

    @stateful.rule(name=NODE, peers=PEERS, offers=strategies.booleans())
    def node_hears_peers(self, name, peers, offers):
        node, before = self.node_by_name[name], self.node_by_name[name].number
        for peer in peers:
            node.on_version_announcement(self.node_by_name[peer].number, self.now, peer)
            if offers and (held := self.node_by_name[peer].current):
                node.consider(held, self.now)
        self.check(name, before)

    @stateful.rule(name=NODE, number=strategies.integers(1, LAST))
    def a_document_comes_late(self, name, number):
        before = self.node_by_name[name].number
        self.node_by_name[name].consider(REVISION_BY_NUMBER[min(number, self.head)], self.now)
        self.check(name, before)

    @stateful.rule(name=NODE, peers=PEERS, offers=strategies.booleans())
    def a_node_is_replaced(self, name, peers, offers):
        self.node_by_name[name] = self.started(name)
        self.coming_by_name[name] = (self.head, self.now)
        self.node_hears_peers(name, peers, offers)

    @stateful.rule()
    def time_passes(self):
        self.now += STALE_S


TestFollowingMachine = FollowingMachine.TestCase
TestFollowingMachine.settings = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=600, stateful_step_count=10
)


def test_a_newer_revision_replaces_an_older_one_and_never_the_reverse():
    node = fresh()
    assert read_head(node, 3)
    assert not node.take_head(REVISION_BY_NUMBER[2], 0.0, 0.0)
    assert not node.consider(REVISION_BY_NUMBER[2], 0.0)
    assert read_head(node, 4)
    assert node.number == 4


def test_a_node_without_a_majority_stays_unready():
    # A site answers by an older configuration. One peer was cut off from the store
    # at revision 1; the nodes that held 2 were replaced while the store was down.
    node = fresh(*NODES, "n4", "n5")
    node.on_version_announcement(1, 0.0, "n2")
    node.consider(REVISION_BY_NUMBER[1], 0.0)
    node.on_version_announcement(0, 0.0, "n3")
    node.on_version_announcement(0, 0.0, "n4")
    node.on_version_announcement(1, 0.0, "n5")
    assert (node.current, node.readiness) == (None, following.Readiness.FEW_PEERS)


def test_a_majority_lets_a_node_start_by_the_newest():
    node = fresh()
    node.on_version_announcement(2, 0.0, "n3")
    node.consider(REVISION_BY_NUMBER[1], 0.0)
    node.on_version_announcement(1, 0.0, "n2")
    assert node.readiness is following.Readiness.BEHIND_PEERS
    node.consider(REVISION_BY_NUMBER[2], 0.0)
    assert (node.number, node.provisional) == (2, True)
    assert node.active.site.node.max_streams == 2


def test_what_was_heard_long_ago_does_not_count():
    # A new node serves an older configuration. It heard of revision 1 from a peer,
    # then 2 came into force, and only later did it hear from another straggler.
    node = fresh()
    node.consider(REVISION_BY_NUMBER[1], 0.0)
    node.on_version_announcement(1, 0.0, "n2")
    node.on_version_announcement(1, STALE_S, "n3")
    assert node.current is None


def test_a_head_lower_than_what_peers_hold_is_not_taken_at_the_start():
    # After the store was put back to a backup, replaced nodes judge by an older
    # configuration than their neighbours.
    node = fresh()
    node.on_version_announcement(3, 0.0)
    assert not read_head(node, 2)
    assert (node.current, node.problem) == (None, "config_head_behind")


def test_a_late_answer_of_the_store_does_not_start_a_node():
    # A site answers by an older configuration. A new node read revision 1 and was
    # paused; 2 came into force at its peers and the store went down; it woke up.
    node = fresh()
    assert not node.take_head(REVISION_BY_NUMBER[1], 0.0, STALE_S)
    assert (node.current, node.problem) == (None, "config_read_late")


def test_the_head_confirms_a_provisional_revision():
    node = fresh()
    node.consider(REVISION_BY_NUMBER[1], 0.0)
    node.on_version_announcement(1, 0.0, "n2")
    node.on_version_announcement(1, 0.0, "n3")
    assert (node.provisional, node.age_s(4.0)) == (True, None)
    node.see_head(head_of(1), 3.0)
    assert (node.provisional, node.age_s(4.0)) == (False, 1.0)


def test_other_content_under_the_same_number_is_told():
    node = fresh()
    read_head(node, 1)
    node.see_head(headrecords.Head(1, REVISION_BY_NUMBER[2].digest, "other"), 1.0)
    assert (node.number, node.problem) == (1, "config_head_differs")


def test_content_that_differs_from_its_digest_is_not_adopted():
    # A node serves a configuration that nobody accepted. A peer's answer was
    # damaged or crossed on its way.
    node = fresh()
    read_head(node, 1)
    text = REVISION_BY_NUMBER[3].document
    assert not node.consider(dataclasses.replace(REVISION_BY_NUMBER[2], document=text), 0.0)
    assert (node.number, node.problem) == (1, "config_digest_differs")


def test_a_revision_that_is_not_understood_is_refused_once():
    # Every node of an older release fetches the whole content each second: the
    # newest revision has a key that it does not know.
    text = REVISION_BY_NUMBER[2].document.replace("max_streams", "new_key")
    newer = documents.Revision(2, documents.digest(text), "c2", text)
    node = fresh()
    read_head(node, 1)
    newer_head = headrecords.Head(2, newer.digest, "c2")
    assert node.wants(newer_head)
    assert not node.take_head(newer, 0.0, 0.0)
    node.see_head(newer_head, 1.0)
    assert (node.wants(newer_head), node.number) == (False, 1)
    assert node.problem == following.Readiness.REFUSED.value


def test_no_head_at_all_is_told():
    node = fresh()
    node.see_head(None, 0.0)
    assert node.readiness is following.Readiness.NO_HEAD
