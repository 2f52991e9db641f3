"""How many replicas each request has crashed, as far as one node was told.

Explanation
===========

A crash ends every run of its replica, so most requests that were lost with one are innocent.
Evidence against a request adds up over crashes in a row:

- Crashes of different replicas count once each, however many nodes report them.
- A crash counts when its run began after the one counted before, or when it came more than
  :data:`TOGETHER_S` after that. So replicas of a failure domain that loses power count as one,
  though a request that is asked for often ran at each of them.
- Evidence is forgotten after :data:`EVIDENCE_LIFE_S`.

An innocent request is asked for again a few times, and each of its runs would have to meet a
crash of its own. What is remembered is bounded; the least recently reported goes first.
"""

import collections
import collections.abc
import dataclasses

CRASHES = 3
"""Crashes after which a request is held for their cause."""

TOGETHER_S = 0.05
CLOCK_ERROR_S = 0.005
"""Times that another node reports are off by as much as its message took."""

EVIDENCE_LIFE_S = 3600.0
MOST_SUSPECTS = 4096
MOST_CRASHES = 8
"""Crashes that are remembered of one request: those told together may count as one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A replica's crash under a run of a request.

    :param replica: :func:`key_hash <hornbeamglade.exchange.messages.key_hash>` of its id.
    :param began_at: monotonic seconds at which the run was sent there.
    :param at: monotonic seconds at which it ended.
    """

    replica: int
    began_at: float
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
        """Take evidence; return how many crashes count against the request."""
        by_replica = self._crashes_by_fingerprint.pop(fingerprint, {})
        for crash in crashes:
            by_replica.setdefault(crash.replica, crash)
        recent = [each for each in by_replica.values() if now - each.at < EVIDENCE_LIFE_S]
        recent = sorted(recent, key=lambda each: each.at)[-MOST_CRASHES:]
        self._crashes_by_fingerprint[fingerprint] = {each.replica: each for each in recent}
        if len(self._crashes_by_fingerprint) > MOST_SUSPECTS:
            self._crashes_by_fingerprint.popitem(last=False)
        return _count(recent)

    def crashes(self, fingerprint: int) -> tuple[Crash, ...]:
        """Return the evidence against a request."""
        return tuple(self._crashes_by_fingerprint.get(fingerprint, {}).values())

    def clear(self, fingerprint: int) -> None:
        """Forget the evidence against a request: a replica has run it to its end."""
        self._crashes_by_fingerprint.pop(fingerprint, None)

    @property
    def count(self) -> int:
        """How many requests are suspected."""
        return len(self._crashes_by_fingerprint)


def _count(crashes: list[Crash]) -> int:
    """Return how many of some crashes, in order, count beside the one counted before."""
    counted = 0
    last = float("-inf")
    for crash in crashes:
        is_later_run = crash.began_at >= last - CLOCK_ERROR_S
        if is_later_run or crash.at - last >= TOGETHER_S:
            counted += 1
            last = crash.at
    return counted
