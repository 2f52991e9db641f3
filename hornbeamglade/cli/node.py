"""``hornbeamglade node``: run one entry node."""

import sys

import click

from hornbeamglade.core import codederrors
from hornbeamglade.node import daemon, settings

EXIT_BAD_SETTINGS = 2


@click.command()
@click.option("--settings", "path", required=True, help="YAML file with the node's settings.")
def node(path: str) -> None:
    """Run one entry node until it is told to stop (SIGTERM drains it)."""
    try:
        loaded = settings.load(path)
    except codederrors.CodedError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    sys.exit(daemon.run(loaded))
