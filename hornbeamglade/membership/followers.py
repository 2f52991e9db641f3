"""Which nodes follow the platform's store on behalf of the others.

Explanation
===========

Up to :data:`hornbeamglade.membership.dissemination.FULL_MESH_MAX_NODES` nodes, each
follows the store itself. Above, one in :data:`NODES_PER_FOLLOWER` does, and tells
the others what is new: the store is paid by the call, and a call of each node for each
change is most of what a large site would spend there. Every node comes to the same choice
from the nodes that it believes live; where beliefs differ, a node is told by one follower
less, or follows for nobody.

Weighed against *one follower*: its loss would leave all others behind for as long as it
takes to notice. Each node is told by two.
"""

import collections.abc
import math

from hornbeamglade.membership import dissemination, rendezvous

NODES_PER_FOLLOWER = 24
"""A follower makes a call for each change and every two seconds, whatever the number of those
that it tells, and a call of the store costs more than a lookup brings. Each node is told by
two, so a follower tells 48: hints of 4.8 KB/s, and a change within some milliseconds."""

NOTIFIERS_PER_NODE = 2
MIN_FOLLOWERS = 5
"""The store may turn away a third of the nodes at once: that it turns away all followers must
be rare, as those whom they tell then learn of changes by chance until they follow themselves."""

_KEY = "followers of the store"


def select(nodes: collections.abc.Sequence[str]) -> frozenset[str]:
    """Return the nodes that follow the store.

    :param nodes: names of the nodes that live.

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
    """Return the followers that tell a node what is new; none if it is one itself.

    Examples
    ========

    >>> notifiers("a", ["a", "b"])
    ()
    >>> len(notifiers("z", ["a", "b", "c"]))
    2
    """
    among = tuple(followers)
    return () if node in among else tuple(rendezvous.best(node, among, NOTIFIERS_PER_NODE))
