"""The JSON document that a node returns for ``GET /status``.

Examples
========

>>> page = NodeStatus(name="entry-1", failure_domain="a", state="ready", config_revision=7)
>>> NodeStatus.model_validate_json(page.model_dump_json()).config_revision
7
"""

import pydantic


class ReplicaStatus(pydantic.BaseModel):
    """A replica as one node sees it.

    :param room_tokens: engine memory that is not reserved, in tokens; None for a
        plain service.
    :param state: ``serving``, ``leaving``, ``unreachable`` or ``unknown``.
    :param owner: name of the node that admits requests to the replica, or None.
    :param load_age_s: age of the load report that the figures come from, in seconds.
    """

    model_config = pydantic.ConfigDict(frozen=True, extra="ignore")

    name: str
    pool: str
    address: str = ""
    failure_domain: str = ""
    owner: str | None = None
    state: str = "unknown"
    room_tokens: int | None = None
    capacity_tokens: int | None = None
    running: int = 0
    waiting: int = 0
    preemptions: int = 0
    load_age_s: float | None = None


class PlacementRow(pydantic.BaseModel):
    """An engine as seen by the node that places the pool's models.

    :param wanted: names of the models and adapters that the configuration asks for.
    :param present: those that the engine reported, or None before it was read.
    :param condition: progress of the engine's change.
    :param reason: why wanted and present differ.
    :param closed: whether it gets no new requests until it has changed.
    """

    model_config = pydantic.ConfigDict(frozen=True, extra="ignore")

    replica: str
    wanted: tuple[str, ...] = ()
    present: tuple[str, ...] | None = None
    condition: str
    reason: str
    closed: bool = False


class NodeStatus(pydantic.BaseModel):
    """A node's own status.

    Unknown fields are ignored, so that a command of one release can read the
    nodes of the next during an upgrade.

    :param state: ``starting``, ``ready``, ``leaving`` or ``unready``.
    :param config_revision: the revision in force; 0 when there is none.
    :param config_provisional: whether the revision came from a peer and is
        not yet confirmed by the platform.
    :param config_problem: the code of the error that keeps the newest revision from taking
        effect, if any.
    :param incarnation: distinguishes this process from earlier ones of the same name.
    :param streams: streams in flight.
    :param waiting: requests in the queue.
    :param platform_ok: whether the last call to the platform got a response.
    :param slow_factors: of each engine that the node owns, its time per token relative to its
        service's median, where requests are placed by it.
    :param waiting_by_class: the requests that wait at the whole site, as the node knows it, by
        service and urgency class; class 0 is the most urgent.
    :param share_by_team: the node's shares of the teams' limits that it announces to peers.
    :param counters: totals since the start, by name.
    """

    model_config = pydantic.ConfigDict(frozen=True, extra="ignore")

    name: str
    failure_domain: str
    address: str = ""
    state: str
    config_revision: int = 0
    config_provisional: bool = False
    config_problem: str | None = None
    incarnation: str = ""
    streams: int = 0
    waiting: int = 0
    platform_ok: bool = True
    replicas: tuple[ReplicaStatus, ...] = ()
    placements: tuple[PlacementRow, ...] = ()
    slow_factors: dict[str, float] = {}
    waiting_by_class: dict[str, dict[int, int]] = {}
    share_by_team: dict[str, float] = {}
    counters: dict[str, float] = {}

    @property
    def refusals(self) -> int:
        """Number of requests refused since the start."""
        return int(self.counters.get(REFUSALS_COUNTER, 0))


REFUSALS_COUNTER = "refusals"
