"""Virtual time of teams: the tokens that each was served, divided by its weight.

References
==========

.. [1] Y. Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024.
.. [2] P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
"""

import collections.abc
import dataclasses

_SMOOTHING = 0.2


@dataclasses.dataclass(slots=True)
class _Account:
    weight: float
    time: float = 0.0
    pace: float | None = None
    last_start: float | None = None


class VirtualTimes:
    """Counters of served tokens per weight, raised when an idle team returns.

    Explanation
    ===========

    The length of an answer is unknown when it starts, so tokens are charged as
    they are served [1]_. A team gets no credit for the time that it was idle: on its
    return, its counter is raised to the floor of its priority class, which is the lowest
    counter among the class's queued teams at the last start [2]_.

    Examples
    ========

    >>> times = VirtualTimes()
    >>> times.join("a", priority=0, weight=2.0)
    >>> times.charge("a", 100)
    >>> times.virtual_time("a")
    50.0
    >>> times.raise_floor(0, ["a"])
    >>> times.join("b", priority=0, weight=1.0)
    >>> times.virtual_time("b")
    50.0
    """

    def __init__(self) -> None:
        self._account_by_team: dict[str, _Account] = {}
        self._floor_by_priority: dict[int, float] = {}

    def join(self, team: str, priority: int, weight: float) -> None:
        """Raise ``team`` to the floor of the priority class in which it gets a queued request.

        Otherwise a team that returns after an idle hour would have such a low counter that it
        alone is served until it has caught up, while the callers of all other teams wait.
        """
        floor = self._floor_by_priority.get(priority, 0.0)
        account = self._account_by_team.setdefault(team, _Account(weight))
        account.weight = weight
        account.time = max(account.time, floor)

    def set_weight(self, team: str, weight: float) -> None:
        """Apply a changed weight to tokens that are served from now on."""
        self._account_by_team[team].weight = weight

    def charge_start(self, team: str, tokens: float) -> None:
        """Charge the prompt tokens of a request that starts."""
        account = self._account_by_team[team]
        if account.last_start is not None:
            advance = account.time - account.last_start
            pace = advance if account.pace is None else account.pace
            account.pace = pace + _SMOOTHING * (advance - pace)
        account.last_start = account.time
        self.charge(team, tokens)

    def charge(self, team: str, tokens: float) -> None:
        """Add served tokens; a team that was never queued here is not tracked."""
        account = self._account_by_team.get(team)
        if account is not None:
            account.time += tokens / account.weight

    def virtual_time(self, team: str) -> float:
        """Return the team's virtual time."""
        return self._account_by_team[team].time

    def pace(self, team: str) -> float | None:
        """Return the mean virtual time between two starts of the team, or None if unknown."""
        return self._account_by_team[team].pace

    def weight(self, team: str) -> float:
        """Return the team's weight."""
        return self._account_by_team[team].weight

    def raise_floor(self, priority: int, queued_teams: collections.abc.Iterable[str]) -> None:
        """Raise the floor of a class to the lowest virtual time of its queued teams."""
        lowest = min(self.virtual_time(team) for team in queued_teams)
        floor = self._floor_by_priority.get(priority, 0.0)
        self._floor_by_priority[priority] = max(floor, lowest)

    def prune(self, keep: collections.abc.Container[str]) -> None:
        """Remove teams outside ``keep`` that every class would raise to its floor anyway."""
        floor = min(self._floor_by_priority.values(), default=0.0)
        for team, account in list(self._account_by_team.items()):
            if team not in keep and account.time <= floor:
                del self._account_by_team[team]
