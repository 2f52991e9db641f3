"""``hornbeamglade bench uneven`` and ``crowd``: mixed kinds of requests in virtual time."""

import collections.abc
import pathlib

import click

from hornbeamglade.bench import (
    policymixload,
    policymixpolicies,
    policymixreport,
    policymixrun,
)
from hornbeamglade.cli import bench as benchlib

_MAX_ENGINES = 60


def _experiment(name: str, text: str) -> click.Command:
    """Return the command of one experiment."""
    scenario = policymixload.SCENARIO_BY_NAME[name]

    def run(
        seeds: str,
        seconds: float,
        engines: int,
        policies: tuple[str, ...],
        out: pathlib.Path | None,
        plot: pathlib.Path | None,
    ) -> None:
        scaled = scenario.scaled(engines)
        runs = [
            policymixrun.run(scaled, policy, seed, seconds)
            for policy in policies
            for seed in benchlib.seed_range(seeds)
        ]
        _show(policymixreport.Shares(runs), out, plot)

    options: tuple[collections.abc.Callable, ...] = (
        click.option("--seeds", default="1-3", show_default=True, help="First and last seed."),
        click.option(
            "--seconds",
            type=click.FloatRange(1, 3600),
            default=30.0,
            show_default=True,
            help="Virtual seconds in which requests arrive.",
        ),
        click.option(
            "--engines",
            type=click.IntRange(2, _MAX_ENGINES),
            default=scenario.replicas,
            show_default=True,
            help="Engines; the load is scaled with them.",
        ),
        click.option(
            "--policy",
            "policies",
            multiple=True,
            type=click.Choice(policymixpolicies.POLICIES),
            default=policymixpolicies.POLICIES,
        ),
        click.option(
            "--out", type=click.Path(path_type=pathlib.Path), help="JSON report to write."
        ),
        click.option("--plot", type=click.Path(path_type=pathlib.Path), help="Plot to write."),
    )
    for option in reversed(options):
        run = option(run)
    return click.command(name, help=text)(run)


def _show(
    shares: policymixreport.Shares, out: pathlib.Path | None, plot: pathlib.Path | None
) -> None:
    if out is not None:
        policymixreport.write(shares, out)
    click.echo(policymixreport.as_text(shares))
    if plot is not None:
        policymixreport.plot(shares, plot)


bench_uneven = _experiment("uneven", "Compare policies on engines of uneven speed.")
bench_crowd = _experiment("crowd", "Compare policies in surges while engines depart.")
