"""Scenario parameters of the policy benchmark and seeded generation of requests.

Explanation
===========

Capacity is the request rate that saturates the memory on average. A request occupies
its prompt and its growing response, L (p + b/2) + L**2 / 2 token steps in total for
prompt length p, response length L and block size b. The pool's memory per step divided
by the mean of that is the capacity, unless the limit on running requests is reached
first. The load of a scenario is its request rate divided by the capacity. The rate is
adjusted as lengths drift, so that the load stays constant.
"""

import collections.abc
import dataclasses
import enum
import math
import random
import statistics

from hornbeamglade.core import outcomes

STEP_S = 0.026
BLOCK_TOKENS = 16
SERVICE = "drafts"
_PROMPT_RANGE = (50, 150)
_PROMPT_MEAN = 100
_QUANTILES = 20_000
_DRIFT_FACTOR = 3.0
_DRIFT_SPAN = (0.4, 0.6)
_BURST_FACTOR = 2.0
_CALM_FACTOR = 0.5
_BURST_MEAN_S = 10.0
_CALM_MEAN_S = 20.0
_URGENT_SHARE = 0.2


class Shape(enum.Enum):
    """Distribution of response lengths."""

    LOGNORMAL = "lognormal"
    PARETO = "pareto"


class Arrivals(enum.Enum):
    """How the request rate and response lengths change over time."""

    STEADY = "steady"
    BURSTY = "bursty"
    DRIFTING = "drifting"


class Fault(enum.Enum):
    """Fault of one replica in the middle of the run."""

    NONE = "none"
    LOST = "lost"
    SLOWED = "slowed"


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Parameters of one scenario in which policies are compared.

    :param name: name in reports.
    :param load: request rate as a multiple of the capacity.
    :param replicas: number of engines in the pool.
    :param domains: number of failure domains that the replicas are spread over.
    :param report_lag_s: delay of load reports and digests in seconds.
    :param owners: nodes that admit to each replica at the same time; more than 1 occurs only
        during membership changes.
    :param samples: replicas with delayed digests that routing compares.
    :param capacity_tokens: memory of one engine.
    :param max_wait_s: a request that has not started after this time is refused.
    :param request_source: name of the scenario whose requests are used, so that both compare
        on the same requests; empty for its own.
    """

    name: str
    load: float
    replicas: int = 6
    domains: int = 4
    shape: Shape = Shape.LOGNORMAL
    arrivals: Arrivals = Arrivals.STEADY
    fault: Fault = Fault.NONE
    report_lag_s: float = 1.0
    owners: int = 1
    samples: int = 2
    capacity_tokens: int = 36_000
    max_running: int = 64
    max_wait_s: float = 10.0
    request_source: str = ""

    def deadline(self, request: "Request") -> float:
        """Return the time by which a request must have started, or it is refused."""
        return request.at_s + self.max_wait_s

    def due(self, request: "Request") -> float:
        """Return the time by which a request must have started to be on time."""
        return math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request with its true response length, which only the clairvoyant policy sees."""

    work: outcomes.Work
    answer_tokens: int
    at_s: float


#: Weight and share of demand of each team: three large teams and seven small ones.
WEIGHT_BY_TEAM = {f"team{i}": 3.0 if i < 3 else 1.0 for i in range(10)}
DEMAND_BY_TEAM = {f"team{i}": 0.2 if i < 3 else 0.4 / 7 for i in range(10)}


def answer_tokens(shape: Shape, quantile: float, scale: float = 1.0) -> int:
    """Return the response length at a quantile.

    Examples
    ========

    >>> answer_tokens(Shape.LOGNORMAL, 0.5), answer_tokens(Shape.LOGNORMAL, 0.99999)
    (100, 8000)
    """
    if shape is Shape.LOGNORMAL:
        drawn = 100 * 2.718281828 ** (1.5 * statistics.NormalDist().inv_cdf(quantile))
        return max(1, min(8000, int(drawn * scale + 1e-6)))
    if quantile < 0.9:
        drawn = 100 * 2.718281828 ** statistics.NormalDist().inv_cdf(quantile / 0.9)
    else:
        drawn = 300 * ((1.0 - quantile) / 0.1) ** (-1 / 1.3)
    return max(1, min(16_000, int(drawn * scale)))


