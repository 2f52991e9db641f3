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


def _fill(policy, now=0.0):
    count = 0
    while policy.fits(_work(count), now):
        policy.admit(_work(count), now)
        count += 1
    return count


def _headroom_after_growth(policy, max_tokens=None):
    for number in range(15):
        policy.admit(_work(number, max_tokens=max_tokens), 0.0)
        policy.progress(f"r{number}", 400, 0.0)
    return policy.headroom(0.0)


def test_headroom_is_kept_for_the_growth_of_long_streams():
    assert (
        _headroom_after_growth(_policy(horizons=LONG_HORIZONS))
        < _headroom_after_growth(admission.PresentMemory(12_000)) - 15 * 100
    )


def test_a_limit_on_tokens_limits_the_growth():
    bounded = _headroom_after_growth(_policy(horizons=LONG_HORIZONS), max_tokens=410)
    assert bounded > _headroom_after_growth(_policy(horizons=LONG_HORIZONS)) + 500


def test_no_more_requests_run_than_the_limit():
    policy = admission.ReplicaAdmission(10**6, MODEL, admission.AdmissionSettings(max_running=7))
    assert _fill(policy) == 7


def test_an_idle_replica_is_never_starved_by_the_margin():
    # A prompt that needs nine tenths of the memory never fits beside a margin. Its request
    # would wait until the queue's timeout on each attempt, although the engine is idle.
    policy = admission.ReplicaAdmission(1000, MODEL)
    assert policy.fits(_work(1, prompt=900), 0.0)
    assert not policy.fits(_work(1, prompt=1000), 0.0)
    policy.admit(_work(2, prompt=10), 0.0)
    assert not policy.fits(_work(1, prompt=900), 0.0)


def test_a_late_report_of_an_empty_engine_does_not_cause_overcommitment():
    # The engine reports every few seconds. Many requests are admitted, then a report from
    # before their admission arrives and shows an empty engine. If it were believed, more
    # requests would be admitted into full memory, and most of them would be preempted.
    policy = _policy(ledger=admission.LedgerSettings(unreported_share=0.0))
    _fill(policy, now=10.0)
    headroom = policy.headroom(10.0)
    policy.report(admission.LoadView(1, 5.0, 12_000, 0), 11.0)
    policy.report(admission.LoadView(2, 0.0, 12_000, 0), 12.0)
    assert policy.headroom(12.0) == pytest.approx(headroom, abs=1e-6)


def test_usage_of_others_is_counted_and_becomes_uncertain_with_age():
    policy = _policy()
    alone = policy.headroom(0.0)
    policy.report(admission.LoadView(1, 0.0, 12_000, 6000), 1.0)
    assert policy.headroom(1.0) < alone - 5000
    assert policy.headroom(5.0) < policy.headroom(1.0)


def test_an_older_report_changes_nothing():
    policy = _policy()
    policy.report(admission.LoadView(2, 0.0, 12_000, 6000), 1.0)
    policy.report(admission.LoadView(1, 0.5, 12_000, 0), 1.1)
    assert policy.ledger.other_tokens == 6000


def test_reports_of_a_restarted_engine_are_accepted():
    policy = _policy()
    policy.report(admission.LoadView(900, 0.0, 12_000, 6000, 50), 1.0)
    for second in range(1, 40):
        policy.report(admission.LoadView(second, 0.0, 8000, 0), 30.0 + second)
    assert policy.ledger.other_tokens < 10
    assert policy.ledger.capacity == 8000


def _report_preemptions(policy, reports):
    for second in range(reports):
        policy.report(admission.LoadView(second, 0.0, 12_000, 0, 2 * second), float(second))


def _serve(policy, count, next_prompt):
    for number in range(1000, 1000 + count):
        policy.admit(_work(number), 10.0)
        policy.fits(_work(number + 1, prompt=next_prompt), 10.0)
        policy.finish(f"r{number}", 10.0)


def test_preemptions_widen_the_margin_and_overload_without_them_narrows_it():
    policy = _policy(margin=admission.MarginSettings(step=1.1))
    start = policy.margin.deviations
    _report_preemptions(policy, reports=5)
    assert policy.margin.deviations > 1.5 * start
    _serve(policy, count=4000, next_prompt=11_900)
    assert policy.margin.deviations < start


def test_an_hour_of_low_load_does_not_narrow_the_margin():
    # For an hour no request waits and nothing is preempted, whatever the margin. If that
    # narrowed the margin, the first overload of the morning would meet hardly any margin, and
    # many streams would stall at once.
    policy = _policy()
    _report_preemptions(policy, reports=5)
    widened = policy.margin.deviations
    _serve(policy, count=4000, next_prompt=100)
    assert policy.margin.deviations == widened


def test_unreported_progress_is_not_counted_as_usage_of_others():
    # Progress is reported each second, so the engine holds up to 38 tokens of each stream
    # that the ledger does not know of yet. If they were counted as usage of others and again
    # as growth, memory would stay unused on every replica.
    policy = _policy()
    for number in range(30):
        policy.admit(_work(number), 0.0)
    policy.report(admission.LoadView(1, 0.0, 12_000, 30 * (108 + 20)), 1.0)
    assert policy.ledger.other_tokens == 0


def test_calls_for_unknown_requests_change_nothing():
    policy = _policy()
    headroom = policy.headroom(0.0)
    policy.progress("gone", 500, 0.0)
    policy.finish("gone", 0.0)
    assert policy.headroom(0.0) == headroom


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
    assert policy.ledger.held_tokens == sum(108 + n for n in produced_by_id.values())
    fresh = _policy(margin=admission.MarginSettings(initial=policy.margin.deviations))
    for name, produced in produced_by_id.items():
        fresh.admit(_work(name[1:]), 0.0)
        fresh.progress(name, produced, 0.0)
    assert policy.headroom(0.0) == pytest.approx(fresh.headroom(0.0), abs=200)


def test_no_more_is_reserved_than_all_streams_could_use():
    # Three long streams hold a quarter of the memory. By mean and deviations alone they would
    # be expected to use more than if all three continued, so short requests would wait for
    # memory that nothing can use.
    policy = _policy(
        horizons=(0, 100),
        margin=admission.MarginSettings(initial=4.0),
        ledger=admission.LedgerSettings(unreported_share=0.0),
    )
    for number in range(3):
        policy.admit(_work(number), 0.0)
        policy.progress(f"r{number}", 900, 0.0)
    assert policy.headroom(0.0) == pytest.approx(12_000 - 3 * (108 + 900 + 20 + 100))
