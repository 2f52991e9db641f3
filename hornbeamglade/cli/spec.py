"""Commands that check the protocol specifications."""

import pathlib

import click

from hornbeamglade.core import codederrors
from hornbeamglade.modelcheck import programtext, reports, verification


@click.group()
def spec() -> None:
    """Check the protocol specifications by full exploration of their state spaces."""


@spec.command()
@click.option(
    "--file",
    "path",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help="One specification; by default all of them.",
)
@click.option("--json", "json_output", is_flag=True, help="Print the verdicts as JSON.")
def check(path: pathlib.Path | None, json_output: bool) -> None:
    """Check that the guarantee holds with all guards and fails without any one of them."""
    try:
        paths = (path,) if path else programtext.specification_paths()
        verdicts = []
        for each in paths:
            verdicts.append(verification.verify(programtext.load(each)))
            if not json_output:
                click.echo(reports.as_text(verdicts[-1]))
    except codederrors.CodedError as error:
        raise click.ClickException(str(error)) from error
    if json_output:
        click.echo(reports.as_json(verdicts))
    if not all(verdict.passed for verdict in verdicts):
        raise SystemExit(1)
