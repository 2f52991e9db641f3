"""Conversion between shares of a team's limit and their form in heartbeats."""

import math

from hornbeamglade.exchange import messages
from hornbeamglade.teams import teamlimits

SHARE_UNIT = 10_000
MAX_UINT16 = 2**16 - 1


def to_message(share: teamlimits.TeamShare) -> messages.TeamDemand:
    """Return the form in which a heartbeat tells a share.

    Explanation
    ===========

    The share is rounded up: told as less than it is, it would leave room that
    others take, and the shares would sum to more than the limit.

    Examples
    ========

    >>> to_message(teamlimits.TeamShare("clerks", share=0.12501, demand=1.5)).share
    1251
    """
    return messages.TeamDemand(
        messages.key_hash(share.team),
        min(math.ceil(share.share * SHARE_UNIT), MAX_UINT16),
        min(round(share.demand * SHARE_UNIT), MAX_UINT16),
    )


def from_message(team: str, demand: messages.TeamDemand) -> teamlimits.TeamShare:
    """Return what a heartbeat told of one team.

    :param team: the name of the hash in ``demand``.
    """
    return teamlimits.TeamShare(team, demand.share / SHARE_UNIT, demand.demand / SHARE_UNIT)