def capacity_per_s(scenario: Scenario, scale: float = 1.0) -> float:
    """Return the requests per second that saturate the pool on average."""
    lengths = [
        answer_tokens(scenario.shape, (i + 0.5) / _QUANTILES, scale) for i in range(_QUANTILES)
    ]
    prompt = _PROMPT_MEAN + BLOCK_TOKENS / 2
    mean_token_steps = statistics.fmean(n * prompt + n * n / 2 for n in lengths)
    by_memory = scenario.capacity_tokens / mean_token_steps
    by_bound = scenario.max_running / statistics.fmean(lengths)
    return scenario.replicas * min(by_memory, by_bound) / STEP_S


def mean_answer_tokens(scenario: Scenario) -> float:
    """Return the mean response length before any drift."""
    return statistics.fmean(
        answer_tokens(scenario.shape, (i + 0.5) / _QUANTILES) for i in range(_QUANTILES)
    )


def draw_requests(scenario: Scenario, seed: int, duration_s: float) -> list[Request]:
    """Draw the requests of a run in order of arrival; they are the same for every policy."""
    rng = random.Random(f"{scenario.request_source or scenario.name}/{seed}")
    teams = list(DEMAND_BY_TEAM)
    shares = list(DEMAND_BY_TEAM.values())
    drawn = []
    for at_s, scale in _arrival_times(scenario, rng, duration_s):
        work = outcomes.Work(
            request_id=f"r{len(drawn)}",
            service=SERVICE,
            team=rng.choices(teams, shares)[0],
            priority=int(rng.random() < _URGENT_SHARE),
            prompt_tokens=rng.randint(*_PROMPT_RANGE),
        )
        quantile = min(max(rng.random(), 1e-9), 1 - 1e-9)
        drawn.append(Request(work, answer_tokens(scenario.shape, quantile, scale), at_s))
    return drawn


def _arrival_times(
    scenario: Scenario, rng: random.Random, duration_s: float
) -> collections.abc.Iterator[tuple[float, float]]:
    """Yield arrival times, each with the scale factor of response lengths at that time."""
    rate_by_scale: dict[float, float] = {}
    bursts = _rate_factors(scenario, rng, duration_s)
    now = 0.0
    factor, until = next(bursts)
    while now < duration_s:
        scale = _length_scale(scenario, now / duration_s)
        if scale not in rate_by_scale:
            rate_by_scale[scale] = scenario.load * capacity_per_s(scenario, scale)
        wait_s = rng.expovariate(rate_by_scale[scale] * factor)
        if now + wait_s > until:
            now = until
            factor, until = next(bursts)
            continue
        now += wait_s
        if now < duration_s:
            yield now, scale


def _rate_factors(
    scenario: Scenario, rng: random.Random, duration_s: float
) -> collections.abc.Iterator[tuple[float, float]]:
    """Yield rate factors and the time until which each applies; their mean is 1."""
    until = 0.0
    while scenario.arrivals is Arrivals.BURSTY:
        until += rng.expovariate(1 / _CALM_MEAN_S)
        yield _CALM_FACTOR, until
        until += rng.expovariate(1 / _BURST_MEAN_S)
        yield _BURST_FACTOR, until
    while True:
        yield 1.0, 2 * duration_s + 1.0


def _length_scale(scenario: Scenario, progress: float) -> float:
    """Return the scale factor of lengths, in steps so that few capacities are computed."""
    if scenario.arrivals is not Arrivals.DRIFTING:
        return 1.0
    start, end = _DRIFT_SPAN
    share = min(1.0, max(0.0, (progress - start) / (end - start)))
    return 1.0 + (_DRIFT_FACTOR - 1.0) * round(share * 8) / 8
