"""Placement by pace under the load of a deployment with engines of uneven speed."""

import pytest

from tests.speeds import unevenload

SEED = 3


@pytest.fixture(scope="module")
def by_pace():
    return unevenload.play(by_pace=True, seed=SEED)


def share(site, kind, matches):
    results = [each for each in site.results if each.kind is kind]
    return sum(map(matches, results)) / len(results)


def has_long_pause(result):
    return result.gap_s > unevenload.GAP_GOAL_S


def is_late(result):
    return result.start_s is None or result.start_s > result.kind.goal_s


def test_long_responses_meet_fewer_pauses_than_without_paces(by_pace):
    """Owners place long responses on slow engines, where a busy machine pauses them."""
    present = unevenload.play(by_pace=False, seed=SEED)
    paused = share(by_pace, unevenload.LONG, has_long_pause)
    assert paused < 0.05
    assert share(present, unevenload.LONG, has_long_pause) > max(0.08, 2 * paused)


@pytest.mark.parametrize("kind", [unevenload.LONG, unevenload.SHORT], ids=lambda each: each.name)
def test_responses_start_in_time(by_pace, kind):
    """Requests wait for the fast engines and start late."""
    assert share(by_pace, kind, is_late) < 0.05


def test_no_engine_idles_while_late_requests_wait(by_pace):
    """A slow engine is refused to requests that can no longer start in time elsewhere."""
    assert by_pace.idle_s < 0.5
