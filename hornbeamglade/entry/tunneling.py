"""Tunnels between instances: relaying for others, and using them when partitioned."""

import collections.abc
import random

from hornbeamglade.core import clocks
from hornbeamglade.entry import peering
from hornbeamglade.exchange import hashednames, transport
from hornbeamglade.http1 import buffermemory
from hornbeamglade.membership import view as membershipview
from hornbeamglade.replicas import models, replicalist
from hornbeamglade.tunnels import pathconnector, serverpaths, tunnelserver


class Tunneling(pathconnector.Surroundings):
    """Both sides of tunnels for one instance.

    :param identity: this instance.
    :param replicas: the list of replicas.
    :param peers: the other instances.
    :param region_by_failure_domain: the region of each failure domain.
    :param rng: distributes tunnels over the instances.
    :param clock: monotonic time.
    :param max_tunnels: most tunnels that are relayed at once.
    :param memory: counts what tunnels hold, or None.
    """

    def __init__(
        self,
        identity: membershipview.Identity,
        replicas: replicalist.ReplicaList,
        peers: peering.Peering,
        region_by_failure_domain: collections.abc.Mapping[str, str],
        rng: random.Random,
        clock: clocks.Clock,
        max_tunnels: int = tunnelserver.MAX_TUNNELS,
        memory: buffermemory.BufferMemory | None = None,
    ) -> None:
        self._identity = identity
        self._replicas = replicas
        self._peering = peers
        self._region_by_failure_domain = region_by_failure_domain
        self._names = hashednames.HashedNames()
        self.paths = serverpaths.ServerPaths(clock)
        self.connector = pathconnector.PathConnector(
            self.paths, self, identity.failure_domain, peers.codec, rng, clock
        )
        self._server = tunnelserver.TunnelServer(
            peers.codec, self._address_by_hash, self.paths, max_tunnels, memory
        )

    async def listen(self) -> None:
        """Accept requests at the TCP port with the number of the exchange's UDP port."""
        await self._server.listen(transport.Endpoint.parse(self._identity.exchange))

    def leave(self) -> None:
        """Accept no further tunnels; those that are open continue."""
        self._server.leave()

    def close(self) -> None:
        """Stop listening and abort the relayed tunnels."""
        self._server.close()

    @property
    def relayed_count(self) -> int:
        """The number of tunnels that this instance relays."""
        return self._server.active_count

    def update_replicas(self) -> None:
        """Update what is known of replicas after a change of the list."""
        self._names.replace((*self._replicas.by_id, *self._replicas.departed_by_id))

    def replica_at(self, address: str) -> models.Replica | None:
        """Return the newest replica that is or was listed with an address, or None."""
        for known in (self._replicas.by_id, self._replicas.departed_by_id):
            at_address = [each for each in known.values() if each.address == address]
            if at_address:
                return max(at_address, key=lambda each: each.started_ms)
        return None

    def relays(self, replica: models.Replica) -> collections.abc.Iterator[pathconnector.Relay]:
        """Yield the other live instances in the replica's region.

        A request may be restricted to regions, and the replica's is always among them.
        """
        region_of = self._region_by_failure_domain.get
        region = region_of(replica.failure_domain)
        for member in self._peering.heartbeats.live():
            identity = member.identity
            if identity.name != self._identity.name and (
                region is None or region_of(identity.failure_domain) == region
            ):
                yield pathconnector.Relay(identity.name, identity.failure_domain)

    def peer(self, name: str) -> transport.Peer | None:
        """Return the endpoint of an instance, or None if it is not known."""
        return self._peering.heartbeats.peer(name)

    def _address_by_hash(self, replica: int) -> str | None:
        replica_id = self._names.find(replica)
        if replica_id is None:
            return None
        known = self._replicas.by_id.get(replica_id) or self._replicas.departed_by_id.get(
            replica_id
        )
        return None if known is None else known.address
