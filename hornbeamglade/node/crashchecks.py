"""Whether a replica has crashed under a run that was lost, asked on a thread of its own."""

import collections.abc
import concurrent.futures
import socket

from hornbeamglade.core import clocks
from hornbeamglade.quarantine import lostruns, requestquarantine

THREADS = 2
CONNECT_S = 1.0
RESTART_S = 2.0
"""A replica keeps its name; two crashes of it lie further apart than this."""


class CrashChecks:
    """Tells crashes of replicas from other ends of runs; any thread may use it.

    The counterpart of :class:`hornbeamglade.quarantine.crashdetector.CrashDetector` for
    replicas that the configuration names, which have no list that says who started when.

    :param quarantine: takes what crashed.
    :param may_crash: tells whether a replica is in use: one that stops as planned ends runs too.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        quarantine: requestquarantine.RequestQuarantine,
        may_crash: collections.abc.Callable[[str], bool],
        clock: clocks.Clock,
    ) -> None:
        self._quarantine = quarantine
        self._may_crash = may_crash
        self._clock = clock
        self._threads = concurrent.futures.ThreadPoolExecutor(
            THREADS, thread_name_prefix="crash-check"
        )

    def run_lost(self, fingerprint: int, replica: str, address: str, began_at: float) -> None:
        """Take a run whose connection ended before its answer did.

        :param replica: the replica's name.
        :param began_at: monotonic seconds at which it was sent there.
        """
        if self._may_crash(replica):
            run = lostruns.LostRun(fingerprint, began_at, self._clock.now())
            self._threads.submit(self._check, run, replica, address)

    def _check(self, run: lostruns.LostRun, replica: str, address: str) -> None:
        host, _, port = address.rpartition(":")
        try:
            socket.create_connection((host, int(port)), CONNECT_S).close()
        except ConnectionRefusedError:
            crash = f"{replica}/{int(run.ended_at / RESTART_S)}"
            self._quarantine.crashed(crash, (run,))
        except OSError:
            # Silence may be a partition; a crash is only taken for one when it is certain.
            return
