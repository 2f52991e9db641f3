"""Selection of the nodes that follow the store, and of the nodes that they notify."""

import collections

import pytest

from hornbeamglade.membership import dissemination, followers


def names(count):
    return [f"entry-{number:03}" for number in range(count)]


def test_all_nodes_follow_up_to_the_maximum_size_of_the_full_mesh():
    nodes = names(dissemination.FULL_MESH_MAX_NODES)
    assert followers.select(nodes) == frozenset(nodes)


@pytest.mark.parametrize("count", [17, 82, 360])
def test_each_node_is_notified_by_two_followers_with_balanced_load(count):
    """Guards against a follower that notifies far more nodes than the others do.

    It would announce a change late, and the last of its nodes would still send requests by
    the previous configuration.
    """
    nodes = names(count)
    selected = followers.select(nodes)
    count_by_follower = collections.Counter()
    for node in nodes:
        notifiers = followers.notifiers(node, selected)
        assert len(notifiers) == (0 if node in selected else followers.NOTIFIERS)
        assert set(notifiers) <= selected
        count_by_follower.update(notifiers)
    mean = sum(count_by_follower.values()) / len(selected)
    assert max(count_by_follower.values()) < 2.5 * mean


@pytest.mark.parametrize("count", [17, 59, 195, 360])
def test_few_nodes_follow_and_after_a_loss_each_node_is_still_notified_by_two(count):
    """Guards against the cost of many followers, and against late changes after a loss.

    At a site of hundreds of nodes the store calls of each follower are billed. After the loss
    of a follower, until another is selected, every node must still be notified by two, or one
    lost datagram delays a change by a second.
    """
    nodes = names(count)
    selected = followers.select(nodes)
    assert len(selected) <= max(followers.MIN_FOLLOWERS, count / 20)
    for lost in selected:
        left = selected - {lost}
        assert all(len(followers.notifiers(node, left)) == 2 for node in nodes if node not in left)


@pytest.mark.parametrize("count", [17, 59, 82])
def test_a_random_third_of_the_nodes_is_unlikely_to_contain_all_followers(count):
    """Guards against an outage of the store for all followers at once.

    The store refuses a random third of the nodes for eight seconds. If all followers were
    among them, no node at the site would learn that an engine is leaving.
    """
    selected = followers.select(names(count))
    assert (1 / 3) ** len(selected) < 0.005


def test_the_loss_of_a_follower_changes_only_one_follower():
    """Guards against a load peak at the store when one of 82 nodes, a follower, is killed.

    If all followers were replaced, all of the new ones would read the full tables at once.
    """
    nodes = names(82)
    before = followers.select(nodes)
    lost = min(before)
    after = followers.select([node for node in nodes if node != lost])
    assert len(after - before) <= 1
    assert before - {lost} <= after
