"""Formats the results of the recovery benchmark as text and as plain values."""

import collections
import dataclasses
import math
import typing

from hornbeamglade.bench import recovery, recoveryanalysis, recoverychecks

COLUMN_HEADINGS = (
    "fault",
    "held s",
    "trials",
    "recovery s p50/p95/max",
    "last sent s p50/p95/max",
    "affected p50/p95/max",
    "refused",
    "cut",
    "unknown",
    "slow",
    "of",
    "calm slow",
    "broken",
)
_PERCENTS = (50, 95, 100)


def as_row(result: recovery.Result) -> tuple[str, ...]:
    """Return the table cells of one fault; counts are sums over all trials."""
    trials = result.trials
    calm = sum(trial.calm_requests for trial in trials)
    calm_affected = sum(trial.calm_affected for trial in trials)
    return (
        result.fault,
        f"{result.hold_s:g}",
        str(len(trials)),
        _spread([trial.recovery_s for trial in trials], 2),
        _spread([trial.sent_s for trial in trials], 2),
        _spread([trial.affected for trial in trials], 0),
        str(sum(trial.refused for trial in trials)),
        str(sum(trial.cut for trial in trials)),
        str(sum(trial.unknown for trial in trials)),
        str(sum(trial.slow for trial in trials)),
        str(sum(trial.requests for trial in trials)),
        f"{calm_affected}/{calm}",
        str(result.violated),
    )


def notes(result: recovery.Result) -> tuple[str, ...]:
    """Return lines with the baseline, the failures of callers and the violations."""
    failures = collections.Counter()
    for trial in result.trials:
        failures.update(trial.count_by_code)
    baseline = result.usual
    lines = [
        f"  usual p95: first token {baseline.first_s:.3f} s, longest gap {baseline.gap_s:.3f} s, "
        f"hold {baseline.hold_s:.3f} s"
    ]
    lines += [f"  {count} x {code}" for code, count in failures.most_common()]
    for kind in recoverychecks.VIOLATIONS:
        count = sum(trial.broken[kind] for trial in result.trials)
        if count:
            lines.append(f"  BROKEN: {count} x {kind}")
    return tuple(lines)


def as_json_values(
    shape: recovery.RecoveryShape, results: list[recovery.Result]
) -> dict[str, typing.Any]:
    """Return all results as JSON values; a trial without recovery has a null time."""
    return {
        "shape": dataclasses.asdict(shape),
        "slow_factor": recoveryanalysis.SLOW_FACTOR,
        "results": [_plain_result(result) for result in results],
    }


def _plain_result(result: recovery.Result) -> dict[str, typing.Any]:
    plain = dataclasses.asdict(result)
    for trial in plain["trials"]:
        if math.isinf(trial["recovery_s"]):
            trial["recovery_s"] = None
    return plain


def _spread(values: list[float], digits: int) -> str:
    return "/".join(
        f"{recoveryanalysis.percentile(values, percent):.{digits}f}" for percent in _PERCENTS
    )
