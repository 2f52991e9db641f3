"""State of every replica of the site, from this node's own polls and from peers."""

import collections.abc
import dataclasses
import random
import threading

from hornbeamglade.backends import loadreports
from hornbeamglade.configuration import models
from hornbeamglade.core import clocks
from hornbeamglade.grants import replicascheduler, schedulerset
from hornbeamglade.node import digestcache
from hornbeamglade.routing import candidates as candidatelib
from hornbeamglade.routing import outliers, prefixes

UNKNOWN_HEADROOM_TOKENS = 0
MAX_REMOTE_CANDIDATES = 32
"""Replicas of other owners that are considered for a request, besides this node's own."""

CLOSED_TIMEOUT_S = 20.0
"""Longer than a placement plan is valid, or its orders are in flight, after it was last
announced."""

REPORT_LIFE_S = replicascheduler.REPORT_LIFE_S


@dataclasses.dataclass(frozen=True, slots=True)
class KnownReplica:
    """A replica of the configuration, with the pool that it belongs to.

    :param name: the replica's name; unique within the site.
    :param pool: the pool's name.
    :param replica: its address and failure domain.
    """

    name: str
    pool: str
    replica: models.Replica


class ReplicaCatalog:
    """Addresses, load reports, cached prefixes and health of replicas.

    :param clock: monotonic time.
    :param digests: the digests received from other owners.
    """

    def __init__(self, clock: clocks.Clock, digests: digestcache.DigestCache) -> None:
        self._clock = clock
        self._digests = digests
        self._lock = threading.Lock()
        self._outliers_by_pool: dict[str, outliers.OutlierDetector] = {}
        self._prefixes_by_replica: dict[str, prefixes.PrefixIndex] = {}
        self._rng = random.Random(0)
        self._known_by_pool: dict[str, list[KnownReplica]] = {}
        self._closed_until_by_replica: dict[str, float] = {}
        self.known_by_name: dict[str, KnownReplica] = {}
        self.report_by_replica: dict[str, loadreports.LoadReport] = {}

    def configure(self, pool_by_name: collections.abc.Mapping[str, models.Pool]) -> None:
        """Set the pools of a new revision; the state of replicas that remain is kept."""
        known = {
            name: KnownReplica(name, pool_name, replica)
            for pool_name, pool in pool_by_name.items()
            for name, replica in pool.replica_by_name.items()
        }
        known_by_pool: dict[str, list[KnownReplica]] = {}
        for each in known.values():
            known_by_pool.setdefault(each.pool, []).append(each)
        with self._lock:
            self.known_by_name = known
            self._known_by_pool = known_by_pool
            for pool_name, pool in pool_by_name.items():
                detector = self._outliers_by_pool.setdefault(
                    pool_name, outliers.OutlierDetector(outliers.OutlierSettings())
                )
                detector.set_members(tuple(pool.replica_by_name))
            for gone in self._prefixes_by_replica.keys() - known.keys():
                del self._prefixes_by_replica[gone]
            for gone in self.report_by_replica.keys() - known.keys():
                del self.report_by_replica[gone]

    def reported(self, replica: str, report: loadreports.LoadReport) -> None:
        """Record the newest report of a replica that this node polls."""
        with self._lock:
            self.report_by_replica[replica] = report

    def succeeded(self, replica: str, latency_s: float) -> None:
        """Record a success; see :meth:`outliers.OutlierDetector.succeeded`."""
        with self._lock:
            detector = self._detector(replica)
            if detector is not None:
                detector.succeeded(replica, latency_s, self._clock.now())

    def failed(self, replica: str) -> None:
        """Record a failure of the replica itself."""
        with self._lock:
            detector = self._detector(replica)
            if detector is not None:
                detector.failed(replica, self._clock.now())

    def probe_due(self, pool: str) -> str | None:
        """Return an ejected replica that the next idempotent request is to probe."""
        with self._lock:
            detector = self._outliers_by_pool.get(pool)
            return None if detector is None else detector.probe_due(self._clock.now())

    def is_ejected(self, replica: str) -> bool:
        """Return whether outlier detection has ejected the replica."""
        with self._lock:
            detector = self._detector(replica)
            return detector is not None and detector.is_ejected(replica)

    def cache_events(
        self, replica: str, events: collections.abc.Iterable[prefixes.CacheEvent]
    ) -> None:
        """Apply events of a replica's prefix cache."""
        with self._lock:
            self._index(replica).apply(events, self._clock.now())

    def prefix_sequence(self, replica: str) -> int:
        """Return the sequence number of the last applied cache event."""
        with self._lock:
            return self._index(replica).sequence

    def expect_prefix(self, replica: str, prefix: tuple[int, ...]) -> None:
        """Record that a prompt was sent to a replica, which will then cache its prefix."""
        with self._lock:
            self._index(replica).expect(prefix, self._clock.now())

    def candidates(
        self,
        pool: str,
        prefix: tuple[int, ...],
        excluded: frozenset[str],
        state_by_replica: collections.abc.Mapping[str, schedulerset.SchedulerState],
    ) -> tuple[candidatelib.Candidate, ...]:
        """Return the replicas of a pool as candidates for routing.

        :param pool: the pool's name.
        :param prefix: the prompt's block hashes.
        :param excluded: replicas that failed this request already.
        :param state_by_replica: the states of this node's own schedulers.
        """
        usable = [
            known for known in self._known_by_pool.get(pool, ()) if known.name not in excluded
        ]
        return tuple(
            self._candidate(known, prefix, state_by_replica.get(known.name))
            for known in self._sample_replicas(usable, state_by_replica)
        )

    def _sample_replicas(
        self, usable: list[KnownReplica], state_by_replica: collections.abc.Mapping[str, object]
    ) -> list[KnownReplica]:
        """Sample a large pool, as considering 600 replicas takes 13 ms per request."""
        if len(usable) <= MAX_REMOTE_CANDIDATES:
            return usable
        own = [known for known in usable if known.name in state_by_replica]
        others = [known for known in usable if known.name not in state_by_replica]
        return own + self._rng.sample(others, min(MAX_REMOTE_CANDIDATES, len(others)))

    def close(self, replica: str) -> None:
        """Send no new work to a replica whose models are about to change."""
        self._closed_until_by_replica[replica] = self._clock.now() + CLOSED_TIMEOUT_S

    def is_closed(self, replica: str) -> bool:
        """Return whether placement announced lately that it has closed the replica."""
        return self._closed_until_by_replica.get(replica, 0.0) > self._clock.now()

    def takes_new_work(self, replica: str) -> bool:
        """Return whether the replica reported lately that it is not leaving.

        Explanation
        ===========

        A missing report counts as leaving: a leaving replica may be partitioned
        from this node, and after ``REPORT_LIFE_S`` it must get no new work.
        """
        if self.is_closed(replica):
            return False
        now = self._clock.now()
        report = self.report_by_replica.get(replica)
        if report is not None and now - report.received_at + report.age_s < REPORT_LIFE_S:
            return not report.leaving
        received = self._digests.newest(replica)
        if received is None or now - received.received_at > REPORT_LIFE_S:
            return False
        return not received.digest.leaving

    def _is_reported_leaving(self, replica: str) -> bool:
        """Return whether the newest report or digest of a replica says that it is leaving.

        Unlike in :meth:`takes_new_work`, a missing report does not count: with many nodes the
        heartbeats of most owners arrive only by chance, and the owner's scheduler refuses
        requests to a leaving replica anyway.
        """
        report = self.report_by_replica.get(replica)
        received = self._digests.newest(replica)
        if report is not None and (received is None or report.received_at > received.received_at):
            return report.leaving
        return received is not None and received.digest.leaving

    def _candidate(
        self,
        known: KnownReplica,
        prefix: tuple[int, ...],
        state: schedulerset.SchedulerState | None,
    ) -> candidatelib.Candidate:
        received = self._digests.newest(known.name)
        with self._lock:
            held = self._index(known.name).cached_tokens(prefix, self._clock.now())
            detector = self._outliers_by_pool[known.pool]
            is_ejected = detector.is_ejected(known.name)
            slow_factor = detector.slow_factor(known.name)
        return candidatelib.Candidate(
            replica=known.name,
            owner="" if state is not None or received is None else received.owner,
            local=state is not None,
            room_tokens=_headroom_tokens(state, received),
            queued=_queued(state, received),
            expected_wait_s=_expected_wait_s(state, received),
            report_age_s=0.0 if state is not None else self._digests.age_s(received),
            failure_domain=known.replica.failure_domain,
            leaving=self._is_reported_leaving(known.name),
            ejected=is_ejected,
            slow_factor=slow_factor,
            cached_prefix_tokens=held,
        )

    def _detector(self, replica: str) -> outliers.OutlierDetector | None:
        known = self.known_by_name.get(replica)
        return None if known is None else self._outliers_by_pool.get(known.pool)

    def _index(self, replica: str) -> prefixes.PrefixIndex:
        return self._prefixes_by_replica.setdefault(replica, prefixes.PrefixIndex())


def _headroom_tokens(
    state: schedulerset.SchedulerState | None, received: digestcache.ReceivedDigest | None
) -> int:
    if state is not None:
        return int(state.headroom_tokens)
    return UNKNOWN_HEADROOM_TOKENS if received is None else received.digest.room_tokens


def _queued(
    state: schedulerset.SchedulerState | None, received: digestcache.ReceivedDigest | None
) -> int:
    if state is not None:
        return state.waiting
    return 0 if received is None else received.digest.queued


def _expected_wait_s(
    state: schedulerset.SchedulerState | None, received: digestcache.ReceivedDigest | None
) -> float:
    if state is not None:
        return state.expected_wait_s
    return 0.0 if received is None else received.digest.expected_wait_ms / 1000
