"""Finds the team that holds a caller's key."""

import collections.abc

from hornbeamglade.routes import models

_SCHEME = "bearer "


class TeamKeys:
    """The keys of all teams in one revision of the configuration.

    :param teams: all teams.

    Examples
    ========

    >>> keys = TeamKeys((models.Team("clinic", frozenset(("k1",))),))
    >>> keys.identify("Bearer k1").name
    'clinic'
    >>> keys.identify("Bearer k2") is None
    True
    """

    def __init__(self, teams: collections.abc.Iterable[models.Team]) -> None:
        known = tuple(teams)
        self._team_by_key = {key: team for team in known for key in team.keys}
        self._is_required = bool(known)

    @property
    def is_required(self) -> bool:
        """Whether requests to routes that are not public need a key.

        With teams that hold no keys at all, every such request is refused.
        """
        return self._is_required

    def identify(self, authorization: str | None) -> models.Team | None:
        """Return the team of an ``Authorization`` value, or None when no team holds the key."""
        if authorization is None or authorization[: len(_SCHEME)].lower() != _SCHEME:
            return None
        return self._team_by_key.get(authorization[len(_SCHEME) :].strip())
