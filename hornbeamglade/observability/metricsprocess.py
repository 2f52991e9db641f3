"""Resource usage of this process: CPU time, memory, threads."""

import dataclasses
import os
import resource
import threading

_PAGE_BYTES = resource.getpagesize()
_RESIDENT_FIELD = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Resource usage of the process at one time.

    :param cpu_s: CPU seconds since the start, user and system.
    :param resident_bytes: current resident memory.
    :param threads: live threads.
    """

    cpu_s: float
    resident_bytes: int
    threads: int


def read_usage() -> ProcessUsage:
    """Return the current resource usage of this process."""
    times = os.times()
    return ProcessUsage(times.user + times.system, _resident_bytes(), threading.active_count())


def _resident_bytes() -> int:
    try:
        with open("/proc/self/statm", encoding="ascii") as statm:
            return int(statm.read().split()[_RESIDENT_FIELD]) * _PAGE_BYTES
    except OSError:
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
