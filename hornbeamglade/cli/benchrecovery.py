"""``hornbeamglade bench recovery``: how long faults affect callers."""

import collections.abc
import json
import pathlib
import signal
import tempfile

import click

from hornbeamglade.bench import recovery, recoveryfaults, recoveryreport

_FAULTS = tuple(recoveryfaults.FAULT_BY_NAME)


@click.command("recovery")
@click.option("--trials", type=click.IntRange(1, 1000), default=20, show_default=True)
@click.option(
    "--fault",
    "faults",
    multiple=True,
    type=click.Choice(_FAULTS),
    default=_FAULTS,
    help="All by default.",
)
@click.option("--seed", type=int, default=0, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="JSON with each trial, no table.")
def bench_recovery(trials: int, faults: tuple[str, ...], seed: int, as_json: bool) -> None:
    """Inject faults into a site in seeded trials and measure how long callers are affected.

    Exits with 1 when a guarantee was violated or a site did not recover.
    """
    signal.signal(signal.SIGTERM, _exit_on_sigterm)
    shape = recovery.RecoveryShape(trials=trials, seed=seed)
    results = []
    if not as_json:
        click.echo(" | ".join(recoveryreport.COLUMN_HEADINGS))
    with tempfile.TemporaryDirectory(prefix="hornbeamglade-recovery-") as folder:
        for name in faults:
            result = recovery.run(shape, name, pathlib.Path(folder), _progress(name, trials))
            results.append(result)
            if not as_json:
                click.echo(" | ".join(recoveryreport.as_row(result)))
                click.echo("\n".join(recoveryreport.notes(result)))
    if as_json:
        click.echo(json.dumps(recoveryreport.as_json_values(shape, results), indent=2))
    if any(result.violated or not result.recovered for result in results):
        raise click.ClickException("A promise was broken, or a site didn't recover in time.")


def _progress(name: str, trials: int) -> collections.abc.Callable[[int], None]:
    return lambda number: click.echo(f"{name}: trial {number + 1} of {trials}", err=True)


def _exit_on_sigterm(*_: object) -> None:
    """Exit by an exception, so that the processes that the bench started are stopped."""
    raise SystemExit(128 + signal.SIGTERM)
