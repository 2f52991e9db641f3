"""Requests that were completed recently, which shows that they do not crash replicas."""

import collections

RETENTION_S = 60.0
MAX_ENTRIES = 4096


class Completions:
    """A bounded set of fingerprints of completed requests; not thread-safe.

    Examples
    ========

    >>> completions = Completions()
    >>> completions.add(7, now=0.0)
    >>> completions.has(7, now=30.0), completions.has(7, now=90.0), completions.has(8, now=30.0)
    (True, False, False)
    """

    def __init__(self) -> None:
        self._at_by_fingerprint: collections.OrderedDict[int, float] = collections.OrderedDict()

    def add(self, fingerprint: int, now: float) -> None:
        """Record that a request was completed."""
        self._at_by_fingerprint[fingerprint] = now
        self._at_by_fingerprint.move_to_end(fingerprint)
        if len(self._at_by_fingerprint) > MAX_ENTRIES:
            self._at_by_fingerprint.popitem(last=False)

    def has(self, fingerprint: int, now: float) -> bool:
        """Return whether a request was completed within the last :data:`RETENTION_S`."""
        at = self._at_by_fingerprint.get(fingerprint)
        return at is not None and now - at < RETENTION_S
