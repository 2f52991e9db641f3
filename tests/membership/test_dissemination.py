import random

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, messages
from hornbeamglade.membership import dissemination
from hornbeamglade.membership import view as membership_view
from hornbeamglade.store import contract

State = messages.NodeState
IP_AND_UDP_HEADER_BYTES = 28
BUDGET_BYTES_PER_SECOND = 3000


def make_view(nodes):
    own = membership_view.Identity("n0", "d", "", "")
    view = membership_view.MembershipView(own, 1)
    names = [f"n{number}" for number in range(nodes)]
    view.apply_list(tuple(contract.Instance(n, "d", "", "", False) for n in names))
    return view


def others(view):
    return [member for member in view.members(0.0) if member.identity.name != "n0"]


def names_of(targets):
    return [target.member.identity.name for target in targets]


def test_a_small_cluster_sends_to_every_node():
    view = make_view(6)
    scheduler = dissemination.Dissemination(random.Random(1))
    assert names_of(scheduler.plan(others(view), 0.0)) == ["n1", "n2", "n3", "n4", "n5"]
    assert not scheduler.is_due(0.4)
    assert scheduler.is_due(0.5)


def test_a_large_cluster_samples_peers_and_reaches_each_within_a_bounded_time():
    view = make_view(21)
    scheduler = dissemination.Dissemination(random.Random(1))
    rounds = [scheduler.plan(others(view), float(number)) for number in range(10)]
    assert all(len(targets) == dissemination.FANOUT for targets in rounds)
    assert len({name for targets in rounds for name in names_of(targets)}) == 20


def test_an_update_is_spread_for_a_bounded_number_of_rounds():
    view = make_view(6)
    scheduler = dissemination.Dissemination(random.Random(1))
    (change,) = [each for each in view.changes(0.0) if each.member.incarnation]
    scheduler.add_change(change, nodes=6)
    rounds = 0
    while scheduler.updates():
        scheduler.plan(others(view), 3.0)
        rounds += 1
    assert rounds == dissemination.UPDATE_ROUNDS_FACTOR * 3


@pytest.mark.parametrize("nodes", [24, 90, 360])
def test_heartbeats_stay_within_the_control_traffic_budget(nodes):
    # The budget covers sent and received heartbeats, with five replicas per node and the
    # maximum number of demands.
    clock = clocks.ManualClock(1.8e9)
    ring = codec.KeyRing(1, {1: b"the site key of this year"})
    sender = codec.Codec("entry-017", 1_800_000_000_000, ring, clock)
    clock.advance(86_400.0)
    large = 2**64 // 3
    digests = (messages.ReplicaDigest(large, 400_000, 20, 3000),) * 5
    demands = (messages.TeamDemand(large, 10_000, 2**16 - 1),) * messages.MAX_DEMANDS
    identity = ("domain-3", "10.20.30.40:8080", "10.20.30.40:7000")
    demands_by_beat = [demands] + [()] * (messages.DEMANDS_INTERVAL_BEATS - 1)
    frames = [
        sender.encode(
            "entry-018",
            messages.Heartbeat(State.LIVE, 172_800, 4096, *identity, False, digests, announced),
        )
        for announced in demands_by_beat
    ]
    mean = sum(map(len, frames)) / len(frames) + IP_AND_UDP_HEADER_BYTES
    assert 2 * dissemination.heartbeats_per_second(nodes) * mean < BUDGET_BYTES_PER_SECOND


def test_rounds_between_owners_are_bounded_and_add_nothing_to_a_small_cluster():
    # At a site with an owner in each of many failure domains, the rounds would otherwise cost
    # each owner more than all its other heartbeats.
    for nodes, sent in ((6, 0), (40, dissemination.MAX_CO_OWNERS)):
        members = others(make_view(nodes))
        scheduler = dissemination.Dissemination(random.Random(1))
        scheduler.set_co_owners(member.identity.name for member in members)
        scheduler.plan(members, 0.0)
        assert len(scheduler.plan_owner_round(members, 0.0)) == sent
        assert not scheduler.plan_owner_round(members, 0.2)
