"""Choice of replicas of plain services."""

import random

from hornbeamglade.core import clocks
from hornbeamglade.replicas import models
from hornbeamglade.routed import calls, replicaload


def replicas(count):
    return [models.Replica(f"i{n}", "s", f"10.0.0.{n}:80", "a", 6) for n in range(count)]


def loads(clock=None):
    return replicaload.ReplicaLoads(clock or clocks.ManualClock(), random.Random(1))


def test_least_busy_replica_is_chosen():
    replica_loads = loads()
    replica_loads.started("i0")
    replica_loads.started("i1")
    assert replica_loads.choose(replicas(3)).id == "i2"
    assert replica_loads.choose([]) is None


def test_reported_load_of_other_nodes_counts_while_it_is_fresh():
    clock = clocks.ManualClock()
    replica_loads = loads(clock)
    replica_loads.started("i0")
    replica_loads.ended("i0", False, calls.Load(5, 2, 6))
    assert replica_loads.choose(replicas(2)).id == "i1"
    clock.advance(2.0)
    replica_loads.started("i1")
    assert replica_loads.choose(replicas(2)).id == "i0"


def test_own_request_is_not_counted_twice():
    replica_loads = loads()
    replica_loads.started("i0")
    replica_loads.ended("i0", False, calls.Load(1, 0, 6))
    replica_loads.started("i1")
    assert replica_loads.choose(replicas(2)).id == "i0"


def test_failing_replica_is_avoided_and_probed_later():
    """A replica fails half of its requests while its health check succeeds.

    Least outstanding requests alone would prefer it, as failures are quick.
    """
    clock = clocks.ManualClock()
    replica_loads = loads(clock)
    for _ in range(5):
        replica_loads.started("i0")
        replica_loads.ended("i0", True, None)
    replica_loads.started("i1")
    replica_loads.started("i1")
    assert replica_loads.choose(replicas(2)).id == "i1"
    clock.advance(30.0)
    assert replica_loads.choose(replicas(2)).id == "i0"


def test_absent_replica_is_forgotten_once_no_request_is_outstanding():
    replica_loads = loads()
    replica_loads.started("i0")
    replica_loads.forget_absent({})
    replica_loads.ended("i0", False, None)
    replica_loads.forget_absent({})
    assert replica_loads.choose(replicas(1)).id == "i0"
