"""Which nodes follow the platform's store on behalf of the others.

Explanation
===========

Up to :data:`dissemination.MESH_BOUND <hornbeamglade.membership.dissemination.MESH_BOUND>`
nodes each follows the store itself. Above, one in :data:`NODES_A_FOLLOWER` does, and tells
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

NODES_A_FOLLOWER = 24
"""A follower makes a call for each change and every two seconds, whatever the number of those
that it tells, and a call of the store costs more than a lookup brings. Each node is told by
two, so a follower tells 48: hints of 4.8 KB/s, and a change within some milliseconds."""

TELLERS = 2
LEAST = 5
"""The store may turn away a third of the nodes at once: that it turns away all followers must
be rare, as those whom they tell then learn of changes by chance until they follow themselves."""

_KEY = "followers of the store"


def chosen(nodes: collections.abc.Sequence[str]) -> frozenset[str]:
    """Return the nodes that follow the store.

    :param nodes: names of the nodes that live.

    Examples
    ========

    >>> sorted(chosen(["a", "b"]))
    ['a', 'b']
    >>> len(chosen([f"n{number}" for number in range(82)]))
    5
    """
    if len(nodes) <= dissemination.MESH_BOUND:
        return frozenset(nodes)
    count = max(LEAST, math.ceil(len(nodes) / NODES_A_FOLLOWER))
    return frozenset(rendezvous.best(_KEY, nodes, count))


def tellers(node: str, followers: collections.abc.Iterable[str]) -> tuple[str, ...]:
    """Return the followers that tell a node what is new; none if it is one itself.

    Examples
    ========

    >>> tellers("a", ["a", "b"])
    ()
    >>> len(tellers("z", ["a", "b", "c"]))
    2
    """
    among = tuple(followers)
    return () if node in among else tuple(rendezvous.best(node, among, TELLERS))
