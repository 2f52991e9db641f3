"""Queue of requests for services whose replicas all have a rate limit or a backoff.

Explanation
===========

Replicas report a rate limit, or ask for a backoff, when they are overloaded; more requests
arrive than they accept, so most are refused. A request is queued only if it can still meet its
goal and this instance has enough send slots before then for all requests ahead of it; any other
request is refused at once. The queue is ordered by urgency, then by arrival.
"""

import asyncio
import bisect
import collections.abc
import itertools

from hornbeamglade.core import clocks
from hornbeamglade.replicas import availability

POLL_INTERVAL_S = 0.02
"""Interval at which a send slot that another request left unused is noticed."""


class RateLimitQueue:
    """Requests of one instance that wait for send slots; to be used on an event loop.

    :param available: the replicas and their rate limits.
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
        """Wait for a send slot at any replica; return whether there is one.

        :param regions: allowed regions of replicas, or None for all.
        :param excluded: replicas that must not be used.
        :param urgency: rank of the request, 0 is the most urgent.
        :param deadline: latest monotonic time at which the request can start and meet its goal.
        """
        limited = self._rate_limited_replicas(service, regions, excluded)
        queue = self._queue_by_service.setdefault(service, [])
        position = (urgency, next(self._arrival_numbers))
        remaining_s = deadline - self._clock.now()
        send_slots = sum(self._available.send_slots_within(each, remaining_s) for each in limited)
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
            wait_s = min(self._available.send_wait_s(each) for each in limited)
            if wait_s <= 0.0 and queue[0] == position:
                return True
            if self._clock.now() + wait_s >= deadline:
                return False
            await asyncio.sleep(max(POLL_INTERVAL_S, min(wait_s, deadline - self._clock.now())))
        return False

    def _rate_limited_replicas(
        self,
        service: str,
        regions: frozenset[str] | None,
        excluded: collections.abc.Container[str],
    ) -> list[str]:
        """Return the replicas that can take the request as soon as limits and backoffs allow.

        Empty if any usable replica has neither: then the request did not fail for lack of a
        send slot, and waiting for one would not help.
        """
        usable = [
            each.id for each in self._available.usable(service, regions) if each.id not in excluded
        ]
        limited = [each for each in usable if self._available.is_restricted(each)]
        return limited if len(limited) == len(usable) else []
