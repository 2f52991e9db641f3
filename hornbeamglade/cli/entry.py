"""``hornbeamglade entry``: run one entry instance."""

import os
import sys

import click

from hornbeamglade.core import codederrors
from hornbeamglade.entry import daemon

EXIT_BAD_SETTINGS = 2


@click.command()
@click.option("--settings", "path", help="YAML file with the instance's settings.")
@click.option("--settings-from", "variable", help="Environment variable that holds its path.")
def entry(path: str | None, variable: str | None) -> None:
    """Run one entry instance until it is told to stop (SIGTERM drains it)."""
    if variable is not None:
        path = os.environ.get(variable)
    if not path:
        click.echo("settings_unreadable: no settings file is named", err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    try:
        code = daemon.run(path)
    except codederrors.CodedError as error:
        click.echo(str(error), err=True)
        code = EXIT_BAD_SETTINGS
    sys.exit(code)
