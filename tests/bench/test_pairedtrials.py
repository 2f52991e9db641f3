"""Paired trials of policy variants."""

import math
import threading

from hornbeamglade.bench import pairedtrials
from hornbeamglade.core import codederrors
from hornbeamglade.platform import dayreports


def outcome(worth, lost=0, broken=()):
    kinds = {"draft": dayreports.KindOutcome(10, 1, lost)}
    return dayreports.DayOutcome(worth, kinds, broken, {"503": lost})


class FakeTrialRunner(pairedtrials.TrialRunner):
    def __init__(self, worth):
        self.worth = worth
        self.running = 0
        self.max_running = 0
        self.lock = threading.Lock()

    def run_trial(self, trial):
        with self.lock:
            self.running += 1
            self.max_running = max(self.max_running, self.running)
        try:
            return outcome(self.worth(trial))
        finally:
            with self.lock:
                self.running -= 1


def test_variation_shared_by_both_variants_is_removed():
    """Seeds change the worth by up to 0.3, the variants differ by 0.01.

    Compared by their means, the standard error would be nine times the difference between the
    variants.
    """

    def worth(trial):
        return 0.1 * trial.seed + (0.01 if trial.variant == "new" else 0.0)

    trials = pairedtrials.plan_trials(["old", "new"], ["a"], [1, 2, 3, 4])
    outcomes, failures = pairedtrials.run_trials(trials, FakeTrialRunner(worth), concurrency=2)
    assert not failures
    new = pairedtrials.compare(["old", "new"], outcomes)[1]
    assert new.pairs == 4
    assert math.isclose(new.difference, 0.01)
    assert new.error < 1e-9


def test_concurrency_is_limited():
    runner = FakeTrialRunner(lambda trial: 0.5)
    pairedtrials.run_trials(
        pairedtrials.plan_trials(["old"], ["a"], range(12)), runner, concurrency=2
    )
    assert runner.max_running <= 2


def test_a_trial_without_result_excludes_only_its_pair():
    """A trial fails, for example because the machine runs out of memory.

    The other trials must still count, and a trial without its partner must not be compared.
    """

    class FailingTrialRunner(FakeTrialRunner):
        def run_trial(self, trial):
            if trial.variant == "new" and trial.seed == 2:
                raise codederrors.CodedError("day_without_result", "exit code 137")
            return super().run_trial(trial)

    trials = pairedtrials.plan_trials(["old", "new"], ["a"], [1, 2, 3])
    outcomes, failures = pairedtrials.run_trials(
        trials, FailingTrialRunner(lambda trial: 0.5), concurrency=1
    )
    assert [each.seed for each in failures] == [2]
    assert pairedtrials.compare(["old", "new"], outcomes)[1].pairs == 2


def test_the_table_lists_violated_rules_with_day_and_seed():
    trial = pairedtrials.Trial("old", "crowd", 7)
    comparisons = pairedtrials.compare(["old"], {trial: outcome(0.0, 3, ("TWICE",))})
    text = pairedtrials.table(comparisons)
    assert "old: crowd, seed 7: TWICE" in text
    assert "old: unserved a day: 503 3.0" in text
    assert "inf" in text
