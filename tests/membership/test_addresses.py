import collections

from hornbeamglade.exchange import messages
from hornbeamglade.membership import addresses
from hornbeamglade.membership import view as membership_view

State = messages.NodeState


def member(number, state=State.LIVE):
    identity = membership_view.Identity(f"n{number}", f"d{number % 3}", f"10.0.0.{number}:80", "")
    return membership_view.Member(identity, 1, 1, 0, state, None, None)


MEMBERS = tuple(member(number) for number in range(9))


def names(shard):
    return {each.identity.name for each in shard}


def test_a_shard_is_spread_over_failure_domains():
    shard = addresses.shard_members("clerks", MEMBERS, share=1 / 6)
    assert len({each.identity.failure_domain for each in shard}) == len(shard) == 3


def test_a_leaving_node_is_excluded():
    # Callers cache the address list, so new callers would keep the leaving node from stopping.
    leaving = tuple(member(number, State.LEAVING if number else State.LIVE) for number in range(3))
    selection = addresses.select_addresses("clerks", leaving, 1.0, rotation=0, ttl_s=30)
    assert selection == addresses.AddressSelection(("10.0.0.0:80",), 30)


def test_suspects_and_then_leaving_nodes_are_returned_when_no_node_is_live():
    states = (State.GONE, State.LEAVING, State.SUSPECT)
    members = tuple(member(number, state) for number, state in enumerate(states))
    assert addresses.select_addresses("clerks", members, 1.0, 0, 30).addresses == ("10.0.0.2:80",)
    assert addresses.select_addresses("clerks", members[:2], 1.0, 0, 30).addresses == (
        "10.0.0.1:80",
    )
    assert addresses.select_addresses("clerks", members[:1], 1.0, 0, 30).addresses == ()


def test_callers_of_a_team_start_evenly_at_the_nodes_of_its_shard():
    firsts = collections.Counter(
        addresses.select_addresses("clerks", MEMBERS, 1 / 6, rotation, 30).addresses[0]
        for rotation in range(30)
    )
    assert set(firsts.values()) == {10}


def test_a_lost_node_changes_the_shards_of_few_teams():
    teams = [f"team-{number}" for number in range(200)]
    before = {team: names(addresses.shard_members(team, MEMBERS, 0.0)) for team in teams}
    after = {team: names(addresses.shard_members(team, MEMBERS[1:], 0.0)) for team in teams}
    assert all("n0" in before[team] for team in teams if before[team] != after[team])
