"""``hornbeamglade explain``: the timeline of one request, from logs."""

import sys
import typing

import click

from hornbeamglade.observability import requesttimeline

EXIT_UNKNOWN = 1


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, required=True, type=click.File(errors="replace"))
def explain(request_id: str, files: tuple[typing.TextIO, ...]) -> None:
    """Show what happened to a request and why, from the logs of one or more instances.

    FILES contain the standard output of instances, in any order; - is standard input.
    Exits with 1 when no line names the request.
    """
    lines = [line for file in files for line in requesttimeline.parse(file)]
    timeline = requesttimeline.find(request_id, lines)
    click.echo(timeline.text())
    if not timeline.lines:
        sys.exit(EXIT_UNKNOWN)
