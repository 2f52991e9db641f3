"""Clocks, passed to all components so that tests and benchmarks can control time."""

import abc
import time


class Clock(abc.ABC):
    """A source of monotonic and wall-clock seconds."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return monotonic seconds; only differences are meaningful."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return seconds since the Unix epoch, for records read by people."""

    @abc.abstractmethod
    def sleep(self, seconds: float) -> None:
        """Let ``seconds`` pass."""


class SystemClock(Clock):
    """The clock of the operating system.

    Explanation
    ===========

    ``now`` reads ``CLOCK_BOOTTIME``: unlike ``CLOCK_MONOTONIC`` it advances while
    the instance is suspended, so a holder that was suspended beyond the end of its lease
    detects that the lease has expired.
    """

    def now(self) -> float:
        """Return seconds since boot, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Block the calling thread for ``seconds``."""
        time.sleep(seconds)


class ManualClock(Clock):
    """A clock that advances only when requested.

    Examples
    ========

    >>> clock = ManualClock(10.0)
    >>> clock.advance(2.5)
    >>> clock.now()
    12.5
    """

    def __init__(self, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the seconds set by the test."""
        return self._now

    def wall(self) -> float:
        """Return the same seconds as ``now``."""
        return self._now

    def sleep(self, seconds: float) -> None:
        """Advance by ``seconds`` without blocking."""
        self.advance(seconds)

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: the time to advance by; not negative.
        :raises ValueError: if ``seconds`` is negative.
        """
        if seconds < 0:
            raise ValueError(f"cannot advance a clock by a negative time: {seconds} s")
        self._now += seconds
