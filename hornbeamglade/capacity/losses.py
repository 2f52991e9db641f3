"""What a loss of machines or of a link does at a size."""

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
    """A loss and its effect on those that stay.

    :param what: what is lost.
    :param nodes: entry nodes lost, or out of sight.
    :param replicas: replicas lost, or out of sight.
    :param streams_cut: streams through the lost nodes.
    :param owners_moved: replicas that get a new owner.
    :param update_ms: processor time of the new owners, at each node.
    :param rumour_s: seconds in which a node's heartbeats carry word of all lost nodes.
    :param mechanism: what carries it.
    """

    what: str
    nodes: int
    replicas: int
    streams_cut: int
    owners_moved: int
    update_ms: float
    rumour_s: float
    mechanism: str


def all_losses(measured: slopes.SlopeSet, size: targetsize.SiteSize) -> tuple[Loss, ...]:
    """Return the losses that the target names."""
    domain_nodes = round(size.nodes / size.failure_domains)
    domain_replicas = round(size.replicas / size.failure_domains)
    beyond = size.nodes - round(size.nodes / size.regions)
    beyond_replicas = size.replicas - round(size.replicas / size.regions)
    return (
        _loss(measured, size, f"a rack ({RACK_NODES} nodes, assumed)", RACK_NODES, RACK_REPLICAS),
        _loss(measured, size, "a failure domain", domain_nodes, domain_replicas),
        _loss(
            measured,
            size,
            "the link of a region to the others",
            beyond,
            beyond_replicas,
            cut=False,
        ),
    )


def _loss(
    measured: slopes.SlopeSet,
    size: targetsize.SiteSize,
    what: str,
    nodes: int,
    replicas: int,
    cut: bool = True,
) -> Loss:
    moved = round(nodes * size.replicas_per_node)
    left = size.nodes - nodes
    seventh_us = measured.at("membership.domain_lost_us", size.nodes)
    scores = (size.nodes / 7) * size.replicas_per_node * (size.nodes * 6 / 7)
    rounds = dissemination.UPDATE_ROUNDS_FACTOR * math.ceil(math.log2(size.nodes + 1))
    batches = math.ceil(nodes / messages.MAX_MEMBERSHIP_UPDATES)
    return Loss(
        what=what,
        nodes=nodes,
        replicas=replicas,
        streams_cut=round(nodes * size.streams_per_node) if cut else 0,
        owners_moved=moved,
        update_ms=seventh_us / 1e3 * (moved * left) / scores,
        rumour_s=batches * rounds * dissemination.UPDATE_PERIOD_S,
        mechanism="membership/view.py, dissemination.py, ownership.py",
    )


ASK_WAIT_S = grantrequests.RESPONSE_TIMEOUT_S
DIGEST_LIFE_S = replicacatalog.REPORT_LIFE_S
