"""Who follows the store, and who tells whom."""

import collections

import pytest

from hornbeamglade.membership import dissemination, followers


def names(count):
    return [f"entry-{number:03}" for number in range(count)]


def test_all_follow_up_to_the_bound_of_the_mesh():
    nodes = names(dissemination.FULL_MESH_MAX_NODES)
    assert followers.select(nodes) == frozenset(nodes)


@pytest.mark.parametrize("count", [17, 82, 360])
def test_each_node_is_told_by_two_and_no_follower_by_far_the_most(count):
    """A follower that tells far more nodes than the others is late with a change.

    The last of its nodes would still send requests by the former configuration.
    """
    nodes = names(count)
    selected = followers.select(nodes)
    told = collections.Counter()
    for node in nodes:
        notifiers = followers.notifiers(node, selected)
        assert len(notifiers) == (0 if node in selected else followers.NOTIFIERS_PER_NODE)
        assert set(notifiers) <= selected
        told.update(notifiers)
    mean = sum(told.values()) / len(selected)
    assert max(told.values()) < 2.5 * mean


@pytest.mark.parametrize("count", [17, 59, 195, 360])
def test_few_follow_and_one_lost_leaves_each_told_by_two(count):
    """At a site of hundreds of nodes each follower's calls are paid for.

    One follower goes; until another is chosen, every node must still hear of a change from
    two, or one lost datagram delays it by a second.
    """
    nodes = names(count)
    selected = followers.select(nodes)
    assert len(selected) <= max(followers.MIN_FOLLOWERS, count / 20)
    for lost in selected:
        left = selected - {lost}
        assert all(len(followers.notifiers(node, left)) == 2 for node in nodes if node not in left)


@pytest.mark.parametrize("count", [17, 59, 82])
def test_a_third_of_the_nodes_hardly_ever_holds_all_followers(count):
    """The store turns away a third of the nodes for eight seconds, whichever they are.

    Were all followers among them, nobody at the site would learn that an engine leaves.
    """
    selected = followers.select(names(count))
    assert (1 / 3) ** len(selected) < 0.005


def test_the_loss_of_a_follower_changes_one_place():
    """A follower is killed among 82 nodes.

    Were all chosen anew, all would read the whole tables at once.
    """
    nodes = names(82)
    before = followers.select(nodes)
    lost = min(before)
    after = followers.select([node for node in nodes if node != lost])
    assert len(after - before) <= 1
    assert before - {lost} <= after
