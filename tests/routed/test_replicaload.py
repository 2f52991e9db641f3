"""Choosing replicas of plain services."""

import random

from hornbeamglade.core import clocks
from hornbeamglade.replicas import models
from hornbeamglade.routed import calls, replicaload


def replicas(count):
    return [models.Replica(f"i{n}", "s", f"10.0.0.{n}:80", "a", 6) for n in range(count)]


def loads(clock=None):
    return replicaload.ReplicaLoads(clock or clocks.ManualClock(), random.Random(1))


def test_least_busy_replica_is_chosen():
    choosing = loads()
    choosing.started("i0")
    choosing.started("i1")
    assert choosing.choose(replicas(3)).id == "i2"
    assert choosing.choose([]) is None


def test_work_of_other_callers_counts_while_it_is_fresh():
    clock = clocks.ManualClock()
    choosing = loads(clock)
    choosing.started("i0")
    choosing.ended("i0", False, calls.Load(5, 2, 6))
    assert choosing.choose(replicas(2)).id == "i1"
    clock.advance(2.0)
    choosing.started("i1")
    assert choosing.choose(replicas(2)).id == "i0"


def test_own_request_is_not_counted_twice():
    choosing = loads()
    choosing.started("i0")
    choosing.ended("i0", False, calls.Load(1, 0, 6))
    choosing.started("i1")
    assert choosing.choose(replicas(2)).id == "i0"


def test_failing_replica_is_avoided_and_tried_again():
    """A replica fails half of its requests while its health check is good.

    Least outstanding alone prefers it, as failures are quick.
    """
    clock = clocks.ManualClock()
    choosing = loads(clock)
    for _ in range(5):
        choosing.started("i0")
        choosing.ended("i0", True, None)
    choosing.started("i1")
    choosing.started("i1")
    assert choosing.choose(replicas(2)).id == "i1"
    clock.advance(30.0)
    assert choosing.choose(replicas(2)).id == "i0"


def test_gone_replicas_are_forgotten_once_nothing_is_outstanding():
    choosing = loads()
    choosing.started("i0")
    choosing.forget_absent({})
    choosing.ended("i0", False, None)
    choosing.forget_absent({})
    assert choosing.choose(replicas(1)).id == "i0"
