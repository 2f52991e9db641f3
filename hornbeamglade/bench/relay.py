"""Benchmark of an entry node's cost per token, compared with a bare relay and no relay.

Explanation
===========

All three ways are measured in one run, on the same engines and with the same drivers,
since results of separate runs on a shared machine are not comparable. The CPU time of a
relay is read from the system at the start and the end of the window.
"""

import collections
import collections.abc
import dataclasses
import json
import pathlib

from hornbeamglade.bench import loadcoordinator, loadplan, loadprocesses, loadsite

DIRECT = "direct"
BARE = "bare relay"
NODE = "entry node"
WAYS = (DIRECT, BARE, NODE)

_TEAM = "bench"
_RAMP_S = 2.0
_SETTLE_S = 1.0
_SLACK_S = 5.0
_UNLIMITED_TOKENS = 10_000_000
_MEGABYTE = 1_000_000
_PROMPT = "Dear office, please draft a reply to this letter. " * 8


@dataclasses.dataclass(frozen=True, slots=True)
class RelayShape:
    """Parameters of the relay benchmark.

    :param streams: numbers of concurrent streams, with one measurement each.
    :param seconds: length of the window of each measurement.
    :param step_s: seconds between the tokens of a stream.
    """

    streams: tuple[int, ...] = (36, 72, 144)
    seconds: float = 8.0
    engines: int = 4
    drivers: int = 2
    step_s: float = 0.026
    ways: tuple[str, ...] = WAYS


@dataclasses.dataclass(frozen=True, slots=True)
class RelayResult:
    """One measurement.

    :param way: how callers reached the engines.
    :param tokens_per_s: tokens per second that all callers received.
    :param cpu_us_per_token: CPU time of the relay; None without a relay.
    :param cores: CPU time of the relay per second.
    :param resident_mb: resident memory of the relay at the end of the window.
    :param driver_cores: CPU use of the drivers, which must stay well below one core each.
    :param count_by_ending: streams by their ending; "cut" is a stream that was still open at
        the end.
    """

    way: str
    streams: int
    tokens_per_s: float
    cpu_us_per_token: float | None
    cores: float | None
    resident_mb: float | None
    gaps: loadcoordinator.Gaps
    driver_cores: float
    count_by_ending: dict[str, int]


class _Meter:
    """Reads the CPU time and memory of a relay at the start and the end of the window."""

    def __init__(self, child: loadprocesses.Child | None) -> None:
        self._child = child
        self._cpu_at_start_s = 0.0
        self.cpu_s: float | None = None
        self.resident_mb: float | None = None

    def start(self) -> None:
        if self._child is not None:
            self._cpu_at_start_s = self._child.cpu_s()

    def end(self) -> None:
        if self._child is not None:
            self.cpu_s = self._child.cpu_s() - self._cpu_at_start_s
            self.resident_mb = self._child.resident_bytes() / _MEGABYTE


def run(
    shape: RelayShape,
    folder: pathlib.Path,
    on_result: collections.abc.Callable[[RelayResult], None] = lambda result: None,
) -> tuple[RelayResult, ...]:
    """Measure every way at every number of streams.

    :param folder: directory of settings and logs of the processes.
    :param on_result: called with each measurement as it ends.
    """
    site_shape = loadsite.SiteShape(
        engines=shape.engines,
        nodes=1 if NODE in shape.ways else 0,
        weight_by_team={_TEAM: 1.0},
        engine=loadsite.EngineShape(capacity_tokens=_UNLIMITED_TOKENS, step_s=shape.step_s),
    )
    results = []
    with loadsite.Site(site_shape, folder) as site:
        bare = loadprocesses.Child(
            "bare-relay", ("hornbeamglade.bench.barerelay", *site.engines), folder
        )
        try:
            target_by_way = _targets(site, bare)
            for streams in shape.streams:
                for way in shape.ways:
                    results.append(_measure(shape, way, streams, target_by_way[way], folder))
                    on_result(results[-1])
        finally:
            bare.stop()
    return tuple(results)


@dataclasses.dataclass(frozen=True, slots=True)
class _Target:
    """The addresses that callers connect to and the process whose cost is measured."""

    addresses: tuple[str, ...]
    child: loadprocesses.Child | None


