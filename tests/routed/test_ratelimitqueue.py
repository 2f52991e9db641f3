"""Which requests wait for rate limited replicas, and which are refused at once."""

import asyncio

from hornbeamglade.core import clocks
from hornbeamglade.replicas import models
from hornbeamglade.routed import ratelimitqueue


class FakeReplicas:
    """Replicas of one service with send slots at given times."""

    def __init__(self, clock, slots_at, limited_ids=("s1",)):
        self._clock = clock
        self._slots_at = slots_at
        self._limited_ids = limited_ids
        self._started_at = clock.now()

    def usable(self, _service, _regions):
        return tuple(models.Replica(name, "web", "", "a", 8) for name in ("s1", "s2")[:2])

    def is_restricted(self, replica_id):
        return replica_id in self._limited_ids

    def send_wait_s(self, _replica_id):
        passed_s = self._clock.now() - self._started_at
        return max(0.0, self._slots_at[0] - passed_s) if self._slots_at else 60.0

    def send_slots_within(self, replica_id, seconds):
        return sum(at <= seconds for at in self._slots_at) if replica_id == "s1" else 0

    def use_slot(self):
        self._slots_at.pop(0)


async def run_queue(slots_at, requests, limited_ids=("s1", "s2")):
    """Return the requests that got a send slot, in order, and those that were refused.

    :param requests: urgency and longest wait in seconds of each request, by name.
    """
    clock = clocks.SystemClock()
    replicas = FakeReplicas(clock, list(slots_at), limited_ids)
    queue = ratelimitqueue.RateLimitQueue(replicas, clock)
    served, refused = [], []
    started_at = clock.now()

    async def send_request(name, urgency, wait_s):
        if await queue.wait("web", None, (), urgency, started_at + wait_s):
            replicas.use_slot()
            served.append(name)
        else:
            refused.append((name, clock.now() - started_at < ratelimitqueue.POLL_INTERVAL_S))

    await asyncio.gather(
        *(send_request(name, *parameters) for name, parameters in requests.items())
    )
    return served, refused


async def test_requests_beyond_the_available_slots_are_refused_at_once():
    """Their wait could not end in time."""
    requests = dict.fromkeys(("a", "b", "c", "d"), (1, 0.5))
    served, refused = await run_queue([0.1, 0.2], requests)
    assert (served, refused) == (["a", "b"], [("c", True), ("d", True)])


async def test_more_urgent_requests_go_first():
    served, refused = await run_queue([0.1, 0.2], {"late": (2, 0.5), "soon": (0, 0.5)})
    assert (served, refused) == (["soon", "late"], [])


async def test_request_that_cannot_be_on_time_is_refused_at_once():
    served, refused = await run_queue([0.2], {"a": (1, 0.1)})
    assert (served, refused) == ([], [("a", True)])


async def test_no_request_waits_while_a_replica_has_no_limit():
    served, refused = await run_queue([0.1], {"a": (1, 0.5)}, limited_ids=("s1",))
    assert (served, refused) == ([], [("a", True)])
