"""How an entry instance divides its descriptors among its listeners and connections."""

import dataclasses
import resource

from hornbeamglade.entry import settings
from hornbeamglade.http1 import listeners
from hornbeamglade.tunnels import tunnelserver

MIN_RESERVED = 64
RESERVED_SHARE = 1 / 16
"""Share of the descriptors for files, listeners and connections to the store and to neighbours."""

CALLERS_SHARE = 0.4
REPLICAS_SHARE = 0.4
"""A request in progress has one connection of its caller and one to a replica."""

TUNNELS_SHARE = 0.1
DIRECTORY_SHARE = 0.07
OPERATOR_SHARE = 0.01
MIN_OPERATOR_CONNECTIONS = 4
MAX_OPERATOR_CONNECTIONS = 32
DIRECTORY_PER_CALLER = 0.25

DESCRIPTORS_PER_TUNNEL = 2
CONNECTION_BYTES = 8_192
"""Memory of an idle connection: its protocol, its transport and its task."""

MEMORY_SHARE = 0.15
"""Share of the memory that callers' connections may take, with full receive buffers."""


UNLIMITED_DESCRIPTORS = 1_048_576
"""Stands for a limit that the process does not have or cannot read."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionShares:
    """Most connections of each kind that are open at once.

    :param callers: connections of callers.
    :param replicas: connections to replicas.
    :param tunnels: tunnels that are relayed for other instances.
    :param directory: connections to the directory.
    :param operator: connections to each of the addresses for readiness, control and metrics.
    """

    callers: int
    replicas: int
    tunnels: int
    directory: int
    operator: int

    @property
    def accepted(self) -> int:
        """All connections that are accepted from callers and operators."""
        return self.callers + self.directory + len(settings.OPERATOR_LISTENERS) * self.operator


def process_descriptors() -> int:
    """Return how many descriptors the process may have open."""
    try:
        limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    except OSError:
        return UNLIMITED_DESCRIPTORS
    return UNLIMITED_DESCRIPTORS if limit == resource.RLIM_INFINITY else limit


def divide(instance_settings: settings.Settings, process_limit: int) -> ConnectionShares:
    """Return the shares of an instance.

    :param process_limit: the limit of the process on its descriptors.
    """
    limits = instance_settings.limits
    descriptors = min(limits.descriptors or process_limit, process_limit)
    free = descriptors - max(MIN_RESERVED, int(RESERVED_SHARE * descriptors))
    callers = int(CALLERS_SHARE * free)
    if instance_settings.memory_mb is not None:
        each = CONNECTION_BYTES + listeners.RECEIVE_BUFFER_BYTES
        callers = min(callers, int(MEMORY_SHARE * instance_settings.memory_mb * 1_000_000 / each))
    directory = min(int(DIRECTORY_SHARE * free), int(DIRECTORY_PER_CALLER * callers))
    operator = max(MIN_OPERATOR_CONNECTIONS, int(OPERATOR_SHARE * free))
    operator = min(operator, MAX_OPERATOR_CONNECTIONS)
    return ConnectionShares(
        callers=limits.caller_connections or callers,
        replicas=limits.replica_connections or int(REPLICAS_SHARE * free),
        tunnels=min(tunnelserver.MAX_TUNNELS, int(TUNNELS_SHARE * free / DESCRIPTORS_PER_TUNNEL)),
        directory=limits.directory_connections or directory,
        operator=limits.operator_connections or operator,
    )


def worst_case_bytes(shares: ConnectionShares, held_bound_bytes: int, program_bytes: int) -> int:
    """Return the memory of an instance whose connections and budget are all in use.

    :param held_bound_bytes: the bound on what is held for callers.
    :param program_bytes: memory of the program itself and its tables.
    """
    each = CONNECTION_BYTES + listeners.RECEIVE_BUFFER_BYTES
    return program_bytes + held_bound_bytes + shares.accepted * each
