"""Positions in a store that may be restored from an older copy.

Explanation
===========

After a restore, the store's versions go back and are reused, and its era increases by one. A
position combines both in one number with the era in the upper bits, so positions compare by
era first and then by version.

Examples
========

>>> before, after = position(0, 812), position(1, 640)
>>> before < after
True
>>> era(after), version(after)
(1, 640)
"""

VERSION_BITS = 40
MAX_ERA = 2**20

_MAX_VERSION = 2**VERSION_BITS - 1


def position(era_number: int, version_number: int) -> int:
    """Return the position of a version within an era."""
    return era_number << VERSION_BITS | min(version_number, _MAX_VERSION)


def era(encoded: int) -> int:
    """Return the era of a position."""
    return encoded >> VERSION_BITS


def version(encoded: int) -> int:
    """Return the version of a position, as counted by the store."""
    return encoded & _MAX_VERSION
