"""Builders for engine states, engines and desired states in the tests of placement."""

from hornbeamglade.backends import orders
from hornbeamglade.configuration import models
from hornbeamglade.placement import placementvalues, virtualengines

Fault = virtualengines.Fault


def state(*names, adapters=(), role="mixed"):
    return orders.EngineState(frozenset(names), frozenset(adapters), role)


def engine(number, present, checks=True, load_s=0.0, domain="z1"):
    replica = models.Replica(
        address=f"127.0.0.1:{number + 1}", failure_domain=domain, checks_fencing=checks
    )
    return virtualengines.VirtualEngine(replica, present, load_s)


def desired_state(revision, wanted, engine_by_name):
    replica_by_name = {name: engine.replica for name, engine in engine_by_name.items()}
    return placementvalues.DesiredState(revision, wanted, replica_by_name)
