"""The time between an instance's start and its first configuration and list of replicas."""

import asyncio

MAX_WAIT_S = 0.5
"""An instance that starts has both from the store or from others within some tenths of a
second; one that has neither by then may be cut off, and callers are sent elsewhere."""


class StartupGate:
    """Has the first callers of an instance wait until it can serve them.

    Explanation
    ===========

    Guards callers that come back after a loss of all instances: the first instances that
    listen are asked at once, some have their configuration a tenth of a second later, and a
    caller that is sent away then may have no other try.

    To be used on an event loop.
    """

    def __init__(self) -> None:
        self._opened = asyncio.Event()

    @property
    def is_open(self) -> bool:
        """Whether configuration and list are known."""
        return self._opened.is_set()

    def open(self) -> None:
        """Note that both are known; idempotent."""
        self._opened.set()

    async def wait(self) -> None:
        """Return when both are known, or after :data:`MAX_WAIT_S`."""
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                await self._opened.wait()
        except TimeoutError:
            return
