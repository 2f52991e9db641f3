"""Follows the changes of one table of the store, on a thread of its own."""

import collections.abc
import math
import random
import threading

from hornbeamglade.core import clocks
from hornbeamglade.store import contract, positions

WAIT_S = 2.0
"""How long the store holds a question for changes. An open connection may go silent
without an end; a shorter wait finds that sooner and costs a call each."""

RETRY_S = 0.25
"""Pause after a failed call. Changes must be in force within two seconds of the store's
return, and each call is paid for, a refused one too."""

GATHER_S = 0.05
"""Pause after a change. Hundreds of replicas that come and go change a table hundreds of times
a second; asked at once each time, 45 followers would pass what the store serves. Changes
count within two seconds."""

REWRITTEN_S = 4.0
"""A table that came back from an older copy is read once more after this: by then its writers have
written again what was lost."""

Told = contract.Snapshot | contract.Changes | contract.Unavailable


class TableFollower:
    """Reads a table once, and then its changes, for as long as it runs.

    Explanation
    ===========

    A history that the store no longer keeps, or that is of an era that is over, is answered by
    reading the table anew. The
    receiver gets every outcome, failures included: how old its knowledge is, is for it
    to judge.

    :param feed: the store.
    :param table: the table's name.
    :param told: called on the follower's thread with each outcome.
    :param clock: lets pauses pass.
    :param rng: spreads the pauses of many nodes.
    :param retry_s: the pause after a failed call.
    """

    def __init__(
        self,
        feed: contract.Feed,
        table: str,
        told: collections.abc.Callable[[Told], None],
        clock: clocks.Clock,
        rng: random.Random,
        retry_s: collections.abc.Callable[[], float] = lambda: RETRY_S,
    ) -> None:
        self._feed = feed
        self._table = table
        self._told = told
        self._clock = clock
        self._rng = rng
        self._retry_s = retry_s
        self._stopping = threading.Event()
        self._wanted = threading.Event()
        self._version: int | None = None
        self._era: int | None = None
        self._read_again_at = math.inf
        self._thread = threading.Thread(target=self._run, name=f"follow-{table}", daemon=True)

    def start(self) -> None:
        """Begin to follow."""
        self._wanted.set()
        if not self._thread.is_alive():
            self._thread.start()

    def pause(self) -> None:
        """Make no more calls after the one that is under way, until the next start."""
        self._wanted.clear()

    def stop(self) -> None:
        """Have the thread end after the call that is under way."""
        self._stopping.set()
        self._wanted.set()

    def _note_era(self, era: int) -> None:
        if self._era is not None and era > self._era:
            self._read_again_at = self._clock.now() + REWRITTEN_S
        self._era = era

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._wanted.wait()
            if not self._stopping.is_set() and not self.step():
                self._stopping.wait(self._retry_s() * (0.75 + 0.5 * self._rng.random()))

    def step(self) -> bool:
        """Make one call; return whether it gave something."""
        if self._clock.now() >= self._read_again_at:
            self._version, self._read_again_at = None, math.inf
        if self._version is None:
            outcome = self._feed.snapshot(self._table)
        else:
            outcome = self._feed.changes(self._table, self._version, WAIT_S)
        if isinstance(outcome, contract.HistoryLost):
            self._version = None
            return True
        self._told(outcome)
        if isinstance(outcome, contract.Unavailable):
            return False
        self._version = max(outcome.version, self._version or 0)
        self._note_era(positions.era(self._version))
        if isinstance(outcome, contract.Changes) and (
            outcome.written_rows or outcome.deleted_keys
        ):
            self._clock.sleep(GATHER_S)
        return True
