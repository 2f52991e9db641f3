"""Checks the protocol specifications under ``spec/`` with the Storm model checker."""

from hornbeamglade.modelcheck.exploration import StateSpace, Transition, explore
from hornbeamglade.modelcheck.programtext import Specification, load, specification_paths
from hornbeamglade.modelcheck.traces import Trace, shortest_trace
from hornbeamglade.modelcheck.verification import GuardResult, Run, Verdict, verify

__all__ = [
    "GuardResult",
    "Run",
    "Specification",
    "StateSpace",
    "Trace",
    "Transition",
    "Verdict",
    "explore",
    "load",
    "shortest_trace",
    "specification_paths",
    "verify",
]
