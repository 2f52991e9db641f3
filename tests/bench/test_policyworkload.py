import statistics

import pytest

from hornbeamglade.bench import policymetrics, policypool, policyscenarios, policyworkload


def _scenario(**overrides):
    return policyworkload.Scenario("test", 1.0, replicas=2, **overrides)


@pytest.mark.parametrize("arrivals", list(policyworkload.Arrivals))
def test_the_requested_token_steps_match_the_load(arrivals):
    scenario = _scenario(arrivals=arrivals)
    offered = []
    for seed in range(3):
        requests = policyworkload.draw_requests(scenario, seed, 900.0)
        token_steps = sum(
            n.answer_tokens * (n.work.prompt_tokens + 8) + n.answer_tokens**2 / 2 for n in requests
        )
        steps = 900.0 / policyworkload.STEP_S
        offered.append(token_steps / (scenario.replicas * scenario.capacity_tokens * steps))
    assert statistics.fmean(offered) == pytest.approx(1.0, abs=0.2)


def test_the_seed_determines_the_requests():
    first, again, other = (
        policyworkload.draw_requests(_scenario(), seed, 20.0) for seed in (1, 1, 2)
    )
    assert first == again
    assert first != other


def test_a_failed_engine_restarts_empty_and_returns_its_requests():
    scenario = _scenario()
    replica = policypool.replicas(scenario)[0]
    request = policyworkload.draw_requests(scenario, 1, 20.0)[0]
    replica.submit(request)
    recorder = policymetrics.Recorder(scenario, 0.0)
    replica.step(0, 0.0, recorder)
    assert [active.request for active in replica.fail()] == [request]
    assert replica.step(1, 0.026, recorder) == []
    assert replica.engine.load().used_tokens == 0


def test_a_gap_beyond_two_steps_counts_as_stall():
    recorder = policymetrics.Recorder(_scenario(), 0.0)
    recorder.record_first_token(policyworkload.draw_requests(_scenario(), 1, 20.0)[0], 1.0)
    recorder.record_gaps(1, 98, 1.0)
    recorder.record_gaps(2, 1, 1.0)
    recorder.record_gaps(101, 1, 1.0)
    figures = recorder.figures(10.0)
    assert figures.stall_s_per_1000 == pytest.approx(1000 * 100 * policyworkload.STEP_S)
    assert figures.gap_p95_s == pytest.approx(policyworkload.STEP_S)
    assert figures.gap_max_s == pytest.approx(101 * policyworkload.STEP_S)


def test_scenario_names_are_unique():
    every = policyscenarios.scenarios(tuple(policyscenarios.SCENARIOS_BY_SET))
    assert len({scenario.name for scenario in every}) == len(every)
