"""Documents that an operator writes to the platform: the manifest and replica list entries."""

import collections.abc
import dataclasses
import json

from hornbeamglade.standins import routed

HOST = "mail.example"
ENGINE_SERVICE = "llm"
PLAIN_SERVICE = "web"
ENGINE_SLOTS = 8
MAX_CONNECTIONS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class RouteSettings:
    """The settings of one route in the manifest.

    :param kind: the platform's route kind, which says what may be retried.
    :param service: the service that its requests are routed to.
    :param max_attempts: maximum number of replicas that one request may be sent to.
    :param is_resumable: whether a stream may be continued by another run.
    :param timeout_ms: the longest time that a request may wait.
    :param goal_ms: objective for the first event, or the response.
    :param priority: rank of its requests; 0 is the most urgent.
    """

    kind: str
    service: str
    max_attempts: int = 2
    is_resumable: bool = False
    timeout_ms: int = 20_000
    goal_ms: int = 5000
    priority: int = 1


MAX_BODY_BYTES = 100_000
SETTINGS_BY_ROUTE = {
    "draft": RouteSettings("streaming", ENGINE_SERVICE, max_attempts=1),
    "tag": RouteSettings("streaming", ENGINE_SERVICE, is_resumable=True),
    "rush": RouteSettings("streaming", ENGINE_SERVICE, max_attempts=1, goal_ms=1500, priority=0),
    "list": RouteSettings("idempotent", PLAIN_SERVICE),
    "hold": RouteSettings("non_idempotent", PLAIN_SERVICE, max_attempts=1),
}


def manifest(
    version: int,
    keys_by_team: collections.abc.Mapping[str, collections.abc.Sequence[str]],
    settings_by_route: collections.abc.Mapping[str, RouteSettings] = SETTINGS_BY_ROUTE,
    max_body_bytes: int = MAX_BODY_BYTES,
) -> str:
    """Return a manifest as JSON.

    :param version: must be larger than those of earlier manifests.
    :param keys_by_team: the API keys of each team.
    :param settings_by_route: settings of the routes by name; a route's prefix is its name.
    :param max_body_bytes: longest body of a request.
    """
    engine = {
        "slots": ENGINE_SLOTS,
        "kv_capacity_tokens": routed.MEMORY_TOKENS,
        "kv_bytes": 1000,
        "link_mbps": 24_000.0,
        "moves": True,
        "backups": True,
        "stride": 1,
        "handle_s": 5.0,
    }
    document = {
        "version": version,
        "routes": [_route(name, settings) for name, settings in settings_by_route.items()],
        "services": [
            _service(ENGINE_SERVICE) | {"engine": engine},
            _service(PLAIN_SERVICE),
        ],
        "limits": {
            "max_header_bytes": 4000,
            "max_body_bytes": max_body_bytes,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": team, "api_keys": [*keys]} for team, keys in keys_by_team.items()],
    }
    return json.dumps(document)


def entry(
    service: str,
    address: str,
    failure_domain: str,
    *,
    is_leaving: bool = False,
    born: int | None = None,
    version: str = "v1",
) -> str:
    """Return a server's entry in the platform's replica list as JSON.

    :param born: its start time in Unix milliseconds, or None when the platform gives none.
    :param version: the version of its software.
    """
    fields = {
        "service": service,
        "address": address,
        "zone": failure_domain,
        "version": version,
        "slots": ENGINE_SLOTS,
        "state": "draining" if is_leaving else "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
    }
    return json.dumps(fields if born is None else fields | {"born": born})


def _route(name: str, settings: RouteSettings) -> dict[str, object]:
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "route_kind": settings.kind,
        "timeout_ms": settings.timeout_ms,
        "goal_ms": settings.goal_ms,
        "priority": settings.priority,
        "service": settings.service,
        "max_attempts": settings.max_attempts,
        "resumable": settings.is_resumable,
    }


def _service(name: str) -> dict[str, object]:
    return {"name": name, "health_path": "/h", "max_connections": MAX_CONNECTIONS}
