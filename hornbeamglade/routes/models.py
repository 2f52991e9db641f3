"""One revision of the operator's configuration of routes, as immutable values."""

import dataclasses
import enum


class RouteKind(enum.Enum):
    """What may be repeated, and how an answer comes.

    ``IDEMPOTENT`` requests may run more than once, ``SINGLE`` ones at most once;
    ``STREAM`` answers are event streams, whose requests may run once.
    """

    IDEMPOTENT = "idempotent"
    SINGLE = "single"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """A share of a route's requests.

    :param service: where they go.
    :param weight: relative to the other shares.
    """

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One route.

    :param name: its name.
    :param host: the host that it belongs to, in lower case.
    :param prefix: the beginning of its paths; begins and ends with a slash.
    :param kind: what may be repeated.
    :param splits: where its requests go; never empty.
    :param timeout_s: the longest that a request is kept waiting.
    :param goal_s: an answer (a stream's first event) within this time is on time.
    :param gap_goal_s: the longest pause between events that is on time, or None.
    :param urgency: its rank; 0 is the most urgent.
    :param max_attempts: replicas that one request may be sent to.
    :param is_public: whether no key is needed.
    :param is_resumable: whether a stream may go on in another run.
    :param allowed_regions: where its requests may be served; None for everywhere.
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
    """What a service's replicas are as model engines.

    :param slots: requests that run at once.
    :param memory_tokens: tokens that running requests and cached prompts share.
    :param token_bytes: bytes of one token's memory when it is copied.
    :param link_bytes_per_s: speed at which an engine's memory is copied to another.
    :param can_migrate: whether a run's memory may be moved to another engine.
    :param can_back_up: whether a run's memory may be kept at a second engine.
    :param tokens_per_event: tokens that one event of a stream holds.
    :param copy_ttl_s: how long a copy is kept that is not renewed.
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
    """What a replica bears that has just started.

    :param requests_per_s: from all callers together.
    :param duration_s: for so long after its start.
    """

    requests_per_s: float
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of replicas that serve the same.

    :param name: its name.
    :param health_path: where a replica tells its health.
    :param max_connections: connections that a replica accepts from all callers.
    :param engine: set when its replicas are model engines.
    :param slow_start: set when its replicas bear few requests after their start.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineTraits | None = None
    slow_start: SlowStart | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """Callers with common keys.

    :param name: its name.
    :param keys: the keys that it holds.
    :param urgency: replaces that of the route; None leaves it.
    :param allowed_regions: where its requests may be served; None for everywhere.
    """

    name: str
    keys: frozenset[str]
    urgency: int | None = None
    allowed_regions: frozenset[str] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take.

    :param max_head_bytes: longest head of a request.
    :param max_body_bytes: longest body.
    :param head_timeout_s: seconds for a head.
    :param idle_timeout_s: seconds of silence on an open connection.
    """

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted revision.

    :param revision: grows with each change, in uneven steps.
    :param routes: all routes.
    :param service_by_name: all services.
    :param limits: what callers may send.
    :param teams: all teams; empty when no key is needed.
    """

    revision: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, Service]
    limits: CallerLimits
    teams: tuple[Team, ...] = ()
