"""The supported site sizes and the control budget of each node."""

import dataclasses

TOKEN_S = 0.026
DAY_S = 86_400.0


@dataclasses.dataclass(frozen=True, slots=True)
class SiteSize:
    """The size of one site.

    :param name: name on the page.
    :param nodes: number of entry nodes.
    :param replicas: number of replicas in all pools.
    :param pools: number of model pools.
    :param teams: number of configured teams.
    :param requests_per_s: peak request rate.
    :param tokens_per_s: peak rate of generated tokens.
    :param regions: number of regions that the site spans.
    :param failure_domains: number of failure domains that the site spans.
    :param changes_per_day: configuration changes per day.
    :param failures_per_day: failures of instances per day.
    :param replacements_per_day: instances restarted or replaced per day.

    Examples
    ========

    >>> round(TARGET.streams_per_node), TARGET.replicas_per_node
    (144, 5.0)
    """

    name: str
    nodes: int
    replicas: int
    pools: int
    teams: int
    requests_per_s: float
    tokens_per_s: float
    regions: int
    failure_domains: int
    changes_per_day: float
    failures_per_day: float
    replacements_per_day: float

    @property
    def requests_per_node(self) -> float:
        """Requests per second at one node."""
        return self.requests_per_s / self.nodes

    @property
    def tokens_per_node(self) -> float:
        """Tokens per second through one node."""
        return self.tokens_per_s / self.nodes

    @property
    def streams_per_node(self) -> float:
        """Concurrent streams at one node."""
        return self.tokens_per_node * TOKEN_S

    @property
    def streams_per_replica(self) -> float:
        """Concurrent streams at one replica."""
        return self.tokens_per_s * TOKEN_S / self.replicas

    @property
    def replicas_per_node(self) -> float:
        """Replicas that one node owns."""
        return self.replicas / self.nodes

    @property
    def replicas_per_pool(self) -> float:
        """Replicas from which the replica of a request is chosen."""
        return self.replicas / self.pools

    @property
    def answer_s(self) -> float:
        """Mean duration of a response in seconds."""
        return self.tokens_per_s / self.requests_per_s * TOKEN_S

    @property
    def changes_per_s(self) -> float:
        """Mean configuration changes per second."""
        return self.changes_per_day / DAY_S


TARGET = SiteSize(
    name="target",
    nodes=360,
    replicas=1_800,
    pools=3,
    teams=6_900,
    requests_per_s=7_000,
    tokens_per_s=2_000_000,
    regions=3,
    failure_domains=7,
    changes_per_day=2_900,
    failures_per_day=19,
    replacements_per_day=520,
)

ONE_REGION = dataclasses.replace(
    TARGET,
    name="one of three regions as a site of its own",
    nodes=120,
    replicas=600,
    requests_per_s=7_000 / 3,
    tokens_per_s=2_000_000 / 3,
    regions=1,
    failure_domains=3,
    failures_per_day=19 / 3,
    replacements_per_day=520 / 3,
)

TODAY = SiteSize(
    name="a site of today",
    nodes=6,
    replicas=12,
    pools=2,
    teams=10,
    requests_per_s=6 * 7_000 / 360,
    tokens_per_s=6 * 2_000_000 / 360,
    regions=1,
    failure_domains=4,
    changes_per_day=10,
    failures_per_day=1,
    replacements_per_day=9,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """Resources that control may use.

    :param cores: CPU use of a node as a fraction of one core.
    :param memory_bytes: memory of a node.
    :param bytes_per_s: network traffic of a node.
    :param store_writes_per_s: writes to the platform's table by all nodes together; the
        specified "several hundred" are counted as 400.
    :param store_reads_per_s: reads of the platform by all nodes together.
    :param change_s: seconds until a change is in force at all nodes.
    """

    cores: float = 0.048
    memory_bytes: float = 128e6
    bytes_per_s: float = 3_000.0
    store_writes_per_s: float = 400.0
    store_reads_per_s: float = 2_000.0
    change_s: float = 3.0


BUDGET = Budget()
