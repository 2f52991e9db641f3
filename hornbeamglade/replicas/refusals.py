"""Keeps replicas from refusing more requests than they tolerate.

Explanation
===========

A replica may state how many requests it can refuse for want of room in one second; if it has to
refuse more, it crashes. The number is of all instances together, and no instance knows what the
others send. Two measures keep the sum low without communication:

- An instance has no more requests for buffered responses at such a replica than its part of the
  replica's slots, one at least, so that a burst at one instance does not fill the replica's queue.
  The owner of an engine limits its streams.
- After a refusal it sends nothing there until its part of the tolerated rate allows another one:
  ``instances / (SHARE * tolerated)`` seconds, and up to half as long again at random, since the
  instances that were refused together must not return together.

Both end with the first response that no longer states a number. Nothing is counted or delayed for
replicas that state none.
"""

import collections
import collections.abc
import dataclasses
import random

from hornbeamglade.core import clocks
from hornbeamglade.observability import logs

SHARE = 0.5
"""The used share of the tolerated refusals."""

JITTER_SHARE = 0.5
MIN_PAUSE_S = 0.5
MAX_PAUSE_S = 10.0
MIN_TOLERATED_PER_S = 0.5
"""Replaces a lower number, with which a replica would never be used again."""

MIN_INSTANCES = 6
"""The assumed number until the other instances are known."""

SLOT_POLL_S = 0.02
EXPECTED_RESPONSE_S = 0.1
"""Estimate of the time until a request in flight ends, to limit the queue for its place."""

LOG_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """The refusals that a replica tolerates, as stated in one of its responses.

    :param refusals_per_s: refused requests per second, of all instances together.
    :param problem: the code of the problem if the number is malformed, which then is 0; or None.
    """

    refusals_per_s: float
    problem: str | None = None


@dataclasses.dataclass(slots=True)
class _Guard:
    tolerance: Tolerance
    paused_until: float = float("-inf")
    logged_at: float = float("-inf")


class RefusalGuards:
    """The replicas that have stated to this instance how many refusals they tolerate.

    :param clock: monotonic time.
    :param rng: source of randomness for the time added to pauses.

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> guards = RefusalGuards(clock, random.Random(1))
    >>> guards.responded("s1", Tolerance(6.0), is_refusal=False)
    >>> guards.wait_s("s1", slots=12)
    0.0
    >>> guards.responded("s1", Tolerance(6.0), is_refusal=True)
    >>> 2.0 <= guards.wait_s("s1", slots=12) <= 3.0
    True
    >>> guards.responded("s1", None, is_refusal=False)
    >>> guards.wait_s("s1", slots=12)
    0.0
    """

    def __init__(self, clock: clocks.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._guard_by_replica: dict[str, _Guard] = {}
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._instances = MIN_INSTANCES

    def set_instances(self, instances: int) -> None:
        """Set the number of instances."""
        self._instances = max(1, instances)

    def request_sent(self, replica_id: str) -> None:
        """Count a request that is sent to a replica."""
        self._in_flight[replica_id] += 1

    def request_ended(self, replica_id: str) -> None:
        """Count the end of a request that was sent to a replica."""
        self._in_flight[replica_id] -= 1
        if self._in_flight[replica_id] <= 0:
            del self._in_flight[replica_id]

    def responded(self, replica_id: str, tolerance: Tolerance | None, *, is_refusal: bool) -> None:
        """Record a response of a replica.

        :param tolerance: what it states, or None.
        :param is_refusal: whether it refused the request.
        """
        guard = self._guard_by_replica.get(replica_id)
        if tolerance is None:
            if guard is not None:
                del self._guard_by_replica[replica_id]
                logs.state_changed("replica_tolerance", "stated", "none", replica=replica_id)
            return
        if guard is None:
            guard = self._guard_by_replica[replica_id] = _Guard(tolerance)
            logs.state_changed(
                "replica_tolerance",
                "none",
                f"{tolerance.refusals_per_s:g}",
                replica=replica_id,
                code=tolerance.problem or "-",
            )
        guard.tolerance = tolerance
        if is_refusal:
            self._pause(replica_id, guard)

    def _pause(self, replica_id: str, guard: _Guard) -> None:
        now = self._clock.now()
        tolerated_per_s = max(guard.tolerance.refusals_per_s, MIN_TOLERATED_PER_S)
        pause_s = self._instances / (SHARE * tolerated_per_s)
        pause_s = min(max(pause_s, MIN_PAUSE_S), MAX_PAUSE_S)
        pause_s *= 1.0 + JITTER_SHARE * self._rng.random()
        guard.paused_until = max(guard.paused_until, now + pause_s)
        if now - guard.logged_at >= LOG_INTERVAL_S:
            guard.logged_at = now
            logs.state_changed(
                "replica_tolerance",
                "sending",
                "paused",
                replica=replica_id,
                wait_s=round(guard.paused_until - now, 3),
                count=self._instances,
            )

    def wait_s(self, replica_id: str, slots: int) -> float:
        """Return the seconds until a request may be sent to a replica; 0 if it may now.

        :param slots: requests that the replica runs at once.
        """
        guard = self._guard_by_replica.get(replica_id)
        if guard is None:
            return 0.0
        pause_s = max(0.0, guard.paused_until - self._clock.now())
        if self._in_flight[replica_id] >= self._max_in_flight(slots):
            return max(pause_s, SLOT_POLL_S)
        return pause_s

    def send_slots_within(self, replica_id: str, slots: int, seconds: float) -> int | None:
        """Return about how many requests may be sent within a time; None for any number."""
        guard = self._guard_by_replica.get(replica_id)
        if guard is None:
            return None
        seconds -= max(0.0, guard.paused_until - self._clock.now())
        if seconds <= 0.0:
            return 0
        return self._max_in_flight(slots) * (1 + int(seconds / EXPECTED_RESPONSE_S))

    def is_paused(self, replica_id: str) -> bool:
        """Return whether nothing is sent to a replica after a refusal."""
        guard = self._guard_by_replica.get(replica_id)
        return guard is not None and self._clock.now() < guard.paused_until

    def is_known(self, replica_id: str) -> bool:
        """Return whether a replica states how many refusals it tolerates."""
        return replica_id in self._guard_by_replica

    def forget(self, present: collections.abc.Container[str]) -> None:
        """Forget the replicas that are not in ``present``."""
        for replica_id in tuple(self._guard_by_replica):
            if replica_id not in present:
                del self._guard_by_replica[replica_id]

    @property
    def replica_ids(self) -> tuple[str, ...]:
        """The replicas that state how many refusals they tolerate."""
        return tuple(self._guard_by_replica)

    def _max_in_flight(self, slots: int) -> int:
        return max(1, slots // self._instances)
