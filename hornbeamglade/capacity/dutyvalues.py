"""Duties and their costs as values, and computations that several duties share."""

import dataclasses

from hornbeamglade.capacity import slopes, targetsize
from hornbeamglade.membership import dissemination
from hornbeamglade.node import upkeep

PLACEMENT_NODES = 360
"""Number of nodes in the measurement of team placement."""

MICROSECOND = 1e-6

STATES_PER_FAILURE = 3
"""A failed node becomes suspect, then gone, and is later forgotten."""

STATES_PER_REPLACEMENT = 2
"""A node leaves and joins; a lower bound, as a renamed node is also gone and forgotten."""


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """One cost of a duty, at one node unless stated otherwise.

    :param description: text for the page.
    :param keys: the slopes from which it was computed.
    :param cores: CPU use as a fraction of one core.
    :param memory_bytes: memory in use.
    :param messages_per_s: requests and datagrams sent.
    :param bytes_per_s: bytes of sent datagrams, and of HTTP in both directions.
    :param reads_per_s: reads of the platform by all nodes together.
    :param writes_per_s: transactions on the platform's table by all nodes together.
    :param data_path: whether it is a cost of the requests themselves and not of control.
    """

    description: str
    keys: tuple[str, ...]
    cores: float = 0.0
    memory_bytes: float = 0.0
    messages_per_s: float = 0.0
    bytes_per_s: float = 0.0
    reads_per_s: float = 0.0
    writes_per_s: float = 0.0
    data_path: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Duty:
    """One duty of a node.

    :param name: title on the page.
    :param state: the state kept for it, where it is kept, and who else has it.
    :param costs: costs of the duty.
    """

    name: str
    state: str
    costs: tuple[Cost, ...]


def control_total(duties: tuple[Duty, ...]) -> Cost:
    """Return the sum of all costs except those of the data path."""
    costs = [cost for duty in duties for cost in duty.costs if not cost.data_path]
    return Cost(
        description="control, in all",
        keys=(),
        cores=sum(cost.cores for cost in costs),
        memory_bytes=sum(cost.memory_bytes for cost in costs),
        messages_per_s=sum(cost.messages_per_s for cost in costs),
        bytes_per_s=sum(cost.bytes_per_s for cost in costs),
        reads_per_s=sum(cost.reads_per_s for cost in costs),
        writes_per_s=sum(cost.writes_per_s for cost in costs),
    )


def adoption_s(measured: slopes.SlopeSet, size: targetsize.SiteSize) -> float:
    """Return the CPU seconds of applying one configuration change at a node."""
    team_cost = measured.at("config.adopt_us.teams", size.teams)
    replica_cost = measured.at("config.adopt_us.replicas", size.replicas)
    return (team_cost + replica_cost) * MICROSECOND


def document_bytes(measured: slopes.SlopeSet, size: targetsize.SiteSize) -> float:
    """Return the size of the canonical document in bytes."""
    team_bytes = measured.at("config.bytes.teams", size.teams)
    return team_bytes + measured.per("config.bytes.replicas") * size.replicas


def placement_pass_s(measured: slopes.SlopeSet, size: targetsize.SiteSize) -> float:
    """Return the CPU seconds of placing every team on its nodes once."""
    total_s = measured.at("teams.place_us", size.teams) * MICROSECOND
    return total_s * size.nodes / PLACEMENT_NODES


def placement_passes_per_day(size: targetsize.SiteSize) -> float:
    """Return how often per day the revision or a member's state changes.

    Explanation
    ===========

    Each change counts separately. Two changes in one tick would cost only one pass, but at
    the target size there is one change per 22 s on average.
    """
    members = size.failures_per_day * STATES_PER_FAILURE
    members += size.replacements_per_day * STATES_PER_REPLACEMENT
    return size.changes_per_day + members


def list_period_s(size: targetsize.SiteSize) -> float:
    """Return the seconds between two reads of the platform's instance list at a node."""
    is_mesh = size.nodes <= dissemination.FULL_MESH_MAX_NODES
    return upkeep.LIST_INTERVAL_S if is_mesh else upkeep.LONG_LIST_INTERVAL_S


def sweep_period_s(size: targetsize.SiteSize) -> float:
    """Return the seconds between two sweeps of claims at a node."""
    return upkeep.SWEEP_INTERVAL_S * max(1.0, size.nodes / upkeep.SWEEP_NODES)


def choice_s(measured: slopes.SlopeSet, size: targetsize.SiteSize) -> float:
    """Return the CPU seconds of choosing the replica of one request."""
    choice = measured.at("routing.choice_us", size.replicas_per_pool)
    states = measured.at("grants.states_us", size.replicas_per_node)
    return (choice + states) * MICROSECOND
