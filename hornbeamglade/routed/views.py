"""Views of the current configuration and replica list, used to route requests."""

import dataclasses

from hornbeamglade.http1 import callerrequests
from hornbeamglade.routes import models, routetable, teamkeys


class RouteView:
    """One revision of the configuration, indexed for request lookups.

    :param configuration: the configuration at that revision.
    """

    def __init__(self, configuration: models.Configuration) -> None:
        self.configuration = configuration
        self.revision = configuration.revision
        self.table = routetable.RouteTable(configuration.routes)
        self.keys = teamkeys.TeamKeys(configuration.teams)
        limits = configuration.limits
        self.limits = callerrequests.ConnectionLimits(
            limits.max_head_bytes,
            limits.max_body_bytes,
            limits.head_timeout_s,
            limits.idle_timeout_s,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ListStaleness:
    """Version and age of this node's replica list.

    :param list_version: version of the list.
    :param age_s: seconds since the list was last confirmed, or None if it never was.
    """

    list_version: int
    age_s: float | None


@dataclasses.dataclass(slots=True)
class CurrentView:
    """Holds the current route view.

    The view is replaced as a whole, so that each request sees a single revision.

    :param routes: the view, or None until a revision is known.
    """

    routes: RouteView | None = None
