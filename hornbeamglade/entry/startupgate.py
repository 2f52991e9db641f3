"""Delays the first callers until the configuration and the replica list are known."""

import asyncio

MAX_WAIT_S = 0.5
"""A starting instance has both from the store or from peers within a few tenths of a second.
One that has neither by then may be partitioned, and callers should try another instance."""


class StartupGate:
    """Makes the first callers of an instance wait until it can serve them.

    Explanation
    ===========

    Serves callers that return after a full outage. The first instances that listen receive
    requests at once, some have their configuration only a tenth of a second later, and a
    caller that is refused in between may not retry.

    For use on an event loop.
    """

    def __init__(self) -> None:
        self._opened = asyncio.Event()

    @property
    def is_open(self) -> bool:
        """Whether the configuration and the replica list are known."""
        return self._opened.is_set()

    def open(self) -> None:
        """Open the gate once both are known; idempotent."""
        self._opened.set()

    async def wait(self) -> None:
        """Return when both are known, or after :data:`MAX_WAIT_S`."""
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                await self._opened.wait()
        except TimeoutError:
            return
