"""Commands that measure cost slopes and write the page on capacity at the target size."""

import pathlib

import click

from hornbeamglade.capacity import measurement, page, slopes
from hornbeamglade.core import codederrors
from hornbeamglade.platform import sweeptables

_FILE = click.Path(dir_okay=False, path_type=pathlib.Path)


@click.group()
def capacity() -> None:
    """Estimate the cost of the target size from slopes measured on this machine."""


@capacity.command()
@click.option(
    "--out", type=_FILE, required=True, help="Output file; slopes of other groups in it are kept."
)
@click.option("--group", "groups", multiple=True, type=click.Choice(measurement.GROUPS))
def measure(out: pathlib.Path, groups: tuple[str, ...]) -> None:
    """Measure slopes, all by default; takes some minutes and about two cores."""
    try:
        measured = slopes.read(out) if out.exists() else slopes.SlopeSet(slopes.machine(), {})
        for slope in measurement.measure(groups or measurement.GROUPS):
            fit = slope.fit
            click.echo(f"{slope.key}: {fit.slope:.4g} per {slope.over}, R2 {fit.r_squared:.4f}")
            measured = measured.merged((slope,))
            slopes.write(out, measured)
    except codederrors.CodedError as error:
        raise click.ClickException(str(error)) from error


@capacity.command("page")
@click.option("--slopes", "path", type=_FILE, required=True)
@click.option("--sweep", "sweep_path", type=_FILE, required=True, help="Output of the bench.")
def print_page(path: pathlib.Path, sweep_path: pathlib.Path) -> None:
    """Print docs/CAPACITY.md."""
    try:
        sweep = sweeptables.decode(sweep_path.read_text(encoding="utf-8"))
        click.echo(page.markdown(slopes.read(path), sweep), nl=False)
    except codederrors.CodedError as error:
        raise click.ClickException(str(error)) from error
