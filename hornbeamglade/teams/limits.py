"""Limits on requests and tokens in flight per team at one node, as an aggregate.

:mod:`hornbeamglade.teams.shares` describes how a team's limit is enforced over several
nodes, and the alternatives.
"""

import collections.abc
import dataclasses

from hornbeamglade.core import codederrors, outcomes
from hornbeamglade.teams import shares, teamlimits

_MIN_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """The admission of a request, which counts against its team's limit until released.

    :param team: the team's name.
    :param tokens: the expected tokens that were counted.
    """

    team: str
    tokens: int


class _TeamState:
    def __init__(self, limit: teamlimits.TeamLimit, controller: shares.ShareController) -> None:
        self.limit = limit
        self.controller = controller
        self.requests = 0
        self.tokens = 0
        self.refused_requests = 0
        self.refused_tokens = 0

    def used(self) -> float:
        """Return the part of the limit in flight here, the larger of requests and tokens."""
        return self._part(self.requests, self.tokens)

    def demand(self) -> float:
        """Return the part that is in flight or was refused since the last heartbeat."""
        requests = self.requests + self.refused_requests
        return self._part(requests, self.tokens + self.refused_tokens)

    def _part(self, requests: int, tokens: int) -> float:
        by_requests = requests / self.limit.requests_in_flight
        return max(by_requests, tokens / self.limit.tokens_in_flight)


class TeamLimits:
    """The requests of each team in flight at this node, limited by this node's shares.

    :param node: this node's name.
    :param settings: settings for the adjustment of shares.

    Examples
    ========

    >>> limits = TeamLimits("n1", shares.ShareSettings())
    >>> limits.configure([teamlimits.TeamLimit("clerks", 1.0, 0, 1, 1000)])
    >>> limits.set_shard("clerks", ("n1",))
    >>> admission = limits.admit("clerks", 300)
    >>> admission
    Admission(team='clerks', tokens=300)
    >>> limits.admit("clerks", 300).code
    'team_limit'
    >>> limits.release(admission)
    >>> limits.admit("clerks", 300)
    Admission(team='clerks', tokens=300)
    """

    def __init__(self, node: str, settings: shares.ShareSettings) -> None:
        self._node = node
        self._settings = settings
        self._state_by_team: dict[str, _TeamState] = {}

    def configure(self, limits: collections.abc.Iterable[teamlimits.TeamLimit]) -> None:
        """Set the configured limits; requests in flight remain counted."""
        limit_by_name = {limit.name: limit for limit in limits}
        for name, limit in limit_by_name.items():
            state = self._state_by_team.get(name)
            if state is None:
                controller = shares.ShareController(name, self._node, self._settings)
                self._state_by_team[name] = _TeamState(limit, controller)
            else:
                state.limit = limit
        for name in self._state_by_team.keys() - limit_by_name.keys():
            if not self._state_by_team[name].requests:
                del self._state_by_team[name]

    def set_shard(self, team: str, members: collections.abc.Collection[str]) -> None:
        """Set the nodes of a team's shard, whose addresses are returned to its callers.

        :param members: see :func:`hornbeamglade.membership.addresses.shard_members`.
        """
        self._state(team).controller.set_shard(members)

    def admit(self, team: str, tokens: int) -> Admission | outcomes.Refusal:
        """Count a request against its team's limit, or refuse it.

        :param tokens: its expected tokens, of the prompt and the completion.
        """
        state = self._state(team)
        if self._is_within_limit(state, tokens):
            state.requests += 1
            state.tokens += tokens
            return Admission(team, tokens)
        state.refused_requests += 1
        state.refused_tokens += tokens
        return outcomes.Refusal(
            "team_limit",
            429,
            f"team {team} has as much in flight as its limit allows here",
            outcomes.RunStatus.NOT_RUN,
            _MIN_RETRY_S,
        )

    def release(self, admission: Admission) -> None:
        """Stop counting a request; call this exactly once for each ``Admission``.

        :raises InvariantError: if more requests or tokens are released than were admitted.
        """
        state = self._state(admission.team)
        if state.requests < 1 or state.tokens < admission.tokens:
            raise codederrors.InvariantError("team_left_twice", admission.team)
        state.requests -= 1
        state.tokens -= admission.tokens

    def in_flight(self, team: str) -> int:
        """Return how many requests of ``team`` are in flight at this node."""
        return self._state(team).requests

    def record_peer_share(self, node: str, announced: teamlimits.TeamShare) -> None:
        """Record the share of one team that another node's heartbeat announced."""
        state = self._state_by_team.get(announced.team)
        if state is not None:
            state.controller.record_peer_share(node, announced)

    def heartbeat(self, max_teams: int | None = None) -> tuple[teamlimits.TeamShare, ...]:
        """Adjust the shares by demand and return what to announce; call once per heartbeat.

        :param max_teams: how many teams can be announced; None for all. A share that is not
            announced is not adjusted, and always the same teams are announced, since the
            bound on the sum of shares requires that every adjustment is announced.
        """
        announced: list[teamlimits.TeamShare] = []
        for name in sorted(self._state_by_team)[:max_teams]:
            state = self._state_by_team[name]
            announced.append(state.controller.adjust(state.demand(), state.used()))
            state.refused_requests = 0
            state.refused_tokens = 0
        return tuple(announced)

    def share_by_team(self, max_teams: int) -> dict[str, float]:
        """Return this node's part of the limits of the teams that it announces.

        :param max_teams: as in :meth:`heartbeat`.
        """
        names = sorted(self._state_by_team)[:max_teams]
        return {name: self._state_by_team[name].controller.share for name in names}

    def _is_within_limit(self, state: _TeamState, tokens: int) -> bool:
        share = state.controller.share
        # One request is always allowed: a limit that is split over several nodes must not
        # cause a refusal for a team that has no request in flight here.
        if state.requests == 0:
            return True
        requests_limit = state.limit.requests_in_flight * share
        tokens_limit = state.limit.tokens_in_flight * share
        return state.requests + 1 <= requests_limit and state.tokens + tokens <= tokens_limit

    def _state(self, team: str) -> _TeamState:
        state = self._state_by_team.get(team)
        if state is None:
            raise codederrors.CodedError("team_unknown", f"no team is named {team}")
        return state
