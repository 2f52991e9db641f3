"""Commands that benchmark dispatch and admission policies in virtual time."""

import dataclasses
import pathlib

import click

from hornbeamglade.bench import policyreport, policyrun, policyscenarios
from hornbeamglade.core import codederrors

_FULL_S = 600.0
_QUICK_S = 240.0
_FULL_SETS = ("load", "pirkanmaa", "lengths", "reports", "routing", "faults")


@click.group()
def bench() -> None:
    """Run benchmarks."""


@bench.command("policy")
@click.option("--quick", is_flag=True, help="One small scenario, one seed: a few seconds.")
@click.option("--set", "sets", multiple=True, help="Scenario sets; all by default.")
@click.option("--policy", "policies", multiple=True, help="Policies; all by default.")
@click.option("--seeds", default="1-10", show_default=True, help="First and last seed.")
@click.option("--duration", "duration_s", type=float, help="Virtual seconds of a run.")
@click.option("--out", type=click.Path(path_type=pathlib.Path), help="JSON report to write.")
@click.option("--plot", type=click.Path(path_type=pathlib.Path), help="Plot to write.")
def policy(
    quick: bool,
    sets: tuple[str, ...],
    policies: tuple[str, ...],
    seeds: str,
    duration_s: float | None,
    out: pathlib.Path | None,
    plot: pathlib.Path | None,
) -> None:
    """Compare dispatch and admission policies on modelled engines."""
    names = sets or (("quick",) if quick else _FULL_SETS)
    duration_s = duration_s or (_QUICK_S if quick else _FULL_S)
    records = []
    for scenario in policyscenarios.scenarios(names):
        for name in policies or policyrun.POLICIES:
            for seed in [1] if quick else seed_range(seeds):
                run = policyrun.run(scenario, name, seed, duration_s)
                records.append(_record(run))
    report = policyreport.Report(duration_s=duration_s, runs=records)
    _show(report, out, plot)


@bench.command("policy-report")
@click.argument("paths", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path))
@click.option("--out", type=click.Path(path_type=pathlib.Path), help="Joined report to write.")
@click.option("--plot", type=click.Path(path_type=pathlib.Path), help="Plot to write.")
def policy_report(
    paths: tuple[pathlib.Path, ...], out: pathlib.Path | None, plot: pathlib.Path | None
) -> None:
    """Merge report files, such as those of several seeds that ran in parallel."""
    _show(policyreport.read(paths), out, plot)


def _show(
    report: policyreport.Report, out: pathlib.Path | None, plot: pathlib.Path | None
) -> None:
    if out is not None:
        policyreport.write(report, out)
    click.echo(policyreport.as_text(report))
    if plot is not None:
        policyreport.plot(report, plot)


def seed_range(text: str) -> range:
    """Return the seeds from a first to a last one.

    :raises CodedError: ``seeds_malformed``.

    Examples
    ========

    >>> list(seed_range("2-4")), list(seed_range("7"))
    ([2, 3, 4], [7])
    """
    first, _, last = text.partition("-")
    try:
        return range(int(first), int(last or first) + 1)
    except ValueError as error:
        raise codederrors.CodedError("seeds_malformed", f"{text!r} is not like 1-10") from error


def _record(run: policyrun.Run) -> policyreport.RunRecord:
    return policyreport.RunRecord(
        scenario=run.scenario.name,
        load=run.scenario.load,
        policy=run.policy,
        seed=run.seed,
        figures=dataclasses.asdict(run.figures),
    )
