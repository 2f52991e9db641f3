"""What a node does that was told that others know it under a higher incarnation."""

from hornbeamglade.exchange import codec, grantrequests
from hornbeamglade.membership import heartbeats
from hornbeamglade.observability import logs


def raise_above(
    incarnation: int,
    frames: codec.Codec,
    asker: grantrequests.GrantRequester,
    beats: heartbeats.Heartbeats,
) -> None:
    """Go on above an incarnation that others know, with all that names the own one.

    :param incarnation: what a peer told; nothing changes when this node is above it.
    """
    risen = frames.rise_above(incarnation)
    if risen <= incarnation:
        return
    asker.rise_to(risen)
    beats.raise_incarnation(risen)
    logs.state_changed("incarnation", "outrun", "raised", incarnation=risen)
