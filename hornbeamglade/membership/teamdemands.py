"""Conversion between shares of a team's limit and their form in heartbeats."""

import math

from hornbeamglade.exchange import messages
from hornbeamglade.teams import teamlimits

SHARE_UNIT = 10_000
MAX_UINT16 = 2**16 - 1


def to_message(team_share: teamlimits.TeamShare) -> messages.TeamDemand:
    """Convert a share to its form in heartbeats.

    Explanation
    ===========

    The share is rounded up. If less than the actual share were announced, other nodes would
    claim the difference, and the shares would sum to more than the limit.

    Examples
    ========

    >>> to_message(teamlimits.TeamShare("clerks", share=0.12501, demand=1.5)).share
    1251
    """
    return messages.TeamDemand(
        messages.key_hash(team_share.team),
        min(math.ceil(team_share.share * SHARE_UNIT), MAX_UINT16),
        min(round(team_share.demand * SHARE_UNIT), MAX_UINT16),
    )


def from_message(team: str, demand: messages.TeamDemand) -> teamlimits.TeamShare:
    """Convert the demand of one team from its form in heartbeats.

    :param team: the name of the team whose hash is in ``demand``.
    """
    return teamlimits.TeamShare(team, demand.share / SHARE_UNIT, demand.demand / SHARE_UNIT)
