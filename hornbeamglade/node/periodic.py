"""Threads that call a function periodically."""

import threading
from collections.abc import Callable


class Periodic:
    """Call ``action`` each ``interval_s`` until stopped.

    :param name: the thread's name.
    :param interval_s: seconds between the end of one call and the next.
    :param action: the function to call.
    :param failed: called with an error raised by ``action``; the thread continues, since a
        node whose heartbeat thread has ended appears failed while it serves.
    """

    def __init__(
        self,
        name: str,
        interval_s: float,
        action: Callable[[], None],
        failed: Callable[[Exception, str], None],
    ) -> None:
        self._name = name
        self._interval_s = interval_s
        self._action = action
        self._failed = failed
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the current call."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()

    def _report_error(self, error: Exception) -> None:
        try:
            self._failed(error, self._name)
        except OSError:
            # Standard error may be closed, which must not end the thread either.
            pass

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._action()
            except Exception as error:  # noqa: BLE001
                self._report_error(error)
            self._stopping.wait(self._interval_s)
