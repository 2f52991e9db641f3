"""How many replicas each request has crashed, as far as one node was told.

Explanation
===========

A crash ends every run of its replica, so most requests that were lost with one are innocent.
Evidence against a request adds up over crashes in a row:

- Crashes of different replicas count once each, however many nodes report them.
- Crashes within :data:`TOGETHER_S` of each other count as one: a failure domain that loses power
  takes several replicas, and requests that are asked for often ran at each of them.
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
EVIDENCE_LIFE_S = 3600.0
MOST_SUSPECTS = 4096
MOST_CRASHES = 8
"""Crashes that are remembered of one request: those told together may count as one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A replica's crash under a run of a request.

    :param replica: :func:`key_hash <hornbeamglade.exchange.messages.key_hash>` of its id.
    :param at: monotonic seconds.
    """

    replica: int
    at: float


class CrashLedger:
    """Crashes by request; not thread-safe.

    Examples
    ========

    >>> ledger = CrashLedger()
    >>> [ledger.add(7, [Crash(replica, at)], now=at) for replica, at in enumerate((1.0, 2.0, 3.0))]
    [1, 2, 3]
    >>> ledger.add(7, [Crash(0, 4.0)], now=4.0)
    3
    >>> CrashLedger().add(7, [Crash(1, 1.0), Crash(2, 1.01), Crash(3, 1.02)], now=2.0)
    1
    """

    def __init__(self) -> None:
        self._crashes_by_fingerprint: collections.OrderedDict[int, dict[int, float]]
        self._crashes_by_fingerprint = collections.OrderedDict()

    def add(self, fingerprint: int, crashes: collections.abc.Iterable[Crash], now: float) -> int:
        """Take evidence; return how many crashes count against the request."""
        at_by_replica = self._crashes_by_fingerprint.pop(fingerprint, {})
        for crash in crashes:
            at_by_replica.setdefault(crash.replica, crash.at)
        recent = sorted(
            (at, replica) for replica, at in at_by_replica.items() if now - at < EVIDENCE_LIFE_S
        )[-MOST_CRASHES:]
        self._crashes_by_fingerprint[fingerprint] = {replica: at for at, replica in recent}
        if len(self._crashes_by_fingerprint) > MOST_SUSPECTS:
            self._crashes_by_fingerprint.popitem(last=False)
        return _count([at for at, _ in recent])

    def crashes(self, fingerprint: int) -> tuple[Crash, ...]:
        """Return the evidence against a request."""
        at_by_replica = self._crashes_by_fingerprint.get(fingerprint, {})
        return tuple(Crash(replica, at) for replica, at in at_by_replica.items())

    def clear(self, fingerprint: int) -> None:
        """Forget the evidence against a request: a replica has run it to its end."""
        self._crashes_by_fingerprint.pop(fingerprint, None)

    @property
    def count(self) -> int:
        """How many requests are suspected."""
        return len(self._crashes_by_fingerprint)


def _count(times: list[float]) -> int:
    """Return how many of some times, in order, lie apart from the one counted before."""
    counted = 0
    last = float("-inf")
    for at in times:
        if at - last >= TOGETHER_S:
            counted += 1
            last = at
    return counted
