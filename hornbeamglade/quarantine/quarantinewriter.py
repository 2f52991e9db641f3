"""Writes requests in quarantine to the store, on a thread of its own."""

import queue
import threading

from hornbeamglade.core import clocks
from hornbeamglade.observability import logs
from hornbeamglade.store import contract

MOST_PENDING = 256
MOST_AT_ONCE = 50
TRIES = 5
RETRY_S = 2.0

_Write = contract.Put | contract.Delete


class QuarantineWriter:
    """Carries out writes in order; any thread may add some.

    Explanation
    ===========

    Each write stands by itself and may be done twice, so one without an answer is made again. One
    that is given up is not lost for good: whoever reads the rows next finds out what is missing.

    :param table: the store.
    :param clock: lets pauses pass.
    """

    def __init__(self, table: contract.Table, clock: clocks.Clock) -> None:
        self._table = table
        self._clock = clock
        self._pending: queue.Queue[_Write] = queue.Queue(MOST_PENDING)
        self._thread: threading.Thread | None = None

    def add(self, write: _Write) -> None:
        """Have a row written or deleted."""
        try:
            self._pending.put_nowait(write)
        except queue.Full:
            logs.state_changed("quarantine_row", "pending", "dropped", reason="queue_full")
            return
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name="quarantine", daemon=True)
            self._thread.start()

    def step(self) -> None:
        """Wait for writes, and carry out those that are pending."""
        writes = [self._pending.get()]
        while len(writes) < MOST_AT_ONCE and not self._pending.empty():
            writes.append(self._pending.get_nowait())
        for _ in range(TRIES):
            outcome = self._table.transact((), tuple(writes))
            if isinstance(outcome, contract.Committed):
                return
            self._clock.sleep(RETRY_S)
        logs.state_changed("quarantine_row", "pending", "dropped", count=len(writes))

    def _run(self) -> None:
        while True:
            self.step()
