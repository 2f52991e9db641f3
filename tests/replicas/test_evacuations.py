"""States of evacuations that arrive in any order."""

import hypothesis
from hypothesis import strategies

from hornbeamglade.replicas import evacuations

CHANGES = strategies.lists(
    strategies.tuples(strategies.sampled_from("abc"), strategies.booleans())
)


def states(changes):
    """Return the state after each change."""
    in_order = [evacuations.Evacuations(1)]
    for version, (domain, begins) in enumerate(changes, 2):
        begun, ended = ([domain], []) if begins else ([], [domain])
        in_order.append(in_order[-1].updated(begun, ended, version))
    return in_order


@hypothesis.given(CHANGES, strategies.randoms(use_true_random=False))
def test_the_newest_state_applies_whatever_the_order_of_arrival(changes, rng):
    """Guards against an evacuation that ends, or starts again, because of an older state."""
    in_order = states(changes)
    shuffled = rng.sample(in_order, len(in_order))
    current = evacuations.Evacuations()
    for state in shuffled:
        current = current.newer(state)
    assert current == in_order[-1]
