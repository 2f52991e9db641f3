"""Benchmark of an overloaded site: stalls, first tokens, preemptions and refusals.

Explanation
===========

Callers send in an open loop, so an overloaded site receives more than it can serve
and has to refuse requests. The benchmark starts a local site of nodes and engines with
little memory for each policy and sends the same requests to each. It can also drive
nodes that are already running; the preemptions of their engines are then unknown.
"""

import collections
import collections.abc
import dataclasses
import pathlib
import typing

from hornbeamglade.bench import loadcoordinator, loadplan, loadsite, loadtraffic

ADMISSION_BY_POLICY: dict[str, dict[str, typing.Any]] = {
    "probabilistic": {},
    "least_outstanding": {"policy": "least_outstanding"},
}
WEIGHT_BY_TEAM = {"lakeside": 4.0, "registry": 4.0, **{f"office-{n}": 1.0 for n in range(1, 7)}}

_DRIVERS = 2
_DRAIN_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadShape:
    """Parameters of the load benchmark.

    :param load: request rate as a multiple of the rate that fills the engines' memory on
        average.
    :param seconds: how long requests are sent.
    :param warmup_s: requests due before this time are sent but not reported.
    """

    load: float = 1.2
    seconds: float = 30.0
    warmup_s: float = 5.0
    nodes: int = 3
    engines: int = 4
    engine: loadsite.EngineShape = loadsite.EngineShape(capacity_tokens=4_000)
    lengths: loadtraffic.Lengths = loadtraffic.Lengths()
    seed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadResult:
    """What callers saw under one policy, for requests due after the warm-up.

    :param goodput: tokens per second of complete responses.
    :param stalled: share of started responses with at least one stall.
    :param stall_s_per_1000_tokens: stall time per 1,000 delivered tokens.
    :param stall_p99_s: 99th percentile of stall time of started responses.
    :param preemptions: counted by the engines, warm-up included; None when unknown.
    :param latest_start_s: largest delay with which a driver sent a request.
    """

    policy: str
    offered: int
    count_by_ending: dict[str, int]
    refusals_by_code: dict[str, int]
    refused_share_by_team: dict[str, float]
    goodput: float
    stalled: float
    stall_s_per_1000_tokens: float
    stall_p99_s: float
    first_token_p50_s: float
    first_token_p95_s: float
    gaps: loadcoordinator.Gaps
    preemptions: int | None
    latest_start_s: float

    @property
    def violated(self) -> int:
        """Number of responses that were spliced, out of order, repeated or short.

        Each of them broke a delivery guarantee; any is a defect.
        """
        return self.count_by_ending.get("violated", 0)


def run_local(shape: LoadShape, policy: str, folder: pathlib.Path) -> LoadResult:
    """Start a site with ``policy``, run the load against it and stop it."""
    site_shape = loadsite.SiteShape(
        engines=shape.engines,
        nodes=shape.nodes,
        weight_by_team=WEIGHT_BY_TEAM,
        engine=shape.engine,
        admission=ADMISSION_BY_POLICY[policy],
    )
    key_by_team = {team: loadsite.team_key(team) for team in WEIGHT_BY_TEAM}
    with loadsite.Site(site_shape, folder) as site:
        addresses_by_team = {team: site.addresses(team) for team in WEIGHT_BY_TEAM}
        report = _drive(shape, addresses_by_team, key_by_team, loadsite.MODEL, folder)
        preemptions = site.preemptions()
    return summarize(policy, shape, report, preemptions)


def run_remote(
    shape: LoadShape,
    addresses: tuple[str, ...],
    key_by_team: collections.abc.Mapping[str, str],
    model: str,
    folder: pathlib.Path,
) -> LoadResult:
    """Run the load against nodes that are already running.

    :param addresses: ``ip:port`` of the nodes; teams start with different addresses.
    """
    addresses_by_team = {}
    for number, team in enumerate(sorted(key_by_team)):
        first = number % len(addresses)
        addresses_by_team[team] = addresses[first:] + addresses[:first]
    report = _drive(shape, addresses_by_team, key_by_team, model, folder)
    return summarize("as configured", shape, report, None)


