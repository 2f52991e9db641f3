"""Processor time and memory of a piece of code."""

import collections.abc
import gc
import statistics
import time
import tracemalloc
import typing

_REPEATS = 5
_SHORTEST_S = 0.02
_MICROSECONDS = 1e6

_Made = typing.TypeVar("_Made")


def cpu_us(act: collections.abc.Callable[[], object]) -> float:
    """Return the processor time of one call, in microseconds.

    Explanation
    ===========

    The median of several batches, in processor time of the calling thread, so that
    other load on the machine counts as little as it can.

    :param act: called again and again; must leave no state that makes it dearer.
    """
    act()
    calls = 1
    while (took := _batch_s(act, calls)) < _SHORTEST_S and calls < 1 << 16:
        calls *= 2 if took > _SHORTEST_S / 8 else 8
    return statistics.median(_batch_s(act, calls) for _ in range(_REPEATS)) / calls * _MICROSECONDS


def total_cpu_us(act: collections.abc.Callable[[], object]) -> float:
    """Return the processor time of a single call, in microseconds."""
    return _batch_s(act, 1) * _MICROSECONDS


def held_bytes(make: collections.abc.Callable[[], _Made]) -> float:
    """Return the bytes that the value made by ``make`` holds, as the allocator sees them."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        made = make()
        gc.collect()
        held = tracemalloc.get_traced_memory()[0] - before
        del made
        return float(held)
    finally:
        tracemalloc.stop()


def _batch_s(act: collections.abc.Callable[[], object], calls: int) -> float:
    started = time.thread_time()
    for _ in range(calls):
        act()
    return time.thread_time() - started
