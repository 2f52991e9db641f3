"""Refusals of replicas that tolerate few, over many instances that do not communicate."""

import random

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.replicas import refusals

STEP_S = 0.01
WORK_STEPS = 8
TOLERATED = 6


class Replica:
    """A replica that runs a number of requests at once and refuses the others."""

    def __init__(self, slots):
        self.slots = slots
        self.ends = []
        self.refused_at = []

    def send(self, step):
        self.ends = [end for end in self.ends if end > step]
        if len(self.ends) >= self.slots:
            self.refused_at.append(step)
            return False
        self.ends.append(step + WORK_STEPS)
        return True


def simulate(instances, slots, per_s, seconds, seed):
    """Return the refusals of each second, after a first second with little traffic."""
    clock = clocks.ManualClock(100.0)
    rng = random.Random(seed)
    replica = Replica(slots)
    tolerance = refusals.Tolerance(TOLERATED)
    guards = [refusals.RefusalGuards(clock, random.Random(number)) for number in range(instances)]
    for guard in guards:
        guard.set_instances(instances)
        guard.responded("s", tolerance, is_refusal=False)
    ending = []
    for step in range(int(seconds / STEP_S)):
        clock.advance(STEP_S)
        for end, guard in tuple(ending):
            if end <= step:
                ending.remove((end, guard))
                guard.request_ended("s")
        expected = per_s * STEP_S
        count = int(expected) + (rng.random() < expected % 1)
        for _ in range(count):
            guard = rng.choice(guards)
            if guard.wait_s("s", slots):
                continue
            guard.request_sent("s")
            is_run = replica.send(step)
            ending.append((step + (WORK_STEPS if is_run else 1), guard))
            guard.responded("s", tolerance, is_refusal=not is_run)
    seconds_of = [int(step * STEP_S) for step in replica.refused_at]
    return [seconds_of.count(second) for second in range(int(seconds))]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("instances", "slots"), [(6, 6), (6, 32), (12, 6)])
def test_few_instances_cause_no_refusals_in_a_crowd(instances, slots, seed):
    counts = simulate(instances, slots, per_s=3 * slots * 12.5, seconds=10, seed=seed)
    assert max(counts) <= TOLERATED


@pytest.mark.parametrize("seed", range(3))
def test_many_instances_refused_once_do_not_return_together(seed):
    counts = simulate(60, 6, per_s=100, seconds=20, seed=seed)
    assert sum(count > TOLERATED for count in counts) <= 2


@pytest.mark.parametrize("stated", [0.0, 1e9])
def test_extreme_numbers_neither_stop_sending_for_good_nor_at_all(stated):
    clock = clocks.ManualClock()
    guards = refusals.RefusalGuards(clock, random.Random(1))
    guards.responded("s", refusals.Tolerance(stated), is_refusal=True)
    wait_s = guards.wait_s("s", 6)
    assert refusals.MIN_PAUSE_S <= wait_s <= refusals.MAX_PAUSE_S * (1 + refusals.JITTER_SHARE)
    clock.advance(wait_s)
    assert not guards.wait_s("s", 6)
