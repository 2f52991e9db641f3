"""Recovery of a node whose peers know a higher incarnation of it."""

from hornbeamglade.exchange import codec, grantrequests
from hornbeamglade.membership import heartbeats
from hornbeamglade.observability import logs


def raise_above(
    incarnation: int,
    frame_codec: codec.Codec,
    requester: grantrequests.GrantRequester,
    own_heartbeats: heartbeats.Heartbeats,
) -> None:
    """Raise this node's incarnation above one that a peer knows, in every part that uses it.

    :param incarnation: the incarnation reported by a peer; nothing changes if this node's
        incarnation is already higher.
    """
    raised = frame_codec.raise_incarnation_above(incarnation)
    if raised <= incarnation:
        return
    requester.set_incarnation(raised)
    own_heartbeats.raise_incarnation(raised)
    logs.state_changed("incarnation", "outrun", "raised", incarnation=raised)
