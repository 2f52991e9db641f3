"""Requests that wait for a turn where all replicas of a service have named limits.

Explanation
===========

Load: more requests than the replicas in need take, so most are refused. A request waits only
while it can still be on time and this instance has turns enough for those that wait before it;
any other is refused at once. The more urgent go first, then those that came first.
"""

import asyncio
import bisect
import collections.abc
import itertools

from hornbeamglade.core import clocks
from hornbeamglade.replicas import availability

POLL_INTERVAL_S = 0.02
"""A turn that another request did not use after all is seen this soon."""


class RateLimitQueue:
    """The requests of one instance that wait for turns; to be used on an event loop.

    :param available: the replicas, and the turns at them.
    :param clock: monotonic time.
    """

    def __init__(self, available: availability.Availability, clock: clocks.Clock) -> None:
        self._available = available
        self._clock = clock
        self._arrival_numbers = itertools.count()
        self._queue_by_service: dict[str, list[tuple[int, int]]] = {}

    async def wait(
        self,
        service: str,
        regions: frozenset[str] | None,
        excluded: collections.abc.Container[str],
        urgency: int,
        deadline: float,
    ) -> bool:
        """Wait for a turn at any replica; return whether there is one.

        :param regions: where replicas may stand, or None for everywhere.
        :param tried: replicas that are out of the question.
        :param urgency: the request's rank, 0 first.
        :param until: monotonic seconds at which it must start to be on time.
        """
        limited = self._rate_limited_replicas(service, regions, excluded)
        queue = self._queue_by_service.setdefault(service, [])
        position = (urgency, next(self._arrival_numbers))
        left_s = deadline - self._clock.now()
        send_slots = sum(self._available.send_slots_within(each, left_s) for each in limited)
        if bisect.bisect(queue, position) >= send_slots:
            return False
        bisect.insort(queue, position)
        try:
            return await self._wait_until_first(limited, queue, position, deadline)
        finally:
            queue.remove(position)

    async def _wait_until_first(
        self,
        limited: list[str],
        queue: list[tuple[int, int]],
        position: tuple[int, int],
        deadline: float,
    ) -> bool:
        while self._clock.now() < deadline:
            wait_s = min(self._available.limit_wait_s(each) for each in limited)
            if wait_s <= 0.0 and queue[0] == position:
                return True
            await asyncio.sleep(max(POLL_INTERVAL_S, min(wait_s, deadline - self._clock.now())))
        return False

    def _rate_limited_replicas(
        self,
        service: str,
        regions: frozenset[str] | None,
        excluded: collections.abc.Container[str],
    ) -> list[str]:
        """Return the replicas that only their limits keep from getting a request.

        None where another replica may get it: it is not for want of a turn that it did not.
        """
        usable = [
            each.id for each in self._available.usable(service, regions) if each.id not in excluded
        ]
        limited = [each for each in usable if self._available.limit(each) is not None]
        return limited if len(limited) == len(usable) else []
