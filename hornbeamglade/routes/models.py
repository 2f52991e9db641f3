"""One revision of the operator's configuration of routes, as immutable values."""

import dataclasses
import enum


class RouteKind(enum.Enum):
    """Whether a route's requests may be repeated, and the form of its responses.

    ``IDEMPOTENT`` requests may run more than once, ``SINGLE`` ones at most once.
    ``STREAM`` requests have event streams as responses and may run once.
    """

    IDEMPOTENT = "idempotent"
    SINGLE = "single"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """A share of a route's requests.

    :param service: the service that the requests go to.
    :param weight: relative to the other shares.
    """

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One route.

    :param name: its name.
    :param host: the host that it belongs to, in lower case.
    :param prefix: the prefix of its paths; begins and ends with a slash.
    :param kind: whether its requests may be repeated, and the form of its responses.
    :param splits: the services that its requests go to; never empty.
    :param timeout_s: the timeout of a request.
    :param goal_s: the latency objective for a response, or for a stream's first event.
    :param gap_goal_s: the objective for the time between a stream's events, or None.
    :param urgency: its priority class; 0 is the most urgent.
    :param max_attempts: how many replicas one request may be sent to.
    :param is_public: whether requests need no key.
    :param is_resumable: whether a stream may continue in another run.
    :param allowed_regions: the regions that may serve its requests; None for all.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    splits: tuple[Split, ...]
    timeout_s: float
    goal_s: float
    urgency: int
    max_attempts: int
    gap_goal_s: float | None = None
    is_public: bool = False
    is_resumable: bool = False
    allowed_regions: frozenset[str] | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run again after it may have run."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable


@dataclasses.dataclass(frozen=True, slots=True)
class EngineTraits:
    """Properties of a service's replicas that are model engines.

    :param slots: requests that run concurrently.
    :param memory_tokens: KV cache capacity, shared by running requests and cached prompts.
    :param token_bytes: the size of one token's KV cache when it is copied.
    :param link_bytes_per_s: the speed at which KV cache is copied between engines.
    :param can_migrate: whether a run may be migrated to another engine.
    :param can_back_up: whether a copy of a run's KV cache may be kept at a second engine.
    :param tokens_per_event: tokens in one event of a stream.
    :param copy_ttl_s: how long an engine keeps a copy that is not renewed.
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    link_bytes_per_s: float
    can_migrate: bool
    can_back_up: bool
    tokens_per_event: int
    copy_ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SlowStart:
    """The rate limit of a replica that has just started.

    :param requests_per_s: the limit for all callers together.
    :param duration_s: how long it applies after the start.
    """

    requests_per_s: float
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of equivalent replicas.

    :param name: its name.
    :param health_path: the path of a replica's health check.
    :param max_connections: connections that a replica accepts from all callers.
    :param engine: set when its replicas are model engines.
    :param slow_start: set when its replicas get limited traffic after their start.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineTraits | None = None
    slow_start: SlowStart | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A group of callers that share keys.

    :param name: its name.
    :param keys: its keys.
    :param urgency: overrides the urgency of the route, unless None.
    :param allowed_regions: the regions that may serve its requests; None for all.
    """

    name: str
    keys: frozenset[str]
    urgency: int | None = None
    allowed_regions: frozenset[str] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on requests of callers.

    :param max_head_bytes: the maximum size of a request head.
    :param max_body_bytes: the maximum size of a request body.
    :param head_timeout_s: how long a request head may take to arrive.
    :param idle_timeout_s: how long an open connection may be idle.
    """

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted revision of the configuration.

    :param revision: its number; grows with each change, by varying steps.
    :param routes: all routes.
    :param service_by_name: all services.
    :param limits: limits on requests of callers.
    :param teams: all teams; empty when no requests need keys.
    """

    revision: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, Service]
    limits: CallerLimits
    teams: tuple[Team, ...] = ()
