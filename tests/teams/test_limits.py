import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from hornbeamglade.core import codederrors, outcomes
from hornbeamglade.teams import limits, shares, teamlimits

LIMIT = teamlimits.TeamLimit("t", 1.0, 0, requests_in_flight=10, tokens_in_flight=1000)


def alone(limit=LIMIT):
    made = limits.TeamLimits("n1", shares.ShareSettings())
    made.configure([limit])
    made.set_shard("t", ("n1",))
    return made


def test_requests_are_limited():
    made = alone()
    admissions = [made.admit("t", 1) for _ in range(10)]
    refused = made.admit("t", 1)
    assert (refused.code, refused.http_status, refused.run) == (
        "team_limit",
        429,
        outcomes.RunStatus.NOT_RUN,
    )
    assert refused.retry_after_s > 0
    made.release(admissions[0])
    assert isinstance(made.admit("t", 1), limits.Admission)


def test_tokens_are_limited():
    made = alone()
    made.admit("t", 900)
    assert made.admit("t", 200).code == "team_limit"
    assert isinstance(made.admit("t", 100), limits.Admission)


def test_refused_requests_count_as_demand_once():
    made = alone()
    for _ in range(25):
        made.admit("t", 1)
    assert [made.heartbeat()[0].demand for _ in range(2)] == [2.5, 1.0]


def test_request_larger_than_the_limit_may_run_alone():
    made = alone()
    assert isinstance(made.admit("t", 5000), limits.Admission)
    assert made.admit("t", 1).code == "team_limit"


def test_changed_limit_keeps_count_of_what_is_in_flight():
    made = alone()
    admissions = [made.admit("t", 1) for _ in range(5)]
    made.configure([teamlimits.TeamLimit("t", 1.0, 0, 5, 1000)])
    assert made.admit("t", 1).code == "team_limit"
    made.configure([])
    for each in admissions:
        made.release(each)
    made.configure([])
    with pytest.raises(codederrors.CodedError, match="team_unknown"):
        made.admit("t", 1)


def test_leaving_twice_breaks_an_invariant():
    made = alone()
    admission = made.admit("t", 1)
    made.release(admission)
    with pytest.raises(codederrors.InvariantError, match="team_left_twice"):
        made.release(admission)


SIZES = st.integers(1, 200)


class LimitsMachine(stateful.RuleBasedStateMachine):
    """Three nodes admit for one team; heartbeats are lost and nodes pause."""

    nodes = ("n1", "n2", "n3")

    def __init__(self):
        super().__init__()
        self.made = {node: limits.TeamLimits(node, shares.ShareSettings()) for node in self.nodes}
        for each in self.made.values():
            each.configure([LIMIT])
            each.set_shard("t", self.nodes)
        self.admissions = []

    @stateful.rule(node=st.sampled_from(nodes), count=st.integers(1, 12), tokens=SIZES)
    def enter(self, node, count, tokens):
        for _ in range(count):
            result = self.made[node].admit("t", tokens)
            if isinstance(result, limits.Admission):
                self.admissions.append((node, result))

    @stateful.rule(count=st.integers(1, 5))
    def leave(self, count):
        for node, admission in self.admissions[:count]:
            self.made[node].release(admission)
        del self.admissions[:count]

    @stateful.rule(beaten=st.permutations(nodes), unheard=st.sampled_from([None, *nodes]))
    def heartbeat(self, beaten, unheard):
        for node in beaten:
            for said in self.made[node].heartbeat():
                for hearer in set(self.nodes) - {node, unheard}:
                    self.made[hearer].record_peer_share(node, said)

    @stateful.invariant()
    def in_flight_stays_within_the_limit_and_one_request_a_node(self):
        in_flight = [self.made[node].in_flight("t") for node in self.nodes]
        assert sum(in_flight) == len(self.admissions)
        assert sum(in_flight) <= LIMIT.requests_in_flight + len(self.nodes)


TestLimitsMachine = LimitsMachine.TestCase
TestLimitsMachine.settings = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=60, stateful_step_count=40
)
