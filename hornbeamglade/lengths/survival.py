"""The probability that an answer goes on, and what follows from it for growth."""

import bisect
import dataclasses
import math

from hornbeamglade.lengths import buckets

_TAIL_EXPONENT = 1.5
_TINY = 1e-300


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """What is still to come of an answer.

    :param mean: expected remaining tokens.
    :param variance: variance of the remaining tokens.
    :param confidence: effective number of answers that were seen to get this far
        for the service and team; 0 means that the prior alone speaks.
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
    """Survival at the bucket edges; linear between them, a Pareto tail after the last.

    :param hazards: for each bucket the probability to end in it, once reached.

    Examples
    ========

    >>> table = SurvivalTable((0.5,) * buckets.COUNT)
    >>> table.survival(0), table.survival(8), table.survival(16)
    (1.0, 0.5, 0.25)
    >>> table.ratio(8, 8)
    0.5
    """

    def __init__(self, hazards: tuple[float, ...]) -> None:
        survival = [1.0]
        for hazard in hazards:
            survival.append(max(_TINY, survival[-1] * (1.0 - hazard)))
        self._survival = tuple(survival)

    def survival(self, tokens: float) -> float:
        """Return the probability that a whole answer is longer than ``tokens``."""
        if tokens >= buckets.LAST_EDGE:
            return self._survival[-1] * (buckets.LAST_EDGE / tokens) ** _TAIL_EXPONENT
        i = bisect.bisect_right(buckets.EDGES, tokens) - 1
        low = buckets.EDGES[i]
        share = (tokens - low) / (buckets.EDGES[i + 1] - low)
        start = self._survival[i]
        return start + share * (self._survival[i + 1] - start)

    def ratio(self, produced: float, horizon: float) -> float:
        """Return the probability that an answer outlasts ``horizon`` more tokens.

        :param produced: tokens produced so far.
        :param horizon: tokens from now.
        """
        return self.survival(produced + horizon) / self.survival(produced)

    def growth(self, produced: float, horizon: float) -> Growth:
        """Return mean and variance of min(remaining, horizon).

        Explanation
        ===========

        The first two moments are the integrals of S and of 2 t S, where S is the
        survival given ``produced``; both are exact for a piecewise linear S.
        """
        present = self.survival(produced)
        first = second = passed = 0.0
        start = 1.0
        while passed < horizon:
            end = min(self._next_edge(produced + passed) - produced, horizon)
            width = end - passed
            stop = self.survival(produced + end) / present
            area = width * (start + stop) / 2
            first += area
            second += 2 * passed * area + width * width * (start + 2 * stop) / 3
            passed, start = end, stop
        return Growth(first, max(0.0, second - first * first), start)

    def quantile(self, produced: float, probability: float) -> float:
        """Return the remaining tokens that are not exceeded with ``probability``."""
        wanted = self.survival(produced) * (1.0 - probability)
        if wanted <= self._survival[-1]:
            return max(0.0, buckets.LAST_EDGE - produced)
        i = bisect.bisect_left(self._survival, -wanted, key=lambda value: -value)
        high, low = self._survival[i - 1], self._survival[i]
        share = (high - wanted) / (high - low) if high > low else 0.0
        edge = buckets.EDGES[i - 1] + share * (buckets.EDGES[i] - buckets.EDGES[i - 1])
        return max(0.0, edge - produced)

    def _next_edge(self, tokens: float) -> float:
        i = bisect.bisect_right(buckets.EDGES, tokens)
        return buckets.EDGES[i] if i < len(buckets.EDGES) else math.inf
