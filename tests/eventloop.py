"""Runs a test's coroutine on a new event loop."""

import asyncio

from tests.http1 import raw

LONGEST_S = 60.0
"""Timeout of a hanging test; no test depends on it."""


def run(coroutine):
    async def bounded():
        try:
            async with asyncio.timeout(LONGEST_S):
                return await coroutine
        finally:
            raw.close_all()

    return asyncio.run(bounded())


async def until(condition):
    """Wait until ``condition`` holds."""
    while not condition():
        await asyncio.sleep(0.005)
