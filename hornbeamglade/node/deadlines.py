"""Ends requests whose deadline has passed, whatever they are waiting for."""

import itertools
import threading
from collections.abc import Callable

from hornbeamglade.core import clocks


class Deadlines:
    """Callbacks to run when a deadline has passed, checked each second.

    Explanation
    ===========

    Waits on a backend server are bounded for each read. A server that sends a byte
    occasionally stays within each of these bounds and would hold a thread, a grant and a
    place in the team's limit without end.

    :param clock: monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._entry_ids = itertools.count()
        self._entry_by_id: dict[int, tuple[float, Callable[[], None]]] = {}
        self.have_all_passed = False

    def add(self, ends_at: float, cancel: Callable[[], None]) -> int:
        """Call ``cancel`` once ``ends_at`` has passed; return an id for removing the entry.

        :param ends_at: in the clock's seconds.
        :param cancel: must not block.
        """
        with self._lock:
            entry_id = next(self._entry_ids)
            has_passed = self.have_all_passed
            if not has_passed:
                self._entry_by_id[entry_id] = (ends_at, cancel)
        if has_passed:
            cancel()
        return entry_id

    def remove(self, entry_id: int) -> None:
        """Remove an entry; idempotent."""
        with self._lock:
            self._entry_by_id.pop(entry_id, None)

    def end_all(self) -> int:
        """Let all deadlines pass now, also those added later; return how many had not."""
        self.have_all_passed = True
        return self.sweep()

    def sweep(self) -> int:
        """Run the callbacks whose deadline has passed; return how many."""
        now = self._clock.now()
        with self._lock:
            expired = [
                entry_id
                for entry_id, (ends_at, _) in self._entry_by_id.items()
                if ends_at <= now or self.have_all_passed
            ]
            cancels = [self._entry_by_id.pop(entry_id)[1] for entry_id in expired]
        for cancel in cancels:
            cancel()
        return len(cancels)
