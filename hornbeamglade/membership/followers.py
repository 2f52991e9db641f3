"""Selection of the nodes that follow the platform's store on behalf of the others.

Explanation
===========

Up to :data:`hornbeamglade.membership.dissemination.FULL_MESH_MAX_NODES` nodes, each
node follows the store itself. With more nodes, one in :data:`NODES_PER_FOLLOWER` is a
follower and notifies the others of changes: the store is billed per call, and one call
per node and change would be most of the store's cost at a large site. Every node makes the
same selection from the nodes in its view that are live. Where views differ, a node is
notified by one follower less, or a follower notifies nobody.

The alternative, *one follower*, would leave all other nodes with stale data until its
loss is detected. Each node is therefore notified by two.
"""

import collections.abc
import math

from hornbeamglade.membership import dissemination, rendezvous

NODES_PER_FOLLOWER = 24
"""A follower calls the store for each change and every two seconds, however many nodes it
notifies, and the price of a store call exceeds what a lookup brings. Each node is notified by two
followers, so a follower notifies 48 nodes: announcements of 4.8 KB/s, and a change within some
milliseconds."""

NOTIFIERS = 2
MIN_FOLLOWERS = 5
"""The store may refuse a third of the nodes at once. It must be unlikely that it refuses all
followers, since the nodes that they notify then learn of changes only by chance until they
follow the store themselves."""

_KEY = "followers of the store"


def select(nodes: collections.abc.Sequence[str]) -> frozenset[str]:
    """Return the nodes that follow the store.

    :param nodes: names of the live nodes.

    Examples
    ========

    >>> sorted(select(["a", "b"]))
    ['a', 'b']
    >>> len(select([f"n{number}" for number in range(82)]))
    5
    """
    if len(nodes) <= dissemination.FULL_MESH_MAX_NODES:
        return frozenset(nodes)
    count = max(MIN_FOLLOWERS, math.ceil(len(nodes) / NODES_PER_FOLLOWER))
    return frozenset(rendezvous.best(_KEY, nodes, count))


def notifiers(node: str, followers: collections.abc.Iterable[str]) -> tuple[str, ...]:
    """Return the followers that notify a node of changes; none if it is a follower itself.

    Examples
    ========

    >>> notifiers("a", ["a", "b"])
    ()
    >>> len(notifiers("z", ["a", "b", "c"]))
    2
    """
    candidates = tuple(followers)
    return () if node in candidates else tuple(rendezvous.best(node, candidates, NOTIFIERS))
