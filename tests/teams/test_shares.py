import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from hornbeamglade.teams import shares, teamlimits

NODES = ("n1", "n2", "n3")


def controllers(nodes=NODES, floor_share=0.25):
    settings = shares.ShareSettings(floor_share)
    controller_by_node = {node: shares.ShareController("t", node, settings) for node in nodes}
    for controller in controller_by_node.values():
        controller.set_shard(nodes)
    return controller_by_node


def announce(nodes, node, demand, used, recipients):
    announced = nodes[node].adjust(demand, used)
    for recipient in recipients:
        if recipient != node:
            nodes[recipient].record_peer_share(node, announced)
    return announced


def run_rounds(nodes, demand_by_node, rounds):
    for _ in range(rounds):
        for node, demand in demand_by_node.items():
            used = min(demand, nodes[node].share)
            announce(nodes, node, demand, used, nodes)


def test_idle_nodes_share_the_limit_evenly():
    nodes = controllers()
    run_rounds(nodes, dict.fromkeys(NODES, 0.0), 40)
    assert [controller.share for controller in nodes.values()] == pytest.approx(
        [1 / 3] * 3, abs=0.02
    )


def test_share_follows_the_demand():
    nodes = controllers()
    run_rounds(nodes, {"n1": 2.0, "n2": 0.0, "n3": 0.0}, 60)
    assert nodes["n1"].share > 0.8
    run_rounds(nodes, {"n1": 0.0, "n2": 2.0, "n3": 0.0}, 60)
    assert nodes["n2"].share > 0.8


def test_competing_demands_split_the_limit():
    nodes = controllers()
    run_rounds(nodes, {"n1": 2.0, "n2": 2.0, "n3": 2.0}, 60)
    assert [controller.share for controller in nodes.values()] == pytest.approx(
        [1 / 3] * 3, abs=0.02
    )


def leave_part_unclaimed(nodes):
    """Let n2 lower its share because of n1's demand, so that a part of the limit is unclaimed."""
    run_rounds(nodes, {"n1": 0.0, "n2": 0.0}, 40)
    announce(nodes, "n1", 3.0, 0.5, recipients=nodes)
    announce(nodes, "n2", 0.0, 0.0, recipients=nodes)


def total(nodes):
    return sum(controller.share for controller in nodes.values())


def test_no_share_is_raised_without_recent_announcements_of_every_node():
    # A link fails in one direction: n1 receives the heartbeats of n2 and claims the part that
    # n2 has released, but n2 does not receive those of n1. If n2 claimed the same part when its
    # demand returns, the team would have far more in flight than its limit.
    nodes = controllers(("n1", "n2"))
    leave_part_unclaimed(nodes)
    for _ in range(20):
        announce(nodes, "n1", 3.0, 0.5, recipients=())
        announce(nodes, "n2", 0.0, 0.0, recipients=nodes)
    assert nodes["n1"].share > 0.8
    announce(nodes, "n2", 3.0, 0.0, recipients=nodes)
    assert total(nodes) <= 1.0 + 1e-9


@pytest.mark.parametrize("rounds", [1, 2])
def test_simultaneous_raises_do_not_exceed_the_limit(rounds):
    # Both nodes get demand within the same second, and each sees the same unclaimed part. It
    # must not claim all of it before it receives the other's announcement, nor raise again too
    # early.
    nodes = controllers(("n1", "n2"))
    leave_part_unclaimed(nodes)
    before = nodes["n1"].share
    for _ in range(rounds):
        announce(nodes, "n1", 3.0, 0.5, recipients=())
    announce(nodes, "n2", 3.0, 0.0, recipients=())
    assert nodes["n1"].share > before
    assert total(nodes) <= 1.0 + 1e-9


def test_floor_of_another_node_is_reserved():
    controller = controllers()["n1"]
    for _ in range(60):
        controller.record_peer_share("n2", teamlimits.TeamShare("t", 0.7, 0.0))
        controller.record_peer_share("n3", teamlimits.TeamShare("t", 0.0, 0.0))
        controller.adjust(demand=3.0, used=0.0)
    assert controller.share == pytest.approx(0.3 - 0.25 / 3, abs=0.01)


def test_announces_the_part_that_is_still_in_flight():
    # A team's callers change to another node while long generations still run at the first. If
    # the second node claimed the whole part at once, the engines would run the team's limit
    # twice.
    nodes = controllers(("n1", "n2"))
    run_rounds(nodes, {"n1": 2.0, "n2": 0.0}, 60)
    for _ in range(20):
        announce(nodes, "n1", demand=0.0, used=0.8, recipients=nodes)
        announce(nodes, "n2", demand=2.0, used=0.2, recipients=nodes)
    assert nodes["n1"].share < 0.3
    assert nodes["n2"].share <= 0.2 + 1e-9


def test_node_outside_the_shard_has_the_floor():
    nodes = controllers()
    nodes["n1"].set_shard(("n2", "n3"))
    run_rounds(nodes, {"n1": 2.0, "n2": 0.0, "n3": 0.0}, 20)
    assert nodes["n1"].share == pytest.approx(0.25 / 3)


def test_single_node_has_the_whole_limit():
    assert controllers(("n1",))["n1"].share == 1.0


def test_node_without_shard_has_no_share():
    assert shares.ShareController("t", "n1", shares.ShareSettings()).share == 0.0


class SharesMachine(stateful.RuleBasedStateMachine):
    """For any order and loss of announcements, the shares sum to at most the limit."""

    def __init__(self):
        super().__init__()
        self.nodes = controllers(("n1", "n2"), floor_share=0.1)
        self.demand = {"n1": 0.0, "n2": 0.0}

    @stateful.rule(node=st.sampled_from(["n1", "n2"]), demand=st.sampled_from([0.0, 0.5, 3.0]))
    def demand_changes(self, node, demand):
        self.demand[node] = demand

    @stateful.rule(
        first=st.sampled_from(["n1", "n2"]),
        received=st.tuples(st.booleans(), st.booleans()),
        rounds=st.integers(1, 4),
    )
    def rounds_pass(self, first, received, rounds):
        second = {"n1": "n2", "n2": "n1"}[first]
        for _ in range(rounds):
            for node, is_received in zip((first, second), received, strict=True):
                used = min(self.demand[node], self.nodes[node].share)
                announce(
                    self.nodes, node, self.demand[node], used, self.nodes if is_received else ()
                )

    @stateful.rule(node=st.sampled_from(["n1", "n2"]))
    def one_announces_while_the_other_is_paused(self, node):
        announce(self.nodes, node, self.demand[node], 0.0, self.nodes)

    @stateful.invariant()
    def sums_to_at_most_the_limit(self):
        assert total(self.nodes) <= 1.0 + 1e-9


TestSharesMachine = SharesMachine.TestCase
TestSharesMachine.settings = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=150, stateful_step_count=30
)


def test_announcement_of_a_node_outside_the_shard_is_ignored():
    controller = controllers(("n1", "n2"))["n1"]
    for _ in range(5):
        controller.record_peer_share("n9", teamlimits.TeamShare("t", 0.9, 3.0))
        controller.record_peer_share("n2", teamlimits.TeamShare("t", 0.125, 0.0))
    assert controller.adjust(demand=1.0, used=0.0).share > 0.4
