"""The costs of duties as values, and the sums that several of them share."""

import dataclasses

from hornbeamglade.capacity import slopes, targetsize
from hornbeamglade.membership import dissemination
from hornbeamglade.node import upkeep

PLACE_NODES = 360
"""Nodes among which the teams were placed when that was measured."""

MICROSECOND = 1e-6

STATES_PER_FAILURE = 3
"""A failed node is suspected, gone, and later forgotten."""

STATES_PER_REPLACEMENT = 2
"""A node leaves and comes; at the least, as one with a new name is gone and forgotten too."""


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """One cost of a duty, at one node unless it says otherwise.

    :param what: for the page.
    :param keys: the slopes that it was worked out from.
    :param cores: of one core.
    :param memory_bytes: held.
    :param messages_per_s: sent, requests and datagrams alike.
    :param bytes_per_s: datagrams sent; HTTP in both directions.
    :param reads_per_s: of the platform, by all nodes together.
    :param writes_per_s: transactions of the platform's table, by all nodes together.
    :param data_path: a cost of the requests themselves, which is not control.
    """

    what: str
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
    """One duty.

    :param name: for the page.
    :param state: what is kept for it, where, and who else has it.
    :param costs: what it costs.
    """

    name: str
    state: str
    costs: tuple[Cost, ...]


def control_total(all_of_them: tuple[Duty, ...]) -> Cost:
    """Return the sum of all costs but those of the data path."""
    costs = [cost for duty in all_of_them for cost in duty.costs if not cost.data_path]
    return Cost(
        what="control, in all",
        keys=(),
        cores=sum(cost.cores for cost in costs),
        memory_bytes=sum(cost.memory_bytes for cost in costs),
        messages_per_s=sum(cost.messages_per_s for cost in costs),
        bytes_per_s=sum(cost.bytes_per_s for cost in costs),
        reads_per_s=sum(cost.reads_per_s for cost in costs),
        writes_per_s=sum(cost.writes_per_s for cost in costs),
    )


def adoption_s(measured: slopes.SlopeSet, size: targetsize.SiteSize) -> float:
    """Return the processor seconds of putting one change into force at a node."""
    by_teams = measured.at("config.adopt_us.teams", size.teams)
    by_replicas = measured.at("config.adopt_us.replicas", size.replicas)
    return (by_teams + by_replicas) * MICROSECOND


def document_bytes(measured: slopes.SlopeSet, size: targetsize.SiteSize) -> float:
    """Return the bytes of the canonical document."""
    by_teams = measured.at("config.bytes.teams", size.teams)
    return by_teams + measured.per("config.bytes.replicas") * size.replicas


def place_pass_s(measured: slopes.SlopeSet, size: targetsize.SiteSize) -> float:
    """Return the processor seconds of placing every team on its nodes once."""
    whole = measured.at("teams.place_us", size.teams) * MICROSECOND
    return whole * size.nodes / PLACE_NODES


def place_passes_per_day(size: targetsize.SiteSize) -> float:
    """Return how often a day the revision or the members' states change.

    Explanation
    ===========

    Each change counts for itself: two that a tick finds together cost one pass, but
    on average one comes in 22 s at the target.
    """
    members = size.failures_per_day * STATES_PER_FAILURE
    members += size.replacements_per_day * STATES_PER_REPLACEMENT
    return size.changes_per_day + members


def list_period_s(size: targetsize.SiteSize) -> float:
    """Return the seconds between two readings of the platform's list at a node."""
    is_mesh = size.nodes <= dissemination.FULL_MESH_MAX_NODES
    return upkeep.LIST_INTERVAL_S if is_mesh else upkeep.LONG_LIST_INTERVAL_S


def sweep_period_s(size: targetsize.SiteSize) -> float:
    """Return the seconds between two sweeps of claims at a node."""
    return upkeep.SWEEP_INTERVAL_S * max(1.0, size.nodes / upkeep.SWEEP_NODES)


def choice_s(measured: slopes.SlopeSet, size: targetsize.SiteSize) -> float:
    """Return the processor seconds of choosing one request's replica."""
    choice = measured.at("routing.choice_us", size.replicas_per_pool)
    states = measured.at("grants.states_us", size.replicas_per_node)
    return (choice + states) * MICROSECOND
