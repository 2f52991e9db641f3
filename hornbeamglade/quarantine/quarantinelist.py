"""The requests that are not run any more, as one node knows them."""

import collections
import dataclasses

LASTS_S = 3600.0
"""Time for which a request is refused. After it the servers may run another version, on which
the request does no harm."""

MOST = 4096
ENDING_S = 2.0
"""An entry of another node that ends so soon is not taken: it may have ended here already."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A request that is not run any more.

    :param fingerprint: of the request.
    :param ends_at: monotonic seconds.
    """

    fingerprint: int
    ends_at: float


class QuarantineList:
    """Requests in quarantine, bounded; the oldest goes first. Not thread-safe.

    Examples
    ========

    >>> held = QuarantineList()
    >>> held.add(Entry(7, ends_at=100.0), now=0.0), held.add(Entry(7, ends_at=200.0), now=0.0)
    (True, False)
    >>> held.left_s(7, now=60.0), held.left_s(8, now=60.0)
    (40.0, 0.0)
    """

    def __init__(self) -> None:
        self._ends_at_by_fingerprint: collections.OrderedDict[int, float]
        self._ends_at_by_fingerprint = collections.OrderedDict()
        self._digest = 0
        self._cursor = 0

    def add(self, entry: Entry, now: float) -> bool:
        """Take an entry; return whether it is new. The end of a known one stays as it is."""
        is_known = entry.fingerprint in self._ends_at_by_fingerprint
        if is_known or entry.ends_at - now < ENDING_S:
            return False
        self._ends_at_by_fingerprint[entry.fingerprint] = entry.ends_at
        self._digest ^= entry.fingerprint
        if len(self._ends_at_by_fingerprint) > MOST:
            self._remove(next(iter(self._ends_at_by_fingerprint)))
        return True

    def left_s(self, fingerprint: int, now: float) -> float:
        """Return for how long a request is still refused; 0 for one that is not."""
        ends_at = self._ends_at_by_fingerprint.get(fingerprint)
        return 0.0 if ends_at is None else max(0.0, ends_at - now)

    def forget_ended(self, now: float) -> tuple[int, ...]:
        """Forget the entries that have ended; return their fingerprints."""
        ended = tuple(
            fingerprint
            for fingerprint, ends_at in self._ends_at_by_fingerprint.items()
            if ends_at <= now
        )
        for fingerprint in ended:
            self._remove(fingerprint)
        return ended

    def page(self, size: int) -> tuple[Entry, ...]:
        """Return some entries; one call after the other goes through all of them."""
        entries = self.entries()
        if len(entries) <= size:
            return entries
        begin = self._cursor % len(entries)
        self._cursor = begin + size
        return (entries + entries)[begin : begin + size]

    def entries(self) -> tuple[Entry, ...]:
        """Return all entries, the oldest first."""
        return tuple(Entry(*item) for item in self._ends_at_by_fingerprint.items())

    @property
    def digest(self) -> int:
        """Equal at nodes that have the same entries; 0 without any."""
        return self._digest

    def __len__(self) -> int:
        """Return how many requests are in quarantine."""
        return len(self._ends_at_by_fingerprint)

    def _remove(self, fingerprint: int) -> None:
        del self._ends_at_by_fingerprint[fingerprint]
        self._digest ^= fingerprint
