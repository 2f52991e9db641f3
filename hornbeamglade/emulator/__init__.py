"""A model of a continuous-batching engine in virtual time, for benches and stand-ins."""

from hornbeamglade.emulator.enginemodel import (
    EngineModel,
    ModelLoad,
    Sequence,
    StepCosts,
    StepResult,
)
from hornbeamglade.emulator.machineslowdowns import Machine, Slowdowns
from hornbeamglade.emulator.prefixcache import BlockPool, CacheEvent

__all__ = [
    "BlockPool",
    "CacheEvent",
    "EngineModel",
    "Machine",
    "ModelLoad",
    "Sequence",
    "Slowdowns",
    "StepCosts",
    "StepResult",
]
