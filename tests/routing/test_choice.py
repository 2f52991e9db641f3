import random

import pytest

from hornbeamglade.core import outcomes
from hornbeamglade.routing import candidates, choice, placements

SETTINGS = candidates.RoutingSettings(failure_domain="z1")
WORK = outcomes.Work("r-1", "chat", "clerks", 0, prompt_tokens=1000)


def candidate(replica, **reported):
    values = {
        "owner": "n1",
        "local": True,
        "room_tokens": 10_000,
        "queued": 0,
        "expected_wait_s": 0.0,
        "report_age_s": 0.0,
        "failure_domain": "z1",
    }
    return candidates.Candidate(replica, **(values | reported))


def chosen(*reported, seed=1):
    return choice.choose(WORK, reported, random.Random(seed), SETTINGS).candidate.replica


@pytest.mark.parametrize(
    "worse",
    [
        {"expected_wait_s": 0.5},
        {"room_tokens": 500},
        {"local": False},
        {"failure_domain": "z2"},
        {"slow_factor": 3.0},
        {"report_age_s": 60.0},
        {"leaving": True},
        {"ejected": True},
    ],
)
def test_each_disadvantage_is_avoided(worse):
    assert {chosen(candidate("worse", **worse), candidate("good"), seed=n) for n in range(9)} == {
        "good"
    }


def test_cached_prefix_outweighs_a_short_wait():
    holder = candidate("holder", cached_prefix_tokens=960, expected_wait_s=0.05)
    assert chosen(holder, candidate("empty")) == "holder"


def test_long_wait_outweighs_a_cached_prefix():
    holder = candidate("holder", cached_prefix_tokens=960, expected_wait_s=5.0)
    assert chosen(holder, candidate("empty")) == "empty"


def test_replica_with_the_cached_prefix_is_always_compared():
    stale_candidates = [candidate(f"c{n}", report_age_s=1.0) for n in range(50)]
    holder = candidate("holder", report_age_s=1.0, cached_prefix_tokens=960)
    assert chosen(*stale_candidates, holder) == "holder"


def test_leaving_and_ejected_replicas_are_counted_when_none_is_usable():
    reported = [candidate("a", leaving=True), candidate("b", ejected=True)]
    result = choice.choose(WORK, reported, random.Random(1), SETTINGS)
    assert result == choice.NoCandidate(leaving=1, ejected=1)


def test_old_report_is_used_when_there_is_no_newer_one():
    assert chosen(candidate("a", report_age_s=500.0)) == "a"


def test_old_report_causes_no_herding():
    # A load report shows one replica as slightly emptier. If every node trusts the report
    # in full, all of them send everything there until the next report: its requests stall
    # while the other replicas idle, and then the herd moves to another replica.
    reported = [candidate(f"r{n}", report_age_s=2.0, expected_wait_s=0.1) for n in range(9)]
    reported.append(candidate("best", report_age_s=2.0))
    chosen_replicas = [chosen(*reported, seed=seed) for seed in range(200)]
    assert chosen_replicas.count("best") < 80
    assert len(set(chosen_replicas)) == 10


def test_own_placements_count_before_they_are_reported():
    # One node gets a burst of twenty requests between two reports. Without its own
    # placements it sends all of them to the replica that was emptiest in the last report;
    # these requests wait while other replicas idle.
    rng = random.Random(1)
    own_placements = placements.Placements(SETTINGS)
    reported = [candidate("a"), candidate("b", expected_wait_s=0.05)]
    chosen_replicas = []
    for _ in range(20):
        result = choice.choose(WORK, own_placements.applied(reported, now=5.0), rng, SETTINGS)
        chosen_replicas.append(result.candidate.replica)
        own_placements.placed(result.candidate.replica, tokens=10, now=5.1)
    assert 8 <= chosen_replicas.count("a") <= 12


def test_reported_placements_are_not_counted_twice():
    own_placements = placements.Placements(SETTINGS)
    own_placements.placed("a", tokens=10, now=1.0)
    (same,) = own_placements.applied([candidate("a", report_age_s=0.5)], now=2.0)
    assert same.queued == 0


def test_rank_prefers_another_failure_domain_for_the_fallback():
    reported = [
        candidate("first"),
        candidate("same", expected_wait_s=0.01),
        candidate("other", expected_wait_s=0.02, failure_domain="z2"),
        candidate("gone", leaving=True),
    ]
    ranked = choice.rank(WORK, reported, random.Random(1), SETTINGS)
    assert [each.candidate.replica for each in ranked] == ["first", "other", "same"]


def test_rank_is_empty_without_candidates():
    assert choice.rank(WORK, [], random.Random(1), SETTINGS) == ()
