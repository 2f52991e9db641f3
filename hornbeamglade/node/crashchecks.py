"""Checks on separate threads whether a replica crashed when a run's connection was lost."""

import collections.abc
import concurrent.futures
import socket

from hornbeamglade.core import clocks
from hornbeamglade.quarantine import lostruns, requestquarantine

THREADS = 2
CONNECT_TIMEOUT_S = 1.0
MIN_RESTART_S = 2.0
"""A replica keeps its name when it restarts; its crashes are further apart than this."""


class CrashChecks:
    """Distinguishes crashes of replicas from other ends of runs; thread-safe.

    The counterpart of :class:`hornbeamglade.quarantine.crashdetector.CrashDetector` for
    replicas named by the configuration, for which no list states when each one started.

    :param quarantine: records the crashes.
    :param may_crash: returns whether a replica is in use: a planned stop also ends runs.
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

    def check_lost_run(
        self, fingerprint: int, replica: str, address: str, began_at: float
    ) -> None:
        """Check a run whose connection ended before its response was complete.

        :param replica: the replica's name.
        :param began_at: monotonic seconds at which the request was sent.
        """
        if self._may_crash(replica):
            run = lostruns.LostRun(fingerprint, began_at, self._clock.now())
            self._threads.submit(self._check, run, replica, address)

    def _check(self, run: lostruns.LostRun, replica: str, address: str) -> None:
        host, _, port = address.rpartition(":")
        try:
            socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S).close()
        except ConnectionRefusedError:
            crash = f"{replica}/{int(run.ended_at / MIN_RESTART_S)}"
            self._quarantine.crashed(crash, (run,))
        except OSError:
            # A timeout may be a partition; only a certain crash is recorded.
            return
