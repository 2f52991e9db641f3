"""Outcomes of acquiring and renewing a lease."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """The caller holds the lease; check ``may_act`` right before each action."""

    fencing: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeldElsewhere:
    """Another holder has, or may have, the lease.

    :param holder: the holder that wrote the row last.
    :param wait_s: seconds until the lease expires unless it is renewed.
    """

    holder: str
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseUnavailable:
    """The table was unavailable; a lease held so far stays held until its deadline."""

    reason: str


LeaseOutcome = Held | HeldElsewhere | LeaseUnavailable
