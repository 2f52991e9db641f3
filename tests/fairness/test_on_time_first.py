"""A crowd that lasts: who is served on time, and how many."""

import math

from hornbeamglade.core import outcomes
from hornbeamglade.fairness import fairqueue, queuesettings

AIM_S = 1.5
PATIENCE_S = 4.0
START_EVERY_S = 0.2
COME_EVERY_S = 0.1


def play(seconds, due_of):
    """Play twice the requests that can be served; return those started by how they waited.

    :param due_of: returns when a request that comes now must start to be on time.
    """
    settings = queuesettings.QueueSettings(max_waiting=500, team_share=1.0, optimism=10.0)
    queue = fairqueue.FairQueue(settings)
    came_at = {}
    waits = []
    steps = round(seconds / COME_EVERY_S)
    for step in range(steps):
        now = step * COME_EVERY_S
        name = f"r{step}"
        came_at[name] = now
        queue.offer(
            outcomes.Work(name, "tag", f"t{step % 4}", 0, 10),
            1.0,
            now,
            now + PATIENCE_S,
            due_of(now),
        )
        queue.expire(now)
        if step % round(START_EVERY_S / COME_EVERY_S) == 0:
            started = queue.take(lambda work: True, now)
            if started is not None:
                waits.append(now - came_at[started.request_id])
    return waits


def on_time(waits):
    return sum(wait <= AIM_S for wait in waits)


def test_in_a_crowd_that_lasts_those_who_can_be_on_time_go_first():
    """Twice as many citizens' letters come as the engines can read.

    Served in order, each waited for as long as a request may, and every clerk got the
    answer too late. The engines did the same work for answers on time for half of them.
    """
    by_order = play(60, lambda now: math.inf)
    by_aim = play(60, lambda now: now + AIM_S)
    assert abs(len(by_order) - len(by_aim)) <= 2
    assert on_time(by_order) < 0.2 * len(by_order)
    assert on_time(by_aim) > 0.9 * len(by_aim)


def test_without_a_crowd_the_order_is_that_of_coming():
    queue = fairqueue.FairQueue(queuesettings.QueueSettings())
    for number in range(3):
        work = outcomes.Work(f"r{number}", "tag", "t", 0, 10)
        queue.offer(work, 1.0, float(number), 60.0, 50.0)
    taken = [queue.take(lambda work: True, 5.0).request_id for _ in range(3)]
    assert taken == ["r0", "r1", "r2"]


def test_one_that_is_late_is_served_when_no_other_waits():
    queue = fairqueue.FairQueue(queuesettings.QueueSettings())
    queue.offer(outcomes.Work("late", "tag", "t", 0, 10), 1.0, 0.0, 60.0, 1.0)
    assert queue.take(lambda work: True, 5.0).request_id == "late"
