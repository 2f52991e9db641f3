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


def count_moved(far_factor):
    """Return how many of eight runs, half of which go far, are copied within a notice period.

    It is 1.5 s, of which 0.2 s have passed when the runs' nodes learn of it.
    """
    slots = migrationslots.MigrationSlots()
    left = {f"r{n}": (3000 + 90 * n, n % 2 == 1) for n in range(8)}
    now, moved = 0.0, 0
    while left:
        for name, (tokens, is_far) in left.items():
            slots.request("e", run(name, tokens * (far_factor if is_far else 1)), now)
        now += migrationslots.COLLECT_S
        name = slots.due(now)[0].run.id
        tokens, is_far = left.pop(name)
        # 262,144 bytes per token on a link of 38,000 Mbit/s, and 40 ms to stop the run.
        now += tokens * 262_144 / 4.75e9 * (2 if is_far else 1) + 0.04
        slots.release("e", name, now)
        moved += now <= 1.3
    return moved


def test_more_runs_are_moved_in_the_order_of_their_copy_times():
    """By size alone, far copies took the time of two near ones, and runs found no slot."""
    assert count_moved(far_factor=2) > count_moved(far_factor=1)
