"""Shortest traces through an explored state space."""

import collections
import dataclasses

from hornbeamglade.modelcheck import exploration


@dataclasses.dataclass(frozen=True, slots=True)
class Trace:
    """A run from the initial state.

    :param actions: action names in order.
    :param state: number of the state it ends in.
    """

    actions: tuple[str, ...]
    state: int


def shortest_trace(space: exploration.StateSpace, goals: frozenset[int]) -> Trace | None:
    """Return a shortest run into one of the goals, or None.

    :param space: the explored program.
    :param goals: numbers of the states that end the search.
    """
    if space.initial in goals:
        return Trace((), space.initial)
    origin_by_state: dict[int, tuple[int, int]] = {space.initial: (-1, -1)}
    queue = collections.deque([space.initial])
    while queue:
        state = queue.popleft()
        for choice, target in space.transitions(state):
            if target in origin_by_state:
                continue
            origin_by_state[target] = (state, choice)
            if target in goals:
                return Trace(_actions(space, origin_by_state, target), target)
            queue.append(target)
    return None


def _actions(
    space: exploration.StateSpace, origin_by_state: dict[int, tuple[int, int]], state: int
) -> tuple[str, ...]:
    actions = []
    while state != space.initial:
        state, choice = origin_by_state[state]
        actions.append(space.action(choice))
    return tuple(reversed(actions))
