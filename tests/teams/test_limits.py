import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from hornbeamglade.core import codederrors, outcomes
from hornbeamglade.teams import limits, shares, teamlimits

LIMIT = teamlimits.TeamLimit("t", 1.0, 0, requests_in_flight=10, tokens_in_flight=1000)


def single_node(limit=LIMIT):
    node = limits.TeamLimits("n1", shares.ShareSettings())
    node.configure([limit])
    node.set_shard("t", ("n1",))
    return node


def test_requests_are_limited():
    node = single_node()
    admissions = [node.admit("t", 1) for _ in range(10)]
    refusal = node.admit("t", 1)
    assert (refusal.code, refusal.http_status, refusal.run) == (
        "team_limit",
        429,
        outcomes.RunStatus.NOT_RUN,
    )
    assert refusal.retry_after_s > 0
    node.release(admissions[0])
    assert isinstance(node.admit("t", 1), limits.Admission)


def test_tokens_are_limited():
    node = single_node()
    node.admit("t", 900)
    assert node.admit("t", 200).code == "team_limit"
    assert isinstance(node.admit("t", 100), limits.Admission)


def test_refused_requests_count_as_demand_once():
    node = single_node()
    for _ in range(25):
        node.admit("t", 1)
    assert [node.heartbeat()[0].demand for _ in range(2)] == [2.5, 1.0]


def test_a_request_larger_than_the_limit_is_admitted_if_none_is_in_flight():
    node = single_node()
    assert isinstance(node.admit("t", 5000), limits.Admission)
    assert node.admit("t", 1).code == "team_limit"


def test_requests_in_flight_remain_counted_when_the_limit_changes():
    node = single_node()
    admissions = [node.admit("t", 1) for _ in range(5)]
    node.configure([teamlimits.TeamLimit("t", 1.0, 0, 5, 1000)])
    assert node.admit("t", 1).code == "team_limit"
    node.configure([])
    for each in admissions:
        node.release(each)
    node.configure([])
    with pytest.raises(codederrors.CodedError, match="team_unknown"):
        node.admit("t", 1)


def test_releasing_twice_raises_an_invariant_error():
    node = single_node()
    admission = node.admit("t", 1)
    node.release(admission)
    with pytest.raises(codederrors.InvariantError, match="team_left_twice"):
        node.release(admission)


SIZES = st.integers(1, 200)


class LimitsMachine(stateful.RuleBasedStateMachine):
    """Three nodes admit requests of one team; heartbeats are lost and nodes pause."""

    nodes = ("n1", "n2", "n3")

    def __init__(self):
        super().__init__()
        self.limits_by_node = {
            node: limits.TeamLimits(node, shares.ShareSettings()) for node in self.nodes
        }
        for each in self.limits_by_node.values():
            each.configure([LIMIT])
            each.set_shard("t", self.nodes)
        self.admissions = []

    @stateful.rule(node=st.sampled_from(nodes), count=st.integers(1, 12), tokens=SIZES)
    def admit(self, node, count, tokens):
        for _ in range(count):
            result = self.limits_by_node[node].admit("t", tokens)
            if isinstance(result, limits.Admission):
                self.admissions.append((node, result))

    @stateful.rule(count=st.integers(1, 5))
    def release(self, count):
        for node, admission in self.admissions[:count]:
            self.limits_by_node[node].release(admission)
        del self.admissions[:count]

    @stateful.rule(senders=st.permutations(nodes), unreached=st.sampled_from([None, *nodes]))
    def heartbeat(self, senders, unreached):
        for node in senders:
            for announced in self.limits_by_node[node].heartbeat():
                for recipient in set(self.nodes) - {node, unreached}:
                    self.limits_by_node[recipient].record_peer_share(node, announced)

    @stateful.invariant()
    def in_flight_stays_within_the_limit_and_one_request_per_node(self):
        in_flight = [self.limits_by_node[node].in_flight("t") for node in self.nodes]
        assert sum(in_flight) == len(self.admissions)
        assert sum(in_flight) <= LIMIT.requests_in_flight + len(self.nodes)


TestLimitsMachine = LimitsMachine.TestCase
TestLimitsMachine.settings = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=60, stateful_step_count=40
)
