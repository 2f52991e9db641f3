"""One real peering among any number of simulated nodes, for the measurements."""

import dataclasses

from hornbeamglade.capacity import profiling, samplesite
from hornbeamglade.configuration import follower
from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, messages, transport
from hornbeamglade.grants import schedulerset
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.node import digestcache, inflight, peering, replicacatalog, settings
from hornbeamglade.store import contract, memory
from hornbeamglade.teams import limits, shares

TICK_S = 0.1
REPLICAS_PER_NODE = 5
SECRET = "a secret of the sample site"
INCARNATION = 1_764_000_000_000


class Mesh:
    """One real peering with ``nodes - 1`` simulated peers; its own messages are discarded."""

    def __init__(self, nodes: int) -> None:
        self.clock = clocks.ManualClock()
        self._sequence = 0
        self.schedulers = schedulerset.SchedulerSet(self.clock, lengthmodel.LengthModel())
        digests = digestcache.DigestCache(self.clock)
        self.catalog = replicacatalog.ReplicaCatalog(self.clock, digests)
        counts = samplesite.Counts(replicas=REPLICAS_PER_NODE * nodes)
        site = samplesite.site(counts)
        self.catalog.configure(site.pool_by_name)
        self.schedulers.configure(
            {name: samplesite.scheduler_spec() for name in self.catalog.known_by_name}
        )
        self.platform = memory.MemoryPlatform(self.clock)
        own_settings = local_settings()
        self.config = follower.Follower(
            self.platform, self.platform, self.clock, own_settings.site, own_settings.name
        )
        self.in_flight = inflight.InFlight(
            limits.TeamLimits(own_settings.name, shares.ShareSettings())
        )
        self.peering = peering.Peering(
            node_settings=own_settings,
            address=own_settings.callers,
            incarnation=INCARNATION,
            clock=self.clock,
            schedulers=self.schedulers,
            digests=digests,
            catalog=self.catalog,
            config=self.config,
            in_flight=self.in_flight,
            closed=frozenset,
            changed=_ignore,
            failed=_raise,
        )
        instances = samplesite.instances(nodes)
        self._others = instances[1:]
        self.peering.heartbeats.apply_list(instances)

    def receive_from_all(self) -> None:
        """Receive a heartbeat from every other node, so that all stay live."""
        self._sequence += 1
        for instance in self._others:
            message = dataclasses.replace(heartbeat(instance, 0), beat=self._sequence)
            sender = codec.Sender(instance.name, INCARNATION)
            self.peering.heartbeats.receive(message, sender, transport.Endpoint("127.0.0.1", 9))

    def tick_us(self) -> float:
        """Run one tick and return its CPU time in microseconds."""
        self.clock.advance(TICK_S)
        return profiling.total_cpu_us(self.peering.tick)

    def close(self) -> None:
        """Close the socket."""
        self.peering.stop()


def local_settings() -> settings.NodeSettings:
    """Return the settings of the real node."""
    return settings.NodeSettings(
        name=samplesite.node_name(0),
        site=samplesite.SITE,
        failure_domain=samplesite.domain(0),
        callers="127.0.0.1:0",
        exchange="127.0.0.1:0",
        platform="http://127.0.0.1:9",
        exchange_keys=(settings.ExchangeKey(id=1, secret=SECRET),),
    )


def _ignore(*_: object) -> None:
    return None


def _raise(error: Exception, _where: str) -> None:
    raise error


def heartbeat(instance: contract.Instance, owned: int) -> messages.Heartbeat:
    """Return the heartbeat of a node that owns ``owned`` replicas."""
    replicas = tuple(
        messages.ReplicaDigest(
            messages.key_hash(samplesite.replica_name(number)), 50_000 + 977 * number, 2, 140
        )
        for number in range(owned)
    )
    return messages.Heartbeat(
        messages.NodeState.LIVE,
        beat=40_001,
        config_revision=290_000,
        failure_domain=instance.failure_domain,
        address=instance.address,
        exchange="10.0.1.100:7000",
        wants_answer=True,
        replicas=replicas,
    )
