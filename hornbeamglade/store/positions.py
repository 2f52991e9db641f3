"""Positions in a store that may come back from an older copy.

Explanation
===========

Versions of such a store go back and are given out again; its era rises by one each time. A
position joins both in one number, the era in the upper bits, so positions compare as eras and
then versions do.

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
    """Return the position of a version in an era."""
    return era_number << VERSION_BITS | min(version_number, _MAX_VERSION)


def era(at: int) -> int:
    """Return the era of a position."""
    return at >> VERSION_BITS


def version(at: int) -> int:
    """Return the version of a position, as the store counts it."""
    return at & _MAX_VERSION
