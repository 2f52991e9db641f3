"""Measures the cost of choosing a replica and of the stored state of replicas."""

import collections.abc
import random

from hornbeamglade.capacity import fits, profiling, samplesite, slopes
from hornbeamglade.core import clocks, outcomes
from hornbeamglade.exchange import messages
from hornbeamglade.grants import schedulerset
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.node import digestcache, replicacatalog
from hornbeamglade.routing import candidates, choice, placements, prefixes

GROUP = "routing"
_POOL_SIZES = (75, 150, 300, 600)
_REPLICA_COUNTS = (225, 450, 900, 1800)
_BLOCK_COUNTS = (1024, 2048, 4096, 8192)
_PROMPT = "Dear office, please draft a reply to this letter. " * 16
_RECENT_PLACEMENTS = 200
_OWNED_OF_POOL = 2


def measure() -> collections.abc.Iterator[slopes.Slope]:
    """Measure the group."""
    yield _slope(
        "routing.choice_us",
        "processor us to choose a replica, "
        f"{replicacatalog.MAX_REMOTE_CANDIDATES} of others looked at",
        "replicas of the pool",
        "node/replicacatalog.py, routing/choice.py",
        [fits.Point(size, _choice_us(size)) for size in _POOL_SIZES],
    )
    yield _slope(
        "routing.known_bytes",
        "bytes held of the replicas' reports, digests and prefix indexes",
        "replicas of the site",
        "node/replicacatalog.py, node/digestcache.py",
        [
            fits.Point(size, profiling.held_bytes(lambda n=size: _filled_catalog(n)))
            for size in _REPLICA_COUNTS
        ],
    )
    yield _slope(
        "routing.prefix_bytes",
        "bytes of one replica's prefix index",
        "blocks remembered",
        "routing/prefixes.py",
        [
            fits.Point(size, profiling.held_bytes(lambda n=size: _prefix_index(n)))
            for size in _BLOCK_COUNTS
        ],
    )


def _slope(key, cost, over, mechanism, points) -> slopes.Slope:
    return slopes.Slope(key, GROUP, cost, over, mechanism, tuple(points))


def _filled_catalog(replicas: int) -> replicacatalog.ReplicaCatalog:
    clock = clocks.ManualClock()
    digests = digestcache.DigestCache(clock)
    catalog = replicacatalog.ReplicaCatalog(clock, digests)
    catalog.configure(samplesite.site(samplesite.Counts(replicas=replicas)).pool_by_name)
    for number in range(replicas):
        name = messages.key_hash(samplesite.replica_name(number))
        digest = messages.ReplicaDigest(name, 100_000 + number, number % 3, 0)
        digests.record(samplesite.node_name(number // 5), (digest,))
    for name in catalog.known_by_name:
        # Each choice samples other replicas, so over time the prefixes of all are looked up.
        catalog.prefix_sequence(name)
    clock.advance(0.5)
    return catalog


def _choice_us(pool_size: int) -> float:
    catalog = _filled_catalog(pool_size * samplesite.POOLS)
    settings = candidates.RoutingSettings(failure_domain=samplesite.domain(0))
    recent = placements.Placements(settings)
    for number in range(_RECENT_PLACEMENTS):
        recent.placed(samplesite.replica_name(number % pool_size * samplesite.POOLS), 400, 0.4)
    prefix = prefixes.prefix_hashes(_PROMPT)
    work = outcomes.Work("r-1", "model-0", "team-00001", 0, 200, None, prefix)
    rng = random.Random(1)
    own_states = _own_states()

    def choose() -> None:
        known = catalog.candidates("pool-0", prefix, frozenset(), own_states)
        choice.rank(work, recent.applied(known, 0.5), rng, settings)

    return profiling.cpu_us(choose)


def _own_states() -> dict[str, schedulerset.SchedulerState]:
    """Return scheduler states of the pool's replicas that a node owns at the target size."""
    names = [
        samplesite.replica_name(number * samplesite.POOLS) for number in range(_OWNED_OF_POOL)
    ]
    schedulers = schedulerset.SchedulerSet(clocks.ManualClock(), lengthmodel.LengthModel())
    schedulers.configure({name: samplesite.scheduler_spec() for name in names})
    schedulers.set_owned(frozenset(names))
    return schedulers.states()


def _prefix_index(blocks: int) -> prefixes.PrefixIndex:
    index = prefixes.PrefixIndex()
    rng = random.Random(1)
    index.expect([rng.getrandbits(53) for _ in range(blocks)], 0.0)
    return index
