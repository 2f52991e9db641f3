"""The node's own endpoints: models, addresses, metrics, health, status."""

import itertools
import json
from collections.abc import Callable

from hornbeamglade.callers import application, problems
from hornbeamglade.core import outcomes
from hornbeamglade.membership import addresses, discovery
from hornbeamglade.membership import view as membershipview
from hornbeamglade.node import runtime, siteview
from hornbeamglade.observability import metricsregistry, statuspage

JSON_TYPE = ("Content-Type", "application/json")
NOT_READY_RETRY_S = 2.0


class Pages:
    """Answers the node's own pages.

    :param parts: the node's components.
    :param members: all known nodes.
    :param ready: returns None, or the reason why the node is not ready.
    :param status: returns the status page.
    """

    def __init__(
        self,
        parts: runtime.Runtime,
        members: Callable[[], tuple[membershipview.Member, ...]],
        ready: Callable[[], str | None],
        status: Callable[[], statuspage.NodeStatus],
    ) -> None:
        self._parts = parts
        self._members = members
        self._ready = ready
        self._status = status
        self._rotation = itertools.count()

    def answer(self, name: str, request: application.CallerRequest) -> application.Answer:
        """Answer one page.

        :param name: as in the application's routes.
        """
        if name in ("models", "addresses"):
            return self._for_team(name, request)
        if name == "metrics":
            headers = (("Content-Type", metricsregistry.CONTENT_TYPE),)
            return problems.Response(200, headers, self._parts.metrics.exposition())
        if name == "status":
            return problems.Response(200, (JSON_TYPE,), self._status().model_dump_json().encode())
        if name == "members":
            body = discovery.members_page(self._members())
            return problems.Response(200, (JSON_TYPE,), body)
        if name == "health":
            return _json({"status": "ok"})
        return self._readiness()

    def _readiness(self) -> application.Answer:
        reason = self._ready()
        if reason is None:
            return _json({"status": "ready"})
        detail = "this node does not take new callers"
        return outcomes.Refusal(reason, 503, detail, retry_after_s=NOT_READY_RETRY_S)

    def _for_team(self, name: str, request: application.CallerRequest) -> application.Answer:
        view = self._parts.views.current()
        if isinstance(view, outcomes.Refusal):
            return view
        team = view.directory.identify(request.header_by_name.get("authorization"))
        if isinstance(team, outcomes.Refusal):
            return team
        return self._models(view, team) if name == "models" else self._addresses(view, team)

    def _models(self, view: siteview.SiteView, team: str) -> problems.Response:
        permitted = view.site.team_by_name[team]
        models = [
            {"id": model, "object": "model", "created": 0, "owned_by": service}
            for model, service in sorted(view.service_by_model.items())
            if permitted.may_call(service)
        ]
        return _json({"object": "list", "data": models})

    def _addresses(self, view: siteview.SiteView, team: str) -> problems.Response:
        address_settings = view.site.addresses
        found = addresses.select_addresses(
            team,
            self._members(),
            view.team_share(team),
            next(self._rotation),
            address_settings.ttl_s,
            address_settings.per_team,
        )
        headers = (JSON_TYPE, ("Cache-Control", f"max-age={found.ttl_s}"))
        body = {"addresses": found.addresses, "ttl_s": found.ttl_s}
        return problems.Response(200, headers, json.dumps(body).encode())


def _json(body: dict) -> problems.Response:
    return problems.Response(200, (JSON_TYPE,), json.dumps(body).encode())
