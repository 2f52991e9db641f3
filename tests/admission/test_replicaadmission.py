import random

import hypothesis
import hypothesis.strategies as st
import pytest

from hornbeamglade import admission, lengths
from hornbeamglade.core import outcomes

SETTINGS = hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=60)


def _work(number, prompt=100, max_tokens=None):
    return outcomes.Work(f"r{number}", "drafts", "clinic", 0, prompt, max_tokens)


def _model():
    rng = random.Random(1)
    model = lengths.LengthModel()
    for _ in range(2000):
        model.observe("drafts", "clinic", int(rng.lognormvariate(4.605, 1.5)) + 1)
    return model


MODEL = _model()


LONG_HORIZONS = (0, 25, 50, 100, 200, 400, 800, 1600)


def _policy(**settings):
    settings = admission.AdmissionSettings(max_running=None, **settings)
    return admission.ReplicaAdmission(12_000, MODEL, settings)


def _filled(policy, now=0.0):
    count = 0
    while policy.fits(_work(count), now):
        policy.admit(_work(count), now)
        count += 1
    return count


def _grown(policy, max_tokens=None):
    for number in range(15):
        policy.admit(_work(number, max_tokens=max_tokens), 0.0)
        policy.progress(f"r{number}", 400, 0.0)
    return policy.headroom(0.0)


def test_room_is_left_for_the_growth_of_long_streams():
    assert (
        _grown(_policy(horizons=LONG_HORIZONS))
        < _grown(admission.PresentMemory(12_000)) - 15 * 100
    )


def test_a_bound_on_tokens_bounds_the_growth():
    bounded = _grown(_policy(horizons=LONG_HORIZONS), max_tokens=410)
    assert bounded > _grown(_policy(horizons=LONG_HORIZONS)) + 500


def test_no_more_run_than_the_bound_says():
    policy = admission.ReplicaAdmission(10**6, MODEL, admission.AdmissionSettings(max_running=7))
    assert _filled(policy) == 7


def test_an_idle_replica_is_never_starved_by_the_margin():
    # A prompt of nine tenths of the memory never fits beside a margin: its caller
    # would wait until the queue's bound on each attempt, though the engine is idle.
    policy = admission.ReplicaAdmission(1000, MODEL)
    assert policy.fits(_work(1, prompt=900), 0.0)
    assert not policy.fits(_work(1, prompt=1000), 0.0)
    policy.admit(_work(2, prompt=10), 0.0)
    assert not policy.fits(_work(1, prompt=900), 0.0)


def test_a_late_report_of_an_empty_engine_does_not_open_the_gate():
    # The engine reports every few seconds. A crowd is admitted, then a report from
    # before the crowd arrives and shows an empty engine: were it believed, the next
    # crowd would be admitted into full memory and most of it preempted.
    policy = _policy(ledger=admission.LedgerSettings(unreported_share=0.0))
    _filled(policy, now=10.0)
    room = policy.headroom(10.0)
    policy.report(admission.LoadView(1, 5.0, 12_000, 0), 11.0)
    policy.report(admission.LoadView(2, 0.0, 12_000, 0), 12.0)
    assert policy.headroom(12.0) == pytest.approx(room, abs=1e-6)


def test_the_use_of_others_is_counted_and_grows_uncertain_with_age():
    policy = _policy()
    alone = policy.headroom(0.0)
    policy.report(admission.LoadView(1, 0.0, 12_000, 6000), 1.0)
    assert policy.headroom(1.0) < alone - 5000
    assert policy.headroom(5.0) < policy.headroom(1.0)


def test_an_older_report_changes_nothing():
    policy = _policy()
    policy.report(admission.LoadView(2, 0.0, 12_000, 6000), 1.0)
    policy.report(admission.LoadView(1, 0.5, 12_000, 0), 1.1)
    assert policy.ledger.others == 6000


