"""Services whose requests have objectives so different that their order matters."""

import collections.abc

from hornbeamglade.routes import models

MIXED_FACTOR = 2.0
"""First-event objectives that differ by this factor leave one request time for another to start
first."""


def mixed_services(routes: collections.abc.Iterable[models.Route]) -> frozenset[str]:
    """Return the services whose routes' first-event objectives differ by a factor of 2 or more.

    Examples
    ========

    >>> split, kind = (models.Split("chat", 1),), models.RouteKind.STREAM
    >>> short = models.Route("s", "a.example", "/s/", kind, split, 6.0, 1.5, 0, 1)
    >>> long = models.Route("l", "a.example", "/l/", kind, split, 39.0, 4.0, 2, 1)
    >>> sorted(mixed_services((short, long))), sorted(mixed_services((short, short)))
    (['chat'], [])
    """
    goals_by_service: dict[str, list[float]] = {}
    for route in routes:
        for split in route.splits:
            if split.weight > 0 and route.goal_s > 0.0:
                goals_by_service.setdefault(split.service, []).append(route.goal_s)
    return frozenset(
        service
        for service, goals in goals_by_service.items()
        if max(goals) >= MIXED_FACTOR * min(goals)
    )


def has_mixed_objectives(service: str, routes: collections.abc.Iterable[models.Route]) -> bool:
    """Return whether a service's configured routes have mixed first-event objectives."""
    return service in mixed_services(routes)


class CoordinatedServices:
    """The services whose waiting requests are ordered over the whole site.

    Explanation
    ===========

    Sharing fresh figures costs bytes in each response, which only pays off where requests
    compete with different urgency or where the replicas' machines are shared.

    :param shares_machines: returns whether a service's replicas share their machines.
    """

    def __init__(self, shares_machines: collections.abc.Callable[[str], bool]) -> None:
        self._shares_machines = shares_machines
        self._mixed: frozenset[str] = frozenset()

    def configure(self, routes: collections.abc.Iterable[models.Route]) -> None:
        """Apply the routes of a configuration revision."""
        self._mixed = mixed_services(routes)

    def includes(self, service: str) -> bool:
        """Return whether a service's requests are ordered over the whole site."""
        return service in self._mixed or self._shares_machines(service)
