"""Requests that were lately run to their end, which proves that they crash nothing."""

import collections

LIFE_S = 60.0
MOST = 4096


class Completions:
    """Fingerprints of requests that ended well, bounded; not thread-safe.

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
        """Note that a request was run to its end."""
        self._at_by_fingerprint[fingerprint] = now
        self._at_by_fingerprint.move_to_end(fingerprint)
        if len(self._at_by_fingerprint) > MOST:
            self._at_by_fingerprint.popitem(last=False)

    def has(self, fingerprint: int, now: float) -> bool:
        """Tell whether a request was run to its end within :data:`LIFE_S`."""
        at = self._at_by_fingerprint.get(fingerprint)
        return at is not None and now - at < LIFE_S
