"""Load estimates for the replicas of plain services."""

import collections.abc
import dataclasses
import random

from hornbeamglade.core import clocks
from hornbeamglade.observability import logs
from hornbeamglade.replicas import models
from hornbeamglade.routed import calls

LOAD_REPORT_TTL_S = 1.0
"""How long a load report is used. By then most of the reported requests have ended, as a
plain request runs for a tenth of a second."""

FAILURE_HALF_LIFE_S = 3.0
FAILURE_WEIGHT = 4.0
"""A replica that fails every request counts as if its utilization were higher by this much,
that is, by four more requests per slot. It is chosen only when the others are that much
fuller, or as a probe that detects its recovery."""

SMOOTHING = 0.2
DISTRUST_THRESHOLD = 0.5
TRUST_THRESHOLD = 0.2
"""Failure rates at which a replica is logged as doubted, and as trusted again."""


@dataclasses.dataclass(slots=True)
class _Record:
    outstanding: int = 0
    reported: calls.Load | None = None
    reported_at: float = 0.0
    own_when_reported: int = 0
    failure_rate: float = 0.0
    failure_rate_at: float = 0.0
    is_distrusted: bool = False

    def other_requests(self, now: float) -> float:
        """Return the estimated number of requests that other nodes have at the replica."""
        if self.reported is None or now - self.reported_at > LOAD_REPORT_TTL_S:
            return 0.0
        other_requests = self.reported.running + self.reported.waiting - self.own_when_reported
        return max(0.0, other_requests) * (1.0 - (now - self.reported_at) / LOAD_REPORT_TTL_S)

    def decayed_failure_rate(self, now: float) -> float:
        """Return the smoothed failure rate of recent requests, decayed to ``now``."""
        return self.failure_rate * 0.5 ** ((now - self.failure_rate_at) / FAILURE_HALF_LIFE_S)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadEstimate:
    """Load estimate of a replica at the time of a choice, for the log.

    :param utilization: estimated share of used slots plus the penalty for failures.
    :param age_s: seconds since the replica's last load report, or None without a report.
    """

    utilization: float
    age_s: float | None


class ReplicaLoads:
    """Chooses replicas of plain services by least outstanding requests.

    :param clock: monotonic time.
    :param rng: breaks ties, so that nodes do not all choose the same replica.
    """

    def __init__(self, clock: clocks.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._record_by_id: dict[str, _Record] = {}

    def choose(self, replicas: collections.abc.Sequence[models.Replica]) -> models.Replica | None:
        """Return the least loaded replica, or None if there are no replicas."""
        if not replicas:
            return None
        now = self._clock.now()
        return min(replicas, key=lambda each: (self._utilization(each, now), self._rng.random()))

    def estimate(self, replica: models.Replica) -> LoadEstimate:
        """Return the current load estimate of a replica."""
        now = self._clock.now()
        record = self._record_by_id.get(replica.id)
        has_report = record is not None and record.reported is not None
        return LoadEstimate(
            self._utilization(replica, now), now - record.reported_at if has_report else None
        )

    def started(self, replica_id: str) -> None:
        """Count a request that is sent to a replica."""
        self._record(replica_id).outstanding += 1

    def ended(self, replica_id: str, failed: bool, load: calls.Load | None) -> None:
        """Record the end of a request.

        :param failed: whether the replica failed the request.
        :param load: load reported by the replica, or None.
        """
        now = self._clock.now()
        record = self._record(replica_id)
        record.outstanding -= 1
        if load is not None:
            # The reported load still includes the request that carried the report.
            record.reported = load
            record.reported_at = now
            record.own_when_reported = record.outstanding + 1
        previous = record.decayed_failure_rate(now)
        record.failure_rate = previous + SMOOTHING * (float(failed) - previous)
        record.failure_rate_at = now
        _log_trust_change(replica_id, record)

    def forget_absent(self, present: collections.abc.Container[str]) -> None:
        """Drop the records of idle replicas that are not in ``present``."""
        for replica_id in list(self._record_by_id):
            if replica_id not in present and not self._record_by_id[replica_id].outstanding:
                del self._record_by_id[replica_id]

    def _utilization(self, replica: models.Replica, now: float) -> float:
        record = self._record_by_id.get(replica.id)
        if record is None:
            return 0.0
        used = (record.outstanding + record.other_requests(now)) / max(1, replica.slots)
        return used + FAILURE_WEIGHT * record.decayed_failure_rate(now)

    def _record(self, replica_id: str) -> _Record:
        return self._record_by_id.setdefault(replica_id, _Record())


def _log_trust_change(replica_id: str, record: _Record) -> None:
    """Log when a replica starts or stops being avoided because of failures."""
    is_distrusted = record.failure_rate > (
        TRUST_THRESHOLD if record.is_distrusted else DISTRUST_THRESHOLD
    )
    if is_distrusted is record.is_distrusted:
        return
    record.is_distrusted = is_distrusted
    previous, after = ("trusted", "doubted") if is_distrusted else ("doubted", "trusted")
    logs.state_changed(
        "replica_trust", previous, after, replica=replica_id, load=round(record.failure_rate, 3)
    )
