"""Answer lengths by service and team, with the service and a prior as fallbacks.

Explanation
===========

Each team's hazards are shrunk towards those of its service, and these towards a
prior, bucket by bucket. A team with few answers thus behaves like its service. At
lengths that no answer of the team has reached, the tail of the service applies, and
beyond the service's data the prior's Pareto tail, without a discontinuity.
"""

import collections
import dataclasses

from hornbeamglade.lengths import buckets, lifetable, survival


@dataclasses.dataclass(frozen=True, slots=True)
class LengthSettings:
    """Parameters of the length estimation.

    :param half_life: number of newer answers after which an answer counts half.
    :param parent_weight: number of answers that the fallback counts as.
    :param prior_median: median length of the prior, in tokens.
    :param prior_exponent: exponent of the prior's Pareto tail.
    :param rebuild_every: number of answers of a service after which its tables are rebuilt.
    :param max_teams: number of teams that are kept; the least recently seen team is dropped.
    """

    half_life: float = 1000.0
    parent_weight: float = 10.0
    prior_median: float = 150.0
    prior_exponent: float = 1.3
    rebuild_every: int = 16
    max_teams: int = 4096


@dataclasses.dataclass(slots=True)
class _Cached:
    table: survival.SurvivalTable
    observations: int


def _prior_hazards(settings: LengthSettings) -> tuple[float, ...]:
    """Return the hazards of a log-logistic length, which has a Pareto tail beyond its median."""

    def survives(tokens: float) -> float:
        return 1.0 / (1.0 + (tokens / settings.prior_median) ** settings.prior_exponent)

    edges = buckets.EDGES
    return tuple(1.0 - survives(edges[i + 1]) / survives(edges[i]) for i in range(buckets.COUNT))


class LengthModel:
    """Learns the lengths of answers and estimates their remaining lengths.

    :param settings: parameters of the estimation.

    Examples
    ========

    >>> model = LengthModel()
    >>> for _ in range(500):
    ...     model.observe("drafts", "clinic", 100)
    >>> 80 < model.remaining("drafts", "clinic", 0).mean < 130
    True
    >>> model.remaining("drafts", "clinic", 0).confidence > 100
    True
    >>> model.remaining("other", "clinic", 0).confidence
    0.0
    """

    def __init__(self, settings: LengthSettings | None = None) -> None:
        self._settings = settings or LengthSettings()
        self._prior = _prior_hazards(self._settings)
        self._by_service: dict[str, lifetable.LifeTable] = {}
        self._by_team: collections.OrderedDict[tuple[str, str], lifetable.LifeTable]
        self._by_team = collections.OrderedDict()
        self._cached_by_team: dict[tuple[str, str], _Cached] = {}

    def observe(self, service: str, team: str, tokens: int, censored: bool = False) -> None:
        """Learn from an answer that has ended.

        :param tokens: tokens produced.
        :param censored: True if it was cancelled or lost, so that it would have been longer.
        """
        by_service = self._by_service.get(service)
        if by_service is None:
            by_service = self._by_service[service] = self._new_table()
        by_service.observe(tokens, censored)
        self._team_table(service, team).observe(tokens, censored)

    def table(self, service: str, team: str) -> survival.SurvivalTable:
        """Return the survival table of a service's team, which is rebuilt as answers arrive."""
        key = (service, team)
        by_service = self._by_service.get(service)
        observations = by_service.observations if by_service else 0
        cached = self._cached_by_team.get(key)
        if cached is None or self._is_outdated(cached, observations):
            cached = _Cached(self._build(key, by_service), observations)
            self._cached_by_team[key] = cached
            self._limit_cache()
        return cached.table

    def remaining(self, service: str, team: str, produced: int) -> survival.Estimate:
        """Return the remaining length of an answer that has ``produced`` tokens."""
        table = self.table(service, team)
        growth = table.growth(produced, buckets.LAST_EDGE)
        by_team = self._by_team.get((service, team))
        reached = by_team.reached(produced) if by_team else 0.0
        return survival.Estimate(growth.mean, growth.variance, reached)

    def growth(self, service: str, team: str, produced: int, horizon: float) -> survival.Growth:
        """Return the growth of an answer within the next ``horizon`` tokens."""
        return self.table(service, team).growth(produced, horizon)

    def _new_table(self) -> lifetable.LifeTable:
        return lifetable.LifeTable(self._settings.half_life)

    def _team_table(self, service: str, team: str) -> lifetable.LifeTable:
        key = (service, team)
        table = self._by_team.get(key)
        if table is None:
            table = self._by_team[key] = self._new_table()
        self._by_team.move_to_end(key)
        if len(self._by_team) > self._settings.max_teams:
            dropped, _ = self._by_team.popitem(last=False)
            self._cached_by_team.pop(dropped, None)
        return table

    def _is_outdated(self, cached: _Cached, observations: int) -> bool:
        # Tables with few answers change with each new one; others need not be rebuilt as often.
        return observations - cached.observations >= min(
            self._settings.rebuild_every, 1 + observations // 16
        )

    def _build(
        self, key: tuple[str, str], by_service: lifetable.LifeTable | None
    ) -> survival.SurvivalTable:
        hazards = self._prior
        for table in (by_service, self._by_team.get(key)):
            if table is not None:
                hazards = table.hazards(hazards, self._settings.parent_weight)
        return survival.SurvivalTable(hazards)

    def _limit_cache(self) -> None:
        # Teams whose answers never finish must not let the cache grow without limit.
        if len(self._cached_by_team) > 2 * self._settings.max_teams:
            self._cached_by_team.clear()
