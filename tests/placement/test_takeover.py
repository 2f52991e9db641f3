"""Another node completes a change after the death of the node that placed it."""

import random

import pytest

from hornbeamglade import leases
from hornbeamglade.backends import orders
from hornbeamglade.configuration import models
from hornbeamglade.core import clocks
from hornbeamglade.placement import (
    placementsettings,
    placementvalues,
    placer,
    rollout,
    virtualengines,
)
from hornbeamglade.store import memory

OLD = orders.EngineState(frozenset({"draft"}), role="mixed")
NEW = orders.EngineState(frozenset({"draft", "summary"}), role="mixed")
LOAD_S = 1.0
DETECTION_S = 4.0
BOUND_S = 90.0
SETTINGS = placementsettings.PlacerSettings()


def make_placer(node, engine_by_name, table, clock, is_candidate):
    replica_by_name = {name: engine.replica for name, engine in engine_by_name.items()}
    decisions = rollout.Rollout(
        placementvalues.DesiredState(2, NEW, replica_by_name),
        placementsettings.PlacementSettings(),
        SETTINGS.flight_s,
        random.Random(node),
        clock.now(),
    )
    lease = leases.LeaseHolder(table, clock, "pool", node, SETTINGS.term_s, SETTINGS.flight_s)
    client = virtualengines.VirtualEngineClient(clock, engine_by_name.values())
    return placer.Placer(lease, decisions, client, is_candidate, lambda: 2, SETTINGS, clock)


def completion_s(dies_at_s, step_s, checks_fencing):
    """Return the seconds until all engines have changed, from the start of the change."""
    clock = clocks.ManualClock()
    table = memory.MemoryPlatform(clock)
    engine_by_name = {
        name: virtualengines.VirtualEngine(
            models.Replica(
                address=f"192.0.2.1:{number}",
                failure_domain=name,
                checks_fencing=checks_fencing,
            ),
            OLD,
            LOAD_S,
        )
        for number, name in enumerate(("e0", "e1"), 1)
    }

    def is_detected():
        return clock.now() > dies_at_s + DETECTION_S

    first = make_placer("n1", engine_by_name, table, clock, lambda: True)
    second = make_placer("n2", engine_by_name, table, clock, is_detected)
    while any(engine.present != NEW for engine in engine_by_name.values()):
        clock.advance(step_s)
        for engine in engine_by_name.values():
            engine.advance(clock.now())
        if clock.now() < dies_at_s:
            first.step()
        second.step()
        assert clock.now() < 10 * BOUND_S
    return clock.now()


@pytest.mark.parametrize("checks_fencing", [True, False])
@pytest.mark.parametrize("step_s", [0.5, 1.0, 4.0])
def test_change_is_completed_whenever_its_placing_node_dies(step_s, checks_fencing):
    """Guards against an order, a lease or a closed replica that is lost with its node."""
    times_s = [completion_s(half / 2, step_s, checks_fencing) for half in range(40)]
    assert max(times_s) < BOUND_S
