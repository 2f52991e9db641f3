"""What this node knows of how busy the replicas of plain services are."""

import collections.abc
import dataclasses
import random

from hornbeamglade.core import clocks
from hornbeamglade.observability import logs
from hornbeamglade.replicas import models
from hornbeamglade.routed import calls

LOAD_REPORT_TTL_S = 1.0
"""A replica's word of its load counts for so long: by then most of the requests that it
spoke of have ended, as a plain request runs for a tenth of a second."""

FAILURE_HALF_LIFE_S = 3.0
FAILURE_WEIGHT = 4.0
"""A replica that fails every request counts as busy as one with four slots' worth more of
requests each slot: it is chosen only when the others are that much fuller, and for the
probe that finds it well again."""

SMOOTHING = 0.2
DISTRUST_THRESHOLD = 0.5
TRUST_THRESHOLD = 0.2
"""A replica is told as doubted, and as trusted again, at these shares of failures."""


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
        """Return what callers of other nodes are thought to have there."""
        if self.reported is None or now - self.reported_at > LOAD_REPORT_TTL_S:
            return 0.0
        other_requests = self.reported.running + self.reported.waiting - self.own_when_reported
        return max(0.0, other_requests) * (1.0 - (now - self.reported_at) / LOAD_REPORT_TTL_S)

    def decayed_failure_rate(self, now: float) -> float:
        """Return the share of late requests that failed, fading with time."""
        return self.failure_rate * 0.5 ** ((now - self.failure_rate_at) / FAILURE_HALF_LIFE_S)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadEstimate:
    """What a choice goes by, for the log.

    :param business: share of its slots that are thought to be used, failures added.
    :param age_s: seconds since the replica's own word, or None when it gave none.
    """

    utilization: float
    age_s: float | None


class ReplicaLoads:
    """Chooses replicas of plain services by what is outstanding at them.

    :param clock: monotonic time.
    :param rng: breaks ties, so that nodes don't all choose the same replica.
    """

    def __init__(self, clock: clocks.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._record_by_id: dict[str, _Record] = {}

    def choose(self, replicas: collections.abc.Sequence[models.Replica]) -> models.Replica | None:
        """Return the least busy of some replicas, or None when there is none."""
        if not replicas:
            return None
        now = self._clock.now()
        return min(replicas, key=lambda each: (self._utilization(each, now), self._rng.random()))

    def estimate(self, replica: models.Replica) -> LoadEstimate:
        """Return what a choice of the replica goes by now."""
        now = self._clock.now()
        record = self._record_by_id.get(replica.id)
        has_report = record is not None and record.reported is not None
        return LoadEstimate(
            self._utilization(replica, now), now - record.reported_at if has_report else None
        )

    def started(self, replica_id: str) -> None:
        """Count a request to a replica."""
        self._record(replica_id).outstanding += 1

    def ended(self, replica_id: str, failed: bool, load: calls.Load | None) -> None:
        """Count a request out.

        :param failed: whether the replica failed it.
        :param load: what the replica said of itself, or None.
        """
        now = self._clock.now()
        record = self._record(replica_id)
        record.outstanding -= 1
        if load is not None:
            # The request that carried this word is still counted in it.
            record.reported = load
            record.reported_at = now
            record.own_when_reported = record.outstanding + 1
        before = record.decayed_failure_rate(now)
        record.failure_rate = before + SMOOTHING * (float(failed) - before)
        record.failure_rate_at = now
        _log_trust_change(replica_id, record)

    def forget_absent(self, present: collections.abc.Container[str]) -> None:
        """Drop what is known of replicas that are gone."""
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
    """Write a line when a replica comes to be avoided for its failures, or is no more."""
    is_distrusted = record.failure_rate > (
        TRUST_THRESHOLD if record.is_distrusted else DISTRUST_THRESHOLD
    )
    if is_distrusted is record.is_distrusted:
        return
    record.is_distrusted = is_distrusted
    before, after = ("trusted", "doubted") if is_distrusted else ("doubted", "trusted")
    logs.state_changed(
        "replica_trust", before, after, replica=replica_id, load=round(record.failure_rate, 3)
    )
