"""Metrics of one run of the policy benchmark."""

import collections
import collections.abc
import dataclasses
import math

from hornbeamglade.bench import policyworkload

_STALL_STEPS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Metrics of one run; counts cover the measured window.

    :param goodput: delivered tokens per second.
    :param goodput_share: goodput divided by the pool's capacity in tokens per second.
    :param stall_s_per_1000: gaps longer than two steps, minus one step each, per 1,000
        requests.
    :param preemptions_per_1000: preemptions per 1,000 started requests.
    :param refused_share: refused requests divided by arrived requests.
    :param lost: streams cut off after their first token.
    :param share_least: lowest ratio of served to entitled tokens among the teams.
    :param share_most: highest such ratio.
    """

    started: int
    goodput: float
    goodput_share: float
    stall_s_per_1000: float
    preemptions_per_1000: float
    gap_p50_s: float
    gap_p95_s: float
    gap_p99_s: float
    gap_p999_s: float
    gap_max_s: float
    ttft_p50_s: float
    ttft_p99_s: float
    refused_share: float
    lost: int
    recomputed_share: float
    share_least: float
    share_most: float


class Recorder:
    """Collects what callers see after the first ``warm_up_s`` seconds.

    :param scenario: determines the capacity.
    :param warm_up_s: initial seconds that are not measured.
    """

    def __init__(self, scenario: policyworkload.Scenario, warm_up_s: float) -> None:
        self._scenario = scenario
        self._warm_up_s = warm_up_s
        self._gap_count_by_steps: collections.Counter[int] = collections.Counter()
        self._waits_s: list[float] = []
        self._tokens_by_team: collections.Counter[str] = collections.Counter()
        self._offered_by_team: collections.Counter[str] = collections.Counter()
        self._arrived = self._refused = self._lost = self._preemptions = 0
        self.recomputed_tokens = 0

    def record_arrival(self, request: policyworkload.Request) -> None:
        """Count an arrival."""
        if request.at_s >= self._warm_up_s:
            self._arrived += 1
            self._offered_by_team[request.work.team] += request.answer_tokens

    def record_refusal(self, request: policyworkload.Request, now: float) -> None:
        """Count a refusal."""
        self._refused += now >= self._warm_up_s

    def record_loss(self, request: policyworkload.Request, now: float) -> None:
        """Count a stream that was cut off after its first token."""
        self._lost += now >= self._warm_up_s

    def record_preemptions(self, count: int, now: float) -> None:
        """Count preemptions."""
        self._preemptions += count if now >= self._warm_up_s else 0

    def record_first_token(self, request: policyworkload.Request, now: float) -> None:
        """Record the wait for the first token of a response."""
        if now >= self._warm_up_s:
            self._waits_s.append(now - request.at_s)

    def record_tokens(self, teams: collections.abc.Iterable[str], now: float) -> None:
        """Count one delivered token for each item of ``teams``."""
        if now >= self._warm_up_s:
            self._tokens_by_team.update(teams)

    def record_gaps(self, steps: int, count: int, now: float) -> None:
        """Count ``count`` gaps of ``steps`` steps between tokens."""
        if now >= self._warm_up_s:
            self._gap_count_by_steps[steps] += count

    def figures(self, end_s: float) -> Figures:
        """Compute the metrics of the measured window."""
        window_s = end_s - self._warm_up_s
        delivered = sum(self._tokens_by_team.values())
        started = max(1, len(self._waits_s))
        capacity = policyworkload.capacity_per_s(self._scenario)
        capacity *= policyworkload.mean_answer_tokens(self._scenario)
        step_s = policyworkload.STEP_S
        stalled = sum(
            (steps - 1) * count
            for steps, count in self._gap_count_by_steps.items()
            if steps > _STALL_STEPS
        )
        gaps = {q: self._gap_quantile(q) * step_s for q in (0.5, 0.95, 0.99, 0.999, 1.0)}
        waits = sorted(self._waits_s) or [0.0]
        shares = self._shares()
        return Figures(
            started=len(self._waits_s),
            goodput=delivered / window_s,
            goodput_share=delivered / window_s / capacity,
            stall_s_per_1000=1000 * stalled * step_s / started,
            preemptions_per_1000=1000 * self._preemptions / started,
            gap_p50_s=gaps[0.5],
            gap_p95_s=gaps[0.95],
            gap_p99_s=gaps[0.99],
            gap_p999_s=gaps[0.999],
            gap_max_s=gaps[1.0],
            ttft_p50_s=waits[len(waits) // 2],
            ttft_p99_s=waits[int(0.99 * len(waits))],
            refused_share=self._refused / max(1, self._arrived),
            lost=self._lost,
            recomputed_share=self.recomputed_tokens / max(1, delivered),
            share_least=min(shares),
            share_most=max(shares),
        )

    def _gap_quantile(self, quantile: float) -> int:
        wanted = math.ceil(quantile * sum(self._gap_count_by_steps.values()))
        seen = 0
        for steps, count in sorted(self._gap_count_by_steps.items()):
            seen += count
            if seen >= wanted:
                return steps
        return 0

    def _shares(self) -> list[float]:
        entitled = entitled_by_team(
            self._offered_by_team,
            policyworkload.WEIGHT_BY_TEAM,
            sum(self._tokens_by_team.values()),
        )
        return [
            self._tokens_by_team[team] / tokens for team, tokens in entitled.items() if tokens
        ] or [0.0]


def entitled_by_team(
    offered_by_team: collections.abc.Mapping[str, float],
    weight_by_team: collections.abc.Mapping[str, float],
    served: float,
) -> dict[str, float]:
    """Return the weighted max-min fair shares of the served tokens.

    Examples
    ========

    >>> entitled_by_team({"a": 10, "b": 100}, {"a": 1, "b": 1}, 60)
    {'a': 10, 'b': 50.0}
    """
    entitled: dict[str, float] = {}
    left = served
    remaining_teams = set(offered_by_team)
    while remaining_teams:
        share_per_weight = left / sum(weight_by_team[team] for team in remaining_teams)
        satisfied = [
            t
            for t in remaining_teams
            if offered_by_team[t] <= share_per_weight * weight_by_team[t]
        ]
        if not satisfied:
            return entitled | {
                team: share_per_weight * weight_by_team[team] for team in remaining_teams
            }
        for team in satisfied:
            entitled[team] = offered_by_team[team]
            left -= offered_by_team[team]
        remaining_teams -= set(satisfied)
    return entitled
