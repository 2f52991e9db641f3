"""In which order runs leave a replica."""

import hypothesis
from hypothesis import strategies

from hornbeamglade.grants import migrationslots

_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["ask", "done", "wait"]),
        strategies.sampled_from(["a", "b", "c", "d"]),
        strategies.floats(0.0, 0.5),
    ),
    max_size=40,
)


def run(name, tokens):
    return migrationslots.MigratingRun(name, f"node-{name}", tokens)


@hypothesis.given(_STEPS)
def test_at_most_one_run_has_the_turn_and_none_waits_for_ever(steps):
    turns = migrationslots.MigrationSlots()
    now = 0.0
    for what, name, pause_s in steps:
        now += pause_s
        if what == "ask":
            turns.request("e", run(name, ord(name)), now)
        elif what == "done":
            turns.release("e", name, now)
        assert len(turns.due(now)) <= 1
    turns.request("e", run("last", 1), now)
    served = set()
    for _ in range(100):
        now += 0.1
        turns.request("e", run("last", 1), now)
        served.update(turn.run.id for turn in turns.due(now))
    assert "last" in served


def test_smallest_run_goes_first():
    turns = migrationslots.MigrationSlots()
    for name, tokens in (("a", 300), ("b", 100), ("c", 200)):
        turns.request("e", run(name, tokens), 0.0)
    order = []
    for step in range(3):
        turn = turns.due(0.1 + step / 10)[0]
        order.append(turn.run.id)
        turns.release("e", turn.run.id, 0.1 + step / 10)
    assert order == ["b", "c", "a"]
    assert turns.due(2.0) == ()
    assert turns.is_idle


def test_turn_of_a_dead_holder_lapses():
    """The node whose run has the turn dies in the middle of its move.

    Waited for, it would cost all other runs their place before the engine is gone.
    """
    turns = migrationslots.MigrationSlots()
    turns.request("e", run("a", 1), 0.0)
    turns.request("e", run("b", 2), 0.0)
    assert turns.due(0.1)[0].run.id == "a"
    now = 0.1 + migrationslots.SLOT_TIMEOUT_S
    turns.request("e", run("b", 2), now)
    assert turns.due(now)[0].run.id == "b"


def test_replicas_have_turns_of_their_own():
    turns = migrationslots.MigrationSlots()
    turns.request("e1", run("a", 1), 0.0)
    turns.request("e2", run("b", 1), 0.0)
    assert len(turns.due(0.1)) == 2
