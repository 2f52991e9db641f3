"""Serving of language-model generations of unknown length on crowded engines.

The package is a library of decisions (plain, synchronous, without I/O or a
clock of their own) with adapters at its edge and thin daemons above it.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
