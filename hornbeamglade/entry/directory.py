"""Which instances callers are told to connect to.

Explanation
===========

A caller picks one of the addresses at random for each connection, so an answer names
instances that are equally good for it: those of its own failure domain, if there are
enough of them for one to fail. An instance that has come back is one address among
others, so it gets its part of new connections and no more.

Named are instances that live, don't leave, and know a configuration and the replicas.
One that was listed but never heard of may be long gone, and is not named.
"""

from hornbeamglade.exchange import messages
from hornbeamglade.membership import view

MIN_ADDRESSES = 2
"""With two addresses, a caller whose first one fails has another at once."""

MAX_ADDRESSES = 32


def addresses(
    members: tuple[view.Member, ...],
    own_name: str,
    is_own_ready: bool,
    failure_domain: str,
    region: str,
    region_by_domain: dict[str, str],
) -> tuple[str, ...]:
    """Return the addresses for a caller, the nearest only if there are enough.

    :param members: all instances as the answering one sees them, itself included.
    :param own_name: the answering instance.
    :param is_own_ready: whether it takes callers itself.
    :param failure_domain: where the caller is.
    :param region: its region.
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
    """Tell whether another instance than the answering one takes callers."""
    return any(_is_ready(each) for each in members if each.identity.name != own_name)


def _is_ready(member: view.Member) -> bool:
    if member.state is not messages.NodeState.LIVE or member.heartbeat is None:
        return False
    return member.heartbeat.config_revision > 0 and member.heartbeat.list_version > 0
