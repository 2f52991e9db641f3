"""What a routed request is decided by: the configuration and the list, as they are now."""

import dataclasses

from hornbeamglade.http1 import serverside
from hornbeamglade.routes import models, routetable, teamkeys


class RouteView:
    """One revision of the configuration, indexed for requests.

    :param configuration: the revision.
    """

    def __init__(self, configuration: models.Configuration) -> None:
        self.configuration = configuration
        self.revision = configuration.revision
        self.table = routetable.RouteTable(configuration.routes)
        self.keys = teamkeys.TeamKeys(configuration.teams)
        limits = configuration.limits
        self.limits = serverside.ConnectionLimits(
            limits.max_head_bytes,
            limits.max_body_bytes,
            limits.head_timeout_s,
            limits.idle_timeout_s,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ListStaleness:
    """How far this node's list of replicas can be trusted.

    :param list_version: its version.
    :param age_s: seconds since something confirmed it, or None when nothing has.
    """

    list_version: int
    age_s: float | None


@dataclasses.dataclass(slots=True)
class CurrentView:
    """What is in force; replaced as a whole, so that a request sees one revision.

    :param routes: None until a revision is known.
    """

    routes: RouteView | None = None
