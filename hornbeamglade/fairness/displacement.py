"""Which queued request is displaced when a queue is full."""

from hornbeamglade.core import outcomes
from hornbeamglade.fairness import flows, virtualtime


def select_victim(
    work: outcomes.Work,
    weight: float,
    table: flows.FlowTable,
    times: virtualtime.VirtualTimes,
) -> flows.Entry | None:
    """Return the entry that ``work`` displaces, or None if none has a weaker claim.

    Explanation
    ===========

    The victim is the newest request of the team that holds the most entries relative
    to its weight, among requests whose priority is not higher.

    Without displacement, two teams that flood the queue fill it completely, and the
    first request of a team with little load is refused although it has the strongest claim.

    :param weight: the weight of the team of ``work``.
    """

    def load(flow: flows.Flow) -> float:
        return table.queued_count(flow.key.team) / times.weight(flow.key.team)

    eligible = [
        flow
        for flow in table.flows()
        if flow.key.priority <= work.priority and flow.key.team != work.team
    ]
    heaviest = max(eligible, key=lambda flow: (load(flow), -flow.key.priority), default=None)
    if heaviest is None or load(heaviest) <= (table.queued_count(work.team) + 1) / weight:
        return None
    return heaviest.entries[-1]
