"""Lasting overload: which requests are served on time, and how many."""

import math

from hornbeamglade.core import outcomes
from hornbeamglade.fairness import fairqueue, queuesettings

TARGET_S = 1.5
PATIENCE_S = 4.0
START_INTERVAL_S = 0.2
ARRIVAL_INTERVAL_S = 0.1


def simulate(seconds, due_of):
    """Offer twice as many requests as can be served; return the waits of those that started.

    :param due_of: returns when a request that arrives now must start to be on time.
    """
    settings = queuesettings.QueueSettings(max_waiting=500, team_share=1.0, optimism=10.0)
    queue = fairqueue.FairQueue(settings)
    arrived_at = {}
    waits = []
    steps = round(seconds / ARRIVAL_INTERVAL_S)
    for step in range(steps):
        now = step * ARRIVAL_INTERVAL_S
        name = f"r{step}"
        arrived_at[name] = now
        queue.offer(
            outcomes.Work(name, "tag", f"t{step % 4}", 0, 10),
            1.0,
            now,
            now + PATIENCE_S,
            due_of(now),
        )
        queue.expire(now)
        if step % round(START_INTERVAL_S / ARRIVAL_INTERVAL_S) == 0:
            started = queue.take(lambda work: True, now)
            if started is not None:
                waits.append(now - arrived_at[started.request_id])
    return waits


def count_on_time(waits):
    return sum(wait <= TARGET_S for wait in waits)


def test_under_lasting_overload_requests_that_can_be_on_time_start_first():
    """Twice as many requests arrive as the engines can serve.

    In order of arrival, each request waited nearly until its deadline and every answer was
    late. With the same work, the engines can answer half of the requests on time.
    """
    in_arrival_order = simulate(60, lambda now: math.inf)
    on_time_first = simulate(60, lambda now: now + TARGET_S)
    assert abs(len(in_arrival_order) - len(on_time_first)) <= 2
    assert count_on_time(in_arrival_order) < 0.2 * len(in_arrival_order)
    assert count_on_time(on_time_first) > 0.9 * len(on_time_first)


def test_without_overload_requests_start_in_order_of_arrival():
    queue = fairqueue.FairQueue(queuesettings.QueueSettings())
    for number in range(3):
        work = outcomes.Work(f"r{number}", "tag", "t", 0, 10)
        queue.offer(work, 1.0, float(number), 60.0, 50.0)
    taken = [queue.take(lambda work: True, 5.0).request_id for _ in range(3)]
    assert taken == ["r0", "r1", "r2"]


def test_a_late_request_is_served_when_no_other_is_queued():
    queue = fairqueue.FairQueue(queuesettings.QueueSettings())
    queue.offer(outcomes.Work("late", "tag", "t", 0, 10), 1.0, 0.0, 60.0, 1.0)
    assert queue.take(lambda work: True, 5.0).request_id == "late"
