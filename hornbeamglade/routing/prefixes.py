"""Index of the prompt blocks in a replica's prefix cache.

Explanation
===========

The hash of a block covers all blocks before it, so equal hashes mean equal
prompts up to the end of the block, and one lookup per block finds the longest
cached prefix. Hashes have 53 bits, so any JSON parser preserves them. The
probability of a collision among a million blocks is about 6e-5; a collision
causes a wrong estimate of the prefill time, never a wrong answer.
"""

import collections
import collections.abc
import dataclasses
import enum
import hashlib

BLOCK_CHARS = 64
CHARS_PER_TOKEN = 4
_DIGEST_BYTES = 8
_DISCARDED_BITS = 11


def prefix_hashes(text: str, block: int = BLOCK_CHARS) -> tuple[int, ...]:
    """Return the chained hashes of the full leading blocks of a prompt.

    They are the same in every process, unlike the built-in ``hash``. An incomplete
    last block is omitted, as engines cache full blocks only.

    :param block: characters per block.

    Examples
    ========

    >>> long, short = prefix_hashes("a" * 128 + "b"), prefix_hashes("a" * 64)
    >>> len(long), long[:1] == short, long[0] != long[1]
    (2, True, True)
    """
    hashes: list[int] = []
    parent = b""
    for start in range(0, len(text) - block + 1, block):
        block_bytes = text[start : start + block].encode("utf-8", "surrogatepass")
        parent = hashlib.blake2b(parent + block_bytes, digest_size=_DIGEST_BYTES).digest()
        hashes.append(int.from_bytes(parent, "big") >> _DISCARDED_BITS)
    return tuple(hashes)


class CacheEventKind(enum.Enum):
    """Kind of a change in an engine's prefix cache."""

    STORED = "stored"
    EVICTED = "evicted"
    CLEARED = "cleared"


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """One event of an engine's prefix cache.

    :param sequence: sequence number; increases by one with each event of the engine.
    :param kind: kind of the change.
    :param block: hash of the block; meaningless for ``CLEARED``.
    """

    sequence: int
    kind: CacheEventKind
    block: int


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedBlock:
    epoch: int
    expires_at: float | None


class PrefixIndex:
    """Estimated contents of one replica's prefix cache.

    Explanation
    ===========

    Events can be lost, and a lost event may have been an eviction. Without expiry, a
    team's requests would still be sent to a replica that has evicted their prefix, and
    their first tokens would be late. Each gap in the sequence numbers starts a new
    epoch; blocks of earlier epochs expire after ``unconfirmed_ttl_s`` unless they are
    stored again.

    :param max_blocks: largest number of blocks kept; the least recently stored are
        dropped first.
    :param unconfirmed_ttl_s: seconds for which unconfirmed blocks count as cached.

    Examples
    ========

    >>> index = PrefixIndex(max_blocks=100, unconfirmed_ttl_s=5.0)
    >>> index.apply([CacheEvent(1, CacheEventKind.STORED, 11)], now=0.0)
    >>> index.cached_blocks((11, 12), now=0.0)
    1
    >>> index.apply([CacheEvent(3, CacheEventKind.STORED, 12)], now=1.0)
    >>> index.cached_blocks((11, 12), now=2.0), index.cached_blocks((11, 12), now=7.0)
    (2, 0)
    """

    def __init__(self, max_blocks: int = 8192, unconfirmed_ttl_s: float = 30.0) -> None:
        self._max_blocks = max_blocks
        self._unconfirmed_ttl_s = unconfirmed_ttl_s
        self._cached_by_hash: collections.OrderedDict[int, _CachedBlock] = (
            collections.OrderedDict()
        )
        self._epoch = 0
        self._gap_times: collections.deque[float] = collections.deque()
        self._sequence: int | None = None

    def __len__(self) -> int:
        return len(self._cached_by_hash)

    @property
    def sequence(self) -> int:
        """Return the sequence number after which to request events; 0 at first."""
        return self._sequence or 0

    def apply(self, events: collections.abc.Iterable[CacheEvent], now: float) -> None:
        """Apply events in the engine's order; events that were already applied are skipped."""
        for event in events:
            if self._sequence is not None and event.sequence <= self._sequence:
                continue
            if self._sequence is not None and event.sequence > self._sequence + 1:
                self._start_epoch(now)
            self._sequence = event.sequence
            self._apply_one(event)

    def reset(self) -> None:
        """Clear the index after a restart of the engine, which resets its sequence numbers."""
        self._cached_by_hash.clear()
        self._sequence = None

    def expect(self, prefix: collections.abc.Iterable[int], now: float) -> None:
        """Count blocks as cached temporarily, since a prompt with them was just sent."""
        for block in prefix:
            if block not in self._cached_by_hash:
                self._store(block, _CachedBlock(self._epoch, now + self._unconfirmed_ttl_s))

    def cached_blocks(self, prefix: collections.abc.Sequence[int], now: float) -> int:
        """Return the number of leading blocks of ``prefix`` that are probably cached."""
        self._expire_epochs(now)
        oldest_epoch = self._epoch - len(self._gap_times)
        for count, block in enumerate(prefix):
            entry = self._cached_by_hash.get(block)
            if entry is None or entry.epoch < oldest_epoch:
                return count
            if entry.expires_at is not None and entry.expires_at <= now:
                return count
        return len(prefix)

    def cached_tokens(self, prefix: collections.abc.Sequence[int], now: float) -> int:
        """Return the number of tokens in the cached leading blocks, estimated from characters."""
        return self.cached_blocks(prefix, now) * BLOCK_CHARS // CHARS_PER_TOKEN

    def _apply_one(self, event: CacheEvent) -> None:
        if event.kind is CacheEventKind.CLEARED:
            self._cached_by_hash.clear()
        elif event.kind is CacheEventKind.EVICTED:
            self._cached_by_hash.pop(event.block, None)
        else:
            self._store(event.block, _CachedBlock(self._epoch, None))

    def _store(self, block: int, entry: _CachedBlock) -> None:
        self._cached_by_hash[block] = entry
        self._cached_by_hash.move_to_end(block)
        if len(self._cached_by_hash) > self._max_blocks:
            self._cached_by_hash.popitem(last=False)

    def _start_epoch(self, now: float) -> None:
        self._epoch += 1
        self._gap_times.append(now)
        self._expire_epochs(now)

    def _expire_epochs(self, now: float) -> None:
        while self._gap_times and self._gap_times[0] + self._unconfirmed_ttl_s <= now:
            self._gap_times.popleft()
