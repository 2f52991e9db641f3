"""Load estimates for the replicas of plain services.

Explanation
===========

A replica is chosen by its utilization, as far as this instance knows it. If the replicas of a
service share their machines (:mod:`hornbeamglade.replicas.sharedmachines`), the expected time of
the request counts instead: the utilization including the request, times the slowdown that the
replica reported, times a factor for its lasting speed.

A slowdown ends within a second, while an instance sends a replica of a small service a request
every few seconds. Without a recent report of every replica, the choice is therefore between two
replicas drawn at random. It avoids a replica that is known to be slow, and instances that act on
the same report do not all choose the same other replica.
"""

import collections.abc
import dataclasses
import random
import statistics

from hornbeamglade.core import clocks
from hornbeamglade.observability import logs
from hornbeamglade.replicas import models, sharedmachines
from hornbeamglade.routed import calls

LOAD_REPORT_TTL_S = 1.0
"""How long a load report is used. By then most of the reported requests have ended, as a
plain request runs for a tenth of a second."""

FAILURE_HALF_LIFE_S = 3.0
FAILURE_WEIGHT = 4.0
"""A replica that fails every request counts as if its utilization were higher by this much,
that is, by four more requests per slot. It is chosen only when the others are that much
fuller, or as a probe that detects its recovery."""

SLOWDOWN_TTL_S = 0.6
"""How long a reported slowdown counts, with a weight that falls to zero: as long as other work
usually occupies a shared machine."""

MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 8.0
"""Bounds of a reported slowdown, so that a wrong figure neither floods nor starves a replica."""

SERVICE_TIME_SMOOTHING = 0.1
MIN_SERVICE_TIMES = 8
"""Service times that must be known of a replica before its speed counts. Requests of one service
differ in length, and fewer would make a replica appear fast by chance."""

MIN_SPEED_FACTOR = 0.5
MAX_SPEED_FACTOR = 4.0

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
    service_s: float = 0.0
    service_times: int = 0

    def other_requests(self, now: float) -> float:
        """Return the estimated number of requests that other nodes have at the replica."""
        if self.reported is None or now - self.reported_at > LOAD_REPORT_TTL_S:
            return 0.0
        other_requests = self.reported.running + self.reported.waiting - self.own_when_reported
        return max(0.0, other_requests) * (1.0 - (now - self.reported_at) / LOAD_REPORT_TTL_S)

    def has_fresh_report(self, now: float) -> bool:
        """Return whether the slowdown in the last load report still counts."""
        return self.reported is not None and now - self.reported_at < SLOWDOWN_TTL_S

    def slowdown(self, now: float) -> float:
        """Return the reported slowdown, decayed to 1 as the report ages."""
        if not self.has_fresh_report(now) or self.reported.slowdown is None:
            return 1.0
        bounded = min(max(self.reported.slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN)
        return 1.0 + (bounded - 1.0) * (1.0 - (now - self.reported_at) / SLOWDOWN_TTL_S)

    def record_service_time(self, seconds: float) -> None:
        """Record how long the replica would have taken for a request on an idle machine."""
        self.service_times += 1
        weight = max(SERVICE_TIME_SMOOTHING, 1.0 / self.service_times)
        self.service_s += weight * (seconds - self.service_s)

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
    """Chooses replicas of plain services by least outstanding requests or least expected time.

    :param clock: monotonic time.
    :param rng: breaks ties, so that nodes do not all choose the same replica.
    :param shared_machines: tells for which services the expected time counts; None for none.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        shared_machines: sharedmachines.SharedMachines | None = None,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._shared_machines = shared_machines
        self._record_by_id: dict[str, _Record] = {}

    def choose(
        self,
        replicas: collections.abc.Sequence[models.Replica],
        tried_domains: collections.abc.Container[str] = (),
    ) -> models.Replica | None:
        """Return the least loaded replica, or None if there are no replicas.

        :param replicas: replicas of one service.
        :param tried_domains: failure domains of earlier attempts; if the replicas share machines,
            others are preferred.
        """
        if not replicas:
            return None
        now = self._clock.now()
        if self._shares_machines(replicas[0].service):
            return self._choose_by_time(replicas, tried_domains, now)
        return min(replicas, key=lambda each: (self._utilization(each, now), self._rng.random()))

    def _shares_machines(self, service: str) -> bool:
        return self._shared_machines is not None and self._shared_machines.shares_machines(service)

    def _choose_by_time(
        self,
        replicas: collections.abc.Sequence[models.Replica],
        tried_domains: collections.abc.Container[str],
        now: float,
    ) -> models.Replica:
        """Return the replica with the least expected time, given how much is known."""
        untried = [each for each in replicas if each.failure_domain not in tried_domains]
        candidates = untried or list(replicas)
        if len(candidates) > 2 and not all(self._is_fresh(each.id, now) for each in candidates):
            candidates = self._rng.sample(candidates, 2)
        usual_s = self._usual_service_s(replicas)
        return min(
            candidates,
            key=lambda each: (self._expected_time(each, usual_s, now), self._rng.random()),
        )

    def _is_fresh(self, replica_id: str, now: float) -> bool:
        record = self._record_by_id.get(replica_id)
        return record is not None and record.has_fresh_report(now)

    def _usual_service_s(self, replicas: collections.abc.Sequence[models.Replica]) -> float | None:
        """Return the median service time of replicas, or None while it is unknown."""
        records = (self._record_by_id.get(each.id) for each in replicas)
        known = [
            each.service_s for each in records if each and each.service_times >= MIN_SERVICE_TIMES
        ]
        return statistics.median(known) if known else None

    def _expected_time(self, replica: models.Replica, usual_s: float | None, now: float) -> float:
        """Return the expected time of a request, relative to one at an idle, usual replica."""
        record = self._record_by_id.get(replica.id) or _Record()
        slots = max(1, replica.slots)
        requests = record.outstanding + record.other_requests(now) + 1
        time = requests / slots * record.slowdown(now)
        if usual_s and record.service_times >= MIN_SERVICE_TIMES:
            ratio = record.service_s / usual_s
            time *= min(max(ratio, MIN_SPEED_FACTOR), MAX_SPEED_FACTOR)
        return time + FAILURE_WEIGHT * record.decayed_failure_rate(now)

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

    def ended(
        self,
        replica_id: str,
        failed: bool,
        load: calls.Load | None,
        service_s: float | None = None,
    ) -> None:
        """Record the end of a request.

        :param failed: whether the replica failed the request.
        :param load: load reported by the replica, or None.
        :param service_s: seconds that the replica took, or None if that is not known.
        """
        now = self._clock.now()
        record = self._record(replica_id)
        record.outstanding -= 1
        if load is not None:
            # The reported load still includes the request that carried the report.
            record.reported = load
            record.reported_at = now
            record.own_when_reported = record.outstanding + 1
        if service_s is not None and not failed and load is not None and load.slowdown:
            bounded = min(max(load.slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN)
            record.record_service_time(service_s / bounded)
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
