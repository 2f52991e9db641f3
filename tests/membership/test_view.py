import hypothesis
import pytest
from hypothesis import stateful, strategies

from hornbeamglade.exchange import codec, messages
from hornbeamglade.membership import view as membership_view
from hornbeamglade.store import contract

State = messages.NodeState
OWN = membership_view.Identity("a", "d1", "10.0.0.1:80", "10.0.0.1:7000")


def names_of_owners(watch):
    return [m.identity.name for m in membership_view.owner_candidates(watch.view.members(0.0))]


def instance(name="b", leaving=False):
    return contract.Instance(name, "d2", f"{name}:80", f"{name}:7000", leaving)


def heartbeat(beat=1, state=State.LIVE, **more):
    return messages.Heartbeat(state, beat, 1, "d2", "b:80", "b:7000", **more)


def update(state, refutation=0, incarnation=5, name="b"):
    return messages.MembershipUpdate(messages.key_hash(name), incarnation, refutation, state)


class Watch:
    """A view, with the node b at incarnation 5 and the node c that tells of it."""

    def __init__(self):
        self.view = membership_view.MembershipView(OWN, incarnation=9)

    def hear(self, now, incarnation=5, **content):
        self.view.record_heartbeat(codec.Sender("b", incarnation), heartbeat(**content), now)

    def tell(self, told, now):
        self.view.record_heartbeat(codec.Sender("c", 1), heartbeat(updates=(told,)), now)

    def state(self, now):
        return self.view.member("b", now).state


@pytest.fixture
def watch():
    return Watch()


def test_a_listed_node_is_live_until_a_question_stays_unanswered(watch):
    watch.view.apply_list((instance(),))
    assert watch.state(1000.0) is State.LIVE
    watch.view.expect_reply("b", 1000.0)
    assert watch.state(1002.0) is State.SUSPECT
    assert watch.state(1020.0) is State.GONE


def test_an_overtaken_heartbeat_does_not_replace_a_newer_one(watch):
    watch.hear(0.0, beat=2)
    watch.hear(0.1, beat=1)
    assert watch.view.member("b", 0.1).heartbeat.beat == 2


def test_a_node_that_is_heard_but_not_listed_is_live(watch):
    watch.view.apply_list(())
    watch.hear(0.0)
    assert watch.state(0.0) is State.LIVE
    assert watch.view.member("b", 0.0).identity.address == "b:80"


def test_the_list_does_not_bring_back_a_node_that_died(watch):
    # A node is reclaimed. The platform's list names it for another minute. Taken at
    # its word, callers would be sent to the dead node again and again.
    watch.hear(0.0)
    watch.view.expect_reply("b", 0.0)
    watch.view.changes(20.0)
    watch.view.apply_list((instance(),))
    assert watch.state(21.0) is State.GONE
    watch.view.changes(2000.0)
    assert watch.state(2000.0) is State.GONE


def test_the_list_does_not_undo_a_leaving(watch):
    # A node drains; the lagging list still has it as live. Named to callers, it
    # would never come to its end.
    watch.hear(0.0, state=State.LEAVING)
    watch.view.apply_list((instance(leaving=False),))
    assert watch.state(1.0) is State.LEAVING


def test_a_listed_leaving_stays_when_the_list_flaps(watch):
    watch.hear(0.0)
    watch.view.apply_list((instance(leaving=True),))
    watch.view.apply_list((instance(leaving=False),))
    assert watch.state(2.0) is State.LEAVING


def test_an_overtaken_heartbeat_does_not_undo_a_leaving(watch):
    watch.hear(0.0, beat=2, state=State.LEAVING)
    watch.hear(0.1, beat=1)
    assert watch.state(0.1) is State.LEAVING


def test_a_new_incarnation_is_live_and_a_former_one_is_not_heard(watch):
    watch.hear(0.0, state=State.LEAVING)
    watch.hear(1.0, incarnation=6)
    assert watch.state(1.0) is State.LIVE
    watch.hear(2.0, incarnation=5, state=State.LEAVING)
    assert watch.state(2.0) is State.LIVE


def test_a_node_held_for_gone_is_live_once_it_is_heard(watch):
    # A partition heals. Both sides held each other for dead.
    watch.hear(0.0)
    watch.view.expect_reply("b", 0.0)
    assert watch.state(20.0) is State.GONE
    watch.hear(20.0, beat=2)
    assert watch.state(20.0) is State.LIVE


def test_a_replaced_node_with_a_lower_incarnation_is_heard_after_the_former_is_gone(watch):
    watch.hear(0.0)
    watch.view.expect_reply("b", 0.0)
    watch.hear(100.0, incarnation=4)
    assert watch.state(100.0) is State.LIVE


def test_an_echo_of_a_refuted_suspicion_is_not_taken(watch):
    # A rumour of a lost heartbeat outlives its refutation. Believed, the healthy node
    # would lose and win its replicas with each echo.
    watch.hear(0.0, refutation=1)
    watch.tell(update(State.SUSPECT, refutation=0), 5.0)
    assert watch.state(5.0) is State.LIVE


def test_a_suspicion_of_a_node_heard_just_now_is_not_taken(watch):
    watch.hear(0.0)
    watch.tell(update(State.GONE), 0.5)
    assert watch.state(0.5) is State.LIVE


def test_a_rumour_of_a_former_incarnation_is_not_taken(watch):
    watch.hear(0.0)
    watch.tell(update(State.LEAVING, incarnation=4), 5.0)
    assert watch.state(5.0) is State.LIVE


