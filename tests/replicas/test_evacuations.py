"""States of the evacuations that arrive in any order."""

import hypothesis
from hypothesis import strategies

from hornbeamglade.replicas import evacuations

CHANGES = strategies.lists(
    strategies.tuples(strategies.sampled_from("abc"), strategies.booleans())
)


def states(changes):
    """Return the state after each change."""
    made = [evacuations.Evacuations(1)]
    for version, (domain, begins) in enumerate(changes, 2):
        begun, ended = ([domain], []) if begins else ([], [domain])
        made.append(made[-1].updated(begun, ended, version))
    return made


@hypothesis.given(CHANGES, strategies.randoms(use_true_random=False))
def test_the_newest_state_holds_in_whichever_order_they_come(changes, rng):
    """Guards against an evacuation that ends, or begins again, by an older word."""
    made = states(changes)
    shuffled = rng.sample(made, len(made))
    believed = evacuations.Evacuations()
    for state in shuffled:
        believed = believed.newer(state)
    assert believed == made[-1]
