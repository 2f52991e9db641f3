"""Availability of listed replicas without limits, waits or slow starts of their own."""

import random

from hornbeamglade.core import clocks
from hornbeamglade.replicas import availability, backoffs, ratelimits, refusals, slowstart


def make(replica_list):
    """Return the availability of a list's replicas, in the domains ``a`` and ``b``."""
    return availability.Availability(
        replica_list,
        slowstart.SlowStarts(random.Random(1)),
        ratelimits.RateLimits(clocks.ManualClock()),
        backoffs.Backoffs(clocks.ManualClock(), random.Random(1)),
        refusals.RefusalGuards(clocks.ManualClock(), random.Random(1)),
        slowstart.Bound(),
        {"a": "r", "b": "s"},
    )
