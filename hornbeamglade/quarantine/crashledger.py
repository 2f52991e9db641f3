"""The number of replicas that each request has crashed, from the reports received by a node.

Explanation
===========

A crash ends every run of its replica, so most requests whose runs were lost in a crash did not
cause it. Evidence against a request is accumulated over several crashes:

- The crash of each replica counts once, however many nodes report it.
- A crash counts if its run was sent after the previously counted crash, or if it happened more
  than :data:`CORRELATION_WINDOW_S` after that. Replicas of a failure domain that loses power
  therefore count as one, although a frequent request was running at each of them.
- Evidence expires after :data:`EVIDENCE_TTL_S`.

A request that causes no crashes is retried only a few times, and each of its runs would have to
coincide with another crash. The number of stored requests is bounded; the least recently reported
one is removed first.
"""

import collections
import collections.abc
import dataclasses

CRASH_THRESHOLD = 3
"""The number of crashes after which a request is considered their cause."""

CORRELATION_WINDOW_S = 0.05
CLOCK_ERROR_S = 0.005
"""Times reported by another node are wrong by the transmission time of its message."""

EVIDENCE_TTL_S = 3600.0
MAX_SUSPECTS = 4096
MAX_CRASHES_PER_REQUEST = 8
"""The number of crashes stored per request; more than the threshold, since several crashes that
are reported together may count as one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a replica during a run of a request.

    :param replica: :func:`key_hash <hornbeamglade.exchange.messages.key_hash>` of the replica's
        id.
    :param sent_at: monotonic seconds at which the run was sent to the replica.
    :param at: monotonic seconds at which the run ended.
    """

    replica: int
    sent_at: float
    at: float


class CrashLedger:
    """Crashes by request; not thread-safe.

    Examples
    ========

    >>> ledger = CrashLedger()
    >>> crashes = [Crash(1, 0.9, 1.0), Crash(2, 1.01, 1.02), Crash(3, 0.9, 2.0)]
    >>> [ledger.add(7, [crash], now=crash.at) for crash in crashes]
    [1, 2, 3]
    >>> ledger.add(7, [Crash(1, 0.9, 4.0)], now=4.0)
    3
    >>> CrashLedger().add(7, [Crash(1, 0.9, 1.0), Crash(2, 0.9, 1.01)], now=2.0)
    1
    """

    def __init__(self) -> None:
        self._crashes_by_fingerprint: collections.OrderedDict[int, dict[int, Crash]]
        self._crashes_by_fingerprint = collections.OrderedDict()

    def add(self, fingerprint: int, crashes: collections.abc.Iterable[Crash], now: float) -> int:
        """Add evidence; return how many crashes count against the request."""
        by_replica = self._crashes_by_fingerprint.pop(fingerprint, {})
        for crash in crashes:
            by_replica.setdefault(crash.replica, crash)
        recent = [each for each in by_replica.values() if now - each.at < EVIDENCE_TTL_S]
        recent = sorted(recent, key=lambda each: each.at)[-MAX_CRASHES_PER_REQUEST:]
        self._crashes_by_fingerprint[fingerprint] = {each.replica: each for each in recent}
        if len(self._crashes_by_fingerprint) > MAX_SUSPECTS:
            self._crashes_by_fingerprint.popitem(last=False)
        return len(counted(recent))

    def crashes(self, fingerprint: int) -> tuple[Crash, ...]:
        """Return the evidence against a request."""
        return tuple(self._crashes_by_fingerprint.get(fingerprint, {}).values())

    def clear(self, fingerprint: int) -> None:
        """Delete the evidence against a request after a replica has completed it."""
        self._crashes_by_fingerprint.pop(fingerprint, None)

    @property
    def count(self) -> int:
        """How many requests are suspected."""
        return len(self._crashes_by_fingerprint)


def counted(crashes: list[Crash]) -> list[Crash]:
    """Return the crashes that count, given the crashes of one request in order of time."""
    found: list[Crash] = []
    last = float("-inf")
    for crash in crashes:
        is_later_run = crash.sent_at >= last - CLOCK_ERROR_S
        if is_later_run or crash.at - last >= CORRELATION_WINDOW_S:
            found.append(crash)
            last = crash.at
    return found
