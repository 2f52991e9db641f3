"""Outlier detection: temporary ejection of replicas that fail or are slower than their pool."""

import collections.abc
import dataclasses
import enum
import statistics

_SMOOTHING = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class OutlierSettings:
    """When a replica is ejected, and for how long.

    :param failures: consecutive failures that cause an ejection.
    :param slow_factor: ratio of latency to the pool's median that causes an ejection.
    :param min_samples: latency samples needed before a replica can count as slow.
    :param base_s: duration of the first ejection in seconds; each further one doubles it.
    :param max_s: longest ejection in seconds.
    :param max_share: share of a pool that may be ejected at the same time, 0 to 1.
    :param probe_timeout_s: seconds after which an unanswered probe is considered lost.
    """

    failures: int = 3
    slow_factor: float = 3.0
    min_samples: int = 20
    base_s: float = 5.0
    max_s: float = 300.0
    max_share: float = 0.34
    probe_timeout_s: float = 30.0


class EjectionState(enum.Enum):
    """Whether a replica gets requests."""

    IN_USE = "in_use"
    EJECTED = "ejected"
    PROBED = "probed"


@dataclasses.dataclass(slots=True)
class _Record:
    state: EjectionState = EjectionState.IN_USE
    failures: int = 0
    ejections: int = 0
    until: float = 0.0
    latency_s: float = 0.0
    samples: int = 0


class OutlierDetector:
    """The ejection state of each replica of one pool.

    Explanation
    ===========

    A replica is ejected after consecutive failures, or when its smoothed latency
    exceeds the median of the pool by a factor. After the ejection one request probes
    it (half-open): success readmits the replica, failure doubles the next ejection.

    At most ``max_share`` of the pool is ejected. If this node's own link fails, every
    replica seems to fail; without the limit the node would eject the whole pool and
    refuse all requests even after the link is back.

    :param settings: thresholds and times.

    Examples
    ========

    >>> detector = OutlierDetector(OutlierSettings(failures=1, max_share=0.5))
    >>> detector.set_members(["a", "b"])
    >>> detector.failed("a", now=0.0)
    >>> detector.is_ejected("a"), detector.probe_due(now=1.0), detector.probe_due(now=5.0)
    (True, None, 'a')
    >>> detector.succeeded("a", latency_s=0.03, now=5.1)
    >>> detector.is_ejected("a")
    False
    """

    def __init__(self, settings: OutlierSettings) -> None:
        self._settings = settings
        self._record_by_replica: dict[str, _Record] = {}

    def set_members(self, replicas: collections.abc.Collection[str]) -> None:
        """Set the members of the pool; the records of remaining members are kept."""
        for removed in self._record_by_replica.keys() - set(replicas):
            del self._record_by_replica[removed]
        for replica in replicas:
            self._record_by_replica.setdefault(replica, _Record())

    def succeeded(self, replica: str, latency_s: float, now: float) -> None:
        """Record a successful response.

        :param latency_s: the latency that is compared within the pool, such as the mean
            time between tokens; 0 if there is none.
        """
        record = self._record_by_replica.get(replica)
        if record is None:
            return
        record.failures = 0
        if record.state is EjectionState.PROBED:
            self._readmit(record)
        elif record.state is EjectionState.IN_USE:
            self._smooth(record, latency_s)
            if self._is_slow(replica):
                self._eject(record, now)

    def failed(self, replica: str, now: float) -> None:
        """Record a failure caused by the replica, not by the request."""
        record = self._record_by_replica.get(replica)
        if record is None:
            return
        record.failures += 1
        is_probe = record.state is EjectionState.PROBED
        has_reached_limit = record.failures >= self._settings.failures
        if is_probe or (record.state is EjectionState.IN_USE and has_reached_limit):
            self._eject(record, now)

    def is_ejected(self, replica: str) -> bool:
        """Return whether the replica gets no requests except probes."""
        record = self._record_by_replica.get(replica)
        return record is not None and record.state is not EjectionState.IN_USE

    def probe_due(self, now: float) -> str | None:
        """Return a replica that the next idempotent request should probe, or None.

        A probe is assigned once, and again if no result is recorded within
        ``probe_timeout_s``.
        """
        for replica, record in self._record_by_replica.items():
            if record.state is EjectionState.IN_USE or now < record.until:
                continue
            record.state = EjectionState.PROBED
            record.until = now + self._settings.probe_timeout_s
            return replica
        return None

    def slow_factor(self, replica: str) -> float:
        """Return the ratio of the replica's latency to the pool's median, at least 1."""
        record = self._record_by_replica.get(replica)
        median_s = self._median_s()
        if record is None or not median_s or record.samples < self._settings.min_samples:
            return 1.0
        return max(record.latency_s / median_s, 1.0)

    def _smooth(self, record: _Record, latency_s: float) -> None:
        if latency_s <= 0:
            return
        record.samples += 1
        weight = max(_SMOOTHING, 1.0 / record.samples)
        record.latency_s += weight * (latency_s - record.latency_s)

    def _median_s(self) -> float:
        known = [
            record.latency_s
            for record in self._record_by_replica.values()
            if record.samples >= self._settings.min_samples
        ]
        # The low median, so that the slower of two replicas does not set the reference.
        return statistics.median_low(known) if len(known) > 1 else 0.0

    def _is_slow(self, replica: str) -> bool:
        return self.slow_factor(replica) >= self._settings.slow_factor

    def _eject(self, record: _Record, now: float) -> None:
        if record.state is EjectionState.IN_USE and not self._may_eject():
            return
        if record.state is EjectionState.IN_USE and now - record.until > self._settings.max_s:
            record.ejections = 0
        seconds = self._settings.base_s * 2.0**record.ejections
        record.state = EjectionState.EJECTED
        record.until = now + min(seconds, self._settings.max_s)
        record.ejections = min(record.ejections + 1, 32)

    def _may_eject(self) -> bool:
        records = self._record_by_replica.values()
        ejected = sum(record.state is not EjectionState.IN_USE for record in records)
        return ejected + 1 <= self._settings.max_share * len(records)

    def _readmit(self, record: _Record) -> None:
        record.state = EjectionState.IN_USE
        record.latency_s = 0.0
        record.samples = 0
