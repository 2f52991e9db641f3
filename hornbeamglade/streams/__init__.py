"""Delivery of a generation to its caller: each token once, in order, from one generation."""

from hornbeamglade.streams.generationstream import (
    AfterLoss,
    GenerationStream,
    Phase,
)

__all__ = ["AfterLoss", "GenerationStream", "Phase"]
