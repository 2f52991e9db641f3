"""Runs a test's coroutine on a new event loop."""

import asyncio

LONGEST_S = 60.0
"""Timeout of a hanging test; no test depends on it."""


def run(coroutine):
    async def bounded():
        async with asyncio.timeout(LONGEST_S):
            return await coroutine

    return asyncio.run(bounded())


async def until(condition):
    """Wait until ``condition`` holds."""
    while not condition():
        await asyncio.sleep(0.005)
