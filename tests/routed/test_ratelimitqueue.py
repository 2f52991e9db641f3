"""Who waits for a turn at replicas in need, and who is refused at once."""

import asyncio

from hornbeamglade.core import clocks
from hornbeamglade.replicas import models, ratelimits
from hornbeamglade.routed import ratelimitqueue
from tests import eventloop


class Limited:
    """Replicas of one service whose turns come at set times."""

    def __init__(self, clock, turns_at, limited=("s1",)):
        self._clock = clock
        self._turns_at = turns_at
        self._limited = limited
        self._begins_at = clock.now()

    def usable(self, _service, _regions):
        return tuple(models.Replica(name, "web", "", "a", 8) for name in ("s1", "s2")[:2])

    def limit(self, replica_id):
        return ratelimits.RateLimit(1.0) if replica_id in self._limited else None

    def limit_wait_s(self, _replica_id):
        passed_s = self._clock.now() - self._begins_at
        return max(0.0, self._turns_at[0] - passed_s) if self._turns_at else 60.0

    def send_slots_within(self, replica_id, seconds):
        return sum(at <= seconds for at in self._turns_at) if replica_id == "s1" else 0

    def take(self):
        self._turns_at.pop(0)


def play(turns_at, requests, limited=("s1", "s2")):
    """Return which requests got a turn, in order, and which were refused at once.

    :param requests: name, urgency and the seconds for which each can wait, by name.
    """

    async def main():
        clock = clocks.SystemClock()
        replicas = Limited(clock, list(turns_at), limited)
        queue = ratelimitqueue.RateLimitQueue(replicas, clock)
        served, refused = [], []
        begin = clock.now()

        async def ask(name, urgency, wait_s):
            if await queue.wait("web", None, (), urgency, begin + wait_s):
                replicas.take()
                served.append(name)
            else:
                refused.append((name, clock.now() - begin < ratelimitqueue.POLL_INTERVAL_S))

        await asyncio.gather(*(ask(name, *told) for name, told in requests.items()))
        return served, refused

    return eventloop.run(main())


def test_those_for_whom_no_turn_is_left_are_refused_at_once():
    """Guards callers against a wait that cannot end in time."""
    requests = dict.fromkeys(("a", "b", "c", "d"), (1, 0.5))
    served, refused = play([0.1, 0.2], requests)
    assert (served, refused) == (["a", "b"], [("c", True), ("d", True)])


def test_the_more_urgent_go_first():
    served, refused = play([0.1, 0.2], {"late": (2, 0.5), "soon": (0, 0.5)})
    assert (served, refused) == (["soon", "late"], [])


def test_who_cannot_be_on_time_does_not_wait():
    served, refused = play([0.2], {"a": (1, 0.1)})
    assert (served, refused) == ([], [("a", True)])


def test_nobody_waits_for_a_turn_where_a_replica_has_no_limit():
    served, refused = play([0.1], {"a": (1, 0.5)}, limited=("s1",))
    assert (served, refused) == ([], [("a", True)])
