"""Paired comparison of policy variants that run on the same days and seeds.

Explanation
===========

The random variation between seeds changes the figures of a day far more than most policy
changes do. Two variants that run on the same day with the same seed share that variation,
so the mean of their paired differences is more precise than the difference of their means.
Its standard error states how precise it is.
"""

import abc
import collections.abc
import concurrent.futures
import dataclasses
import math
import statistics

from hornbeamglade.core import codederrors
from hornbeamglade.platform import dayreports


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """One run of one day.

    :param variant: the variant's name.
    :param day: the day's name or file.
    :param seed: seed of the random variation.
    """

    variant: str
    day: str
    seed: int


class TrialRunner(abc.ABC):
    """Runs trials."""

    @abc.abstractmethod
    def run_trial(self, trial: Trial) -> dayreports.DayOutcome:
        """Run a trial to its end.

        :raises CodedError: when it produces no result.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """One variant compared with the first one, over the trials that both completed.

    :param variant: name of the variant.
    :param pairs: number of days and seeds that both completed.
    :param worth: mean worth of the variant.
    :param difference: mean of the paired differences of worth.
    :param error: standard error of that mean; infinite with fewer than two pairs.
    :param lost: requests per day that were never served.
    :param late: requests per day that were answered too late.
    :param unserved_by_end: requests per day that were never served, by the end of their last
        attempt.
    :param broken: trials that violated a rule or ended with a fault, with the rules.
    """

    variant: str
    pairs: int
    worth: float
    difference: float
    error: float
    lost: float
    late: float
    unserved_by_end: dict[str, float]
    broken: tuple[tuple[Trial, tuple[str, ...]], ...]


Outcomes = dict[Trial, dayreports.DayOutcome]
Failures = dict[Trial, codederrors.CodedError]


def plan_trials(
    variants: collections.abc.Sequence[str],
    days: collections.abc.Sequence[str],
    seeds: collections.abc.Sequence[int],
) -> tuple[Trial, ...]:
    """Return all trials, with those of one pair next to each other.

    Trials of one pair then run at about the same time and under the same machine load.

    Examples
    ========

    >>> [trial.variant for trial in plan_trials(["old", "new"], ["quiet"], [1, 2])]
    ['old', 'new', 'old', 'new']
    """
    return tuple(
        Trial(variant, day, seed) for seed in seeds for day in days for variant in variants
    )


def run_trials(
    trials: collections.abc.Iterable[Trial],
    runner: TrialRunner,
    concurrency: int,
    on_trial_end: collections.abc.Callable[[Trial], None] = lambda trial: None,
) -> tuple[Outcomes, Failures]:
    """Run all trials, a few at a time; a trial without a result does not stop the others.

    :param concurrency: how many trials run at the same time.
    :param on_trial_end: called with each trial that has ended, on any thread.
    """
    outcomes: Outcomes = {}
    failures: Failures = {}

    def run_one(trial: Trial) -> None:
        try:
            outcomes[trial] = runner.run_trial(trial)
        except codederrors.CodedError as error:
            failures[trial] = error
        on_trial_end(trial)

    with concurrent.futures.ThreadPoolExecutor(concurrency) as executor:
        for future in [executor.submit(run_one, trial) for trial in trials]:
            future.result()
    return outcomes, failures


def compare(variants: collections.abc.Sequence[str], outcomes: Outcomes) -> tuple[Comparison, ...]:
    """Compare each variant with the first one.

    Examples
    ========

    >>> def outcome(worth):
    ...     return dayreports.DayOutcome(worth, {}, (), {})
    >>> outcomes = {
    ...     Trial("old", "d", 1): outcome(0.50), Trial("new", "d", 1): outcome(0.52),
    ...     Trial("old", "d", 2): outcome(0.60), Trial("new", "d", 2): outcome(0.64),
    ... }
    >>> new = compare(["old", "new"], outcomes)[1]
    >>> new.pairs, round(new.difference, 3), round(new.error, 3)
    (2, 0.03, 0.01)
    """
    return tuple(_comparison(variants[0], variant, outcomes) for variant in variants)


def _comparison(first: str, variant: str, outcomes: Outcomes) -> Comparison:
    pairs = [
        (outcomes[base], outcome)
        for trial, outcome in outcomes.items()
        if trial.variant == variant
        and (base := dataclasses.replace(trial, variant=first)) in outcomes
    ]
    variant_outcomes = [outcome for _, outcome in pairs]
    differences = [outcome.worth - base.worth for base, outcome in pairs]
    ends = {end for outcome in variant_outcomes for end in outcome.unserved_by_end}
    return Comparison(
        variant,
        len(pairs),
        _mean(outcome.worth for outcome in variant_outcomes),
        _mean(differences),
        _standard_error(differences),
        _mean(outcome.lost for outcome in variant_outcomes),
        _mean(outcome.late for outcome in variant_outcomes),
        {
            end: _mean(outcome.unserved_by_end.get(end, 0) for outcome in variant_outcomes)
            for end in sorted(ends)
        },
        tuple(
            (trial, outcome.broken)
            for trial, outcome in outcomes.items()
            if trial.variant == variant and outcome.broken
        ),
    )


def _mean(values: collections.abc.Iterable[float]) -> float:
    collected = list(values)
    return statistics.fmean(collected) if collected else math.nan


def _standard_error(differences: collections.abc.Sequence[float]) -> float:
    if len(differences) < 2:
        return math.inf
    return statistics.stdev(differences) / math.sqrt(len(differences))


COLUMN_HEADINGS = ("variant", "pairs", "worth", "difference", "error", "lost a day", "late a day")


def table(comparisons: collections.abc.Iterable[Comparison]) -> str:
    """Format comparisons as a table, followed by the ends of unserved requests."""
    rows = [" | ".join(COLUMN_HEADINGS), " | ".join("---" for _ in COLUMN_HEADINGS)]
    notes = []
    for each in comparisons:
        figures = (
            str(each.pairs),
            f"{each.worth:.3f}",
            f"{each.difference:+.4f}",
            f"{each.error:.4f}",
            f"{each.lost:.1f}",
            f"{each.late:.1f}",
        )
        rows.append(" | ".join((each.variant, *figures)))
        ends = ", ".join(f"{end} {count:.1f}" for end, count in each.unserved_by_end.items())
        notes.append(f"{each.variant}: unserved a day: {ends or 'none'}")
        notes += [
            f"{each.variant}: {trial.day}, seed {trial.seed}: {', '.join(broken)}"
            for trial, broken in each.broken
        ]
    return "\n".join((*rows, "", *notes))
