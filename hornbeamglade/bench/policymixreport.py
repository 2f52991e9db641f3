"""Reports of the experiments ``uneven`` and ``crowd``: JSON, text and a plot."""

import collections
import collections.abc
import dataclasses
import json
import pathlib

from hornbeamglade.bench import policymixpool, policymixrun
from hornbeamglade.core import codederrors

WINDOW_S = 5.0
ALL_TEAMS = "all"
RESULTS = tuple(policymixpool.Result)


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """The requests that one share counts.

    :param team: a team, or :data:`ALL_TEAMS`.
    :param window: number of the time window of their arrival, or None for the whole run.
    """

    policy: str
    kind: str
    team: str
    window: int | None


class Shares:
    """Counts of outcomes of several runs, by policy, kind, team and time window.

    :param runs: runs of one experiment.
    """

    def __init__(self, runs: collections.abc.Sequence[policymixrun.MixRun]) -> None:
        self.scenario = runs[0].scenario.name
        self.seeds = sorted({run.seed for run in runs})
        self.policies = list(dict.fromkeys(run.policy for run in runs))
        self.kinds = [kind.name for kind in runs[0].scenario.kinds]
        self.windows = range(max(1, -int(-runs[0].duration_s // WINDOW_S)))
        self._counts: dict[Cell, collections.Counter[policymixpool.Result]]
        self._counts = collections.defaultdict(collections.Counter)
        for run in runs:
            for request, result in run.results:
                window = int(request.at_s // WINDOW_S)
                for team in (request.work.team, ALL_TEAMS):
                    for each in (window, None):
                        cell = Cell(run.policy, request.kind.name, team, each)
                        self._counts[cell][result] += 1
        self.teams = sorted({cell.team for cell in self._counts} - {ALL_TEAMS})

    def count(self, cell: Cell) -> int:
        """Return the number of requests of a cell."""
        return sum(self._counts[cell].values()) if cell in self._counts else 0

    def share(self, cell: Cell, result: policymixpool.Result) -> float:
        """Return the share of a cell's requests with an outcome; 0 if it has no requests."""
        return self._counts[cell][result] / count if (count := self.count(cell)) else 0.0

    def records(self) -> list[dict[str, object]]:
        """Return all cells and their counts."""
        return [
            dataclasses.asdict(cell) | {each.value: counts[each] for each in RESULTS}
            for cell, counts in self._counts.items()
        ]


def write(shares: Shares, path: pathlib.Path) -> None:
    """Write all counts to a JSON file."""
    document = {
        "scenario": shares.scenario,
        "seeds": shares.seeds,
        "window_s": WINDOW_S,
        "counts": shares.records(),
    }
    path.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")


def as_text(shares: Shares) -> str:
    """Return two Markdown tables: shares of the whole runs, and shares over time."""
    seeds = f"{len(shares.seeds)} seeds: {shares.seeds[0]} to {shares.seeds[-1]}"
    parts = [f"### {shares.scenario} ({seeds})\n"]
    headings = ["policy", "kind", "team", "requests", *(each.value for each in RESULTS)]
    rows = []
    for policy in shares.policies:
        for kind in shares.kinds:
            for team in (ALL_TEAMS, *shares.teams):
                cell = Cell(policy, kind, team, None)
                values = [f"{shares.share(cell, each):.3f}" for each in RESULTS]
                rows.append([policy, kind, team, str(shares.count(cell)), *values])
    parts.append(_table(headings, rows))
    parts.append(f"\nOver time: {', '.join(each.value for each in RESULTS)}\n")
    rows = []
    for kind in shares.kinds:
        for team in (ALL_TEAMS, *shares.teams):
            for window in shares.windows:
                cells = [Cell(policy, kind, team, window) for policy in shares.policies]
                values = [" / ".join(f"{shares.share(c, r):.2f}" for r in RESULTS) for c in cells]
                rows.append([kind, team, f"{window * WINDOW_S:g} s", *values])
    parts.append(_table(["kind", "team", "from", *shares.policies], rows))
    return "\n".join(parts)


def _table(headings: list[str], rows: list[list[str]]) -> str:
    lines = [headings, ["---"] * len(headings), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def plot(shares: Shares, path: pathlib.Path) -> None:
    """Plot the shares over time: one row per policy, one column per kind, a line per team.

    The areas are the shares of all teams; each line is the share on time of one team.

    :raises CodedError: ``plot_unavailable`` when matplotlib is not installed.
    """
    try:
        import matplotlib.figure as figures
    except ImportError as error:
        detail = "plots need matplotlib: install hornbeamglade[plot]"
        raise codederrors.CodedError("plot_unavailable", detail) from error
    rows, columns = len(shares.policies), len(shares.kinds)
    figure = figures.Figure(figsize=(5 * columns + 2, 2.5 * rows), layout="constrained")
    axes = figure.subplots(rows, columns, squeeze=False, sharex=True, sharey=True)
    times = [window * WINDOW_S for window in shares.windows]
    for row, policy in enumerate(shares.policies):
        for column, kind in enumerate(shares.kinds):
            axis = axes[row][column]
            cells = [Cell(policy, kind, ALL_TEAMS, window) for window in shares.windows]
            areas = [[shares.share(cell, each) for cell in cells] for each in RESULTS]
            axis.stackplot(times, areas, labels=[each.value for each in RESULTS], alpha=0.6)
            for team in shares.teams:
                cells = [Cell(policy, kind, team, window) for window in shares.windows]
                on_time = [shares.share(cell, policymixpool.Result.ON_TIME) for cell in cells]
                axis.plot(times, on_time, linewidth=0.8, label=team)
            axis.set_title(f"{policy}: {kind}", fontsize="small")
            axis.set_ylim(0, 1)
    for axis in axes[-1]:
        axis.set_xlabel("time of arrival, s")
    axes[0][-1].legend(fontsize="x-small", loc="center left", bbox_to_anchor=(1, 0.5))
    figure.savefig(path)
