"""The order in which runs get migration slots."""

import hypothesis
from hypothesis import strategies

from hornbeamglade.grants import migrationslots

_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["request", "release", "wait"]),
        strategies.sampled_from(["a", "b", "c", "d"]),
        strategies.floats(0.0, 0.5),
    ),
    max_size=40,
)


def run(name, tokens):
    return migrationslots.MigratingRun(name, f"node-{name}", tokens)


@hypothesis.given(_STEPS)
def test_at_most_one_run_holds_the_slot_and_none_is_starved(steps):
    slots = migrationslots.MigrationSlots()
    now = 0.0
    for action, name, pause_s in steps:
        now += pause_s
        if action == "request":
            slots.request("e", run(name, ord(name)), now)
        elif action == "release":
            slots.release("e", name, now)
        assert len(slots.due(now)) <= 1
    slots.request("e", run("last", 1), now)
    served = set()
    for _ in range(100):
        now += 0.1
        slots.request("e", run("last", 1), now)
        served.update(slot.run.id for slot in slots.due(now))
    assert "last" in served


def test_smallest_run_gets_the_first_slot():
    slots = migrationslots.MigrationSlots()
    for name, tokens in (("a", 300), ("b", 100), ("c", 200)):
        slots.request("e", run(name, tokens), 0.0)
    order = []
    for step in range(3):
        slot = slots.due(0.1 + step / 10)[0]
        order.append(slot.run.id)
        slots.release("e", slot.run.id, 0.1 + step / 10)
    assert order == ["b", "c", "a"]
    assert slots.due(2.0) == ()
    assert slots.is_idle


def test_slot_of_a_crashed_holder_expires():
    """A node crashes while its run holds the slot.

    If the slot did not expire, no other run could be migrated before the engine stops.
    """
    slots = migrationslots.MigrationSlots()
    slots.request("e", run("a", 1), 0.0)
    slots.request("e", run("b", 2), 0.0)
    assert slots.due(0.1)[0].run.id == "a"
    now = 0.1 + migrationslots.SLOT_TIMEOUT_S
    slots.request("e", run("b", 2), now)
    assert slots.due(now)[0].run.id == "b"


def test_each_replica_has_its_own_slots():
    slots = migrationslots.MigrationSlots()
    slots.request("e1", run("a", 1), 0.0)
    slots.request("e2", run("b", 1), 0.0)
    assert len(slots.due(0.1)) == 2
