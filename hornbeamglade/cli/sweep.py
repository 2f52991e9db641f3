"""``hornbeamglade sweep``: one exchange, disturbed at every byte."""

import asyncio
import sys

import click

from hornbeamglade.sweep import kinds, running

EXIT_BROKEN = 1
_HEADS = ("EXCHANGE", "USE", "DISTURBANCE", "PLAYED", "UNMET", "VERDICT")
_ROW = "{:<21} {:<6} {:<25} {:>6} {:>6}  {}"


@click.command()
@click.option(
    "--only",
    "names",
    multiple=True,
    type=click.Choice([each.name for each in kinds.KINDS]),
    help="Sweep this kind of exchange; may be given several times. All by default.",
)
@click.option(
    "--share",
    default=1.0,
    show_default=True,
    type=click.FloatRange(0.0, 1.0, min_open=True),
    help="Share of the cases that are played.",
)
@click.option("--seed", default=1, show_default=True, help="Draws the cases of a share.")
def sweep(names: tuple[str, ...], share: float, seed: int) -> None:
    """Disturb each kind of exchange at every byte of its response.

    Prints the cases by exchange, by first or kept connection and by disturbance. The exit code is
    1 when something did not hold.
    """
    rows = []
    for kind in (each for each in kinds.KINDS if not names or each.name in names):
        kind_cases = list(kind.cases(asyncio.run(running.record(kind))))
        if share < 1.0:
            kind_cases = running.sample(kind_cases, share, seed)
        with click.progressbar(length=len(kind_cases), label=kind.name, file=sys.stderr) as bar:
            rows += asyncio.run(running.sweep(kind, kind_cases, bar.update))
    click.echo(_ROW.format(*_HEADS))
    for row in rows:
        fields = (row.kind, row.use, row.disturbance, row.played, row.unmet, row.verdict)
        click.echo(_ROW.format(*fields))
    played = sum(row.played for row in rows)
    broken = sum(len(row.broken_at) for row in rows)
    click.echo(f"{played} cases, {broken} rules broken")
    sys.exit(EXIT_BROKEN if broken else 0)
