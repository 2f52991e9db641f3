"""Which addresses a team's callers are told to use, and in which order.

Explanation
===========

There is no balancer before the nodes, so this answer is the balancer. A team is
sent to a *shuffle shard*, a few nodes chosen by rendezvous hashing of its name:
the replicas of these nodes then hold its prompt prefixes, few nodes hold its limit,
and a team that misbehaves crowds its own shard, which no other team shares in
full. The shard grows with the team's share of the demand. It is spread over
failure domains, so the loss of one leaves the answer usable until it is asked
for anew. Each answer begins at another node of the shard, since callers use the
first address and a large team would otherwise crowd one node.

Weighed: *all nodes in random order* (even, but a team's prefixes and limits are
then everywhere); *one node a team* (best for the prefixes, but a large team
exceeds a node, and its loss stops the team until callers fall back); *by load
reports* (callers keep an answer for long compared with a load's life, and all
who ask at once get the same best node).

Leaving nodes are left out. When no node is live, suspects are named, then
leaving ones: an address that may work is better than an empty answer.
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
    """What a caller is told.

    :param addresses: ``ip:port`` each, best first; empty only if no node is known.
    :param ttl_s: seconds that the caller may keep the answer.
    """

    addresses: tuple[str, ...]
    ttl_s: int


def shard_size(nodes: int, share: float, min_size: int = MIN_SHARD_SIZE) -> int:
    """Return how many nodes serve a team.

    :param nodes: the number of live nodes.
    :param share: the team's share of all demand, 0 to 1. The shard is twice what
        the share needs, as several teams fall on each node.
    :param smallest: the least size, where there are as many nodes.

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
    :param members: all nodes as the answering node sees them.
    :param share: the team's share of all demand, 0 to 1.
    :param turn: grows with each answer, so that callers begin at different nodes.
    :param ttl_s: seconds that the caller may keep the answer; a leaving node goes
        on serving for at least this long.
    :param smallest: the least number of addresses, where there are as many nodes.
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
    """Return the nodes that serve a team, the most preferred first."""
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
    # The n-th node of its domain competes in round n: one of each domain first.
    seen_by_domain: dict[str, int] = {}
    rounds: list[tuple[int, int]] = []
    for rank, member in enumerate(ranked):
        domain = member.identity.failure_domain
        rounds.append((seen_by_domain.get(domain, 0), rank))
        seen_by_domain[domain] = seen_by_domain.get(domain, 0) + 1
    return tuple(ranked[rank] for _, rank in sorted(rounds)[:size])
