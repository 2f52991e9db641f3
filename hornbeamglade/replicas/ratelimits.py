"""Requests a second that replicas in need take from all instances together.

Explanation
===========

A replica in need names in its answers how many requests a second it takes, for as long as it says
so. Each instance that has passed on such an answer keeps to it, and cannot know which others have.
So the instances take turns: with ``n`` of them and a limit ``L`` a turn comes round each
``n / (SHARE * L)`` seconds, at a time of its own for each instance, and stands open for
:data:`TURNS_OPEN` of the ``n`` parts of that. An instance may send one request in a turn. Whatever
the demand, and however long nobody asked before, about ``4 * SHARE * L + TURNS_OPEN + 1`` requests
come in four seconds at the most.

Turns go by the time of day and by the instance's position among the names of all, so the instances
agree on them without a word. Where a clock is wrong, or two instances count differently, turns
overlap a little more. What a turn does not use is lost: the answer after the next one says
whether the limit still holds, and what it is.

A slow start (:mod:`hornbeamglade.replicas.slowstart`) spaces requests instead: it lasts for
seconds, in which few turns would come at all, and its bound is higher.

Weighed against *a share an instance, spaced from its last request*: after a pause in the demand
all instances would send at once. Against *one instance that hands out leave*: a round trip before
each request, and a second rule for when that one is away. Against *a random beginning of each
instance's turns*: at 195 instances one minute in 30 had more than the bound.
"""

import collections.abc
import dataclasses
import math

from hornbeamglade.core import clocks
from hornbeamglade.exchange import messages
from hornbeamglade.observability import logs

SHARE = 0.8
"""Of a limit. The rest is for clocks that differ, and for instances not known to each other."""

TURNS_OPEN = 2
"""Turns that are open at any time: an instance may have no request in the middle of its own."""

LEAST_PER_S = 0.2
"""A limit below this counts as this: without any request nobody would learn that it is lifted."""

FEWEST_INSTANCES = 6
"""An instance that has just started may know of itself only."""

TOLD_AGAIN_S = 1.0
"""A replica may name another limit in each answer; a line is written this often."""


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """What a replica's answer names.

    :param requests_per_s: from all instances together.
    :param problem: code of what could not be read, or None; the limit is 0 then.
    """

    requests_per_s: float
    problem: str | None = None


@dataclasses.dataclass(slots=True)
class _Named:
    limit: RateLimit
    since: float
    told_at: float
    sent_at: float = float("-inf")


class RateLimits:
    """The limits that replicas have named in answers to this instance.

    :param clock: monotonic and wall time.
    :param name: this instance's, from which it takes a place before it knows others.

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
        self._named_by_replica: dict[str, _Named] = {}
        self._place = messages.key_hash(name) % FEWEST_INSTANCES
        self._instances = FEWEST_INSTANCES

    def set_position(self, position: int, instances: int) -> None:
        """Note this instance's place among the names of all, and how many there may be."""
        self._instances = max(instances, FEWEST_INSTANCES)
        self._place = position

    def update(self, replica_id: str, limit: RateLimit | None) -> None:
        """Take what a replica's answer names; None lifts its limit."""
        now = self._clock.now()
        known = self._named_by_replica.get(replica_id)
        if limit is None:
            if known is not None:
                del self._named_by_replica[replica_id]
                _tell(replica_id, known.limit, None, now - known.since)
            return
        if known is None:
            self._named_by_replica[replica_id] = _Named(limit, now, now)
            _tell(replica_id, None, limit, 0.0)
            return
        before, known.limit = known.limit, limit
        if before != limit and now - known.told_at >= TOLD_AGAIN_S:
            known.told_at = now
            _tell(replica_id, before, limit, now - known.since)

    def limit(self, replica_id: str) -> RateLimit | None:
        """Return the limit that a replica named last, or None."""
        known = self._named_by_replica.get(replica_id)
        return None if known is None else known.limit

    def wait_s(self, replica_id: str) -> float:
        """Return the seconds until this instance may send to a replica; 0 when it may now."""
        known = self._named_by_replica.get(replica_id)
        if known is None:
            return 0.0
        round_s = self._round_s(known.limit)
        open_s = round_s * TURNS_OPEN / self._instances
        # A limit that changes moves the turns, and a clock may be set back.
        rest_s = known.sent_at + round_s - open_s - self._clock.now()
        since_begin_s = (self._clock.wall() - self._begins_at_s(replica_id, round_s)) % round_s
        if rest_s <= 0.0 and since_begin_s < open_s:
            return 0.0
        slot_interval_s = round_s - since_begin_s
        if rest_s > slot_interval_s:
            slot_interval_s += math.ceil((rest_s - slot_interval_s) / round_s) * round_s
        return slot_interval_s

    def send_slots_within(self, replica_id: str, seconds: float) -> int:
        """Return how many turns of this instance at a limited replica begin within a time."""
        known = self._named_by_replica.get(replica_id)
        wait_s = self.wait_s(replica_id)
        if known is None or wait_s > seconds:
            return 0
        return 1 + int((seconds - wait_s) / self._round_s(known.limit))

    def request_sent(self, replica_id: str) -> None:
        """Note that a request goes to a replica."""
        known = self._named_by_replica.get(replica_id)
        if known is not None:
            known.sent_at = self._clock.now()

    def slot_interval_s(self, replica_id: str) -> float:
        """Return the seconds between the turns of any two instances, or 0 without a limit."""
        known = self._named_by_replica.get(replica_id)
        return 0.0 if known is None else self._round_s(known.limit) / self._instances

    def _round_s(self, limit: RateLimit) -> float:
        return self._instances / (SHARE * max(limit.requests_per_s, LEAST_PER_S))

    def _begins_at_s(self, replica_id: str, round_s: float) -> float:
        """Return where in a round this instance's turn at a replica begins."""
        # Other replicas begin with other instances: not all turns of one come at once.
        first = messages.key_hash(replica_id) % self._instances
        return (self._place + first) % self._instances * round_s / self._instances

    def forget(self, present: collections.abc.Container[str]) -> None:
        """Forget replicas that are gone."""
        for replica_id in tuple(self._named_by_replica):
            if replica_id not in present:
                del self._named_by_replica[replica_id]

    @property
    def count(self) -> int:
        """How many replicas have a limit."""
        return len(self._named_by_replica)


def _tell(
    replica_id: str, before: RateLimit | None, after: RateLimit | None, since_s: float
) -> None:
    """Write the line on a limit that was named, changed or lifted."""
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
