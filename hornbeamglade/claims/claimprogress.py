"""Tracks which claims of this process may still dispatch."""

import enum
import threading

from hornbeamglade.claims import claimvalues
from hornbeamglade.core import clocks


class _Progress(enum.Enum):
    READY = enum.auto()
    DISPATCHED = enum.auto()


class OpenClaims:
    """The claims that were granted and have not ended; thread-safe.

    :param clock: its monotonic time limits the dispatch.
    :param dispatch_within_s: seconds from a claim's start in which it may dispatch.
    """

    def __init__(self, clock: clocks.Clock, dispatch_within_s: float) -> None:
        self._clock = clock
        self._dispatch_within_s = dispatch_within_s
        self._lock = threading.Lock()
        self._progress_by_attempt: dict[str, _Progress] = {}

    def open(self, claim: claimvalues.Claim) -> None:
        """Record that the claim was granted."""
        with self._lock:
            self._progress_by_attempt[claim.attempt] = _Progress.READY

    def close(self, claim: claimvalues.Claim) -> bool:
        """Record that the claim has ended; return whether it was open."""
        with self._lock:
            return self._progress_by_attempt.pop(claim.attempt, None) is not None

    def in_time(self, started_at: float) -> bool:
        """Return whether an attempt with this start time may still dispatch.

        A node that was paused for longer must not: its caller has given up, and after the
        retention period the key may belong to another attempt.
        """
        return self._clock.now() - started_at <= self._dispatch_within_s

    def dispatch(self, claim: claimvalues.Claim) -> bool:
        """Record the dispatch if it is allowed; return whether it is."""
        with self._lock:
            if self._progress_by_attempt.get(claim.attempt) is not _Progress.READY:
                return False
            if not self.in_time(claim.started_at):
                return False
            self._progress_by_attempt[claim.attempt] = _Progress.DISPATCHED
            return True

    def note_not_run(self, claim: claimvalues.Claim) -> None:
        """Record that the backend server refused the dispatch as not run."""
        with self._lock:
            if claim.attempt in self._progress_by_attempt:
                self._progress_by_attempt[claim.attempt] = _Progress.READY
