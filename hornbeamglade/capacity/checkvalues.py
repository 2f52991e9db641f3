"""A bound as a value, and the chances that several bounds rest on."""

import dataclasses
import math

from hornbeamglade.capacity import targetsize
from hornbeamglade.membership import dissemination

MS = 1e3
KB = 1e3
MB = 1e6
TOKEN_MS = MS * targetsize.TOKEN_S

CLOSE = 0.2
"""A bound that holds by a smaller part of it may fail in another run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """One bound beside what the slopes give for it.

    :param what: what is bounded.
    :param value: what the slopes give.
    :param bound: the most that carries.
    :param unit: of both.
    :param mechanism: the module that has to carry it.
    :param remark: what a user sees, or what would mend it.
    """

    what: str
    value: float
    bound: float
    unit: str
    mechanism: str
    remark: str

    @property
    def carried(self) -> bool:
        """Whether the value is within the bound."""
        return self.value <= self.bound

    @property
    def verdict(self) -> str:
        """Say whether it is carried, and whether so closely that another run may differ."""
        if not self.carried:
            return "**not carried**"
        is_close = self.value > (1 - CLOSE) * self.bound
        return f"carried, by less than {CLOSE:.0%}" if is_close else "carried"


def heard_part(nodes: int, within_s: float) -> float:
    """Return the part of the other nodes that a node hears within some seconds.

    Explanation
    ===========

    Each heartbeat that is heard comes from one of the others at random, so this is
    the chance that a given one is among them.

    :param nodes: nodes of the site.
    :param within_s: seconds.

    Examples
    ========

    >>> heard_part(6, 5.0), round(heard_part(360, 5.0), 2)
    (1.0, 0.05)
    """
    if nodes <= dissemination.FULL_MESH_MAX_NODES:
        return 1.0
    heard = dissemination.heartbeats_per_second(nodes) * within_s
    return 1 - (1 - 1 / (nodes - 1)) ** heard


def fewer_than(least: int, tries: int, chance: float) -> float:
    """Return the chance of fewer than ``least`` hits in independent tries.

    Examples
    ========

    >>> fewer_than(1, 2, 0.5), fewer_than(2, 2, 1.0)
    (0.25, 0.0)
    """
    return sum(
        math.comb(tries, hits) * chance**hits * (1 - chance) ** (tries - hits)
        for hits in range(least)
    )
