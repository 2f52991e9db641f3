import collections

import hypothesis
from hypothesis import strategies

from hornbeamglade.membership import ownership

REPLICAS = [ownership.Participant(f"engine-{number}", f"d{number % 3}") for number in range(60)]
NODES = [ownership.Participant(f"n{number}", f"d{number % 3}") for number in range(9)]
_SUBSETS = strategies.lists(strategies.sampled_from(NODES), unique=True)


@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=50)
@hypothesis.given(strategies.lists(_SUBSETS, min_size=1, max_size=6), strategies.integers(0, 60))
def test_updates_in_any_order_come_to_the_same_owners_as_ranking_anew(steps, kept_replicas):
    kept = ownership.Ownership()
    for nodes in steps:
        kept.update(REPLICAS, nodes)
    kept.update(REPLICAS[:kept_replicas], steps[-1])
    for replica in REPLICAS[:kept_replicas]:
        assert kept.owner(replica.name) == ownership.owner(replica, steps[-1])
    assert not any(kept.owner(replica.name) for replica in REPLICAS[kept_replicas:])


def test_a_lost_node_moves_only_its_own_replicas():
    kept = ownership.Ownership()
    kept.update(REPLICAS, NODES)
    held = kept.owned_by("n0")
    moves = kept.update(REPLICAS, NODES[1:])
    assert {move.replica for move in moves} == held != set()
    assert all(move.before == "n0" and move.after != "n0" for move in moves)


def test_a_node_that_moved_to_another_domain_is_ranked_anew():
    kept = ownership.Ownership()
    kept.update(REPLICAS, NODES)
    moved = [ownership.Participant("n0", "d2"), *NODES[1:]]
    kept.update(REPLICAS, moved)
    for replica in REPLICAS:
        assert kept.owner(replica.name) == ownership.owner(replica, moved)


def test_owners_are_mostly_near_and_no_node_holds_far_more_than_its_share():
    kept = ownership.Ownership()
    replicas = [ownership.Participant(f"engine-{n}", f"d{n % 3}") for n in range(900)]
    kept.update(replicas, NODES)
    domain_by_node = {node.name: node.failure_domain for node in NODES}
    near = sum(domain_by_node[kept.owner(r.name)] == r.failure_domain for r in replicas)
    assert 0.6 < near / 900 < 0.73
    held = collections.Counter(kept.owner(replica.name) for replica in replicas)
    assert max(held.values()) < 1.4 * 100


def engines(count, domains=2):
    return [ownership.Participant(f"engine-{n}", f"d{n % domains}") for n in range(count)]


def assign_groups(places):
    return ownership.assign_groups(places, lambda name: "chat")


def test_a_group_has_one_owner_also_after_a_loss():
    # Its owner chooses among all of it; cut in two, each half would seem to be all.
    kept = ownership.Ownership()
    places = assign_groups(engines(20))
    for nodes in (NODES, NODES[1:], NODES[2:]):
        kept.update(places, nodes)
        owners_by_group = collections.defaultdict(set)
        for place in places:
            owners_by_group[place.group].add(kept.owner(place.name))
        assert all(len(owners) == 1 for owners in owners_by_group.values())


def test_groups_stay_small_and_one_engine_more_moves_no_other():
    places = assign_groups(engines(200))
    sizes = collections.Counter(place.group for place in places)
    assert max(sizes.values()) < 2 * ownership.MAX_GROUP_SIZE
    more = {place.name: place.group for place in assign_groups(engines(202))}
    assert all(more[place.name] == place.group for place in places)
