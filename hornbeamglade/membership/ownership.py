"""Which node owns which replica, by rendezvous hashing over the live nodes.

Explanation
===========

The owner of a replica polls its load, admits to it and queues for it. Nodes whose
views differ may see two owners for a while; the engine's own queue then takes
what both admit, so this costs performance only.

A node in the replica's own failure domain is preferred by :data:`DOMAIN_WEIGHT`:
polls and grants then mostly stay within the domain. Weighed against a strict
preference, which makes the only node of a domain own all replicas there; and
against none, where most polls cross domains for no gain.

Replicas that are interchangeable may be given a group, whose replicas have one owner. It
can then answer an ask with the best of them, which at a size where heartbeats are sampled
nobody else could: 82 nodes that each own one of 29 engines hear of the others' engines
once in 20 s. A group has :data:`MAX_GROUP_SIZE` replicas at most, so the loss of a node leaves no
more of them without an owner than where each had its own.

Weighed against *leases in the table* for owners: exact, but one write each few
seconds for each of 1,800 replicas, and no admission while the store is down.
"""

import collections
import collections.abc
import dataclasses

from hornbeamglade.exchange import messages
from hornbeamglade.membership import rendezvous

DOMAIN_WEIGHT = 4.0

MAX_GROUP_SIZE = 12
"""Twelve engines report to their owner some thirty times a second, which is half a percent
of a core."""


@dataclasses.dataclass(frozen=True, slots=True)
class Participant:
    """A replica or a node, and where it stands.

    :param name: its name.
    :param failure_domain: its failure domain, or None when that is not known.
    :param group: those of one group have one owner; None for a replica on its own.
    """

    name: str
    failure_domain: str | None = None
    group: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerChange:
    """A replica's owner changed.

    :param replica: the replica's name.
    :param before: the former owner's name, or None.
    :param after: the new owner's name, or None when there is no node.
    """

    replica: str
    before: str | None
    after: str | None


def owner(replica: Participant, nodes: collections.abc.Iterable[Participant]) -> str | None:
    """Return the owner of ``replica`` among ``nodes``, or None without nodes.

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
    """Return replicas with their groups: those of one pool in one failure domain.

    Explanation
    ===========

    A pool with more replicas in a domain than one group holds is cut by their hashes into
    2, 4, 8 groups, so that one replica more or less hardly ever moves another.

    :param pool: returns the name of the pool of a replica; those of a pool are
        interchangeable.

    Examples
    ========

    >>> places = [Participant("e1", "a"), Participant("e2", "a"), Participant("e3", "b")]
    >>> [place.group for place in assign_groups(places, lambda name: "chat")]
    ['chat/a/0', 'chat/a/0', 'chat/b/0']
    """
    places = list(replicas)
    count_by_pool = collections.Counter(
        (pool(place.name), place.failure_domain) for place in places
    )
    return [
        dataclasses.replace(
            place,
            group=_group_name(
                place, pool(place.name), count_by_pool[pool(place.name), place.failure_domain]
            ),
        )
        for place in places
    ]


class Ownership:
    """Keeps the owners of all replicas as nodes and replicas come and go.

    Explanation
    ===========

    A new node is compared with each replica's owner and a lost one's replicas are
    ranked anew, so a change costs one score a replica, not one for each pair
    (1,800 replicas and 360 nodes: 2,000 scores and not 648,000). Reading is
    safe from other threads while one updates.
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
        return frozenset(name for name, held_by in owner_by_replica.items() if held_by == node)

    def update(
        self,
        replicas: collections.abc.Iterable[Participant],
        nodes: collections.abc.Iterable[Participant],
    ) -> tuple[OwnerChange, ...]:
        """Take the present replicas and candidates; return what moved, by replica."""
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
            held_by = self._owner_by_replica.get(name)
            known = self._replica_by_name.get(name) == replica and held_by in kept
            contenders = [*added, node_by_name[held_by]] if known else node_by_name.values()
            new_owner = owner(replica, contenders)
            if new_owner is not None:
                owner_by_replica[name] = new_owner
        moves = _owner_changes(self._owner_by_replica, owner_by_replica)
        self._node_by_name = node_by_name
        self._replica_by_name = replica_by_name
        self._owner_by_replica = owner_by_replica
        return moves


def _score(replica: Participant, node: Participant) -> float:
    near = replica.failure_domain is not None and replica.failure_domain == node.failure_domain
    key = replica.group or replica.name
    return rendezvous.score(key, node.name, DOMAIN_WEIGHT if near else 1.0)


def _group_name(replica: Participant, pool: str, count: int) -> str:
    groups = 1
    while count > groups * MAX_GROUP_SIZE:
        groups *= 2
    part = messages.key_hash(replica.name) % groups
    return f"{pool}/{replica.failure_domain}/{part}"


def _owner_changes(before: dict[str, str], after: dict[str, str]) -> tuple[OwnerChange, ...]:
    return tuple(
        OwnerChange(name, before.get(name), after.get(name))
        for name in sorted(before.keys() | after.keys())
        if before.get(name) != after.get(name)
    )
