"""Computes the recovery time of a trial from what callers observed.

Explanation
===========

The baseline is taken from the periods before the faults, over all trials of a run. A
request is affected if it was refused, cut, had an unknown outcome, or was slow: its first
token (or the response of a hold) or a gap between tokens took longer than
:data:`SLOW_FACTOR` times the 95th percentile of the baseline. Affected requests of the
baseline period are counted too; they show how much slowness is due to the machine itself.
"""

import collections
import collections.abc
import dataclasses
import math

from hornbeamglade.bench import recoverycallers

SLOW_FACTOR = 3.0
_BASELINE_PERCENT = 95

Records = collections.abc.Sequence[recoverycallers.Record]


@dataclasses.dataclass(frozen=True, slots=True)
class Baseline:
    """95th percentiles of the baseline period, in seconds.

    :param first_s: time until the first token.
    :param gap_s: longest gap of a response.
    :param hold_s: time until the response of a hold.
    """

    first_s: float
    gap_s: float
    hold_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """What was observed in one trial.

    :param victim: process or link that the fault affected.
    :param baseline_from: monotonic seconds at which the warm-up ended.
    :param fault_at: when the fault was injected.
    :param records: all requests, including those of the baseline period.
    :param broken: number of violated guarantees, by kind.
    :param has_recovered: whether the site had recovered when the trial ended.
    """

    victim: str
    baseline_from: float
    fault_at: float
    records: Records
    broken: collections.abc.Mapping[str, int]
    has_recovered: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """Results of one trial; times are in seconds after the fault.

    :param recovery_s: until the last affected request ended; infinite if the site had not
        recovered when the trial ended.
    :param sent_s: until the last affected request was sent.
    :param requests: requests that ended after the fault.
    :param count_by_code: refused, cut and unknown requests, by code.
    """

    victim: str
    recovery_s: float
    sent_s: float
    requests: int
    refused: int
    cut: int
    unknown: int
    slow: int
    calm_requests: int
    calm_affected: int
    count_by_code: collections.abc.Mapping[str, int]
    broken: collections.abc.Mapping[str, int]

    @property
    def affected(self) -> int:
        """Number of requests that the fault affected."""
        return self.refused + self.cut + self.unknown + self.slow


def baseline(observations: collections.abc.Iterable[Observation]) -> Baseline:
    """Return the latencies of the baseline periods."""
    requests = [
        record
        for each in observations
        for record in _baseline_records(each)
        if _is_complete(record)
    ]
    texts = [record for record in requests if not record.call.is_hold]
    holds = [record.first_s for record in requests if record.call.is_hold]
    return Baseline(
        percentile([record.first_s for record in texts], _BASELINE_PERCENT),
        percentile([record.gap_s for record in texts], _BASELINE_PERCENT),
        percentile(holds, _BASELINE_PERCENT),
    )


def analyze_trial(observation: Observation, reference: Baseline) -> Trial:
    """Compute the results of one trial."""
    ended_after_fault = [
        (affected_at(record, reference), record)
        for record in observation.records
        if record.ended_at > observation.fault_at
    ]
    affected = [
        (moment, record)
        for moment, record in ended_after_fault
        if moment is not None and moment > observation.fault_at
    ]
    last = max((moment for moment, _ in affected), default=observation.fault_at)
    last_sent = max((record.call.due_at for _, record in affected), default=observation.fault_at)
    ended = collections.Counter(record.ending for _, record in affected)
    failed = [record for _, record in affected if not _is_complete(record)]
    baseline_records = _baseline_records(observation)
    return Trial(
        victim=observation.victim,
        recovery_s=last - observation.fault_at if observation.has_recovered else math.inf,
        sent_s=max(0.0, last_sent - observation.fault_at),
        requests=len(ended_after_fault),
        refused=ended[recoverycallers.Ending.REFUSED],
        cut=ended[recoverycallers.Ending.CUT],
        unknown=ended[recoverycallers.Ending.UNKNOWN],
        slow=ended[recoverycallers.Ending.WHOLE],
        calm_requests=len(baseline_records),
        calm_affected=sum(
            affected_at(record, reference) is not None for record in baseline_records
        ),
        count_by_code=dict(collections.Counter(map(_failure_label, failed))),
        broken=observation.broken,
    )


def affected_at(record: recoverycallers.Record, reference: Baseline) -> float | None:
    """Return when the effect on a request ended, or None for an unaffected request."""
    if not _is_complete(record):
        return record.ended_at
    first_bound_s = reference.hold_s if record.call.is_hold else reference.first_s
    moments = []
    if record.first_s > SLOW_FACTOR * first_bound_s:
        moments.append(record.first_at or record.ended_at)
    if record.gap_s > SLOW_FACTOR * reference.gap_s:
        moments.append(record.gap_at)
    return max(moments, default=None)


def percentile(values: collections.abc.Iterable[float], percent: float) -> float:
    """Return the smallest value such that ``percent`` of the values do not exceed it.

    Examples
    ========

    >>> percentile([4.0, 1.0, 3.0, 2.0], 50), percentile([], 50)
    (2.0, 0.0)
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[max(0, math.ceil(percent / 100 * len(ordered)) - 1)]


def _baseline_records(observation: Observation) -> list[recoverycallers.Record]:
    return [
        record
        for record in observation.records
        if record.call.due_at >= observation.baseline_from
        and record.ended_at <= observation.fault_at
    ]


def _is_complete(record: recoverycallers.Record) -> bool:
    return record.ending is recoverycallers.Ending.WHOLE


def _failure_label(record: recoverycallers.Record) -> str:
    kind = "hold" if record.call.is_hold else "text"
    return f"{kind} {record.ending.value} {record.code}"
