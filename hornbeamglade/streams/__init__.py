"""One generation's way to its caller: each token once, in order, from one generation."""

from hornbeamglade.streams.generationstream import (
    GenerationStream,
    Phase,
    RecoveryAction,
)

__all__ = ["RecoveryAction", "GenerationStream", "Phase"]
