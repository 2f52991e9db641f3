"""Limits on a team's requests in flight, and a node's share of them, as plain values."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class TeamLimit:
    """The limits of one team over all nodes.

    :param name: the team's name in the configuration.
    :param weight: its weight relative to other teams in fair scheduling, above 0.
    :param priority: larger is more urgent; 0 is the lowest.
    :param requests_in_flight: the maximum number of requests that run or wait at once.
    :param tokens_in_flight: the maximum number of expected tokens of these requests.
    """

    name: str
    weight: float
    priority: int
    requests_in_flight: int
    tokens_in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class TeamShare:
    """A node's share of one team's limit, as announced in its heartbeats.

    :param team: the team's name.
    :param share: the part of the limit that the node may use, 0 to 1.
    :param demand: the part that it would use without a limit; may exceed 1.
    """

    team: str
    share: float
    demand: float
