import hypothesis
import pytest
from hypothesis import stateful, strategies

from hornbeamglade.exchange import codec, messages
from hornbeamglade.membership import view as membership_view
from hornbeamglade.store import contract

State = messages.NodeState
OWN = membership_view.Identity("a", "d1", "10.0.0.1:80", "10.0.0.1:7000")


def names_of_owners(node):
    return [m.identity.name for m in membership_view.owner_candidates(node.view.members(0.0))]


def instance(name="b", leaving=False):
    return contract.Instance(name, "d2", f"{name}:80", f"{name}:7000", leaving)


def heartbeat(beat=1, state=State.LIVE, **more):
    return messages.Heartbeat(state, beat, 1, "d2", "b:80", "b:7000", **more)


def update(state, refutation=0, incarnation=5, name="b"):
    return messages.MembershipUpdate(messages.key_hash(name), incarnation, refutation, state)


class ObservedNode:
    """A view of the node b at incarnation 5, and of the node c that sends updates about b."""

    def __init__(self):
        self.view = membership_view.MembershipView(OWN, incarnation=9)

    def receive(self, now, incarnation=5, **content):
        self.view.record_heartbeat(codec.Sender("b", incarnation), heartbeat(**content), now)

    def receive_update(self, received, now):
        self.view.record_heartbeat(codec.Sender("c", 1), heartbeat(updates=(received,)), now)

    def state(self, now):
        return self.view.member("b", now).state


@pytest.fixture
def node():
    return ObservedNode()


def test_a_listed_node_is_live_until_a_request_remains_unanswered(node):
    node.view.apply_list((instance(),))
    assert node.state(1000.0) is State.LIVE
    node.view.expect_reply("b", 1000.0)
    assert node.state(1002.0) is State.SUSPECT
    assert node.state(1020.0) is State.GONE


def test_a_late_heartbeat_does_not_replace_a_newer_one(node):
    node.receive(0.0, beat=2)
    node.receive(0.1, beat=1)
    assert node.view.member("b", 0.1).heartbeat.beat == 2


def test_a_node_that_sends_heartbeats_but_is_not_listed_is_live(node):
    node.view.apply_list(())
    node.receive(0.0)
    assert node.state(0.0) is State.LIVE
    assert node.view.member("b", 0.0).identity.address == "b:80"


def test_the_list_does_not_make_a_dead_node_live_again(node):
    # The platform's list contains a reclaimed node for another minute. If the list were
    # trusted, callers would be sent to the dead node again and again.
    node.receive(0.0)
    node.view.expect_reply("b", 0.0)
    node.view.changes(20.0)
    node.view.apply_list((instance(),))
    assert node.state(21.0) is State.GONE
    node.view.changes(2000.0)
    assert node.state(2000.0) is State.GONE


def test_the_list_does_not_make_a_leaving_node_live_again(node):
    # The lagging list still contains a draining node as live. If its address were returned
    # to callers, it would never finish draining.
    node.receive(0.0, state=State.LEAVING)
    node.view.apply_list((instance(leaving=False),))
    assert node.state(1.0) is State.LEAVING


def test_a_node_listed_as_leaving_remains_so_when_the_list_flaps(node):
    node.receive(0.0)
    node.view.apply_list((instance(leaving=True),))
    node.view.apply_list((instance(leaving=False),))
    assert node.state(2.0) is State.LEAVING


def test_a_late_heartbeat_does_not_make_a_leaving_node_live_again(node):
    node.receive(0.0, beat=2, state=State.LEAVING)
    node.receive(0.1, beat=1)
    assert node.state(0.1) is State.LEAVING


def test_a_new_incarnation_is_live_and_the_previous_one_is_ignored(node):
    node.receive(0.0, state=State.LEAVING)
    node.receive(1.0, incarnation=6)
    assert node.state(1.0) is State.LIVE
    node.receive(2.0, incarnation=5, state=State.LEAVING)
    assert node.state(2.0) is State.LIVE


def test_a_gone_node_is_live_after_its_next_heartbeat(node):
    # A partition heals, during which each side considered the other's nodes gone.
    node.receive(0.0)
    node.view.expect_reply("b", 0.0)
    assert node.state(20.0) is State.GONE
    node.receive(20.0, beat=2)
    assert node.state(20.0) is State.LIVE


def test_a_replaced_node_with_a_lower_incarnation_is_accepted_once_the_previous_is_gone(node):
    node.receive(0.0)
    node.view.expect_reply("b", 0.0)
    node.receive(100.0, incarnation=4)
    assert node.state(100.0) is State.LIVE


def test_a_late_copy_of_a_refuted_suspicion_is_ignored(node):
    # A suspicion after a lost heartbeat may still be spread after its refutation. If it were
    # applied, the healthy node would lose and regain its replicas with each late copy.
    node.receive(0.0, refutation=1)
    node.receive_update(update(State.SUSPECT, refutation=0), 5.0)
    assert node.state(5.0) is State.LIVE


def test_a_suspicion_of_a_node_seen_just_before_is_ignored(node):
    node.receive(0.0)
    node.receive_update(update(State.GONE), 0.5)
    assert node.state(0.5) is State.LIVE


def test_an_update_about_a_previous_incarnation_is_ignored(node):
    node.receive(0.0)
    node.receive_update(update(State.LEAVING, incarnation=4), 5.0)
    assert node.state(5.0) is State.LIVE


def test_a_suspicion_spreads_and_a_refutation_ends_it(node):
    node.receive(0.0)
    node.receive_update(update(State.SUSPECT), 5.0)
    assert node.state(5.0) is State.SUSPECT
    node.receive_update(update(State.LIVE), 6.0)
    assert node.state(6.0) is State.SUSPECT
    node.receive_update(update(State.LIVE, refutation=1), 7.0)
    assert node.state(7.0) is State.LIVE


