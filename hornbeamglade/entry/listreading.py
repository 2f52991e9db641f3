"""Reads the newest changes of the replica list on demand."""

import asyncio
import collections.abc

from hornbeamglade.platform import tables
from hornbeamglade.store import contract, positions

Outcome = contract.Snapshot | contract.Changes | contract.Unavailable


class ListReading:
    """Brings the replica list up to date with the store; for one event loop.

    Explanation
    ===========

    Who waits for a read relies on its call to the store being made after he asked. So those who
    ask during a call share the next one.

    :param feed: the store.
    :param held: returns the position of the list held here.
    :param apply: applies the outcome of a call.
    """

    def __init__(
        self,
        feed: contract.Feed,
        held: collections.abc.Callable[[], int],
        apply: collections.abc.Callable[[Outcome], None],
    ) -> None:
        self._feed = feed
        self._held = held
        self._apply = apply
        self._current: asyncio.Task[bool] | None = None
        self._next: asyncio.Task[bool] | None = None

    async def read(self) -> bool:
        """Read and apply the changes; return whether the store answered."""
        if self._next is None:
            self._next = asyncio.ensure_future(self._read_after(self._current))
        return await asyncio.shield(self._next)

    async def _read_after(self, current: asyncio.Task[bool] | None) -> bool:
        if current is not None:
            await asyncio.wait((current,))
        self._current, self._next = self._next, None
        held = self._held()
        outcome = await asyncio.to_thread(self._call, held)
        self._apply(outcome)
        is_read = not isinstance(outcome, contract.Unavailable)
        # A store that was restored from an older copy may lack what others have read.
        return is_read and positions.era(outcome.version) == positions.era(held)

    def _call(self, held: int) -> Outcome:
        outcome = self._feed.changes(tables.REPLICAS, held, 0.0)
        if isinstance(outcome, contract.HistoryLost):
            return self._feed.snapshot(tables.REPLICAS)
        return outcome
