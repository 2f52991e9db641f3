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


def test_the_longer_an_answer_the_more_is_still_to_come():
    model = _learned()
    means = [model.remaining("drafts", "clinic", produced).mean for produced in (0, 100, 1000)]
    assert means == sorted(means)
    assert means[0] == pytest.approx(300, rel=0.15)


def test_growth_within_a_horizon_meets_the_sampled_one():
    rng = random.Random(2)
    left = [n - 200 for n in (_lognormal(rng) for _ in range(20000)) if n > 200]
    within = [min(n, 150) for n in left]
    mean = sum(within) / len(within)
    variance = sum((n - mean) ** 2 for n in within) / len(within)
    growth = _learned().growth("drafts", "clinic", 200, 150)
    assert growth.mean == pytest.approx(mean, rel=0.05)
    assert growth.variance == pytest.approx(variance, rel=0.15)
    assert growth.survival == pytest.approx(sum(n > 150 for n in left) / len(left), rel=0.1)


def test_an_unknown_team_behaves_as_its_service():
    model = _learned()
    known = model.remaining("drafts", "clinic", 0).mean
    unknown = model.remaining("drafts", "court", 0)
    assert unknown.mean == pytest.approx(known, rel=0.1)
    assert unknown.confidence == 0


def test_cancelled_answers_do_not_teach_that_answers_are_short():
    # A user cancels each draft that runs past 100 tokens. Counted as complete, or
    # left out, these would teach that no draft ever passes 100 tokens, and the
    # replica would be filled as if all of them ended there.
    rng = random.Random(3)
    model = lengths.LengthModel()
    for i in range(4000):
        tokens = _lognormal(rng)
        cut = i % 2 == 0 and tokens > 100
        model.observe("drafts", "clinic", 100 if cut else tokens, censored=cut)
    survival = model.table("drafts", "clinic").survival(200)
    assert survival == pytest.approx(_learned().table("drafts", "clinic").survival(200), rel=0.15)


def test_lengths_that_drift_are_followed():
    model = _learned()
    rng = random.Random(4)
    for _ in range(4000):
        model.observe("drafts", "clinic", 4 * _lognormal(rng))
    assert model.table("drafts", "clinic").quantile(0, 0.5) == pytest.approx(400, rel=0.25)


def test_beyond_all_data_the_tail_stays_heavy():
    model = _learned(draw=lambda rng: rng.randrange(1, 500))
    assert model.remaining("drafts", "clinic", 5000).mean > 1000


def test_survival_never_rises_and_the_quantile_inverts_it():
    table = _learned().table("drafts", "clinic")
    values = [table.survival(tokens) for tokens in range(0, 300_000, 97)]
    assert values == sorted(values, reverse=True)
    assert table.ratio(50, table.quantile(50, 0.9)) == pytest.approx(0.1, rel=1e-6)
    assert table.quantile(0, 1.0) == buckets.LAST_EDGE


def test_teams_beyond_the_bound_are_forgotten_the_oldest_first():
    model = lengths.LengthModel(lengths.LengthSettings(max_teams=2))
    for team in ("a", "b", "c"):
        model.observe("drafts", team, 10)
    assert model.remaining("drafts", "a", 0).confidence == 0
    assert model.remaining("drafts", "c", 0).confidence == pytest.approx(1)


def test_a_long_run_keeps_its_weights_finite():
    model = lengths.LengthModel(lengths.LengthSettings(half_life=10))
    for _ in range(2000):
        model.observe("drafts", "clinic", 10)
    assert 10 < model.remaining("drafts", "clinic", 0).confidence < 20
