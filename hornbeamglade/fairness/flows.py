"""Waiting requests by team and priority, and the order in which they may start."""

import collections
import collections.abc
import dataclasses
import math

from hornbeamglade.core import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class FlowKey:
    """The requests of one team at one priority wait in one first-in-first-out flow."""

    team: str
    priority: int


@dataclasses.dataclass(slots=True)
class Entry:
    """One waiting request.

    :param work: the request.
    :param offered_at: when it began to wait, in seconds.
    :param deadline: when it must have started, in seconds.
    :param due: when it must have started to be on time, in seconds; infinite without an aim.
    :param passes: how often smaller work has started before it while it was first.
    """

    work: outcomes.Work
    offered_at: float
    deadline: float
    due: float = math.inf
    passes: int = 0

    @property
    def flow_key(self) -> FlowKey:
        """Return the flow that the request waits in."""
        return FlowKey(self.work.team, self.work.priority)


class Flow:
    """The waiting requests of one team at one priority, oldest first."""

    def __init__(self, key: FlowKey) -> None:
        self.key = key
        self.last_start: float | None = None
        self.entries: collections.deque[Entry] = collections.deque()

    @property
    def head(self) -> Entry:
        """Return the oldest entry."""
        return self.entries[0]

    def first(self, now: float) -> Entry:
        """Return the oldest entry that can still be on time, or the oldest of all.

        In a crowd that lasts, the oldest has waited for as long as a request may. Were it
        served first, each would start when it is just too late, and none on time.
        """
        return next((entry for entry in self.entries if entry.due > now), self.entries[0])

    def is_late(self, now: float) -> bool:
        """Tell whether none of the entries can be on time any more."""
        return self.first(now).due <= now

    def starved_s(self, now: float) -> float:
        """Return the seconds for which the head has waited without any start of its flow.

        The wait of one entry alone would let a team that floods the queue age its
        whole backlog past the fresh requests of everyone else.
        """
        since = self.head.offered_at
        if self.last_start is not None:
            since = max(since, self.last_start)
        return now - since

    def aged_priority(self, now: float, ageing_s: float, top: int) -> int:
        """Return the priority with ageing, at most ``top``.

        Without the cap a light team that waits its fair turn would rise above
        the heavy ones of its own class, and shares would not follow weights.
        """
        steps = int(self.starved_s(now) / ageing_s)
        return min(top, self.key.priority + steps)


class FlowTable:
    """All waiting requests, by id and by flow."""

    def __init__(self) -> None:
        self._flow_by_key: dict[FlowKey, Flow] = {}
        self._entry_by_id: dict[str, Entry] = {}
        self._waiting_by_team: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        return len(self._entry_by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._entry_by_id

    def waiting(self, team: str) -> int:
        """Return how many requests of ``team`` wait."""
        return self._waiting_by_team[team]

    def entry(self, request_id: str) -> Entry | None:
        """Return the entry of a request, or None when it does not wait."""
        return self._entry_by_id.get(request_id)

    def entries(self) -> collections.abc.Collection[Entry]:
        """Return all entries, in the order in which they were offered."""
        return self._entry_by_id.values()

    def flow(self, key: FlowKey) -> Flow | None:
        """Return a flow, or None when nothing waits in it."""
        return self._flow_by_key.get(key)

    def flows(self) -> list[Flow]:
        """Return the flows in which something waits."""
        return list(self._flow_by_key.values())

    def teams(self) -> collections.abc.Set[str]:
        """Return the teams that wait."""
        return self._waiting_by_team.keys()

    def teams_at(self, priority: int) -> list[str]:
        """Return the teams that wait at ``priority``."""
        return [key.team for key in self._flow_by_key if key.priority == priority]

    def add(self, entry: Entry) -> None:
        """Append an entry to its flow."""
        key = entry.flow_key
        flow = self._flow_by_key.setdefault(key, Flow(key))
        flow.entries.append(entry)
        self._entry_by_id[entry.work.request_id] = entry
        self._waiting_by_team[entry.work.team] += 1

    def remove(self, entry: Entry) -> None:
        """Take an entry out."""
        key = entry.flow_key
        del self._entry_by_id[entry.work.request_id]
        self._flow_by_key[key].entries.remove(entry)
        if not self._flow_by_key[key].entries:
            del self._flow_by_key[key]
        self._waiting_by_team[key.team] -= 1
        if not self._waiting_by_team[key.team]:
            del self._waiting_by_team[key.team]
