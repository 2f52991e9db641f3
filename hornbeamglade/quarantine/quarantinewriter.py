"""Writes the rows of requests in quarantine to the store, in a separate thread."""

import queue
import threading

from hornbeamglade.core import clocks
from hornbeamglade.observability import logs
from hornbeamglade.store import contract

MAX_PENDING = 256
MAX_BATCH_SIZE = 50
MAX_ATTEMPTS = 5
RETRY_S = 2.0

_Write = contract.Put | contract.Delete


class QuarantineWriter:
    """Performs writes in order; any thread may add writes.

    Explanation
    ===========

    The writes are independent of one another and idempotent, so a write without a response is
    retried. A write that is dropped is not lost permanently: the next node that reads the rows
    detects which ones are missing.

    :param table: the store.
    :param clock: the clock for delays between attempts.
    """

    def __init__(self, table: contract.Table, clock: clocks.Clock) -> None:
        self._table = table
        self._clock = clock
        self._pending: queue.Queue[_Write] = queue.Queue(MAX_PENDING)
        self._thread: threading.Thread | None = None

    def add(self, write: _Write) -> None:
        """Enqueue a write or deletion of a row."""
        try:
            self._pending.put_nowait(write)
        except queue.Full:
            logs.state_changed("quarantine_row", "pending", "dropped", reason="queue_full")
            return
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name="quarantine", daemon=True)
            self._thread.start()

    def step(self) -> None:
        """Wait for writes, and perform the pending ones."""
        writes = [self._pending.get()]
        while len(writes) < MAX_BATCH_SIZE and not self._pending.empty():
            writes.append(self._pending.get_nowait())
        for _ in range(MAX_ATTEMPTS):
            outcome = self._table.transact((), tuple(writes))
            if isinstance(outcome, contract.Committed):
                return
            self._clock.sleep(RETRY_S)
        logs.state_changed("quarantine_row", "pending", "dropped", count=len(writes))

    def _run(self) -> None:
        while True:
            self.step()
