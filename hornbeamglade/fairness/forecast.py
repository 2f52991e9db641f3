"""How many other requests start before a queued request."""

import collections.abc

from hornbeamglade.fairness import flows, virtualtime


def count_starts_before(
    key: flows.FlowKey,
    ahead: int,
    queued: collections.abc.Iterable[flows.Flow],
    times: virtualtime.VirtualTimes,
) -> float:
    """Return a lower estimate of the number of requests that start before an entry.

    Explanation
    ===========

    The ``ahead`` entries of its own flow start first, and each advances the team's
    virtual time by its pace. Meanwhile the other teams of the priority class start as
    many requests as fit between their virtual time and that one. Teams whose pace is not
    known yet and other classes are ignored, so the estimate tends to be too low.

    :param key: the entry's flow.
    :param ahead: entries before it in its flow.
    :param queued: all flows that are not empty.
    """
    pace = times.pace(key.team)
    start_time = times.virtual_time(key.team) + ahead * (pace or 0.0)
    starts = float(ahead)
    for flow in queued:
        if flow.key.priority == key.priority and flow.key.team != key.team:
            starts += _starts_until(start_time, flow, times)
    return starts


def _starts_until(time: float, flow: flows.Flow, times: virtualtime.VirtualTimes) -> float:
    pace = times.pace(flow.key.team)
    if not pace:
        return 0.0
    starts = (time - times.virtual_time(flow.key.team)) / pace
    return min(max(starts, 0.0), len(flow.entries))
