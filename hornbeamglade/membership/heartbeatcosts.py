"""Network traffic of heartbeats, for the capacity page of the documentation."""

from hornbeamglade.exchange import framesizes, messages
from hornbeamglade.membership import dissemination

_HASH = 2**64 // 3
_IDENTITY = ("domain-3", "10.20.30.40:8080", "10.20.30.40:7000")
_NO_IDENTITY = ("", "", "")
_DIGEST = messages.ReplicaDigest(_HASH, room_tokens=400_000, queued=20, expected_wait_ms=3000)
_DEMAND = messages.TeamDemand(_HASH, share=5000, demand=12_000)
_UPDATE = messages.MembershipUpdate(_HASH, 1_800_000_000_000, 1, messages.NodeState.GONE)


def heartbeat_bytes(nodes: int, replicas_per_node: int, teams: int = 0, updates: int = 0) -> float:
    """Return the bytes of heartbeats that one node sends per second; it receives as many.

    :param nodes: the number of nodes.
    :param replicas_per_node: replicas that each node owns.
    :param teams: teams whose demands are announced.
    :param updates: membership updates in every heartbeat.

    Examples
    ========

    >>> heartbeat_bytes(6, 0) < heartbeat_bytes(6, 2) < heartbeat_bytes(6, 2, teams=10)
    True
    """
    full = _packet_bytes(replicas_per_node, 0, updates, _IDENTITY)
    compact = full
    if nodes <= dissemination.FULL_MESH_MAX_NODES:
        compact = _packet_bytes(replicas_per_node, 0, updates, _NO_IDENTITY)
    demands = _packet_bytes(replicas_per_node, teams, updates, _IDENTITY) - full
    mean = (
        compact
        + (full - compact) / messages.IDENTITY_INTERVAL_BEATS
        + demands / messages.DEMANDS_INTERVAL_BEATS
    )
    return dissemination.heartbeats_per_second(nodes) * mean


def _packet_bytes(replicas: int, teams: int, updates: int, identity: tuple[str, ...]) -> int:
    return framesizes.packet_bytes(
        messages.Heartbeat(
            messages.NodeState.LIVE,
            172_800,
            4096,
            *identity,
            replicas=(_DIGEST,) * min(replicas, messages.MAX_REPLICAS),
            demands=(_DEMAND,) * min(teams, messages.MAX_DEMANDS),
            updates=(_UPDATE,) * min(updates, messages.MAX_MEMBERSHIP_UPDATES),
        )
    )
