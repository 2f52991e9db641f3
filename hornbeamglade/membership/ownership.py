"""Assignment of replicas to owner nodes by rendezvous hashing over the live nodes.

Explanation
===========

The owner of a replica polls its load, admits requests to it and queues requests for
it. Nodes with different views may temporarily see two owners. The engine's own queue
then holds what both admit, so this affects performance only.

A node in the replica's own failure domain is preferred by the factor
:data:`DOMAIN_WEIGHT`, so that most polls and grants stay within the domain. A strict
preference would make the only node of a domain the owner of all replicas there; without
a preference most polls would cross domains for no benefit.

Interchangeable replicas may be assigned to a group, all replicas of which have the same
owner. The owner can then respond to a grant request with the best of them. In a cluster
that is large enough for sampled heartbeats, no other node could do that: with 82 nodes
that each own one of 29 engines, a node hears of the others' engines once in 20 s. A
group has at most :data:`MAX_GROUP_SIZE` replicas, so the loss of a node leaves no more
of them without an owner than if each replica had an owner of its own.

The alternative, *leases in the store's table* for owners, is exact but needs one write
every few seconds for each of 1,800 replicas, and allows no admission while the store is
down.
"""

import collections
import collections.abc
import dataclasses

from hornbeamglade.exchange import messages
from hornbeamglade.membership import rendezvous

DOMAIN_WEIGHT = 4.0

MAX_GROUP_SIZE = 12
"""Twelve engines send their owner some thirty load reports per second, which takes half a
percent of a core."""


@dataclasses.dataclass(frozen=True, slots=True)
class Participant:
    """A replica or a node that takes part in the assignment.

    :param name: its name.
    :param failure_domain: its failure domain, or None if unknown.
    :param group: the group of a replica, all replicas of which have the same owner; None
        for a replica without a group.
    """

    name: str
    failure_domain: str | None = None
    group: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerChange:
    """A change of a replica's owner.

    :param replica: the replica's name.
    :param before: the name of the previous owner, or None.
    :param after: the name of the new owner, or None if there is no node.
    """

    replica: str
    before: str | None
    after: str | None


def owner(replica: Participant, nodes: collections.abc.Iterable[Participant]) -> str | None:
    """Return the owner of ``replica`` among ``nodes``, or None if there are no nodes.

    Examples
    ========

    >>> owner(Participant("engine-1"), [Participant("a")])
    'a'
    >>> owner(Participant("engine-1"), []) is None
    True
    """
    ranked = [(_score(replica, node), node.name) for node in nodes]
    return max(ranked)[1] if ranked else None


def assign_groups(
    replicas: collections.abc.Iterable[Participant], pool: collections.abc.Callable[[str], str]
) -> list[Participant]:
    """Return the replicas with their groups, one for each pool and failure domain.

    Explanation
    ===========

    If a pool has more replicas in a failure domain than fit into one group, they are split
    by their hashes into 2, 4, 8 groups, so that adding or removing a replica hardly ever
    changes the group of another.

    :param pool: returns the name of a replica's pool; the replicas of a pool are
        interchangeable.

    Examples
    ========

    >>> members = [Participant("e1", "a"), Participant("e2", "a"), Participant("e3", "b")]
    >>> [each.group for each in assign_groups(members, lambda name: "chat")]
    ['chat/a/0', 'chat/a/0', 'chat/b/0']
    """
    members = list(replicas)
    count_by_pool = collections.Counter((pool(each.name), each.failure_domain) for each in members)
    return [
        dataclasses.replace(
            each,
            group=_group_name(
                each, pool(each.name), count_by_pool[pool(each.name), each.failure_domain]
            ),
        )
        for each in members
    ]


class Ownership:
    """The owners of all replicas, updated as nodes and replicas are added and removed.

    Explanation
    ===========

    A new node is compared only with the owner of each replica, and only the replicas of
    a lost node are ranked again. A change therefore computes one score per replica and
    not one per pair (with 1,800 replicas and 360 nodes, 2,000 scores instead of 648,000).
    Other threads may read while one thread updates.
    """

    def __init__(self) -> None:
        self._replica_by_name: dict[str, Participant] = {}
        self._node_by_name: dict[str, Participant] = {}
        self._owner_by_replica: dict[str, str] = {}

    def owner(self, replica: str) -> str | None:
        """Return the name of the replica's owner, or None."""
        return self._owner_by_replica.get(replica)

    def owned_by(self, node: str) -> frozenset[str]:
        """Return the names of the replicas that ``node`` owns."""
        owner_by_replica = self._owner_by_replica
        return frozenset(
            replica for replica, owner_name in owner_by_replica.items() if owner_name == node
        )

    def update(
        self,
        replicas: collections.abc.Iterable[Participant],
        nodes: collections.abc.Iterable[Participant],
    ) -> tuple[OwnerChange, ...]:
        """Set the current replicas and candidate nodes; return the changes, by replica name."""
        node_by_name = {node.name: node for node in nodes}
        replica_by_name = {replica.name: replica for replica in replicas}
        added = [
            node for name, node in node_by_name.items() if self._node_by_name.get(name) != node
        ]
        kept = {
            name for name, node in node_by_name.items() if self._node_by_name.get(name) == node
        }
        owner_by_replica = {}
        for name, replica in replica_by_name.items():
            owner_name = self._owner_by_replica.get(name)
            known = self._replica_by_name.get(name) == replica and owner_name in kept
            contenders = [*added, node_by_name[owner_name]] if known else node_by_name.values()
            new_owner = owner(replica, contenders)
            if new_owner is not None:
                owner_by_replica[name] = new_owner
        changes = _owner_changes(self._owner_by_replica, owner_by_replica)
        self._node_by_name = node_by_name
        self._replica_by_name = replica_by_name
        self._owner_by_replica = owner_by_replica
        return changes


def _score(replica: Participant, node: Participant) -> float:
    is_local = replica.failure_domain is not None and replica.failure_domain == node.failure_domain
    key = replica.group or replica.name
    return rendezvous.score(key, node.name, DOMAIN_WEIGHT if is_local else 1.0)


def _group_name(replica: Participant, pool: str, count: int) -> str:
    groups = 1
    while count > groups * MAX_GROUP_SIZE:
        groups *= 2
    index = messages.key_hash(replica.name) % groups
    return f"{pool}/{replica.failure_domain}/{index}"


def _owner_changes(before: dict[str, str], after: dict[str, str]) -> tuple[OwnerChange, ...]:
    return tuple(
        OwnerChange(name, before.get(name), after.get(name))
        for name in sorted(before.keys() | after.keys())
        if before.get(name) != after.get(name)
    )
