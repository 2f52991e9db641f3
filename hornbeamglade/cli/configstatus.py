"""Which revision each listed node has in force, asked of the nodes themselves."""

import dataclasses

from hornbeamglade.observability import statusreading
from hornbeamglade.store import contract


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRevision:
    """What a listed node says of its configuration.

    :param name: the node's name on the list.
    :param address: where it was asked.
    :param leaving: whether the platform has announced its stop.
    :param revision: the revision in force; 0 when it has none or gave none.
    :param problem: why it gave none; empty when it did.
    """

    name: str
    address: str
    leaving: bool
    revision: int
    problem: str = ""


def everywhere(nodes: tuple[NodeRevision, ...], revision: int) -> bool:
    """Return whether all nodes that stay have ``revision`` or a newer one.

    A node that is listed and does not answer counts as without: it may be cut
    off from here only, and go on serving by an older revision.

    Examples
    ========

    >>> stays = NodeRevision("n1", "192.0.2.1:80", False, 3)
    >>> leaves = NodeRevision("n2", "192.0.2.2:80", True, 2)
    >>> everywhere((stays, leaves), 3), everywhere((stays, leaves), 4)
    (True, False)
    """
    return all(node.revision >= revision for node in nodes if not node.leaving)


def ask(instances: tuple[contract.Instance, ...]) -> tuple[NodeRevision, ...]:
    """Ask every listed instance, several at once, each within a bounded time."""
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
        # The list lags: the address was given to another node, which speaks for itself.
        problem = f"{reading.status.name} answers at this address"
    return NodeRevision(instance.name, instance.address, instance.leaving, revision, problem)
