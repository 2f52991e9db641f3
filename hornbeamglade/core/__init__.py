"""Types that all other subpackages use: clocks, coded errors, outcomes."""

from hornbeamglade.core.clocks import Clock, ManualClock, SystemClock
from hornbeamglade.core.codederrors import CodedError, InvariantError
from hornbeamglade.core.outcomes import Refusal, RunStatus, Work

__all__ = [
    "Clock",
    "CodedError",
    "InvariantError",
    "ManualClock",
    "Refusal",
    "RunStatus",
    "SystemClock",
    "Work",
]
