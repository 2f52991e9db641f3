"""Finds the route, team and service of a request."""

import dataclasses

from hornbeamglade.core import outcomes
from hornbeamglade.exchange import messages
from hornbeamglade.quarantine import fingerprints, lostruns
from hornbeamglade.routed import calls, views
from hornbeamglade.routes import models, splits

NO_CONFIGURATION = "no_configuration"
MAX_PROMPT_PARTS = 32
"""Parts of a prompt that are looked at; callers may list any number."""

NO_CONFIGURATION_RETRY_S = 0.3
"""A node gets the configuration within a few hundred milliseconds of reaching the store or
a peer."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request with its route, team and service.

    :param call: the request.
    :param route: the matching route.
    :param service: the service chosen by the route.
    :param team: the caller's team, or None if no key is needed.
    :param revision: revision of the configuration used for routing.
    :param fingerprint: hash that identifies repetitions of the same request.
    :param prompt: the parts of its prompt that other requests may contain, or None for none.
    """

    call: calls.Call
    route: models.Route
    service: models.Service
    team: models.Team | None
    revision: int
    fingerprint: int = 0
    prompt: lostruns.PromptParts | None = None

    @property
    def urgency(self) -> int:
        """Rank of the request, 0 is the most urgent; a team's rank overrides the route's."""
        if self.team is not None and self.team.urgency is not None:
            return self.team.urgency
        return self.route.urgency

    @property
    def allowed_regions(self) -> frozenset[str] | None:
        """Regions that may serve the request, or None for all; empty if none may.

        The intersection of the route's and the team's regions.
        """
        team_regions = None if self.team is None else self.team.allowed_regions
        region_sets = [
            each for each in (self.route.allowed_regions, team_regions) if each is not None
        ]
        return frozenset.intersection(*region_sets) if region_sets else None

    @property
    def ends_at(self) -> float:
        """Monotonic time by which the response must be complete."""
        return min(self.call.deadline, self.call.arrived_at + self.route.timeout_s)


def route(call: calls.Call, view: views.RouteView | None) -> RoutedRequest | outcomes.Refusal:
    """Route a request, or return the refusal to send to its caller.

    :param view: view of the current configuration, or None before the first one.
    """
    if view is None:
        detail = "this node does not know the configuration yet"
        return outcomes.Refusal(
            NO_CONFIGURATION, 503, detail, retry_after_s=NO_CONFIGURATION_RETRY_S
        )
    matched_route = view.table.find(call.host, call.target.decode("latin-1"))
    if matched_route is None:
        return outcomes.Refusal("no_route", 404, "no route begins this host and path")
    team = view.keys.identify(call.authorization)
    if team is None and view.keys.is_required and not matched_route.is_public:
        return outcomes.Refusal("key_unknown", 401, "no team holds this key")
    service = view.configuration.service_by_name[
        splits.choose_service(matched_route, call.first_id)
    ]
    return RoutedRequest(
        call,
        matched_route,
        service,
        team,
        view.revision,
        _fingerprint(call, team),
        _prompt(call, service, team),
    )


def _prompt(
    call: calls.Call, service: models.Service, team: models.Team | None
) -> lostruns.PromptParts | None:
    if call.generation is None or len(call.generation.parts) < 2:
        return None
    shared = call.generation.parts[:-1][:MAX_PROMPT_PARTS]
    return lostruns.PromptParts(
        tuple(lostruns.part_hash(service.name, each.id) for each in shared),
        messages.key_hash("" if team is None else team.name),
        messages.key_hash(service.name),
    )


def _fingerprint(call: calls.Call, team: models.Team | None) -> int:
    caller = "" if team is None else team.name
    return fingerprints.fingerprint(call.method, call.host, call.target, caller, call.body)
