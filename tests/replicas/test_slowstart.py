"""Requests of many instances to a cold replica, in virtual time."""

import random

import pytest

from hornbeamglade.replicas import slowstart

BOUND = slowstart.Bound(overage=1.5, tolerance=5)
RATE_PER_S = 21.0
STEP_S = 0.01
COLD_S = 10.0


def most_in_a_second(arrivals):
    """Return the maximum number of arrivals within any period of one second."""
    times = sorted(arrivals)
    return max(sum(1 for each in times if begin <= each < begin + 1.0) for begin in times)


def arrivals(assumed_counts, seed):
    """Return the times of requests, where all instances always have a request to send.

    :param assumed_counts: the number of instances that each of them assumes.
    """
    rng = random.Random(seed)
    bound_per_s = BOUND.per_s(RATE_PER_S)
    nodes = []
    for count in assumed_counts:
        node = slowstart.SlowStarts(rng)
        node.begin("e0", COLD_S, slowstart.shared_interval_s(bound_per_s, count), 0.0)
        nodes.append(node)
    sent_at = []
    for step in range(int(COLD_S / STEP_S)):
        now = step * STEP_S
        for node in nodes:
            if not node.wait_s("e0", now):
                node.started("e0", now)
                sent_at.append(now)
    return sent_at


@pytest.mark.parametrize("count", [6, 21, 64, 195])
@pytest.mark.parametrize("seed", range(5))
def test_all_instances_together_keep_to_the_bound_at_a_cold_replica(count, seed):
    """Guards a new, empty replica against simultaneous requests of all instances."""
    sent_at = arrivals([count] * count, seed)
    assert 0 < most_in_a_second(sent_at) <= BOUND.per_s(RATE_PER_S)


@pytest.mark.parametrize("count", [64, 195])
@pytest.mark.parametrize("seed", range(5))
def test_the_bound_holds_while_a_third_of_the_instances_is_partitioned(count, seed):
    """Each part knows only its own instances, and both parts reach the replica."""
    part = count // 3
    assumed_counts = [part] * part + [count - part] * (count - part)
    sent_at = arrivals(assumed_counts, seed)
    assert most_in_a_second(sent_at) <= BOUND.per_s(RATE_PER_S)


def test_two_owners_at_once_keep_to_the_bound():
    """During a membership change, two instances may admit requests to the same engine."""
    bound_per_s = BOUND.per_s(RATE_PER_S)
    sent_at = []
    for seed in (1, 2):
        owner = slowstart.SlowStarts(random.Random(seed))
        owner.begin("e0", COLD_S, slowstart.owned_interval_s(bound_per_s), 0.0)
        for step in range(int(COLD_S / STEP_S)):
            if not owner.wait_s("e0", step * STEP_S):
                owner.started("e0", step * STEP_S)
                sent_at.append(step * STEP_S)
    assert bound_per_s / 3 < most_in_a_second(sent_at) <= bound_per_s


def test_replica_is_warm_after_its_slow_start():
    node = slowstart.SlowStarts(random.Random(1))
    node.begin("e0", 2.0, 5.0, 0.0)
    assert node.is_cold("e0", 1.9)
    assert node.wait_s("e0", 1.9) <= 0.1 + 1e-9
    assert not node.is_cold("e0", 2.0)
    assert node.wait_s("e0", 2.0) == 0.0


def test_ended_slow_starts_are_forgotten():
    """Guards against a memory leak by short-lived replicas that are removed while cold."""
    node = slowstart.SlowStarts(random.Random(1))
    for number in range(50):
        node.begin(f"e{number}", 2.0, 5.0, 0.0)
    node.forget_ended(2.0)
    assert node.count == 0
