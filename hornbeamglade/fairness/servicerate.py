"""The service rate of a queue, and the jitter of retry times."""

import hashlib

_SMOOTHING = 0.1
_MIN_SAMPLES = 5
_JITTER_BYTES = 4


def jitter(request_id: str) -> float:
    """Return a number in [0, 1) that depends on the request id alone.

    Explanation
    ===========

    Callers that are refused at the same time must not retry at the same time. A hash
    spreads them without a random source, so the answer to a request can be reproduced
    from its record.

    Examples
    ========

    >>> jitter("r-1") == jitter("r-1"), 0 <= jitter("r-2") < 1
    (True, True)
    """
    digest = hashlib.blake2b(request_id.encode(), digest_size=_JITTER_BYTES).digest()
    return int.from_bytes(digest, "big") / 2 ** (8 * _JITTER_BYTES)


class ServiceRate:
    """The mean interval between two starts while requests were queued.

    Explanation
    ===========

    Intervals without queued requests show the rate of arrivals, not the rate at which the
    queue is served. An interval therefore begins with a start or, if the queue was empty
    then, with the first new entry. Intervals are smoothed exponentially.

    Examples
    ========

    >>> rate = ServiceRate()
    >>> rate.queue_became_nonempty(0.0)
    >>> for second in range(1, 8):
    ...     rate.started(float(second))
    >>> rate.mean_interval_s
    1.0
    >>> rate.current_interval_s(now=20.0)
    13.0
    """

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._samples = 0
        self._interval_start = 0.0

    @property
    def mean_interval_s(self) -> float | None:
        """Return the smoothed seconds between starts, or None before enough samples."""
        return self._mean_s if self._samples >= _MIN_SAMPLES else None

    def current_interval_s(self, now: float) -> float | None:
        """Return the mean interval, or the interval in progress if it is already longer."""
        mean_s = self.mean_interval_s
        if mean_s is None:
            return None
        return max(mean_s, now - self._interval_start)

    def queue_became_nonempty(self, now: float) -> None:
        """Record that the empty queue got its first entry."""
        self._interval_start = now

    def started(self, now: float) -> None:
        """Record that a request left the queue to be run."""
        self._smooth(now - self._interval_start)
        self._interval_start = now

    def _smooth(self, interval_s: float) -> None:
        self._samples += 1
        weight = max(_SMOOTHING, 1.0 / self._samples)
        self._mean_s += weight * (interval_s - self._mean_s)
