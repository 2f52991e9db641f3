"""The revision in force at each listed node, as reported by the nodes."""

import dataclasses

from hornbeamglade.observability import statusreading
from hornbeamglade.store import contract


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRevision:
    """The configuration revision of a listed node.

    :param name: the node's name in the instance list.
    :param address: the address that its status was read from.
    :param leaving: whether the platform has announced its stop.
    :param revision: the revision in force; 0 when it has none or reported none.
    :param problem: why it reported none; empty when it did.
    """

    name: str
    address: str
    leaving: bool
    revision: int
    problem: str = ""


def in_force_everywhere(nodes: tuple[NodeRevision, ...], revision: int) -> bool:
    """Return whether all nodes that are not leaving have ``revision`` or a newer one.

    A listed node that does not respond counts as not having it: it may be unreachable
    only from here and continue to serve with an older revision.

    Examples
    ========

    >>> stays = NodeRevision("n1", "192.0.2.1:80", False, 3)
    >>> leaves = NodeRevision("n2", "192.0.2.2:80", True, 2)
    >>> in_force_everywhere((stays, leaves), 3), in_force_everywhere((stays, leaves), 4)
    (True, False)
    """
    return all(node.revision >= revision for node in nodes if not node.leaving)


def read_revisions(instances: tuple[contract.Instance, ...]) -> tuple[NodeRevision, ...]:
    """Read the revision of every listed instance, concurrently and with a timeout."""
    addresses = tuple(instance.address for instance in instances)
    readings = statusreading.read_all(addresses)
    return tuple(map(_node_revision, instances, readings))


def _node_revision(
    instance: contract.Instance, reading: statusreading.NodeReading
) -> NodeRevision:
    revision, problem = 0, reading.problem
    if reading.status is not None and reading.status.name == instance.name:
        revision = reading.status.config_revision
    elif reading.status is not None:
        # The list is outdated: the address now belongs to another node.
        problem = f"{reading.status.name} answers at this address"
    return NodeRevision(instance.name, instance.address, instance.leaving, revision, problem)
