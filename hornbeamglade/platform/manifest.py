"""Decodes the operator's manifest into a configuration of routes."""

import collections.abc
import typing

import pydantic

from hornbeamglade.core import codederrors
from hornbeamglade.routes import models

CONFIG_INVALID = "config_invalid"

_MS = 1000.0
_BITS = 8
_MEGA = 1_000_000

# Longer than any request; times that are not finite cannot be scheduled or sent.
_MAX_MS = 1e9
# Products of two counts are exact as floating-point numbers.
_MAX_COUNT = 10**12
# Messages between instances carry revisions of 64 bits and priorities of 32 bits.
_MAX_REVISION = 2**63 - 1
_MAX_PRIORITY = 2**31 - 1

_Positive = typing.Annotated[float, pydantic.Field(gt=0, le=_MAX_MS)]
_NotNegative = typing.Annotated[float, pydantic.Field(ge=0, le=_MAX_MS)]
_Count = typing.Annotated[int, pydantic.Field(ge=1, le=_MAX_COUNT)]
_Priority = typing.Annotated[int, pydantic.Field(ge=0, le=_MAX_PRIORITY)]

_KIND_BY_NAME = {
    "idempotent": models.RouteKind.IDEMPOTENT,
    "non_idempotent": models.RouteKind.SINGLE,
    "streaming": models.RouteKind.STREAM,
}


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class _Backend(_Body):
    service: str
    weight: typing.Annotated[int, pydantic.Field(ge=0, le=_MAX_COUNT)]


class _Route(_Body):
    name: str
    host: str
    prefix: typing.Annotated[str, pydantic.Field(pattern=r"^/(.*/)?$")]
    route_kind: typing.Literal["idempotent", "non_idempotent", "streaming"]
    timeout_ms: _Positive
    # The time within which an answer earns its full benefit; not a timeout.
    goal_ms: _Positive
    # Lower is more urgent, 0 the most.
    priority: _Priority = 5
    service: str | None = None
    backends: tuple[_Backend, ...] = ()
    # Maximum number of replicas that one request may be sent to, the first included.
    max_attempts: _Count = 1
    public: bool = False
    resumable: bool = False
    gap_goal_ms: _NotNegative | None = None
    # Empty means all regions.
    allowed_regions: tuple[str, ...] = ()


class _Engine(_Body):
    slots: _Count
    kv_capacity_tokens: _Count
    kv_bytes: typing.Annotated[int, pydantic.Field(ge=0, le=_MAX_COUNT)] = 0
    link_mbps: typing.Annotated[float, pydantic.Field(ge=0, le=_MAX_COUNT)] = 0.0
    moves: bool = False
    backups: bool = False
    # Number of tokens in one event of a stream.
    stride: _Count = 1
    handle_s: _NotNegative = 0.0


class _Service(_Body):
    name: str
    health_path: str
    max_connections: _Count
    engine: _Engine | None = None
    cold_start_s: _NotNegative = 0.0
    # 0 means no limit.
    cold_per_s: _NotNegative = 0.0


class _Limits(_Body):
    max_header_bytes: _Count
    max_body_bytes: typing.Annotated[int, pydantic.Field(ge=0, le=_MAX_COUNT)]
    header_timeout_ms: _Positive
    idle_timeout_ms: _Positive


class _Tenant(_Body):
    # Sent as a header value, which must not contain control characters.
    name: typing.Annotated[str, pydantic.Field(pattern=r"^[^\x00-\x1f\x7f]*$")]
    api_keys: tuple[str, ...] = ()
    # Overrides the priority of the route.
    priority: _Priority | None = None
    allowed_regions: tuple[str, ...] = ()


class _Manifest(_Body):
    version: typing.Annotated[int, pydantic.Field(ge=0, le=_MAX_REVISION)]
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits
    tenants: tuple[_Tenant, ...] = ()


def decode(document: bytes) -> models.Configuration:
    """Decode a manifest.

    :param document: JSON.
    :raises CodedError: ``config_invalid``, naming the first offending field and value.
    """
    try:
        manifest = _Manifest.model_validate_json(document)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        where = ".".join(str(part) for part in first["loc"]) or "document"
        detail = f"{where}: {first['msg']}, not {first['input']!r:.80}"
        raise codederrors.CodedError(CONFIG_INVALID, detail) from error
    services = {service.name: _service(service) for service in manifest.services}
    return models.Configuration(
        revision=manifest.version,
        routes=tuple(_route(route, services) for route in manifest.routes),
        service_by_name=services,
        limits=_limits(manifest.limits),
        teams=tuple(_team(tenant) for tenant in manifest.tenants),
    )


def _route(route: _Route, services: collections.abc.Container[str]) -> models.Route:
    splits = tuple(models.Split(each.service, each.weight) for each in route.backends)
    if not splits and route.service is not None:
        splits = (models.Split(route.service, 1),)
    if not sum(split.weight for split in splits):
        detail = f"route {route.name}: no service takes its requests"
        raise codederrors.CodedError(CONFIG_INVALID, detail)
    for split in splits:
        if split.service not in services:
            detail = f"route {route.name}: there is no service {split.service!r}"
            raise codederrors.CodedError(CONFIG_INVALID, detail)
    return models.Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        kind=_KIND_BY_NAME[route.route_kind],
        splits=splits,
        timeout_s=route.timeout_ms / _MS,
        goal_s=route.goal_ms / _MS,
        urgency=route.priority,
        max_attempts=route.max_attempts,
        gap_goal_s=None if route.gap_goal_ms is None else route.gap_goal_ms / _MS,
        is_public=route.public,
        is_resumable=route.resumable,
        allowed_regions=frozenset(route.allowed_regions) or None,
    )


def _service(service: _Service) -> models.Service:
    engine = service.engine
    traits = engine and models.EngineTraits(
        slots=engine.slots,
        memory_tokens=engine.kv_capacity_tokens,
        token_bytes=engine.kv_bytes,
        link_bytes_per_s=engine.link_mbps * _MEGA / _BITS,
        can_migrate=engine.moves,
        can_back_up=engine.backups,
        tokens_per_event=engine.stride,
        copy_ttl_s=engine.handle_s,
    )
    slow_start = None
    if service.cold_per_s:
        slow_start = models.SlowStart(service.cold_per_s, service.cold_start_s)
    return models.Service(
        service.name, service.health_path, service.max_connections, traits, slow_start
    )


def _limits(limits: _Limits) -> models.CallerLimits:
    return models.CallerLimits(
        max_head_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        head_timeout_s=limits.header_timeout_ms / _MS,
        idle_timeout_s=limits.idle_timeout_ms / _MS,
    )


def _team(tenant: _Tenant) -> models.Team:
    return models.Team(
        tenant.name,
        frozenset(tenant.api_keys),
        tenant.priority,
        frozenset(tenant.allowed_regions) or None,
    )
