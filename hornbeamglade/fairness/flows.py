"""Queued requests by team and priority, and the order in which they may start."""

import collections
import collections.abc
import dataclasses
import math

from hornbeamglade.core import outcomes

Deferral = collections.abc.Callable[[int, float], bool]
"""Whether a request, by its priority and due time, lets others pass for now."""


@dataclasses.dataclass(frozen=True, slots=True)
class FlowKey:
    """Identifies a flow: the first-in-first-out queue of one team at one priority."""

    team: str
    priority: int


@dataclasses.dataclass(slots=True)
class Entry:
    """One queued request.

    :param work: the request.
    :param offered_at: when it entered the queue, in seconds.
    :param deadline: when it must have started, in seconds.
    :param due: when it must have started to be on time, in seconds; infinite without a target.
    :param passes: how often smaller requests have started before it while it was first.
    """

    work: outcomes.Work
    offered_at: float
    deadline: float
    due: float = math.inf
    passes: int = 0

    @property
    def flow_key(self) -> FlowKey:
        """Return the key of the flow in which the request waits."""
        return FlowKey(self.work.team, self.work.priority)


class Flow:
    """The queued requests of one team at one priority, oldest first."""

    def __init__(self, key: FlowKey) -> None:
        self.key = key
        self.last_start: float | None = None
        self.entries: collections.deque[Entry] = collections.deque()

    @property
    def head(self) -> Entry:
        """Return the oldest entry."""
        return self.entries[0]

    def next_entry(self, now: float) -> Entry:
        """Return the oldest entry that can still be on time, or else the oldest entry.

        During lasting overload, the oldest entry has waited nearly until its deadline. If it
        were served first, every request would start just too late, and none on time.
        """
        return next((entry for entry in self.entries if entry.due > now), self.entries[0])

    def next_startable(self, now: float, is_deferred: Deferral | None) -> Entry | None:
        """Return the next entry among those that are not deferred, or None.

        :param is_deferred: the entries that are deferred; None for none.
        """
        if is_deferred is None:
            return self.next_entry(now)
        oldest = None
        for entry in self.entries:
            if not is_deferred(entry.work.priority, entry.due):
                if entry.due > now:
                    return entry
                oldest = oldest or entry
        return oldest

    def is_late(self, now: float) -> bool:
        """Return whether none of the entries can still be on time."""
        return self.next_entry(now).due <= now

    def starved_s(self, now: float) -> float:
        """Return the seconds for which the head has waited without any start from its flow.

        If the wait of the entry alone counted, the whole backlog of a team that floods the
        queue would age past the new requests of all other teams.
        """
        since = self.head.offered_at
        if self.last_start is not None:
            since = max(since, self.last_start)
        return now - since

    def aged_priority(self, now: float, ageing_s: float, top: int) -> int:
        """Return the priority increased by ageing, at most ``top``.

        Without the limit, a team of low weight that waits for its fair share would rise above
        the teams of high weight in its class, and shares would not follow weights.
        """
        steps = int(self.starved_s(now) / ageing_s)
        return min(top, self.key.priority + steps)


class FlowTable:
    """All queued requests, by id and by flow."""

    def __init__(self) -> None:
        self._flow_by_key: dict[FlowKey, Flow] = {}
        self._entry_by_id: dict[str, Entry] = {}
        self._queued_by_team: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        return len(self._entry_by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._entry_by_id

    def queued_count(self, team: str) -> int:
        """Return how many requests of ``team`` are queued."""
        return self._queued_by_team[team]

    def entry(self, request_id: str) -> Entry | None:
        """Return the entry of a request, or None if it is not queued."""
        return self._entry_by_id.get(request_id)

    def entries(self) -> collections.abc.Collection[Entry]:
        """Return all entries in the order in which they were added."""
        return self._entry_by_id.values()

    def flow(self, key: FlowKey) -> Flow | None:
        """Return a flow, or None if it is empty."""
        return self._flow_by_key.get(key)

    def flows(self) -> list[Flow]:
        """Return the flows that are not empty."""
        return list(self._flow_by_key.values())

    def teams(self) -> collections.abc.Set[str]:
        """Return the teams that have queued requests."""
        return self._queued_by_team.keys()

    def teams_at(self, priority: int) -> list[str]:
        """Return the teams that have queued requests at ``priority``."""
        return [key.team for key in self._flow_by_key if key.priority == priority]

    def add(self, entry: Entry) -> None:
        """Append an entry to its flow."""
        key = entry.flow_key
        flow = self._flow_by_key.setdefault(key, Flow(key))
        flow.entries.append(entry)
        self._entry_by_id[entry.work.request_id] = entry
        self._queued_by_team[entry.work.team] += 1

    def remove(self, entry: Entry) -> None:
        """Remove an entry from its flow."""
        key = entry.flow_key
        del self._entry_by_id[entry.work.request_id]
        self._flow_by_key[key].entries.remove(entry)
        if not self._flow_by_key[key].entries:
            del self._flow_by_key[key]
        self._queued_by_team[key.team] -= 1
        if not self._queued_by_team[key.team]:
            del self._queued_by_team[key.team]