def test_an_update_does_not_count_as_reply_to_the_own_request(node):
    # The link from here to the node stalls, and others still reach it. If their updates made
    # it live, grant requests would be sent to it in vain, and each would time out.
    node.receive(0.0)
    node.view.expect_reply("b", 1.0)
    node.receive_update(update(State.LIVE, refutation=1), 4.0)
    assert node.state(4.0) is State.SUSPECT


def test_a_suspected_node_spreads_its_refutation(node):
    node.view.changes(0.0)
    node.receive_update(update(State.SUSPECT, refutation=3, incarnation=9, name="a"), 1.0)
    own = [each.member for each in node.view.changes(1.0) if each.member.identity == OWN]
    assert [(member.refutation, member.state) for member in own] == [(4, State.LIVE)]
    node.receive_update(update(State.SUSPECT, refutation=0, incarnation=9, name="a"), 2.0)
    assert node.view.member("a", 2.0).refutation == 4


def test_leaving_nodes_own_replicas_when_all_nodes_are_leaving(node):
    node.receive(0.0, state=State.LEAVING)
    assert names_of_owners(node) == ["a"]
    node.view.leave()
    assert names_of_owners(node) == ["a", "b"]


def test_demands_are_kept_between_the_beats_that_announce_them(node):
    demand = messages.TeamDemand(1, 50, 60)
    node.receive(0.0, beat=4, demands=(demand,))
    node.receive(0.5, beat=5)
    assert node.view.member("b", 0.5).demands == (demand,)
    node.receive(2.0, beat=8)
    assert node.view.member("b", 2.0).demands == ()


def test_a_node_that_is_long_gone_and_not_listed_is_forgotten(node):
    node.receive(0.0)
    node.view.expect_reply("b", 0.0)
    node.view.changes(20.0)
    node.view.changes(21.0 + membership_view.FORGET_AFTER_S)
    assert node.view.member("b", 700.0) is None


def test_a_view_without_changes_returns_the_same_members(node):
    """Guards against needless work, since instances read all members many times a second."""
    node.receive(0.0)
    assert node.view.members(0.1) is node.view.members(1.0)


def test_silence_alone_changes_the_cached_members(node):
    """Guards against a stopped node that stays live because no message arrives."""
    node.receive(0.1)
    node.view.expect_reply("b", 0.25)
    states = [node.view.members(now)[1].state for now in (2.2, 2.25, 20.2, 20.25)]
    assert states == [State.LIVE, State.SUSPECT, State.SUSPECT, State.GONE]


class ViewMachine(stateful.RuleBasedStateMachine):
    """The invariants hold for any order of lists, heartbeats, updates and silence."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.node = ObservedNode()
        self.incarnation = 1
        self.beat = 0
        self.leaving_incarnations = set()
        self.node.receive(0.0, incarnation=1, beat=0)

    def current(self):
        return self.node.view.member("b", self.now)

    @stateful.rule(seconds=strategies.floats(0, 30))
    def pass_time(self, seconds):
        self.now += seconds
        self.node.view.changes(self.now)

    @stateful.rule(present=strategies.booleans(), leaving=strategies.booleans())
    def list_is_read(self, present, leaving):
        before = self.current()
        self.node.view.apply_list((instance(leaving=leaving),) if present else ())
        if before and before.state in (State.LEAVING, State.GONE):
            assert self.current().state in (State.LEAVING, State.GONE)
        if present and leaving:
            self.leaving_incarnations.add(self.current().incarnation)

    @stateful.rule()
    def request_is_sent(self):
        self.node.view.expect_reply("b", self.now)

    @stateful.rule(leaving=strategies.booleans())
    def receive_heartbeat(self, leaving):
        self.beat += 1
        if leaving:
            self.leaving_incarnations.add(self.incarnation)
        state = State.LEAVING if leaving else State.LIVE
        self.node.receive(self.now, self.incarnation, beat=self.beat, state=state)
        assert self.current().state in (State.LIVE, State.LEAVING)

    @stateful.rule(lag=strategies.integers(0, 3))
    def receive_late_heartbeat(self, lag):
        # The codec has forgotten the previous incarnations of a gone node, and would accept
        # their heartbeats.
        member = self.current()
        if member is None or member.state is State.GONE:
            lag = 0
        self.node.receive(self.now, max(1, self.incarnation - lag), beat=max(0, self.beat - lag))

    @stateful.rule(state=strategies.sampled_from(State), number=strategies.integers(0, 3))
    def receive_update(self, state, number):
        if state is State.LEAVING:
            self.leaving_incarnations.add(self.incarnation)
        received = update(state, number, self.incarnation)
        self.node.receive_update(received, self.now)

    @stateful.rule()
    def restart(self):
        self.incarnation += 1
        self.beat = 0

    @stateful.invariant()
    def a_leaving_node_remains_so_until_its_incarnation_ends(self):
        member = self.current()
        if member and member.incarnation in self.leaving_incarnations:
            assert member.state in (State.LEAVING, State.GONE)

    @stateful.invariant()
    def cached_members_equal_those_evaluated_one_by_one(self):
        view = self.node.view
        cached = view.members(self.now)
        names = [member.identity.name for member in cached]
        assert names == sorted(names)
        assert ("b" in names) == (self.current() is not None)
        assert cached == tuple(view.member(name, self.now) for name in names)


TestViewMachine = ViewMachine.TestCase
TestViewMachine.settings = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=60, stateful_step_count=30
)
