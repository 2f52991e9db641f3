"""The memory of a modelled engine: blocks in use, and a prefix cache in the others."""

import collections
import dataclasses

_MAX_EVENTS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of the prefix cache.

    :param sequence: number of the event, from 1, increasing by one.
    :param kind: ``stored`` or ``evicted``.
    :param block: the hash of the prompt block.
    """

    sequence: int
    kind: str
    block: int


class BlockPool:
    """Allocates blocks and keeps hashed prompt blocks for reuse.

    Explanation
    ===========

    A block is in use by a sequence, cached, or empty. Hashed blocks in use are
    shared and reference-counted. A block without references stays cached until
    memory is needed; the least recently used block is evicted first.

    Examples
    ========

    >>> pool = BlockPool(2)
    >>> pool.allocate()
    True
    >>> pool.publish(7)
    True
    >>> pool.release((7,), 0)
    >>> pool.free, pool.cached_prefix((7, 8))
    (2, 1)

    :param capacity: total number of blocks.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._empty = capacity
        self._references_by_block: dict[int, int] = {}
        self._unreferenced: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._events: collections.deque[CacheEvent] = collections.deque(maxlen=_MAX_EVENTS)
        self._event_count = 0

    @property
    def free(self) -> int:
        """Number of blocks that can be allocated: empty ones and unreferenced cached ones."""
        return self._empty + len(self._unreferenced)

    @property
    def used(self) -> int:
        """Number of blocks in use by sequences."""
        return self.capacity - self.free

    def cached_prefix(self, hashes: tuple[int, ...]) -> int:
        """Return the number of leading hashes that are cached or in use."""
        count = 0
        for block in hashes:
            if block not in self._references_by_block and block not in self._unreferenced:
                break
            count += 1
        return count

    def blocks_to_reuse(self, hashes: tuple[int, ...]) -> int:
        """Return how many of the hashes are unreferenced, and thus counted by :attr:`free`."""
        return sum(1 for block in hashes if block in self._unreferenced)

    def add_references(self, hashes: tuple[int, ...]) -> None:
        """Add a reference to each of the hashes, all of which must be present."""
        for block in hashes:
            self._unreferenced.pop(block, None)
            self._references_by_block[block] = self._references_by_block.get(block, 0) + 1

    def allocate(self) -> bool:
        """Allocate one block, evicting a cached one if none is empty.

        :returns: False when every block is in use.
        """
        if self._empty:
            self._empty -= 1
            return True
        if not self._unreferenced:
            return False
        block, _ = self._unreferenced.popitem(last=False)
        self._record("evicted", block)
        return True

    def publish(self, block: int) -> bool:
        """Turn one allocated block into a shared one.

        :returns: False when another block with this hash is present already.
        """
        if block in self._references_by_block or block in self._unreferenced:
            return False
        self._references_by_block[block] = 1
        self._record("stored", block)
        return True

    def release(self, shared: tuple[int, ...], private_count: int) -> None:
        """Release a sequence's blocks; the innermost is the first to be evicted."""
        self._empty += private_count
        for block in reversed(shared):
            remaining = self._references_by_block[block] - 1
            if remaining:
                self._references_by_block[block] = remaining
                continue
            del self._references_by_block[block]
            self._unreferenced[block] = None

    def drain_events(self) -> tuple[CacheEvent, ...]:
        """Return the events since the last call; the oldest are dropped if there are too many."""
        events = tuple(self._events)
        self._events.clear()
        return events

    def _record(self, kind: str, block: int) -> None:
        self._event_count += 1
        self._events.append(CacheEvent(self._event_count, kind, block))
