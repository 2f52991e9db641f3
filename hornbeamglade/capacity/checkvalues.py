"""The result of a check and the probabilities that several checks use."""

import dataclasses
import math

from hornbeamglade.capacity import targetsize
from hornbeamglade.membership import dissemination

MS = 1e3
KB = 1e3
MB = 1e6
TOKEN_MS = MS * targetsize.TOKEN_S

CLOSE_MARGIN = 0.2
"""Margin, as a share of the bound, below which a bound may be missed in another run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """One bound and the value that follows from the slopes.

    :param description: the bounded quantity.
    :param value: value computed from the slopes.
    :param bound: the largest acceptable value.
    :param unit: unit of both.
    :param mechanism: the module that determines the value.
    :param remark: the effect for users, or a possible improvement.
    """

    description: str
    value: float
    bound: float
    unit: str
    mechanism: str
    remark: str

    @property
    def is_met(self) -> bool:
        """Whether the value is within the bound."""
        return self.value <= self.bound

    @property
    def verdict(self) -> str:
        """Verdict on the bound, with a note if another run could give a different one."""
        if not self.is_met:
            return "**not carried**"
        is_close = self.value > (1 - CLOSE_MARGIN) * self.bound
        return f"carried, by less than {CLOSE_MARGIN:.0%}" if is_close else "carried"


def heard_fraction(nodes: int, within_s: float) -> float:
    """Return the share of other nodes from which a node receives a heartbeat in time.

    Explanation
    ===========

    Each received heartbeat comes from a random other node, so this is the probability that
    at least one of them comes from a given node.

    :param nodes: number of nodes of the site.
    :param within_s: length of the period in seconds.

    Examples
    ========

    >>> heard_fraction(6, 5.0), round(heard_fraction(360, 5.0), 2)
    (1.0, 0.05)
    """
    if nodes <= dissemination.FULL_MESH_MAX_NODES:
        return 1.0
    received = dissemination.heartbeats_per_second(nodes) * within_s
    return 1 - (1 - 1 / (nodes - 1)) ** received


def probability_of_fewer_than(least: int, tries: int, chance: float) -> float:
    """Return the probability of fewer than ``least`` successes in independent trials.

    Examples
    ========

    >>> probability_of_fewer_than(1, 2, 0.5), probability_of_fewer_than(2, 2, 1.0)
    (0.25, 0.0)
    """
    return sum(
        math.comb(tries, hits) * chance**hits * (1 - chance) ** (tries - hits)
        for hits in range(least)
    )
