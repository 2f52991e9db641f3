"""A life table of possibly censored answer lengths with exponential decay.

Explanation
===========

A cancelled answer only shows that its length is at least the number of tokens that it
had produced. Leaving such answers out would bias the lengths downwards, as long answers
are cancelled more often, and so would counting them as complete. The actuarial estimator
counts them as at risk until they were cancelled [1]_. The heavy tail needs no parametric
curve here: a bucket that few answers have reached takes its hazard from a parent (see
:mod:`hornbeamglade.lengths.lengthmodel`).

Older answers count less: each new answer has ``2**(1/half_life)`` times the weight of the
previous one, so that an observation costs O(1).

References
==========

.. [1] Cutler and Ederer, "Maximum utilization of the life table method in
       analyzing survival", Journal of Chronic Diseases 8 (1958).
"""

import array

from hornbeamglade.lengths import buckets

_RESCALE_AT = 1e12


class LifeTable:
    """Weights of complete and censored answers by bucket.

    :param half_life: number of newer answers after which an answer counts half.

    Examples
    ========

    >>> table = LifeTable(half_life=1000)
    >>> for _ in range(10):
    ...     table.observe(4)
    >>> round(table.weight())
    10
    >>> table.hazards((0.5,) * buckets.COUNT, 0.0)[0]
    1.0
    """

    def __init__(self, half_life: float) -> None:
        self.observations = 0
        self._growth_factor = 2 ** (1 / half_life)
        self._newest_weight = 1.0
        self._complete = array.array("d", bytes(8 * buckets.COUNT))
        self._censored = array.array("d", bytes(8 * buckets.COUNT))

    def observe(self, tokens: int, censored: bool = False) -> None:
        """Count one answer.

        :param tokens: tokens produced.
        :param censored: whether the answer was cut off rather than ended by the model.
        """
        self.observations += 1
        self._newest_weight *= self._growth_factor
        counts = self._censored if censored else self._complete
        counts[buckets.index(tokens)] += self._newest_weight
        if self._newest_weight > _RESCALE_AT:
            self._rescale()

    def weight(self) -> float:
        """Return the effective number of answers in the table."""
        return (sum(self._complete) + sum(self._censored)) / self._newest_weight

    def reached(self, tokens: float) -> float:
        """Return the effective number of answers that reached the bucket of ``tokens``."""
        start = buckets.index(tokens)
        return (sum(self._complete[start:]) + sum(self._censored[start:])) / self._newest_weight

    def hazards(self, parent: tuple[float, ...], parent_weight: float) -> tuple[float, ...]:
        """Return for each bucket the probability that an answer that reaches it ends there.

        :param parent: fallback hazards for buckets that few answers have reached.
        :param parent_weight: number of answers that the parent's hazards count as.
        """
        hazards = [0.0] * buckets.COUNT
        beyond = 0.0
        for i in range(buckets.COUNT - 1, -1, -1):
            ended = self._complete[i] / self._newest_weight
            censored = self._censored[i] / self._newest_weight
            at_risk = beyond + ended + censored / 2
            total = at_risk + parent_weight
            weighted = ended + parent_weight * parent[i]
            hazards[i] = weighted / total if total > 0 else parent[i]
            beyond += ended + censored
        return tuple(hazards)

    def _rescale(self) -> None:
        for counts in (self._complete, self._censored):
            for i in range(buckets.COUNT):
                counts[i] /= self._newest_weight
        self._newest_weight = 1.0
