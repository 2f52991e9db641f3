"""What a response may expect at each engine of a service: its speed and its longest pause."""

import collections.abc
import dataclasses
import math
import statistics

from hornbeamglade.core import outcomes
from hornbeamglade.speeds import enginespeeds

DEFAULT_PAUSE_RATIO = 2.2
"""Concurrent prefill doubles the time of a decode step."""

MIN_RATIO_ENGINES = 3
MIN_PAUSE_RATIO = 1.0
MAX_PAUSE_RATIO = 20.0
MIN_SLOW_FACTOR = 0.5
MAX_SLOW_FACTOR = 4.0

BUSY_INTERVAL_S = 4.0
"""A machine that is busy for 15 % of the time in windows of 0.6 s becomes busy this often."""

AVOIDED_FROM = 0.2
"""A response waits for an engine that keeps the pace while it would meet a pause over its
objective with at least this probability: long responses at a slow engine, and at one of unknown
speed where a third of the engines is slow. Short responses start there and measure its speed."""


@dataclasses.dataclass(frozen=True, slots=True)
class PoolOutlook:
    """The paces of the engines of one service.

    :param tokens_per_event: tokens in one event of a stream.
    :param token_s: median seconds per token, None if no engine's pace is known.
    :param pause_ratio: longest pause relative to the time per event, the median over engines.
    :param predicted_pauses_s: the predicted longest pauses of the engines of known pace.
    """

    tokens_per_event: int
    token_s: float | None
    pause_ratio: float
    predicted_pauses_s: tuple[float, ...]

    def breaking_share(self, gap_goal_s: float) -> float:
        """Return the share of the known engines whose predicted pause exceeds an objective."""
        if not self.predicted_pauses_s:
            return 0.0
        breaking = sum(each > gap_goal_s for each in self.predicted_pauses_s)
        return breaking / len(self.predicted_pauses_s)


def pool_outlook(
    paces: collections.abc.Collection[enginespeeds.Pace],
    tokens_per_event: int,
    pause_ratio: float = DEFAULT_PAUSE_RATIO,
) -> PoolOutlook:
    """Return the outlook of a service by the known paces of its engines.

    :param pause_ratio: the former ratio, used while too few engines were observed for long: it
        describes the service's machines, and its engines may live for only some 20 s.
    """
    ratios = [each.pause_s / (each.token_s * tokens_per_event) for each in paces if each.pause_s]
    if len(ratios) >= MIN_RATIO_ENGINES:
        pause_ratio = min(max(statistics.median(ratios), MIN_PAUSE_RATIO), MAX_PAUSE_RATIO)
    return PoolOutlook(
        tokens_per_event,
        statistics.median(each.token_s for each in paces) if paces else None,
        pause_ratio,
        tuple(each.token_s * tokens_per_event * pause_ratio for each in paces),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOutlook:
    """What a response may expect at one engine.

    :param pool: the outlook of the service.
    :param pace: the engine's pace, or None if it is unknown.
    """

    pool: PoolOutlook
    pace: enginespeeds.Pace | None

    @property
    def slow_factor(self) -> float:
        """The engine's time per token relative to the median; 1 if it is unknown."""
        if self.pace is None or self.pool.token_s is None:
            return 1.0
        return min(max(self.pace.token_s / self.pool.token_s, MIN_SLOW_FACTOR), MAX_SLOW_FACTOR)

    def keeps_pace(self, objective: outcomes.PaceObjective) -> bool:
        """Return whether the engine's predicted pause is within the objective, or unknown."""
        return self.pace is None or self._predicted_pause_s(self.pace) <= objective.gap_goal_s

    def pause_probability(self, objective: outcomes.PaceObjective) -> float:
        """Return the probability that a response lasts long enough to meet the longest pause."""
        token_s = self.pool.token_s if self.pace is None else self.pace.token_s
        if token_s is None:
            return 0.0
        return 1.0 - math.exp(-objective.expected_tokens * token_s / BUSY_INTERVAL_S)

    def pause_cost_s(self, objective: outcomes.PaceObjective) -> float:
        """Return the cost of a pause over the objective, in seconds of a late start.

        A response with such a pause is late, just as one that starts after its objective.
        """
        return objective.goal_s * self._lateness(objective)

    def must_avoid(self, objective: outcomes.PaceObjective) -> bool:
        """Return whether a response that may find another engine must not start here."""
        return self._lateness(objective) >= AVOIDED_FROM

    def _lateness(self, objective: outcomes.PaceObjective) -> float:
        """Return the probability that a response meets a pause over its objective."""
        if self.pace is None:
            share = self.pool.breaking_share(objective.gap_goal_s)
        else:
            share = float(not self.keeps_pace(objective))
        return share * self.pause_probability(objective)

    def _predicted_pause_s(self, pace: enginespeeds.Pace) -> float:
        return pace.token_s * self.pool.tokens_per_event * self.pool.pause_ratio
