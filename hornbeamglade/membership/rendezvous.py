"""Rendezvous hashing, by which all nodes make the same choice without communication.

References
==========

.. [1] D. Thaler, C. Ravishankar: Using Name-Based Mappings to Increase Hit Rates,
   IEEE/ACM Transactions on Networking 6(1), 1998.
.. [2] C. Schindelhauer, G. Schomaker: Weighted Distributed Hash Tables, SPAA 2005.
.. [3] G. Steele, D. Lea, C. Flood: Fast Splittable Pseudorandom Number Generators,
   OOPSLA 2014 (the mixing function).
"""

import collections.abc
import functools
import heapq
import math

from hornbeamglade.exchange import messages

_MASK = 2**64 - 1
_CACHED_NAMES = 16_384


def score(key: str, node: str, weight: float = 1.0) -> float:
    """Return the score of ``node`` for ``key``; the node with the highest score wins [1]_.

    Explanation
    ===========

    The share of keys that a node wins is proportional to its weight [2]_. When a node is
    added or removed, only the keys that it wins or held are reassigned.

    :param key: the name of a replica or team.
    :param node: the node's name.
    :param weight: positive.

    Examples
    ========

    >>> nodes = ("a", "b", "c")
    >>> best = max(nodes, key=lambda node: score("engine-1", node))
    >>> rest = [node for node in nodes if node != best]
    >>> best == max((best, rest[0]), key=lambda node: score("engine-1", node))
    True
    """
    mixed = _mix(_name_hash(key) ^ _mix(_name_hash(node)))
    fraction = (mixed + 1) / (_MASK + 2)
    # For the largest hashes the fraction rounds to 1, whose logarithm of 0 would cause a
    # division by zero.
    return -weight / min(math.log(fraction), -1e-17)


def best(key: str, nodes: collections.abc.Iterable[str], count: int) -> list[str]:
    """Return the ``count`` nodes with the highest scores for ``key``, highest first.

    Examples
    ========

    >>> best("team-1", ["a", "b", "c"], 2) == best("team-1", ["c", "b", "a"], 2)
    True
    """
    return heapq.nlargest(count, nodes, key=lambda node: (score(key, node), node))


@functools.lru_cache(maxsize=_CACHED_NAMES)
def _name_hash(name: str) -> int:
    return messages.key_hash(name)


def _mix(number: int) -> int:
    number = (number ^ number >> 30) * 0xBF58476D1CE4E5B9 & _MASK
    number = (number ^ number >> 27) * 0x94D049BB133111EB & _MASK
    return number ^ number >> 31
