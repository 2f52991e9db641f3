"""What responses may expect at engines of uneven speed."""

import pytest

from hornbeamglade.core import outcomes
from hornbeamglade.speeds import enginespeeds, outlook

FAST, SLOW = enginespeeds.Pace(0.006, 0.12), enginespeeds.Pace(0.015, 0.3)
POOL = outlook.pool_outlook([FAST, FAST, SLOW], tokens_per_event=4)
LONG = outcomes.PaceObjective(gap_goal_s=0.18, goal_s=2.0, expected_tokens=744)
SHORT = outcomes.PaceObjective(gap_goal_s=0.18, goal_s=2.0, expected_tokens=12)


def at(pace, pool=POOL):
    return outlook.EngineOutlook(pool, pace)


def test_long_responses_avoid_slow_and_unknown_engines():
    """Long responses on a slow engine are late because of a pause."""
    costs = [at(pace).pause_cost_s(LONG) for pace in (FAST, None, SLOW)]
    assert costs == sorted(costs)
    assert costs[0] == 0.0
    assert [at(pace).must_avoid(LONG) for pace in (FAST, None, SLOW)] == [False, True, True]


def test_short_responses_start_at_any_engine():
    """Short responses would wait for fast engines, though they end before the next pause."""
    assert not any(at(pace).must_avoid(SHORT) for pace in (FAST, None, SLOW))


@pytest.mark.parametrize("ratio", [outlook.DEFAULT_PAUSE_RATIO, 5.0])
def test_pause_ratio_is_kept_while_few_engines_are_known(ratio):
    """After many engines were replaced, slow ones seemed to keep the pace."""
    assert outlook.pool_outlook([FAST, SLOW], 4, ratio).pause_ratio == ratio


def test_nothing_is_avoided_while_no_pace_is_known():
    """After its start an instance would refuse all engines."""
    unknown = outlook.pool_outlook([], 4)
    assert not at(None, unknown).must_avoid(LONG)
    assert at(None, unknown).slow_factor == 1.0


def test_slow_factor_is_relative_to_the_median_and_bounded():
    """One wrong pace would stop all prompts at an engine."""
    assert at(FAST).slow_factor == 1.0
    assert at(SLOW).slow_factor == pytest.approx(2.5)
    assert at(enginespeeds.Pace(1.0)).slow_factor == outlook.MAX_SLOW_FACTOR
