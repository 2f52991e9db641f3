"""Bounds on the processor time that a test's steps take."""

import contextlib
import gc
import time


@contextlib.contextmanager
def bounded(limit_s):
    """Fail if a block takes too much processor time of its thread.

    Time in which the process does not run does not count, nor does garbage collection, which
    takes as long as the tests that ran before have left objects.
    """
    is_collecting = gc.isenabled()
    gc.disable()
    try:
        began_at = time.thread_time()
        yield
        took_s = time.thread_time() - began_at
    finally:
        if is_collecting:
            gc.enable()
    assert took_s < limit_s
