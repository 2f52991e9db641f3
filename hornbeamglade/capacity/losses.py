"""Effects of losing machines or a link at a given site size."""

import dataclasses
import math

from hornbeamglade.capacity import slopes, targetsize
from hornbeamglade.exchange import grantrequests, messages
from hornbeamglade.membership import dissemination
from hornbeamglade.node import replicacatalog

RACK_NODES = 8
RACK_REPLICAS = 40


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """A loss and its effect on the remaining nodes.

    :param description: what is lost.
    :param nodes: entry nodes lost or unreachable.
    :param replicas: replicas lost or unreachable.
    :param streams_cut: streams through the lost nodes.
    :param owners_moved: replicas that get a new owner.
    :param update_ms: CPU time of the ownership update at each node.
    :param gossip_s: seconds until the heartbeats of a node have carried the membership
        updates of all lost nodes.
    :param mechanism: modules that handle the loss.
    """

    description: str
    nodes: int
    replicas: int
    streams_cut: int
    owners_moved: int
    update_ms: float
    gossip_s: float
    mechanism: str


def all_losses(measured: slopes.SlopeSet, size: targetsize.SiteSize) -> tuple[Loss, ...]:
    """Return the losses that the capacity target includes."""
    domain_nodes = round(size.nodes / size.failure_domains)
    domain_replicas = round(size.replicas / size.failure_domains)
    unreachable_nodes = size.nodes - round(size.nodes / size.regions)
    unreachable_replicas = size.replicas - round(size.replicas / size.regions)
    return (
        _loss(measured, size, f"a rack ({RACK_NODES} nodes, assumed)", RACK_NODES, RACK_REPLICAS),
        _loss(measured, size, "a failure domain", domain_nodes, domain_replicas),
        _loss(
            measured,
            size,
            "the link of a region to the others",
            unreachable_nodes,
            unreachable_replicas,
            cuts_streams=False,
        ),
    )


def _loss(
    measured: slopes.SlopeSet,
    size: targetsize.SiteSize,
    description: str,
    nodes: int,
    replicas: int,
    cuts_streams: bool = True,
) -> Loss:
    moved = round(nodes * size.replicas_per_node)
    remaining = size.nodes - nodes
    domain_lost_us = measured.at("membership.domain_lost_us", size.nodes)
    scores = (size.nodes / 7) * size.replicas_per_node * (size.nodes * 6 / 7)
    rounds = dissemination.UPDATE_ROUNDS_FACTOR * math.ceil(math.log2(size.nodes + 1))
    batches = math.ceil(nodes / messages.MAX_MEMBERSHIP_UPDATES)
    return Loss(
        description=description,
        nodes=nodes,
        replicas=replicas,
        streams_cut=round(nodes * size.streams_per_node) if cuts_streams else 0,
        owners_moved=moved,
        update_ms=domain_lost_us / 1e3 * (moved * remaining) / scores,
        gossip_s=batches * rounds * dissemination.UPDATE_PERIOD_S,
        mechanism="membership/view.py, dissemination.py, ownership.py",
    )


GRANT_RESPONSE_TIMEOUT_S = grantrequests.RESPONSE_TIMEOUT_S
DIGEST_TTL_S = replicacatalog.REPORT_LIFE_S
