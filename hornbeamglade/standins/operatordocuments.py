"""What an operator writes to the platform: the manifest, and servers' entries in the list."""

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
    """What the manifest says of one route.

    :param kind: the platform's word for what may be repeated.
    :param service: where its requests go.
    :param max_attempts: replicas that one request may be sent to.
    :param is_resumable: whether a stream may go on in another run.
    :param timeout_ms: the longest that a request is kept waiting.
    """

    kind: str
    service: str
    max_attempts: int = 2
    is_resumable: bool = False
    timeout_ms: int = 20_000


SETTINGS_BY_ROUTE = {
    "draft": RouteSettings("streaming", ENGINE_SERVICE, max_attempts=1),
    "tag": RouteSettings("streaming", ENGINE_SERVICE, is_resumable=True),
    "list": RouteSettings("idempotent", PLAIN_SERVICE),
    "hold": RouteSettings("non_idempotent", PLAIN_SERVICE, max_attempts=1),
}


def manifest(
    version: int,
    keys_by_team: collections.abc.Mapping[str, collections.abc.Sequence[str]],
    settings_by_route: collections.abc.Mapping[str, RouteSettings] = SETTINGS_BY_ROUTE,
) -> str:
    """Return a manifest as JSON.

    :param version: larger than that of all before.
    :param keys_by_team: the keys that each team holds.
    :param terms_by_route: routes by name; a route's prefix is its name.
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
        "routes": [_route(name, terms) for name, terms in settings_by_route.items()],
        "services": [
            _service(ENGINE_SERVICE) | {"engine": engine},
            _service(PLAIN_SERVICE),
        ],
        "limits": {
            "max_header_bytes": 4000,
            "max_body_bytes": 100_000,
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
) -> str:
    """Return a server's entry in the platform's list as JSON.

    :param born: Unix milliseconds of its start, or None where the platform tells none.
    """
    told = {
        "service": service,
        "address": address,
        "zone": failure_domain,
        "version": "v1",
        "slots": ENGINE_SLOTS,
        "state": "draining" if is_leaving else "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
    }
    return json.dumps(told if born is None else told | {"born": born})


def _route(name: str, terms: RouteSettings) -> dict[str, object]:
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "route_kind": terms.kind,
        "timeout_ms": terms.timeout_ms,
        "goal_ms": 5000,
        "priority": 1,
        "service": terms.service,
        "max_attempts": terms.max_attempts,
        "resumable": terms.is_resumable,
    }


def _service(name: str) -> dict[str, object]:
    return {"name": name, "health_path": "/h", "max_connections": MAX_CONNECTIONS}
