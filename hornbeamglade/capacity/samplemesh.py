"""One real peering among any number of sample nodes, for the measurements."""

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
    """One real peering that hears ``nodes - 1`` others; what it sends goes nowhere."""

    def __init__(self, nodes: int) -> None:
        self.clock = clocks.ManualClock()
        self._beat = 0
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
        told = settings_of_first()
        self.config = follower.Follower(
            self.platform, self.platform, self.clock, told.site, told.name
        )
        self.in_flight = inflight.InFlight(limits.TeamLimits(told.name, shares.ShareSettings()))
        self.peering = peering.Peering(
            node_settings=told,
            address=told.callers,
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
        listed = samplesite.instances(nodes)
        self._others = listed[1:]
        self.peering.heartbeats.apply_list(listed)

    def hear_all(self) -> None:
        """Hear every other node, so that all stay live."""
        self._beat += 1
        for instance in self._others:
            told = dataclasses.replace(heartbeat(instance, 0), beat=self._beat)
            sender = codec.Sender(instance.name, INCARNATION)
            self.peering.heartbeats.receive(told, sender, transport.Endpoint("127.0.0.1", 9))

    def tick_us(self) -> float:
        """Return one tick's processor time."""
        self.clock.advance(TICK_S)
        return profiling.total_cpu_us(self.peering.tick)

    def close(self) -> None:
        """Give the socket back."""
        self.peering.stop()


def settings_of_first() -> settings.NodeSettings:
    """Return the settings of the one node that is real."""
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
    """Return what a node of the site tells that owns ``owned`` replicas."""
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
