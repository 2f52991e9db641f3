"""Rate limits reported by overloaded replicas, shared by all instances without coordination.

Explanation
===========

An overloaded replica reports in its responses how many requests per second it accepts from all
instances together. The limit holds until a response reports another one or none. Each instance
that has forwarded such a response observes the limit, and cannot know which other instances have
received one. The instances therefore use time slots: with ``n`` instances and a limit ``L``, a
send slot of each instance starts every ``n / (LIMIT_SHARE * L)`` seconds (one cycle), at a
different offset for each instance, and stays open for :data:`OPEN_SLOTS` of the ``n`` parts of the
cycle. An instance may send one request per slot. Whatever the demand, and after any pause, about
``4 * LIMIT_SHARE * L + OPEN_SLOTS + 1`` requests arrive within four seconds at most.

Slots are computed from the time of day and from the instance's position among the sorted names of
all instances, so the instances agree on them without communication. If a clock is wrong, or two
instances assume different numbers of instances, slots overlap somewhat more. An unused slot is
lost; the response to the next request reports whether the limit still holds, and its value.

A slow start (:mod:`hornbeamglade.replicas.slowstart`) spaces requests instead: it lasts only for
seconds, in which few slots would start at all, and its bound is higher.

Alternatives considered: *an equal share per instance, with requests spaced from its last one*
(after a pause in the demand all instances would send at once); *one instance that grants
permissions* (a round trip before each request, and a second rule for the loss of that instance);
*a random offset of each instance's slots* (with 195 instances the bound was exceeded in one
minute of 30).
"""

import collections.abc
import dataclasses
import math

from hornbeamglade.core import clocks
from hornbeamglade.exchange import messages
from hornbeamglade.observability import logs

LIMIT_SHARE = 0.8
"""The used share of a limit. The rest allows for clock differences, and for instances that do not
know of each other."""

OPEN_SLOTS = 2
"""Slots that are open at the same time, since an instance may have no request to send during the
first part of its own slot."""

MIN_REQUESTS_PER_S = 0.2
"""The minimum rate, which replaces any lower limit: without requests no instance would learn that
the limit has been lifted."""

MIN_INSTANCES = 6
"""The minimum assumed number, since an instance that has just started may only know of itself."""

LOG_INTERVAL_S = 1.0
"""The minimum interval of log lines about a replica, which may report another limit in each
response."""


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """A rate limit in a response of a replica.

    :param requests_per_s: requests per second from all instances together.
    :param problem: the code of the problem if the limit is malformed, which then is 0; or None.
    """

    requests_per_s: float
    problem: str | None = None


@dataclasses.dataclass(slots=True)
class _ReportedLimit:
    limit: RateLimit
    since: float
    logged_at: float
    sent_at: float = float("-inf")


