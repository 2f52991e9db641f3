"""Selection and order of the node addresses that a team's callers use.

Explanation
===========

No load balancer stands in front of the nodes, so the returned address list does
the load balancing. A team is assigned a *shuffle shard*, a few nodes chosen by
rendezvous hashing of its name. Its prompt prefixes are then cached at the replicas
of these nodes only, its limit is split over few nodes, and a team that misbehaves
overloads its own shard, which no other team shares completely. The shard grows with
the team's share of the demand. It is spread over failure domains, so that the list
remains usable after the loss of one until the caller fetches a new list. Each list
starts at another node of the shard, since callers use the first address and a large
team would otherwise overload one node.

Alternatives considered: *all nodes in random order* (an even load, but the prefixes
and limits of a team are then spread over all nodes); *one node per team* (best for
prefix caching, but a large team exceeds the capacity of a node, and the loss of the
node stops the team until its callers fall back); *selection by load reports* (callers
keep a list for much longer than a load report stays valid, and all callers that fetch
a list at the same time get the same least loaded node).

Leaving nodes are excluded. When no node is live, suspects are returned, or else
leaving nodes: an address that may work is better than an empty list.
"""

import dataclasses
import math

from hornbeamglade.exchange import messages
from hornbeamglade.membership import rendezvous
from hornbeamglade.membership import view as membership_view

MIN_SHARD_SIZE = 2
SHARE_FACTOR = 2.0

_FALLBACK_STATES = (
    messages.NodeState.LIVE,
    messages.NodeState.SUSPECT,
    messages.NodeState.LEAVING,
)


@dataclasses.dataclass(frozen=True, slots=True)
class AddressSelection:
    """The addresses returned to a caller.

    :param addresses: ``ip:port`` each, most preferred first; empty only if no usable
        node is known.
    :param ttl_s: seconds for which the caller may cache the list.
    """

    addresses: tuple[str, ...]
    ttl_s: int


def shard_size(nodes: int, share: float, min_size: int = MIN_SHARD_SIZE) -> int:
    """Return how many nodes serve a team.

    :param nodes: the number of live nodes.
    :param share: the team's share of the total demand, 0 to 1. The shard is twice as
        large as the share requires, since each node serves several teams.
    :param min_size: the minimum size, if there are that many nodes.

    Examples
    ========

    >>> [shard_size(360, share) for share in (0.0, 0.01, 0.2, 1.0)]
    [2, 8, 144, 360]
    """
    wanted = math.ceil(nodes * share * SHARE_FACTOR)
    return min(nodes, max(min_size, wanted))


def select_addresses(
    team: str,
    members: tuple[membership_view.Member, ...],
    share: float,
    rotation: int,
    ttl_s: int,
    min_size: int = MIN_SHARD_SIZE,
) -> AddressSelection:
    """Return the addresses for one caller of ``team``.

    :param team: the team's name.
    :param members: all nodes in the membership view of the responding node.
    :param share: the team's share of the total demand, 0 to 1.
    :param rotation: incremented with each response, so that callers start at different
        nodes.
    :param ttl_s: seconds for which the caller may cache the list; a leaving node
        continues to serve for at least this long.
    :param min_size: the minimum number of addresses, if there are that many nodes.
    """
    shard = shard_members(team, members, share, min_size)
    if not shard:
        return AddressSelection((), ttl_s)
    first = rotation % len(shard)
    ordered = shard[first:] + shard[:first]
    return AddressSelection(tuple(member.identity.address for member in ordered), ttl_s)


def shard_members(
    team: str,
    members: tuple[membership_view.Member, ...],
    share: float,
    min_size: int = MIN_SHARD_SIZE,
) -> tuple[membership_view.Member, ...]:
    """Return the nodes that serve a team, most preferred first."""
    usable = _usable(members)
    ranked = sorted(
        usable,
        key=lambda member: rendezvous.score(team, member.identity.name),
        reverse=True,
    )
    return _spread_over_domains(ranked, shard_size(len(usable), share, min_size))


def _usable(
    members: tuple[membership_view.Member, ...],
) -> list[membership_view.Member]:
    for state in _FALLBACK_STATES:
        usable = [member for member in members if member.state is state]
        if usable:
            return usable
    return []


def _spread_over_domains(
    ranked: list[membership_view.Member], size: int
) -> tuple[membership_view.Member, ...]:
    # The n-th node of each domain is sorted into round n, so that the first nodes are
    # all from different domains.
    seen_by_domain: dict[str, int] = {}
    rounds: list[tuple[int, int]] = []
    for rank, member in enumerate(ranked):
        domain = member.identity.failure_domain
        rounds.append((seen_by_domain.get(domain, 0), rank))
        seen_by_domain[domain] = seen_by_domain.get(domain, 0) + 1
    return tuple(ranked[rank] for _, rank in sorted(rounds)[:size])
