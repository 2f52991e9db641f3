import random

import pytest

from hornbeamglade.core import outcomes
from hornbeamglade.routing import candidates, choice, placements

SETTINGS = candidates.RoutingSettings(failure_domain="z1")
WORK = outcomes.Work("r-1", "chat", "clerks", 0, prompt_tokens=1000)


def candidate(replica, **known):
    values = {
        "owner": "n1",
        "local": True,
        "room_tokens": 10_000,
        "queued": 0,
        "expected_wait_s": 0.0,
        "report_age_s": 0.0,
        "failure_domain": "z1",
    }
    return candidates.Candidate(replica, **(values | known))


def chosen(*known, seed=1):
    return choice.choose(WORK, known, random.Random(seed), SETTINGS).candidate.replica


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
def test_each_drawback_costs(worse):
    assert {chosen(candidate("worse", **worse), candidate("good"), seed=n) for n in range(9)} == {
        "good"
    }


def test_held_prefix_outweighs_a_short_wait():
    holder = candidate("holder", prefix_tokens_held=960, expected_wait_s=0.05)
    assert chosen(holder, candidate("empty")) == "holder"


def test_long_wait_outweighs_a_held_prefix():
    holder = candidate("holder", prefix_tokens_held=960, expected_wait_s=5.0)
    assert chosen(holder, candidate("empty")) == "empty"


def test_prefix_holder_is_compared_though_not_sampled():
    crowd = [candidate(f"c{n}", report_age_s=1.0) for n in range(50)]
    holder = candidate("holder", report_age_s=1.0, prefix_tokens_held=960)
    assert chosen(*crowd, holder) == "holder"


def test_leaving_and_ejected_are_counted_when_nobody_is_left():
    known = [candidate("a", leaving=True), candidate("b", ejected=True)]
    result = choice.choose(WORK, known, random.Random(1), SETTINGS)
    assert result == choice.NoCandidate(leaving=1, ejected=1)


def test_old_reports_are_used_when_there_is_nothing_else():
    assert chosen(candidate("a", report_age_s=500.0)) == "a"


def test_old_report_does_not_herd_all_nodes_to_one_replica():
    # A load report shows one replica slightly emptier. Until the next report all nodes
    # send everything there; its callers stall while the other replicas idle, and then
    # the herd moves on. Every node trusted the same old report in full.
    known = [candidate(f"r{n}", report_age_s=2.0, expected_wait_s=0.1) for n in range(9)]
    known.append(candidate("best", report_age_s=2.0))
    picks = [chosen(*known, seed=seed) for seed in range(200)]
    assert picks.count("best") < 80
    assert len(set(picks)) == 10


def test_own_placements_count_before_a_report_shows_them():
    # One node gets a burst of twenty requests between two reports and sends all of them
    # to the replica that was emptiest in the last one; these callers wait, others idle.
    rng = random.Random(1)
    placed = placements.Placements(SETTINGS)
    known = [candidate("a"), candidate("b", expected_wait_s=0.05)]
    picks = []
    for _ in range(20):
        result = choice.choose(WORK, placed.applied(known, now=5.0), rng, SETTINGS)
        picks.append(result.candidate.replica)
        placed.placed(result.candidate.replica, tokens=10, now=5.1)
    assert 8 <= picks.count("a") <= 12


def test_placements_shown_by_a_report_do_not_count_twice():
    placed = placements.Placements(SETTINGS)
    placed.placed("a", tokens=10, now=1.0)
    (same,) = placed.applied([candidate("a", report_age_s=0.5)], now=2.0)
    assert same.queued == 0


def test_order_prefers_another_failure_domain_for_the_fall_back():
    known = [
        candidate("first"),
        candidate("same", expected_wait_s=0.01),
        candidate("other", expected_wait_s=0.02, failure_domain="z2"),
        candidate("gone", leaving=True),
    ]
    ranked = choice.rank(WORK, known, random.Random(1), SETTINGS)
    assert [each.candidate.replica for each in ranked] == ["first", "other", "same"]


def test_order_is_empty_without_a_candidate():
    assert choice.rank(WORK, [], random.Random(1), SETTINGS) == ()
