import collections

import hypothesis
from hypothesis import strategies

from hornbeamglade.membership import ownership

REPLICAS = [ownership.Participant(f"engine-{number}", f"d{number % 3}") for number in range(60)]
NODES = [ownership.Participant(f"n{number}", f"d{number % 3}") for number in range(9)]
_SUBSETS = strategies.lists(strategies.sampled_from(NODES), unique=True)


@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=50)
@hypothesis.given(strategies.lists(_SUBSETS, min_size=1, max_size=6), strategies.integers(0, 60))
def test_incremental_updates_give_the_same_owners_as_a_full_ranking(steps, kept_replicas):
    assignment = ownership.Ownership()
    for nodes in steps:
        assignment.update(REPLICAS, nodes)
    assignment.update(REPLICAS[:kept_replicas], steps[-1])
    for replica in REPLICAS[:kept_replicas]:
        assert assignment.owner(replica.name) == ownership.owner(replica, steps[-1])
    assert not any(assignment.owner(replica.name) for replica in REPLICAS[kept_replicas:])


def test_a_lost_node_moves_only_its_own_replicas():
    assignment = ownership.Ownership()
    assignment.update(REPLICAS, NODES)
    owned = assignment.owned_by("n0")
    changes = assignment.update(REPLICAS, NODES[1:])
    assert {change.replica for change in changes} == owned != set()
    assert all(change.before == "n0" and change.after != "n0" for change in changes)


def test_a_node_that_moved_to_another_domain_is_ranked_again():
    assignment = ownership.Ownership()
    assignment.update(REPLICAS, NODES)
    moved = [ownership.Participant("n0", "d2"), *NODES[1:]]
    assignment.update(REPLICAS, moved)
    for replica in REPLICAS:
        assert assignment.owner(replica.name) == ownership.owner(replica, moved)


def test_most_owners_are_in_the_replicas_domain_and_the_load_is_balanced():
    assignment = ownership.Ownership()
    replicas = [ownership.Participant(f"engine-{n}", f"d{n % 3}") for n in range(900)]
    assignment.update(replicas, NODES)
    domain_by_node = {node.name: node.failure_domain for node in NODES}
    local = sum(domain_by_node[assignment.owner(r.name)] == r.failure_domain for r in replicas)
    assert 0.6 < local / 900 < 0.73
    count_by_owner = collections.Counter(assignment.owner(replica.name) for replica in replicas)
    assert max(count_by_owner.values()) < 1.4 * 100


def engines(count, domains=2):
    return [ownership.Participant(f"engine-{n}", f"d{n % domains}") for n in range(count)]


def with_groups(replicas):
    return ownership.assign_groups(replicas, lambda name: "chat")


def test_a_group_has_one_owner_before_and_after_the_loss_of_nodes():
    # The owner selects the best replica of the group. With two owners, each would select
    # from its part of the group only.
    assignment = ownership.Ownership()
    replicas = with_groups(engines(20))
    for nodes in (NODES, NODES[1:], NODES[2:]):
        assignment.update(replicas, nodes)
        owners_by_group = collections.defaultdict(set)
        for replica in replicas:
            owners_by_group[replica.group].add(assignment.owner(replica.name))
        assert all(len(owners) == 1 for owners in owners_by_group.values())


def test_group_size_is_bounded_and_added_engines_do_not_change_other_groups():
    replicas = with_groups(engines(200))
    sizes = collections.Counter(replica.group for replica in replicas)
    assert max(sizes.values()) < 2 * ownership.MAX_GROUP_SIZE
    group_by_name = {replica.name: replica.group for replica in with_groups(engines(202))}
    assert all(group_by_name[replica.name] == replica.group for replica in replicas)