def test_a_suspicion_spreads_and_a_refutation_ends_it(watch):
    watch.hear(0.0)
    watch.tell(update(State.SUSPECT), 5.0)
    assert watch.state(5.0) is State.SUSPECT
    watch.tell(update(State.LIVE), 6.0)
    assert watch.state(6.0) is State.SUSPECT
    watch.tell(update(State.LIVE, refutation=1), 7.0)
    assert watch.state(7.0) is State.LIVE


def test_hearsay_does_not_answer_ones_own_question(watch):
    # The link from here to the node stalls, others reach it. Live by hearsay, it would
    # be asked for grants in vain, and each request would wait out the time-out.
    watch.hear(0.0)
    watch.view.expect_reply("b", 1.0)
    watch.tell(update(State.LIVE, refutation=1), 4.0)
    assert watch.state(4.0) is State.SUSPECT


def test_a_suspected_node_spreads_its_refutation(watch):
    watch.view.changes(0.0)
    watch.tell(update(State.SUSPECT, refutation=3, incarnation=9, name="a"), 1.0)
    own = [c.member for c in watch.view.changes(1.0) if c.member.identity == OWN]
    assert [(member.refutation, member.state) for member in own] == [(4, State.LIVE)]
    watch.tell(update(State.SUSPECT, refutation=0, incarnation=9, name="a"), 2.0)
    assert watch.view.member("a", 2.0).refutation == 4


def test_the_last_nodes_own_replicas_though_all_leave(watch):
    watch.hear(0.0, state=State.LEAVING)
    assert names_of_owners(watch) == ["a"]
    watch.view.leave()
    assert names_of_owners(watch) == ["a", "b"]


def test_demands_are_kept_between_the_beats_that_tell_them(watch):
    demand = messages.TeamDemand(1, 50, 60)
    watch.hear(0.0, beat=4, demands=(demand,))
    watch.hear(0.5, beat=5)
    assert watch.view.member("b", 0.5).demands == (demand,)
    watch.hear(2.0, beat=8)
    assert watch.view.member("b", 2.0).demands == ()


def test_a_node_long_gone_and_not_listed_is_forgotten(watch):
    watch.hear(0.0)
    watch.view.expect_reply("b", 0.0)
    watch.view.changes(20.0)
    watch.view.changes(21.0 + membership_view.FORGET_AFTER_S)
    assert watch.view.member("b", 700.0) is None


def test_a_view_in_which_nothing_happens_gives_the_same_members(watch):
    """Instances look at all members many times a second, and little happens in between."""
    watch.hear(0.0)
    assert watch.view.members(0.1) is watch.view.members(1.0)


def test_silence_alone_changes_the_members_kept(watch):
    """A node stops without a word: nothing comes in, and yet it must become suspect."""
    watch.hear(0.1)
    watch.view.expect_reply("b", 0.25)
    states = [watch.view.members(now)[1].state for now in (2.2, 2.25, 20.2, 20.25)]
    assert states == [State.LIVE, State.SUSPECT, State.SUSPECT, State.GONE]


class ViewMachine(stateful.RuleBasedStateMachine):
    """Any order of list, heartbeats, rumours and silence keeps the promises."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.watch = Watch()
        self.incarnation = 1
        self.beat = 0
        self.left = set()
        self.watch.hear(0.0, incarnation=1, beat=0)

    def current(self):
        return self.watch.view.member("b", self.now)

    @stateful.rule(seconds=strategies.floats(0, 30))
    def pass_time(self, seconds):
        self.now += seconds
        self.watch.view.changes(self.now)

    @stateful.rule(present=strategies.booleans(), leaving=strategies.booleans())
    def list_is_read(self, present, leaving):
        before = self.current()
        self.watch.view.apply_list((instance(leaving=leaving),) if present else ())
        if before and before.state in (State.LEAVING, State.GONE):
            assert self.current().state in (State.LEAVING, State.GONE)
        if present and leaving:
            self.left.add(self.current().incarnation)

    @stateful.rule()
    def ask(self):
        self.watch.view.expect_reply("b", self.now)

    @stateful.rule(leaving=strategies.booleans())
    def hear(self, leaving):
        self.beat += 1
        if leaving:
            self.left.add(self.incarnation)
        state = State.LEAVING if leaving else State.LIVE
        self.watch.hear(self.now, self.incarnation, beat=self.beat, state=state)
        assert self.current().state in (State.LIVE, State.LEAVING)

    @stateful.rule(lag=strategies.integers(0, 3))
    def hear_an_overtaken_heartbeat(self, lag):
        # Of a node held for gone the codec has forgotten the former runs, see above.
        member = self.current()
        if member is None or member.state is State.GONE:
            lag = 0
        self.watch.hear(self.now, max(1, self.incarnation - lag), beat=max(0, self.beat - lag))

    @stateful.rule(state=strategies.sampled_from(State), number=strategies.integers(0, 3))
    def hear_a_rumour(self, state, number):
        if state is State.LEAVING:
            self.left.add(self.incarnation)
        told = update(state, number, self.incarnation)
        self.watch.tell(told, self.now)

    @stateful.rule()
    def restart(self):
        self.incarnation += 1
        self.beat = 0

    @stateful.invariant()
    def a_leaving_mark_holds_for_its_incarnation(self):
        member = self.current()
        if member and member.incarnation in self.left:
            assert member.state in (State.LEAVING, State.GONE)

    @stateful.invariant()
    def the_members_kept_are_those_that_a_look_at_each_would_give(self):
        view = self.watch.view
        kept = view.members(self.now)
        names = [member.identity.name for member in kept]
        assert names == sorted(names)
        assert ("b" in names) == (self.current() is not None)
        assert kept == tuple(view.member(name, self.now) for name in names)


TestViewMachine = ViewMachine.TestCase
TestViewMachine.settings = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=60, stateful_step_count=30
)
