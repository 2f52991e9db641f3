"""Measures the CPU time and memory of a function."""

import collections.abc
import gc
import statistics
import time
import tracemalloc
import typing

_REPEATS = 5
_MIN_BATCH_S = 0.02
_MICROSECONDS = 1e6

_Value = typing.TypeVar("_Value")


def cpu_us(action: collections.abc.Callable[[], object]) -> float:
    """Return the CPU time of one call in microseconds.

    Explanation
    ===========

    The result is the median over several batches of the CPU time of the calling thread, so
    that other load on the machine has little influence.

    :param action: called repeatedly; must not leave state that makes later calls slower.
    """
    action()
    calls = 1
    while (elapsed_s := _batch_s(action, calls)) < _MIN_BATCH_S and calls < 1 << 16:
        calls *= 2 if elapsed_s > _MIN_BATCH_S / 8 else 8
    return (
        statistics.median(_batch_s(action, calls) for _ in range(_REPEATS)) / calls * _MICROSECONDS
    )


def total_cpu_us(action: collections.abc.Callable[[], object]) -> float:
    """Return the CPU time of a single call in microseconds."""
    return _batch_s(action, 1) * _MICROSECONDS


def held_bytes(factory: collections.abc.Callable[[], _Value]) -> float:
    """Return the bytes allocated for the value that ``factory`` returns."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        value = factory()
        gc.collect()
        held = tracemalloc.get_traced_memory()[0] - before
        del value
        return float(held)
    finally:
        tracemalloc.stop()


def _batch_s(action: collections.abc.Callable[[], object], calls: int) -> float:
    started = time.thread_time()
    for _ in range(calls):
        action()
    return time.thread_time() - started
