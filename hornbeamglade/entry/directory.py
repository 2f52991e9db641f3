"""Selects the instances that callers should connect to.

Explanation
===========

A caller picks one of the returned addresses at random for each connection, so all of them
must suit it equally well: the instances of its own failure domain, if there are enough that
one of them may fail. A recovered instance is one address among several, so it receives its
share of new connections and no more.

Only instances that are live, not leaving, and know a configuration and a replica list are
returned. An instance that is listed but has never sent a heartbeat may be long gone, and is
left out.
"""

from hornbeamglade.exchange import messages
from hornbeamglade.membership import view

MIN_ADDRESSES = 2
"""With two addresses, a caller has an alternative at once if the first one fails."""

MAX_ADDRESSES = 32


def addresses(
    members: tuple[view.Member, ...],
    own_name: str,
    is_own_ready: bool,
    failure_domain: str,
    region: str,
    region_by_domain: dict[str, str],
) -> tuple[str, ...]:
    """Return the addresses for a caller, only the nearest ones if there are enough.

    :param members: all instances in this instance's view, itself included.
    :param own_name: the name of this instance.
    :param is_own_ready: whether this instance accepts callers.
    :param failure_domain: the caller's failure domain.
    :param region: the caller's region.
    :param region_by_domain: the region of each failure domain.
    """
    ready = [
        member
        for member in members
        if (is_own_ready if member.identity.name == own_name else _is_ready(member))
    ]
    nearest = [each for each in ready if each.identity.failure_domain == failure_domain]
    if len(nearest) < MIN_ADDRESSES:
        nearest += [
            each
            for each in ready
            if each not in nearest and region_by_domain.get(each.identity.failure_domain) == region
        ]
    if not nearest:
        nearest = ready
    return tuple(member.identity.address for member in nearest[:MAX_ADDRESSES])


def has_others_ready(members: tuple[view.Member, ...], own_name: str) -> bool:
    """Return whether any other instance accepts callers."""
    return any(_is_ready(each) for each in members if each.identity.name != own_name)


def _is_ready(member: view.Member) -> bool:
    if member.state is not messages.NodeState.LIVE or member.heartbeat is None:
        return False
    return member.heartbeat.config_revision > 0 and member.heartbeat.list_version > 0
