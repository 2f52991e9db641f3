"""The view of the active revision that a node derives once per revision."""

import dataclasses

from hornbeamglade.configuration import following, models
from hornbeamglade.core import outcomes
from hornbeamglade.teams import identity, teamlimits

NOT_READY_RETRY_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class SiteView:
    """A revision in the form in which requests are checked against it.

    :param revision: the revision's number.
    :param site: the site's configuration.
    :param directory: finds the team of a key.
    :param service_by_model: names of generation services by the ``model`` that callers specify.
    :param weight_sum: the sum of the weights of all teams.
    """

    revision: int
    site: models.SiteConfiguration
    directory: identity.TeamDirectory
    service_by_model: dict[str, str]
    weight_sum: float

    def team_share(self, team: str) -> float:
        """Return a team's part of all weights, which is the same on every node."""
        return self.site.team_by_name[team].weight / self.weight_sum

    def team_limits(self) -> tuple[teamlimits.TeamLimit, ...]:
        """Return every team's limits."""
        return tuple(_team_limit(name, team) for name, team in self.site.team_by_name.items())

    def max_body_bytes(self) -> int:
        """Return the maximum body size that any service accepts."""
        bounds = (service.max_body_bytes for service in self.site.service_by_name.values())
        return max(bounds, default=0)

    def permitted(self, team: str, service: str) -> outcomes.Refusal | models.Service:
        """Return a service if the team may call it.

        An unknown service and one that the team may not call get different codes:
        the names of services are not secret within a site.
        """
        found = self.site.service_by_name.get(service)
        if found is None:
            return outcomes.Refusal("service_unknown", 404, f"there is no service {service!r}")
        if not self.site.team_by_name[team].may_call(service):
            detail = f"team {team} may not call service {service}"
            return outcomes.Refusal("service_not_permitted", 403, detail)
        return found


def derive(in_force: following.ActiveRevision) -> SiteView:
    """Derive the view of a revision.

    :param in_force: the revision and the site's configuration in it.
    """
    site = in_force.site
    keys = (identity.TeamKeys(name, team.key_hashes) for name, team in site.team_by_name.items())
    return SiteView(
        revision=in_force.revision.number,
        site=site,
        directory=identity.TeamDirectory(keys),
        service_by_model={
            service.model: name
            for name, service in site.service_by_name.items()
            if service.kind == "generation" and service.model is not None
        },
        weight_sum=sum(team.weight for team in site.team_by_name.values()),
    )


def not_ready(code: str) -> outcomes.Refusal:
    """Return the refusal of a node that has no active configuration.

    :param code: the readiness code.
    """
    detail = "this node has no configuration in force yet"
    return outcomes.Refusal(code, 503, detail, retry_after_s=NOT_READY_RETRY_S)


def _team_limit(name: str, team: models.Team) -> teamlimits.TeamLimit:
    return teamlimits.TeamLimit(
        name=name,
        weight=team.weight,
        priority=team.priority,
        requests_in_flight=team.requests_in_flight,
        tokens_in_flight=team.tokens_in_flight,
    )
