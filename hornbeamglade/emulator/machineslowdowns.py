"""Seeded slowdowns of a machine that an engine or service shares with other work."""

import collections.abc
import dataclasses
import random


@dataclasses.dataclass(frozen=True, slots=True)
class Slowdowns:
    """How often, how much and for how long work on a machine is slowed down.

    :param share: share of the time in which the machine is busy, at least 0 and below 1.
    :param factor: how many times as long work takes while it is busy.
    :param window_s: mean duration of a busy window in seconds.
    """

    share: float
    factor: float = 2.5
    window_s: float = 0.6


class Machine:
    """The slowdown of one machine at any time; the seed determines its busy windows.

    Explanation
    ===========

    Busy windows last between half and one and a half times their mean. The times between
    them are exponentially distributed, so that machines of different seeds don't move in step.
    Windows are generated as time advances; queries must not go back in time.

    :param slowdowns: share, factor and duration of the busy windows.
    :param seed: seed of the windows.

    Examples
    ========

    >>> machine = Machine(Slowdowns(share=0.15, factor=2.5), seed=1)
    >>> sorted({machine.factor_at(0.05 * step) for step in range(400)})
    [1.0, 2.5]
    """

    def __init__(self, slowdowns: Slowdowns, seed: int | str) -> None:
        if not 0.0 <= slowdowns.share < 1.0:
            raise ValueError("the share of busy time must be at least 0 and below 1")
        self._factor = slowdowns.factor
        self._windows = _windows(slowdowns, random.Random(seed))
        self._begins_at, self._ends_at = next(self._windows)

    def factor_at(self, now: float) -> float:
        """Return how many times as long work takes now.

        :param now: seconds since the start; not less than in the previous call.
        """
        while now >= self._ends_at:
            self._begins_at, self._ends_at = next(self._windows)
        return self._factor if now >= self._begins_at else 1.0


def _windows(
    slowdowns: Slowdowns, rng: random.Random
) -> collections.abc.Iterator[tuple[float, float]]:
    """Yield the begin and end of each busy window, in order."""
    if not slowdowns.share:
        yield float("inf"), float("inf")
        return
    mean_pause_s = slowdowns.window_s * (1.0 - slowdowns.share) / slowdowns.share
    now = 0.0
    while True:
        begins_at = now + rng.expovariate(1.0 / mean_pause_s)
        now = begins_at + slowdowns.window_s * rng.uniform(0.5, 1.5)
        yield begins_at, now
