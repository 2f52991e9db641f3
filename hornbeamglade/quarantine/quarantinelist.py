"""The requests in quarantine, as known to one node."""

import collections
import dataclasses

DURATION_S = 3600.0
"""The time for which a request is refused. After it the servers may run another version, which the
request does not crash."""

MAX_ENTRIES = 4096
MIN_REMAINING_S = 2.0
"""The minimum remaining time of an entry from another node: a shorter one is not added, since it
may have ended here already."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A request in quarantine.

    :param fingerprint: the fingerprint of the request.
    :param ends_at: monotonic seconds until which the request is refused.
    :param is_part: whether it is a part of prompts, whose refusal has the fingerprint as its key.
    """

    fingerprint: int
    ends_at: float
    is_part: bool = False


class QuarantineList:
    """A bounded list of requests in quarantine, which drops the oldest first; not thread-safe.

    Examples
    ========

    >>> entries = QuarantineList()
    >>> entries.add(Entry(7, ends_at=100.0), now=0.0)
    True
    >>> entries.add(Entry(7, ends_at=200.0), now=0.0)
    False
    >>> entries.remaining_s(7, now=60.0), entries.remaining_s(8, now=60.0)
    (40.0, 0.0)
    """

    def __init__(self) -> None:
        self._entry_by_fingerprint: collections.OrderedDict[int, Entry]
        self._entry_by_fingerprint = collections.OrderedDict()
        self._digest = 0
        self._cursor = 0

    def add(self, entry: Entry, now: float) -> bool:
        """Add an entry; return whether it is new. The end of a known one is not changed."""
        is_known = entry.fingerprint in self._entry_by_fingerprint
        if is_known or entry.ends_at - now < MIN_REMAINING_S:
            return False
        self._entry_by_fingerprint[entry.fingerprint] = entry
        self._digest ^= entry.fingerprint
        if len(self._entry_by_fingerprint) > MAX_ENTRIES:
            self._remove(next(iter(self._entry_by_fingerprint)))
        return True

    def remaining_s(self, fingerprint: int, now: float) -> float:
        """Return the seconds for which a request is still refused; 0 if it is not refused."""
        entry = self._entry_by_fingerprint.get(fingerprint)
        return 0.0 if entry is None else max(0.0, entry.ends_at - now)

    def get(self, fingerprint: int) -> Entry | None:
        """Return the entry of a request, or None."""
        return self._entry_by_fingerprint.get(fingerprint)

    def forget_ended(self, now: float) -> tuple[Entry, ...]:
        """Remove and return the entries that have ended."""
        ended = tuple(each for each in self._entry_by_fingerprint.values() if each.ends_at <= now)
        for entry in ended:
            self._remove(entry.fingerprint)
        return ended

    def page(self, size: int) -> tuple[Entry, ...]:
        """Return the next ``size`` entries; successive calls cycle through all of them."""
        entries = self.entries()
        if len(entries) <= size:
            return entries
        begin = self._cursor % len(entries)
        self._cursor = begin + size
        return (entries + entries)[begin : begin + size]

    def entries(self) -> tuple[Entry, ...]:
        """Return all entries, oldest first."""
        return tuple(self._entry_by_fingerprint.values())

    @property
    def digest(self) -> int:
        """A digest that is equal for nodes with the same entries; 0 without entries."""
        return self._digest

    def __len__(self) -> int:
        """Return how many requests are in quarantine."""
        return len(self._entry_by_fingerprint)

    def _remove(self, fingerprint: int) -> None:
        del self._entry_by_fingerprint[fingerprint]
        self._digest ^= fingerprint