def _drive(
    shape: LoadShape,
    addresses_by_team: collections.abc.Mapping[str, tuple[str, ...]],
    key_by_team: collections.abc.Mapping[str, str],
    model: str,
    folder: pathlib.Path,
) -> loadcoordinator.LoadReport:
    weight_by_team = {team: WEIGHT_BY_TEAM.get(team, 1.0) for team in key_by_team}
    traffic = loadtraffic.Traffic(
        shape.load, shape.seconds, weight_by_team, shape.lengths, shape.seed
    )
    memory_tokens = shape.engines * shape.engine.capacity_tokens
    step_s = shape.engine.step_s
    rate = shape.load * loadtraffic.saturating_rate(
        shape.lengths, memory_tokens, step_s, shape.seed
    )
    planned = loadtraffic.requests(traffic, rate, addresses_by_team, key_by_team, model)
    longest_s = shape.lengths.longest * step_s
    schedule = loadcoordinator.Schedule(
        shape.warmup_s, shape.seconds, shape.seconds + longest_s + _DRAIN_S
    )
    return loadcoordinator.run_drivers(planned, schedule, _DRIVERS, folder)


def summarize(
    policy: str, shape: LoadShape, report: loadcoordinator.LoadReport, preemptions: int | None
) -> LoadResult:
    """Compute the result from the requests that were due after the warm-up."""
    results = [result for result in report.results if result.at_s >= shape.warmup_s]
    started = [result for result in results if result.tokens]
    complete = [result for result in started if result.ending == "complete"]
    refused = [result for result in results if result.ending == "refused"]
    tokens = sum(result.tokens for result in started)
    stalls_s = sorted(result.stall_s for result in started)
    first_token_times_s = sorted(result.time_to_first_token_s for result in started)
    return LoadResult(
        policy=policy,
        offered=len(results),
        count_by_ending=dict(collections.Counter(result.ending for result in results)),
        refusals_by_code=dict(collections.Counter(result.code for result in refused)),
        refused_share_by_team=_share_by_team(results, refused),
        goodput=sum(result.tokens for result in complete) / (shape.seconds - shape.warmup_s),
        stalled=_share(sum(stall_s > 0 for stall_s in stalls_s), len(started)),
        stall_s_per_1000_tokens=_share(1000 * sum(stalls_s), tokens),
        stall_p99_s=quantile(stalls_s, 0.99),
        first_token_p50_s=quantile(first_token_times_s, 0.5),
        first_token_p95_s=quantile(first_token_times_s, 0.95),
        gaps=report.gaps,
        preemptions=preemptions,
        latest_start_s=max((result.late_s for result in results), default=0.0),
    )


def quantile(ascending: collections.abc.Sequence[float], fraction: float) -> float:
    """Return the smallest value such that ``fraction`` of the values do not exceed it.

    Examples
    ========

    >>> quantile([1.0, 2.0, 3.0, 4.0], 0.5)
    2.0
    """
    if not ascending:
        return 0.0
    rank = -int(-fraction * len(ascending) // 1)
    return ascending[max(rank, 1) - 1]


def _share(part: float, total: float) -> float:
    return part / total if total else 0.0


def _share_by_team(
    results: list[loadplan.StreamResult], refused: list[loadplan.StreamResult]
) -> dict[str, float]:
    offered_by_team = collections.Counter(result.team for result in results)
    refused_by_team = collections.Counter(result.team for result in refused)
    return {
        team: _share(refused_by_team[team], offered)
        for team, offered in sorted(offered_by_team.items())
    }


COLUMN_HEADINGS = (
    *("policy", "offered", "endings", "refusals", "goodput", "stalled"),
    *("stall s/1000 tok", "stall p99 s", "first token p50/p95 s"),
    *("gap p50/p95/p99/max ms", "preemptions", "late s"),
)


def as_row(result: LoadResult) -> tuple[str, ...]:
    """Return the table cells of one result, in the order of ``COLUMN_HEADINGS``."""
    gaps = result.gaps
    return (
        result.policy,
        str(result.offered),
        _format_counts(result.count_by_ending),
        _format_counts(result.refusals_by_code),
        f"{result.goodput:.0f}",
        f"{result.stalled:.1%}",
        f"{result.stall_s_per_1000_tokens:.2f}",
        f"{result.stall_p99_s:.2f}",
        f"{result.first_token_p50_s:.2f}/{result.first_token_p95_s:.2f}",
        f"{gaps.p50_ms:.1f}/{gaps.p95_ms:.1f}/{gaps.p99_ms:.1f}/{gaps.max_ms:.1f}",
        "unknown" if result.preemptions is None else str(result.preemptions),
        f"{result.latest_start_s:.3f}",
    )


def _format_counts(count_by_name: dict[str, int]) -> str:
    return " ".join(f"{name}:{count}" for name, count in sorted(count_by_name.items())) or "-"
