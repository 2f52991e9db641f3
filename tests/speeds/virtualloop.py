"""An event loop in virtual time: it skips to the next timer instead of waiting."""

import asyncio
import selectors

from hornbeamglade.core import clocks

CLOCK_RESOLUTION_S = 1e-6


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting for them; has no input or output."""

    def __init__(self):
        self._skipped_s = 0.0
        super().__init__(_Skipping(self))
        self._clock_resolution = CLOCK_RESOLUTION_S

    def time(self):
        return self._skipped_s

    def skip(self, seconds):
        self._skipped_s += seconds


class _Skipping(selectors.SelectSelector):
    def __init__(self, loop):
        super().__init__()
        self._loop = loop

    def select(self, timeout=None):
        assert timeout is not None, "all tasks wait for each other"
        self._loop.skip(timeout)
        return []


class LoopClock(clocks.Clock):
    """The time of a virtual loop."""

    def __init__(self, loop):
        self._loop = loop

    def now(self):
        return self._loop.time()

    def wall(self):
        return self._loop.time()

    def sleep(self, seconds):
        raise NotImplementedError


def run(coroutine_function):
    """Run a coroutine function, which is given the loop, to its end."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine_function(loop))
    finally:
        loop.close()
