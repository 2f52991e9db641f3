"""Reports of the policy benchmark: JSON, text and a plot."""

import collections
import collections.abc
import dataclasses
import json
import pathlib
import statistics

import pydantic

from hornbeamglade.bench import policymetrics
from hornbeamglade.core import codederrors


class RunRecord(pydantic.BaseModel):
    """One run as stored in a report file."""

    scenario: str
    load: float
    policy: str
    seed: int
    figures: dict[str, float]


class Report(pydantic.BaseModel):
    """A report file."""

    duration_s: float
    runs: list[RunRecord]


@dataclasses.dataclass(frozen=True, slots=True)
class _Column:
    """A column of the text report: its heading, metrics and their format.

    A column with a single metric also shows the standard deviation over the seeds.
    """

    heading: str
    format_spec: str
    figures: tuple[str, ...]


_COLUMNS = (
    _Column("goodput", ".3f", ("goodput_share",)),
    _Column("preemptions/1000", ".1f", ("preemptions_per_1000",)),
    _Column("stall s/1000", ".1f", ("stall_s_per_1000",)),
    _Column("refused", ".3f", ("refused_share",)),
    _Column("TTFT p50/p99, s", ".2f", ("ttft_p50_s", "ttft_p99_s")),
    _Column(
        "gap p50/p95/p99/p99.9, s",
        ".3f",
        ("gap_p50_s", "gap_p95_s", "gap_p99_s", "gap_p999_s"),
    ),
    _Column("lost", ".1f", ("lost",)),
    _Column("team share least/most", ".2f", ("share_least", "share_most")),
)
_FIGURE_NAMES = {field.name for field in dataclasses.fields(policymetrics.Figures)}


def read(paths: collections.abc.Iterable[pathlib.Path]) -> Report:
    """Read report files and merge them.

    :raises CodedError: ``report_unreadable``.
    """
    reports = []
    for path in paths:
        try:
            report = Report.model_validate_json(path.read_text())
        except (OSError, ValueError) as error:
            raise codederrors.CodedError("report_unreadable", f"{path}: {error}") from error
        if any(run.figures.keys() != _FIGURE_NAMES for run in report.runs):
            detail = f"{path}: the figures differ from those of this version"
            raise codederrors.CodedError("report_unreadable", detail)
        reports.append(report)
    if len({report.duration_s for report in reports}) != 1:
        detail = "runs of different duration cannot be compared"
        raise codederrors.CodedError("report_unreadable", detail)
    runs = [run for report in reports for run in report.runs]
    return Report(duration_s=reports[0].duration_s, runs=runs)


def write(report: Report, path: pathlib.Path) -> None:
    """Write a report file."""
    path.write_text(json.dumps(report.model_dump(), indent=1) + "\n")


def as_text(report: Report) -> str:
    """Return a Markdown table per scenario: mean and standard deviation over the seeds.

    Goodput is given as a share of capacity, and relative to the clairvoyant policy if
    that was run on the same seeds.
    """
    parts = []
    for scenario, runs_by_policy in _grouped(report).items():
        seeds = sorted({run.seed for runs in runs_by_policy.values() for run in runs})
        parts.append(f"### {scenario} ({len(seeds)} seeds: {seeds[0]} to {seeds[-1]})\n")
        headings = ["policy", "of clairvoyant", *(column.heading for column in _COLUMNS)]
        parts.append("| " + " | ".join(headings) + " |")
        parts.append("|" + "---|" * len(headings))
        clairvoyant = runs_by_policy.get("clairvoyant")
        for policy, runs in runs_by_policy.items():
            cells = [policy, _ratio(runs, clairvoyant)]
            cells += [_cell(runs, column) for column in _COLUMNS]
            parts.append("| " + " | ".join(cells) + " |")
        parts.append("")
    return "\n".join(parts)


def plot(report: Report, path: pathlib.Path) -> None:
    """Plot preemptions and stall time against goodput, one point per policy and scenario.

    :raises CodedError: ``plot_unavailable`` when matplotlib is not installed.
    """
    try:
        import matplotlib.figure as figures
    except ImportError as error:
        detail = "plots need matplotlib: install hornbeamglade[plot]"
        raise codederrors.CodedError("plot_unavailable", detail) from error
    figure = figures.Figure(figsize=(11, 5), layout="constrained")
    axes = figure.subplots(1, 2)
    plotted = (("preemptions_per_1000", "preemptions per 1,000"), ("stall_s_per_1000", "stall, s"))
    points_by_policy: dict[str, list[list[RunRecord]]] = collections.defaultdict(list)
    for runs_by_policy in _grouped(report).values():
        for policy, runs in runs_by_policy.items():
            points_by_policy[policy].append(runs)
    for axis, (name, label) in zip(axes, plotted, strict=True):
        for policy, points in points_by_policy.items():
            goodputs = [_mean(runs, "goodput_share") for runs in points]
            axis.plot(goodputs, [_mean(runs, name) for runs in points], "o", label=policy)
        axis.set_xlabel("goodput, share of capacity")
        axis.set_ylabel(label)
        axis.set_yscale("symlog")
    axes[0].legend()
    figure.savefig(path)


def _grouped(report: Report) -> dict[str, dict[str, list[RunRecord]]]:
    grouped: dict[str, dict[str, list[RunRecord]]] = {}
    for run in report.runs:
        grouped.setdefault(run.scenario, {}).setdefault(run.policy, []).append(run)
    return grouped


def _mean(runs: list[RunRecord], name: str) -> float:
    return statistics.fmean(run.figures[name] for run in runs)


def _cell(runs: list[RunRecord], column: _Column) -> str:
    cell = " / ".join(format(_mean(runs, figure), column.format_spec) for figure in column.figures)
    if len(runs) < 2 or len(column.figures) > 1:
        return cell
    spread = statistics.stdev(run.figures[column.figures[0]] for run in runs)
    return f"{cell} ± {format(spread, column.format_spec)}"


def _ratio(runs: list[RunRecord], clairvoyant: list[RunRecord] | None) -> str:
    if not clairvoyant or {run.seed for run in runs} != {run.seed for run in clairvoyant}:
        return "-"
    best = _mean(clairvoyant, "goodput_share")
    return f"{_mean(runs, 'goodput_share') / best:.3f}" if best else "-"
