"""Survival functions of answer lengths, and the growth that follows from them."""

import bisect
import dataclasses
import math

from hornbeamglade.lengths import buckets

_TAIL_EXPONENT = 1.5
_MIN_SURVIVAL = 1e-300


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """The remaining length of an answer.

    :param mean: expected remaining tokens.
    :param variance: variance of the remaining tokens.
    :param confidence: effective number of observed answers of the service and team that
        reached this length; 0 if the estimate rests on the fallbacks alone.
    """

    mean: float
    variance: float
    confidence: float


@dataclasses.dataclass(frozen=True, slots=True)
class Growth:
    """Growth of an answer within a horizon.

    :param mean: expected value of min(remaining, horizon), in tokens.
    :param variance: its variance.
    :param survival: the probability that the answer outlasts the horizon.
    """

    mean: float
    variance: float
    survival: float


class SurvivalTable:
    """Survival function: linear between the bucket edges, with a Pareto tail after the last.

    :param hazards: for each bucket the probability that an answer that reaches it ends there.

    Examples
    ========

    >>> table = SurvivalTable((0.5,) * buckets.COUNT)
    >>> table.survival(0), table.survival(8), table.survival(16)
    (1.0, 0.5, 0.25)
    >>> table.conditional_survival(8, 8)
    0.5
    """

    def __init__(self, hazards: tuple[float, ...]) -> None:
        survival = [1.0]
        for hazard in hazards:
            survival.append(max(_MIN_SURVIVAL, survival[-1] * (1.0 - hazard)))
        self._survival = tuple(survival)

    def survival(self, tokens: float) -> float:
        """Return the probability that a complete answer is longer than ``tokens``."""
        if tokens >= buckets.LAST_EDGE:
            return self._survival[-1] * (buckets.LAST_EDGE / tokens) ** _TAIL_EXPONENT
        i = bisect.bisect_right(buckets.EDGES, tokens) - 1
        low = buckets.EDGES[i]
        fraction = (tokens - low) / (buckets.EDGES[i + 1] - low)
        start = self._survival[i]
        return start + fraction * (self._survival[i + 1] - start)

    def conditional_survival(self, produced: float, horizon: float) -> float:
        """Return the probability that an answer continues for more than ``horizon`` tokens.

        :param produced: tokens produced so far.
        :param horizon: tokens from now.
        """
        return self.survival(produced + horizon) / self.survival(produced)

    def growth(self, produced: float, horizon: float) -> Growth:
        """Return mean and variance of min(remaining, horizon).

        Explanation
        ===========

        The first two moments are the integrals of S and of 2 t S, where S is the survival
        function given ``produced``. Both are exact for a piecewise linear S.
        """
        survival_now = self.survival(produced)
        first = second = elapsed = 0.0
        start = 1.0
        while elapsed < horizon:
            end = min(self._next_edge(produced + elapsed) - produced, horizon)
            width = end - elapsed
            stop = self.survival(produced + end) / survival_now
            area = width * (start + stop) / 2
            first += area
            second += 2 * elapsed * area + width * width * (start + 2 * stop) / 3
            elapsed, start = end, stop
        return Growth(first, max(0.0, second - first * first), start)

    def quantile(self, produced: float, probability: float) -> float:
        """Return the remaining length that is not exceeded with the given probability."""
        target = self.survival(produced) * (1.0 - probability)
        if target <= self._survival[-1]:
            return max(0.0, buckets.LAST_EDGE - produced)
        i = bisect.bisect_left(self._survival, -target, key=lambda value: -value)
        high, low = self._survival[i - 1], self._survival[i]
        fraction = (high - target) / (high - low) if high > low else 0.0
        edge = buckets.EDGES[i - 1] + fraction * (buckets.EDGES[i] - buckets.EDGES[i - 1])
        return max(0.0, edge - produced)

    def _next_edge(self, tokens: float) -> float:
        i = bisect.bisect_right(buckets.EDGES, tokens)
        return buckets.EDGES[i] if i < len(buckets.EDGES) else math.inf