class RateLimits:
    """The limits that replicas have reported in responses to this instance.

    :param clock: monotonic and wall-clock time.
    :param name: this instance's name, from which its position is derived until it knows other
        instances.

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> limits = RateLimits(clock)
    >>> limits.set_position(0, 6)
    >>> limits.wait_s("s1")
    0.0
    >>> limits.update("s1", RateLimit(2.0))
    >>> clock.advance(limits.wait_s("s1"))
    >>> limits.request_sent("s1")
    >>> limits.wait_s("s1") > 1.0
    True
    """

    def __init__(self, clock: clocks.Clock, name: str = "") -> None:
        self._clock = clock
        self._reported_by_replica: dict[str, _ReportedLimit] = {}
        self._position = messages.key_hash(name) % MIN_INSTANCES
        self._instances = MIN_INSTANCES

    def set_position(self, position: int, instances: int) -> None:
        """Set this instance's position among the sorted names of all, and their number."""
        self._instances = max(instances, MIN_INSTANCES)
        self._position = position

    def update(self, replica_id: str, limit: RateLimit | None) -> None:
        """Set the limit in a response of a replica; None lifts the limit."""
        now = self._clock.now()
        known = self._reported_by_replica.get(replica_id)
        if limit is None:
            if known is not None:
                del self._reported_by_replica[replica_id]
                _log_change(replica_id, known.limit, None, now - known.since)
            return
        if known is None:
            self._reported_by_replica[replica_id] = _ReportedLimit(limit, now, now)
            _log_change(replica_id, None, limit, 0.0)
            return
        before, known.limit = known.limit, limit
        if before != limit and now - known.logged_at >= LOG_INTERVAL_S:
            known.logged_at = now
            _log_change(replica_id, before, limit, now - known.since)

    def limit(self, replica_id: str) -> RateLimit | None:
        """Return the limit that a replica reported last, or None."""
        known = self._reported_by_replica.get(replica_id)
        return None if known is None else known.limit

    def wait_s(self, replica_id: str) -> float:
        """Return the seconds until this instance may send to a replica; 0 if it may now."""
        known = self._reported_by_replica.get(replica_id)
        if known is None:
            return 0.0
        cycle_s = self._cycle_s(known.limit)
        open_s = cycle_s * OPEN_SLOTS / self._instances
        # A minimum distance from the last request is needed in addition, since a change of the
        # limit shifts the slots, and the clock may be set back.
        min_wait_s = known.sent_at + cycle_s - open_s - self._clock.now()
        since_begin_s = (self._clock.wall() - self._slot_offset_s(replica_id, cycle_s)) % cycle_s
        if min_wait_s <= 0.0 and since_begin_s < open_s:
            return 0.0
        next_slot_s = cycle_s - since_begin_s
        if min_wait_s > next_slot_s:
            next_slot_s += math.ceil((min_wait_s - next_slot_s) / cycle_s) * cycle_s
        return next_slot_s

    def send_slots_within(self, replica_id: str, seconds: float) -> int:
        """Return how many requests this instance may send to a limited replica within a time."""
        known = self._reported_by_replica.get(replica_id)
        wait_s = self.wait_s(replica_id)
        if known is None or wait_s > seconds:
            return 0
        return 1 + int((seconds - wait_s) / self._cycle_s(known.limit))

    def request_sent(self, replica_id: str) -> None:
        """Record that a request is sent to a replica."""
        known = self._reported_by_replica.get(replica_id)
        if known is not None:
            known.sent_at = self._clock.now()

    def slot_interval_s(self, replica_id: str) -> float:
        """Return the seconds between the starts of successive slots of all instances.

        The result is 0 for a replica without a limit.
        """
        known = self._reported_by_replica.get(replica_id)
        return 0.0 if known is None else self._cycle_s(known.limit) / self._instances

    def _cycle_s(self, limit: RateLimit) -> float:
        return self._instances / (LIMIT_SHARE * max(limit.requests_per_s, MIN_REQUESTS_PER_S))

    def _slot_offset_s(self, replica_id: str, cycle_s: float) -> float:
        """Return the offset of this instance's slot in a cycle of a replica."""
        # Different replicas start with different instances, so that the slots of one instance do
        # not all start at the same time.
        first = messages.key_hash(replica_id) % self._instances
        return (self._position + first) % self._instances * cycle_s / self._instances

    def forget(self, present: collections.abc.Container[str]) -> None:
        """Forget the replicas that are not in ``present``."""
        for replica_id in tuple(self._reported_by_replica):
            if replica_id not in present:
                del self._reported_by_replica[replica_id]

    @property
    def replica_ids(self) -> tuple[str, ...]:
        """The replicas that have a limit."""
        return tuple(self._reported_by_replica)

    @property
    def count(self) -> int:
        """How many replicas have a limit."""
        return len(self._reported_by_replica)


def _log_change(
    replica_id: str, before: RateLimit | None, after: RateLimit | None, since_s: float
) -> None:
    """Log a limit that was reported, changed or lifted."""
    logs.state_changed(
        "replica_limit",
        _text(before),
        _text(after),
        replica=replica_id,
        code="-" if after is None or after.problem is None else after.problem,
        age_s=round(since_s, 3),
    )


def _text(limit: RateLimit | None) -> str:
    return "none" if limit is None else f"{limit.requests_per_s:g}"
