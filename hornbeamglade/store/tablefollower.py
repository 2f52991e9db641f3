"""Follows the changes of one table of the store, on its own thread."""

import collections.abc
import math
import random
import threading

from hornbeamglade.core import clocks
from hornbeamglade.store import contract, positions

LONG_POLL_S = 2.0
"""How long the store holds a long poll. An open connection may go silent without being closed;
a shorter wait detects that sooner but costs more calls."""

RETRY_S = 0.25
"""Pause after a failed call. Changes must be in force within two seconds of the store's
recovery, and each call has a cost, even if it is refused."""

COALESCE_S = 0.05
"""Pause after a change. Hundreds of replicas that start and stop change a table hundreds of times
per second; polling at once after each change, 45 followers would exceed the capacity of the
store. Changes must be in force within two seconds."""

REREAD_DELAY_S = 4.0
"""Delay of the second snapshot after the store was restored from an older copy. By then the
writers have repeated the lost writes."""

Outcome = contract.Snapshot | contract.Changes | contract.Unavailable


class TableFollower:
    """Reads a snapshot of a table, and then its changes, for as long as it runs.

    Explanation
    ===========

    If the store no longer keeps the history, or the era has changed, the table is read anew.
    The receiver gets every outcome, failures included, so that it can judge how old its
    state is.

    :param feed: the store.
    :param table: the table's name.
    :param on_outcome: called on the follower's thread with each outcome.
    :param clock: used for pauses.
    :param rng: randomizes the pauses to spread the calls of many nodes.
    :param retry_s: returns the pause after a failed call.
    """

    def __init__(
        self,
        feed: contract.Feed,
        table: str,
        on_outcome: collections.abc.Callable[[Outcome], None],
        clock: clocks.Clock,
        rng: random.Random,
        retry_s: collections.abc.Callable[[], float] = lambda: RETRY_S,
    ) -> None:
        self._feed = feed
        self._table = table
        self._on_outcome = on_outcome
        self._clock = clock
        self._rng = rng
        self._retry_s = retry_s
        self._stopping = threading.Event()
        self._active = threading.Event()
        self._version: int | None = None
        self._era: int | None = None
        self._read_again_at = math.inf
        self._thread = threading.Thread(target=self._run, name=f"follow-{table}", daemon=True)

    def start(self) -> None:
        """Start or resume following."""
        self._active.set()
        if not self._thread.is_alive():
            self._thread.start()

    def pause(self) -> None:
        """Make no further calls after the current one, until the next start."""
        self._active.clear()

    def stop(self) -> None:
        """Make the thread end after the current call."""
        self._stopping.set()
        self._active.set()

    def _track_era(self, era: int) -> None:
        if self._era is not None and era > self._era:
            self._read_again_at = self._clock.now() + REREAD_DELAY_S
        self._era = era

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._active.wait()
            if not self._stopping.is_set() and not self.step():
                self._stopping.wait(self._retry_s() * (0.75 + 0.5 * self._rng.random()))

    def step(self) -> bool:
        """Make one call; return whether it succeeded."""
        if self._clock.now() >= self._read_again_at:
            self._version, self._read_again_at = None, math.inf
        if self._version is None:
            outcome = self._feed.snapshot(self._table)
        else:
            outcome = self._feed.changes(self._table, self._version, LONG_POLL_S)
        if isinstance(outcome, contract.HistoryLost):
            self._version = None
            return True
        self._on_outcome(outcome)
        if isinstance(outcome, contract.Unavailable):
            return False
        self._version = max(outcome.version, self._version or 0)
        self._track_era(positions.era(self._version))
        if isinstance(outcome, contract.Changes) and (
            outcome.written_rows or outcome.deleted_keys
        ):
            self._clock.sleep(COALESCE_S)
        return True
