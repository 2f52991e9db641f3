import random

import pytest

from hornbeamglade import lengths
from hornbeamglade.lengths import buckets


def _lognormal(rng):
    return min(8000, max(1, int(rng.lognormvariate(4.605, 1.5))))


def _learned(count=4000, draw=_lognormal, seed=1):
    rng = random.Random(seed)
    model = lengths.LengthModel()
    for _ in range(count):
        model.observe("drafts", "clinic", draw(rng))
    return model


def test_expected_remaining_length_grows_with_the_length_so_far():
    model = _learned()
    means = [model.remaining("drafts", "clinic", produced).mean for produced in (0, 100, 1000)]
    assert means == sorted(means)
    assert means[0] == pytest.approx(300, rel=0.15)


def test_growth_within_a_horizon_matches_samples():
    rng = random.Random(2)
    remaining = [n - 200 for n in (_lognormal(rng) for _ in range(20000)) if n > 200]
    within = [min(n, 150) for n in remaining]
    mean = sum(within) / len(within)
    variance = sum((n - mean) ** 2 for n in within) / len(within)
    growth = _learned().growth("drafts", "clinic", 200, 150)
    assert growth.mean == pytest.approx(mean, rel=0.05)
    assert growth.variance == pytest.approx(variance, rel=0.15)
    assert growth.survival == pytest.approx(
        sum(n > 150 for n in remaining) / len(remaining), rel=0.1
    )


def test_an_unknown_team_behaves_like_its_service():
    model = _learned()
    known = model.remaining("drafts", "clinic", 0).mean
    unknown = model.remaining("drafts", "court", 0)
    assert unknown.mean == pytest.approx(known, rel=0.1)
    assert unknown.confidence == 0


def test_cancelled_answers_do_not_bias_lengths_downwards():
    # A user cancels every second draft at 100 tokens if it is longer. Whether these drafts
    # were counted as complete or left out, the lengths would be underestimated and the
    # replica would be overfilled.
    rng = random.Random(3)
    model = lengths.LengthModel()
    for i in range(4000):
        tokens = _lognormal(rng)
        cut = i % 2 == 0 and tokens > 100
        model.observe("drafts", "clinic", 100 if cut else tokens, censored=cut)
    survival = model.table("drafts", "clinic").survival(200)
    assert survival == pytest.approx(_learned().table("drafts", "clinic").survival(200), rel=0.15)


def test_drifting_lengths_are_tracked():
    model = _learned()
    rng = random.Random(4)
    for _ in range(4000):
        model.observe("drafts", "clinic", 4 * _lognormal(rng))
    assert model.table("drafts", "clinic").quantile(0, 0.5) == pytest.approx(400, rel=0.25)


def test_the_tail_beyond_all_data_is_heavy():
    model = _learned(draw=lambda rng: rng.randrange(1, 500))
    assert model.remaining("drafts", "clinic", 5000).mean > 1000


def test_survival_is_nonincreasing_and_the_quantile_inverts_it():
    table = _learned().table("drafts", "clinic")
    values = [table.survival(tokens) for tokens in range(0, 300_000, 97)]
    assert values == sorted(values, reverse=True)
    assert table.conditional_survival(50, table.quantile(50, 0.9)) == pytest.approx(0.1, rel=1e-6)
    assert table.quantile(0, 1.0) == buckets.LAST_EDGE


def test_the_least_recently_seen_teams_beyond_the_limit_are_dropped():
    model = lengths.LengthModel(lengths.LengthSettings(max_teams=2))
    for team in ("a", "b", "c"):
        model.observe("drafts", team, 10)
    assert model.remaining("drafts", "a", 0).confidence == 0
    assert model.remaining("drafts", "c", 0).confidence == pytest.approx(1)


def test_weights_stay_finite_after_many_observations():
    model = lengths.LengthModel(lengths.LengthSettings(half_life=10))
    for _ in range(2000):
        model.observe("drafts", "clinic", 10)
    assert 10 < model.remaining("drafts", "clinic", 0).confidence < 20
