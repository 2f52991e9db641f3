"""Buckets of answer lengths: linear at first, then geometric.

Explanation
===========

The relative width of a bucket limits the relative error of a length, as in an HDR
histogram. A ratio of 2**(1/4) keeps the error below a fifth with about sixty buckets
up to 131,072 tokens. A table of so few buckets is rebuilt in tens of microseconds.
"""

import bisect

_LINEAR_STEP = 8
_LINEAR_END = 32
_RATIO = 2 ** (1 / 4)
_OCTAVES = 12


def _edges() -> tuple[float, ...]:
    linear = [float(edge) for edge in range(0, _LINEAR_END, _LINEAR_STEP)]
    geometric = [_LINEAR_END * _RATIO**k for k in range(4 * _OCTAVES + 1)]
    return tuple(linear + geometric)


#: Lower edges of the buckets, in tokens; the last is the upper edge of the last bucket.
EDGES = _edges()
#: Number of buckets.
COUNT = len(EDGES) - 1
#: The upper edge of the last bucket, in tokens.
LAST_EDGE = EDGES[-1]


def index(tokens: float) -> int:
    """Return the index of the bucket of a length; lengths beyond the end are in the last one.

    :param tokens: a nonnegative length in tokens.

    Examples
    ========

    >>> index(0), index(7), index(8)
    (0, 0, 1)
    >>> index(10**9) == COUNT - 1
    True
    """
    return min(bisect.bisect_right(EDGES, tokens) - 1, COUNT - 1)
