"""Which owner is asked first by figures of different ages."""

import collections
import random

import pytest

from hornbeamglade.core import outcomes
from hornbeamglade.routing import candidates, ownerorder

WORK = outcomes.Work("r1", "chat", "clerks", 1, prompt_tokens=2_000, max_tokens=100)
SETTINGS = candidates.RoutingSettings()


def candidate(name, wait_s=0.0, age_s=0.0, room=20_000, queued=0):
    return candidates.Candidate(name, "", False, room, queued, wait_s, age_s, "a")


def rank(*known, seed=1):
    rng = random.Random(seed)
    return ownerorder.rank_owners(WORK, known, lambda name: name[0], rng, SETTINGS, 0.8)


def test_fresh_figures_are_followed():
    # An owner with one free engine starts a request before owners whose engines all have
    # queued prompts, though their sum of free memory is larger.
    ranked = rank(
        candidate("a0", 0.5), candidate("a1", 0.6), candidate("b0"), candidate("b1", 0.7)
    )
    assert [each.owner for each in ranked] == ["b", "a"]
    assert ranked[0].replicas == ("b0", "b1")


def test_instances_with_the_same_old_figures_do_not_all_ask_one_owner():
    # Between two updates some 20 requests arrive; at a single owner most would be refused.
    first = collections.Counter(
        rank(candidate("a0", 0.1, 1.0), candidate("b0", 0.2, 1.0), seed=seed)[0].owner
        for seed in range(200)
    )
    assert min(first["a"], first["b"]) > 50


@pytest.mark.parametrize(
    ("full", "is_believed"),
    [
        (candidate("a0", age_s=0.1, room=100), True),
        (candidate("a0", age_s=0.51, room=100), False),
        (candidate("a0", 1.5, age_s=0.6, queued=4), True),
        (candidate("a0", 1.5, age_s=0.8, queued=4), False),
        (candidate("a0", 9.0, age_s=1.1, queued=30), False),
    ],
)
def test_an_owner_without_room_is_asked_again_once_its_figures_may_have_changed(full, is_believed):
    # If it was never asked again, its free engines would idle while requests wait elsewhere.
    assert rank(full)[0].may_start_now is not is_believed


def test_engines_that_leave_are_not_ranked():
    leaving = candidates.Candidate("a0", "", False, 9_000, 0, 0.0, 0.0, "a", leaving=True)
    assert not rank(leaving)
