"""Times during which overloaded replicas accept no requests from this instance.

Explanation
===========

A replica that refuses a request may name a time during which it accepts no further requests from
the instance that sent it. The time belongs to this instance alone: other instances may send, and
an engine's owner still grants requests of theirs.

The time ends only by the clock. Responses to requests that were sent earlier may overtake the
refusal, and a shorter time in a later refusal does not end the earlier one sooner.

Afterwards a single request is sent as a trial, as in a circuit breaker that is half open. The
others follow when the replica has responded without naming another time, or when the trial has
had no response for :data:`TRIAL_TIMEOUT_S`. A random share is added to each time, since a replica
that is overloaded refuses the requests of all instances at once and they would all return at the
same moment.
"""

import collections.abc
import dataclasses
import random

from hornbeamglade.core import clocks
from hornbeamglade.observability import logs
from hornbeamglade.replicas import advisories

JITTER_SHARE = 0.2
"""The largest share of a time that is added to it."""

TRIAL_TIMEOUT_S = 0.5
"""A plain service responds sooner. An engine may not, as its response begins with a token."""

LOG_INTERVAL_S = 1.0
"""The minimum interval of log lines about a replica, which may refuse many requests at once."""


@dataclasses.dataclass(slots=True)
class _ReplicaBackoff:
    until: float
    logged_at: float
    trial_at: float = float("-inf")


class Backoffs:
    """The replicas that have asked this instance for a pause.

    :param clock: monotonic time.
    :param rng: source of randomness for the time added.

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> backoffs = Backoffs(clock, random.Random(1))
    >>> backoffs.responded("s1", advisories.Backoff(2.0))
    >>> 2.0 <= backoffs.wait_s("s1") <= 2.4
    True
    >>> clock.advance(2.4)
    >>> backoffs.request_sent("s1")
    >>> backoffs.wait_s("s1")
    0.5
    >>> backoffs.responded("s1", None)
    >>> backoffs.wait_s("s1")
    0.0
    """

    def __init__(self, clock: clocks.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._backoff_by_replica: dict[str, _ReplicaBackoff] = {}

    def responded(self, replica_id: str, backoff: advisories.Backoff | None) -> None:
        """Record a response of a replica.

        :param backoff: the time that it names, or None.
        """
        now = self._clock.now()
        known = self._backoff_by_replica.get(replica_id)
        if backoff is None:
            if known is not None and now >= known.until:
                del self._backoff_by_replica[replica_id]
                logs.state_changed("replica_backoff", "trial", "none", replica=replica_id)
            return
        jitter_s = JITTER_SHARE * self._rng.random() * backoff.seconds
        until = now + backoff.seconds + jitter_s
        if known is None:
            known = self._backoff_by_replica[replica_id] = _ReplicaBackoff(until, float("-inf"))
        known.until = max(known.until, until)
        known.trial_at = float("-inf")
        if now - known.logged_at >= LOG_INTERVAL_S:
            known.logged_at = now
            logs.state_changed(
                "replica_backoff",
                "none" if known.until == until else "waiting",
                f"{backoff.seconds:g}",
                replica=replica_id,
                code=backoff.problem or "-",
                wait_s=round(known.until - now, 3),
            )

    def request_sent(self, replica_id: str) -> None:
        """Record that a request is sent to a replica, which may be the trial."""
        known = self._backoff_by_replica.get(replica_id)
        if known is not None:
            known.trial_at = self._clock.now()

    def wait_s(self, replica_id: str) -> float:
        """Return the seconds until a request may be sent to a replica; 0 if it may now."""
        known = self._backoff_by_replica.get(replica_id)
        if known is None:
            return 0.0
        sendable_at = max(known.until, known.trial_at + TRIAL_TIMEOUT_S)
        return max(0.0, sendable_at - self._clock.now())

    def is_active(self, replica_id: str) -> bool:
        """Return whether the time that a replica has named is not over."""
        known = self._backoff_by_replica.get(replica_id)
        return known is not None and self._clock.now() < known.until

    def is_known(self, replica_id: str) -> bool:
        """Return whether a replica has asked for a pause and not responded normally since."""
        return replica_id in self._backoff_by_replica

    def forget(self, present: collections.abc.Container[str]) -> None:
        """Forget the replicas that are not in ``present`` and whose time is over.

        An entry that expired while the store was down may come back before that.
        """
        for replica_id in tuple(self._backoff_by_replica):
            if replica_id not in present and not self.is_active(replica_id):
                del self._backoff_by_replica[replica_id]

    @property
    def replica_ids(self) -> tuple[str, ...]:
        """The replicas that have asked for a pause."""
        return tuple(self._backoff_by_replica)