def test_reports_of_an_engine_that_started_anew_count_again():
    policy = _policy()
    policy.report(admission.LoadView(900, 0.0, 12_000, 6000, 50), 1.0)
    for second in range(1, 40):
        policy.report(admission.LoadView(second, 0.0, 8000, 0), 30.0 + second)
    assert policy.ledger.others < 10
    assert policy.ledger.capacity == 8000


def _preempted(policy, reports):
    for second in range(reports):
        policy.report(admission.LoadView(second, 0.0, 12_000, 0, 2 * second), float(second))


def _served(policy, count, next_prompt):
    for number in range(1000, 1000 + count):
        policy.admit(_work(number), 10.0)
        policy.fits(_work(number + 1, prompt=next_prompt), 10.0)
        policy.finish(f"r{number}", 10.0)


def test_preemptions_widen_the_margin_and_a_crowd_without_them_narrows_it():
    policy = _policy(margin=admission.MarginSettings(step=1.1))
    start = policy.margin.deviations
    _preempted(policy, reports=5)
    assert policy.margin.deviations > 1.5 * start
    _served(policy, count=4000, next_prompt=11_900)
    assert policy.margin.deviations < start


def test_a_quiet_hour_does_not_narrow_the_margin():
    # For an hour nobody waits and nothing is preempted, whatever the margin. Were
    # that taken for a margin that is too wide, the first crowd of the morning would
    # meet none at all, and the drafts of the whole front desk would stall at once.
    policy = _policy()
    _preempted(policy, reports=5)
    widened = policy.margin.deviations
    _served(policy, count=4000, next_prompt=100)
    assert policy.margin.deviations == widened


def test_progress_that_is_not_seen_yet_is_not_taken_for_the_use_of_others():
    # Progress comes each second, so the engine holds up to 38 tokens of each stream
    # that the ledger has not heard of. Counted as a stranger's and again as growth,
    # they would keep room empty on every replica.
    policy = _policy()
    for number in range(30):
        policy.admit(_work(number), 0.0)
    policy.report(admission.LoadView(1, 0.0, 12_000, 30 * (108 + 20)), 1.0)
    assert policy.ledger.others == 0


def test_calls_for_unknown_requests_change_nothing():
    policy = _policy()
    room = policy.headroom(0.0)
    policy.progress("gone", 500, 0.0)
    policy.finish("gone", 0.0)
    assert policy.headroom(0.0) == room


@SETTINGS
@hypothesis.given(
    st.lists(st.tuples(st.sampled_from("apf"), st.integers(0, 5), st.integers(0, 3000)))
)
def test_running_totals_equal_those_of_a_fresh_policy(calls):
    policy = _policy()
    produced_by_id = {}
    for call, number, tokens in calls:
        name = f"r{number}"
        if call == "a":
            policy.admit(_work(number), 0.0)
            produced_by_id.setdefault(name, 0)
        elif call == "p":
            policy.progress(name, tokens, 0.0)
            if name in produced_by_id:
                produced_by_id[name] = max(produced_by_id[name], tokens)
        else:
            policy.finish(name, 0.0)
            produced_by_id.pop(name, None)
    assert policy.ledger.held == sum(108 + n for n in produced_by_id.values())
    fresh = _policy(margin=admission.MarginSettings(initial=policy.margin.deviations))
    for name, produced in produced_by_id.items():
        fresh.admit(_work(name[1:]), 0.0)
        fresh.progress(name, produced, 0.0)
    assert policy.headroom(0.0) == pytest.approx(fresh.headroom(0.0), abs=200)


def test_no_more_is_kept_free_than_all_streams_could_take():
    # Three long streams hold a quarter of the memory. By mean and deviations they
    # might take more than if all three went on, so short requests would wait for
    # room that nothing can fill.
    policy = _policy(
        horizons=(0, 100),
        margin=admission.MarginSettings(initial=4.0),
        ledger=admission.LedgerSettings(unreported_share=0.0),
    )
    for number in range(3):
        policy.admit(_work(number), 0.0)
        policy.progress(f"r{number}", 900, 0.0)
    assert policy.headroom(0.0) == pytest.approx(12_000 - 3 * (108 + 900 + 20 + 100))
