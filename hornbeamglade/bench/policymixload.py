"""Load of the experiments ``uneven`` and ``crowd``: kinds of requests, engines and surges."""

import collections.abc
import dataclasses
import math
import random

from hornbeamglade.bench import policyworkload
from hornbeamglade.core import outcomes
from hornbeamglade.emulator import enginemodel, machineslowdowns

TOKENS_PER_EVENT = 4
STEP_S = 0.007
PREFILL_CHUNK_TOKENS = 112
COSTS = enginemodel.StepCosts(other_run_s=0.000_12, prefill_token_s=1 / 14_000)
COPY_S_PER_TOKEN = 0.19 / 3400
"""Time to copy the KV cache of a token (262,144 bytes) within a failure domain; copies to
another failure domain take twice as long."""

MIN_PATIENCE_S = 2.0
TEAMS = ("team3", "team4", "team5", "team6")
"""Teams of equal weight in :data:`policyworkload.WEIGHT_BY_TEAM`, one for each failure domain."""


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request.

    :param per_s: requests per second over all teams, without surges.
    :param goal_s: objective for the first event.
    :param gap_goal_s: objective for the pauses between events.
    :param priority: larger is more urgent.
    :param deadline_s: a response that ends later counts as failed.
    """

    name: str
    per_s: float
    prompt_tokens: int
    events: int
    goal_s: float
    priority: int
    deadline_s: float
    gap_goal_s: float = 0.18

    @property
    def patience_s(self) -> float:
        """How long a caller waits for the first event."""
        return max(MIN_PATIENCE_S, 4 * self.goal_s, 8 * self.gap_goal_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Surge:
    """A time in which one kind is requested more often."""

    kind: str
    begins_at: float
    for_s: float
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class Departures:
    """Engines that leave and are replaced under the same name, with nothing of before.

    :param share: share of the engines that leave together.
    """

    share: float
    every_s: float = 3.3
    notice_s: tuple[float, float] = (1.5, 2.1)
    replaced_after_s: float = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class MixRequest(policyworkload.Request):
    """A request of one kind."""

    kind: Kind


@dataclasses.dataclass(frozen=True, slots=True)
class MixScenario(policyworkload.Scenario):
    """Parameters of one experiment.

    :param kinds: the kinds of requests.
    :param variation: by how much each team's demand varies around its mean, 0 to 1.
    :param period_s: period of this variation.
    :param time_factors: time factors of the engines, in turn.
    :param slowdowns: busy windows of the engines' machines, or None.
    :param digest_lag_s: age of the digests on which nodes choose engines of other owners.
    """

    kinds: tuple[Kind, ...] = ()
    variation: float = 0.0
    period_s: float = 17.0
    time_factors: tuple[float, ...] = (1.0,)
    slowdowns: machineslowdowns.Slowdowns | None = None
    surges: tuple[Surge, ...] = ()
    departures: Departures | None = None
    digest_lag_s: float = 3.0

    def deadline(self, request: policyworkload.Request) -> float:
        """Return when the caller of a request gives up waiting for its first event."""
        return request.at_s + request.kind.patience_s

    def due(self, request: policyworkload.Request) -> float:
        """Return the time by which a request must have started to be on time."""
        return request.at_s + request.kind.goal_s

    def scaled(self, replicas: int) -> "MixScenario":
        """Return the scenario with another number of engines and as much load for each."""
        factor = replicas / self.replicas
        kinds = tuple(dataclasses.replace(kind, per_s=kind.per_s * factor) for kind in self.kinds)
        return dataclasses.replace(self, replicas=replicas, kinds=kinds)


UNEVEN = MixScenario(
    name="uneven",
    load=1.0,
    replicas=22,
    domains=3,
    report_lag_s=0.5,
    capacity_tokens=27_008,
    max_running=24,
    kinds=(
        Kind("long", 10.8, 3000, 186, goal_s=1.8, priority=0, deadline_s=39.0),
        Kind("short", 12.0, 2200, 3, goal_s=1.5, priority=1, deadline_s=6.0),
    ),
    variation=0.55,
    period_s=17.0,
    time_factors=(0.7, 0.7, 1.7),
    slowdowns=machineslowdowns.Slowdowns(share=0.15, factor=2.5, window_s=0.6),
)

CROWD = MixScenario(
    name="crowd",
    load=1.0,
    replicas=23,
    domains=4,
    report_lag_s=0.5,
    capacity_tokens=26_869,
    max_running=24,
    kinds=(
        Kind("long", 9.3, 3000, 187, goal_s=4.0, priority=0, deadline_s=39.0),
        Kind("short", 18.0, 2200, 2, goal_s=1.5, priority=1, deadline_s=6.0),
    ),
    variation=0.27,
    period_s=11.0,
    surges=(Surge("long", 10.0, 6.0, 2.4), Surge("short", 12.0, 3.5, 1.8)),
    departures=Departures(share=1 / 6),
)

SCENARIO_BY_NAME = {scenario.name: scenario for scenario in (UNEVEN, CROWD)}


def draw_requests(scenario: MixScenario, seed: int, duration_s: float) -> list[MixRequest]:
    """Draw the requests of a run in order of arrival; they are the same for every policy."""
    rng = random.Random(f"{scenario.name}/{seed}")
    arrivals = sorted(
        (at_s, kind.name, number)
        for kind in scenario.kinds
        for number in range(scenario.domains)
        for at_s in _arrival_times(scenario, kind, number, rng, duration_s)
    )
    kind_by_name = {kind.name: kind for kind in scenario.kinds}
    return [
        _request(f"r{count}", kind_by_name[name], TEAMS[number], at_s)
        for count, (at_s, name, number) in enumerate(arrivals)
    ]


def _request(request_id: str, kind: Kind, team: str, at_s: float) -> MixRequest:
    tokens = kind.events * TOKENS_PER_EVENT
    work = outcomes.Work(
        request_id,
        policyworkload.SERVICE,
        team,
        kind.priority,
        kind.prompt_tokens,
        max_tokens=tokens,
        pace=outcomes.PaceObjective(kind.gap_goal_s, kind.goal_s, tokens),
    )
    return MixRequest(work, tokens, at_s, kind)


def _arrival_times(
    scenario: MixScenario, kind: Kind, number: int, rng: random.Random, duration_s: float
) -> collections.abc.Iterator[float]:
    """Yield the arrivals of one kind from one team: a thinned Poisson process."""
    surges = [surge for surge in scenario.surges if surge.kind == kind.name]
    highest = (1.0 + scenario.variation) * max((surge.factor for surge in surges), default=1.0)
    per_s = kind.per_s / scenario.domains
    now = 0.0
    while (now := now + rng.expovariate(per_s * highest)) < duration_s:
        phase = now / scenario.period_s + number / scenario.domains
        factor = 1.0 + scenario.variation * math.sin(2 * math.pi * phase)
        for surge in surges:
            if surge.begins_at <= now < surge.begins_at + surge.for_s:
                factor *= surge.factor
        if rng.random() * highest < factor:
            yield now
