"""Selects the route for the host and path of a request."""

import collections.abc

from hornbeamglade.routes import models


class RouteTable:
    """Finds routes by host and longest matching path prefix.

    :param routes: all routes.

    Examples
    ========

    >>> split = (models.Split("web", 1),)
    >>> kind = models.RouteKind.IDEMPOTENT
    >>> wide = models.Route("wide", "a.example", "/", kind, split, 1.0, 0.5, 0, 1)
    >>> deep = models.Route("deep", "a.example", "/x/", kind, split, 1.0, 0.5, 0, 1)
    >>> table = RouteTable((wide, deep))
    >>> table.find("A.example:80", "/x/1?q=2").name, table.find("a.example", "/y").name
    ('deep', 'wide')
    >>> table.find("b.example", "/") is None
    True
    """

    def __init__(self, routes: collections.abc.Iterable[models.Route]) -> None:
        route_by_prefix_by_host: dict[str, dict[str, models.Route]] = {}
        for route in routes:
            route_by_prefix_by_host.setdefault(route.host, {})[route.prefix] = route
        self._route_by_prefix_by_host = route_by_prefix_by_host

    def find(self, host: str, target: str) -> models.Route | None:
        """Return the route of a request, or None.

        :param host: as the caller named it, with or without a port.
        :param target: the path and query.
        """
        name = host.rsplit(":", 1)[0] if ":" in host else host
        route_by_prefix = self._route_by_prefix_by_host.get(name.lower())
        if route_by_prefix is None:
            return None
        path = target.split("?", 1)[0]
        # Every prefix ends with a slash, so a match can only end at a slash of the path.
        end = path.rfind("/")
        while end >= 0:
            route = route_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
