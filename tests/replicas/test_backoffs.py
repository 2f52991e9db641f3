"""Times during which a replica accepts no requests from this instance."""

import random

import hypothesis
import pytest
from hypothesis import strategies

from hornbeamglade.core import clocks
from hornbeamglade.replicas import advisories, backoffs

JITTERED = 1.0 + backoffs.JITTER_SHARE


def make(seed=1):
    clock = clocks.ManualClock()
    return clock, backoffs.Backoffs(clock, random.Random(seed))


def test_normal_response_does_not_end_a_time_before_it_has_passed():
    """A response to an earlier request may overtake the refusal."""
    clock, known = make()
    known.responded("s1", advisories.Backoff(3.0))
    clock.advance(1.0)
    known.responded("s1", None)
    assert known.wait_s("s1") >= 2.0
    assert known.wait_s("s2") == 0.0


def test_shorter_time_does_not_end_an_earlier_one():
    clock, known = make()
    known.responded("s1", advisories.Backoff(3.0))
    known.responded("s1", advisories.Backoff(0.5))
    assert known.wait_s("s1") >= 3.0
    known.responded("s1", advisories.Backoff(9.0))
    assert known.wait_s("s1") >= 9.0


def test_one_trial_follows_until_the_replica_responds():
    clock, known = make()
    known.responded("s1", advisories.Backoff(2.0))
    clock.advance(2.0 * JITTERED)
    assert known.wait_s("s1") == 0.0
    known.request_sent("s1")
    assert known.wait_s("s1") == pytest.approx(backoffs.TRIAL_TIMEOUT_S)
    known.responded("s1", None)
    assert known.wait_s("s1") == 0.0
    assert not known.is_known("s1")


def test_lost_trial_is_followed_by_another():
    clock, known = make()
    known.responded("s1", advisories.Backoff(2.0))
    clock.advance(2.0 * JITTERED)
    known.request_sent("s1")
    clock.advance(backoffs.TRIAL_TIMEOUT_S)
    assert known.wait_s("s1") == 0.0


def test_instances_refused_at_the_same_moment_do_not_return_together():
    waits_s = set()
    for seed in range(300):
        _, known = make(seed)
        known.responded("s1", advisories.Backoff(3.0))
        waits_s.add(round(known.wait_s("s1"), 1))
    assert len(waits_s) >= 6


def test_replica_that_is_gone_is_forgotten_when_its_time_is_over():
    """Its entry may come back after an outage of the store."""
    clock, known = make()
    known.responded("s1", advisories.Backoff(3.0))
    known.forget({"s2"})
    assert known.wait_s("s1") >= 3.0
    clock.advance(3.0 * JITTERED)
    known.forget({"s2"})
    assert not known.is_known("s1")


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 2.0),
            strategies.one_of(strategies.none(), strategies.floats(0.1, 5.0)),
        ),
        max_size=30,
    )
)
def test_no_request_is_sent_within_any_stated_time(responses):
    """Responses arrive in any order while requests are sent whenever they are allowed."""
    clock, known = make()
    closed_until = 0.0
    for pause_s, seconds in responses:
        clock.advance(pause_s)
        if known.wait_s("s1") == 0.0:
            assert clock.now() >= closed_until
            known.request_sent("s1")
        known.responded("s1", None if seconds is None else advisories.Backoff(seconds))
        closed_until = max(closed_until, clock.now() + (seconds or 0.0))