def _targets(site: loadsite.Site, bare: loadprocesses.Child) -> dict[str, _Target]:
    target_by_way = {
        DIRECT: _Target(tuple(site.engines), None),
        BARE: _Target((bare.first_line(),), bare),
    }
    for address, node in site.node_by_address.items():
        target_by_way[NODE] = _Target((address,), node)
    return target_by_way


def _measure(
    shape: RelayShape, way: str, streams: int, target: _Target, folder: pathlib.Path
) -> RelayResult:
    window_from_s = _RAMP_S + _SETTLE_S
    window_until_s = window_from_s + shape.seconds
    schedule = loadcoordinator.Schedule(window_from_s, window_until_s, window_until_s + _SETTLE_S)
    meter = _Meter(target.child)
    report = loadcoordinator.run_drivers(
        planned_requests(shape, way, streams, target.addresses, schedule),
        schedule,
        shape.drivers,
        folder,
        meter.start,
        meter.end,
    )
    per_token = None
    if meter.cpu_s is not None and report.window_tokens:
        per_token = meter.cpu_s * 1e6 / report.window_tokens
    return RelayResult(
        way=way,
        streams=streams,
        tokens_per_s=report.window_tokens / shape.seconds,
        cpu_us_per_token=per_token,
        cores=None if meter.cpu_s is None else meter.cpu_s / shape.seconds,
        resident_mb=meter.resident_mb,
        gaps=report.gaps,
        driver_cores=report.driver_cpu_s / schedule.stop_at_s,
        count_by_ending=dict(collections.Counter(map(_ending, report.results))),
    )


def _ending(result: loadplan.StreamResult) -> str:
    return f"{result.ending}/{result.code}" if result.code else result.ending


def planned_requests(
    shape: RelayShape,
    way: str,
    streams: int,
    addresses: tuple[str, ...],
    schedule: loadcoordinator.Schedule,
) -> tuple[loadplan.PlannedRequest, ...]:
    """Return requests that start evenly over the ramp and outlast the window."""
    answer_tokens = int((schedule.stop_at_s + _SLACK_S) / shape.step_s)
    document = {"model": loadsite.MODEL, "stream": True, "x_answer_tokens": answer_tokens}
    return tuple(
        loadplan.PlannedRequest(
            number=number,
            team=_TEAM,
            at_s=_RAMP_S * number / streams,
            addresses=(addresses[number % len(addresses)],),
            header_by_name={
                "Authorization": f"Bearer {loadsite.team_key(_TEAM)}",
                "X-Request-Id": f"{way.replace(' ', '-')}-{streams}-{number}",
            },
            # Without a common prefix, as prefix routing would overload one engine.
            body=json.dumps(document | {"prompt": f"{way} {number:04d}: {_PROMPT}"}),
            answer_tokens=answer_tokens,
        )
        for number in range(streams)
    )


def no_stream_ended_early(results: collections.abc.Iterable[RelayResult]) -> bool:
    """Return whether every stream was still open at the end of its measurement."""
    return all(set(result.count_by_ending) <= {"cut"} for result in results)


COLUMN_HEADINGS = (
    *("way", "streams", "tokens/s", "CPU us/token", "cores", "RSS MB"),
    *("gap p50", "p95", "p99", "max ms", "driver cores", "endings"),
)


def as_row(result: RelayResult) -> tuple[str, ...]:
    """Return the table cells of one measurement, in the order of ``COLUMN_HEADINGS``."""
    return (
        result.way,
        str(result.streams),
        f"{result.tokens_per_s:.0f}",
        _cell(result.cpu_us_per_token, ".1f"),
        _cell(result.cores, ".2f"),
        _cell(result.resident_mb, ".0f"),
        f"{result.gaps.p50_ms:.1f}",
        f"{result.gaps.p95_ms:.1f}",
        f"{result.gaps.p99_ms:.1f}",
        f"{result.gaps.max_ms:.1f}",
        f"{result.driver_cores:.2f}",
        " ".join(f"{ending}:{count}" for ending, count in result.count_by_ending.items()),
    )


def _cell(value: float | None, form: str) -> str:
    return "-" if value is None else format(value, form)
