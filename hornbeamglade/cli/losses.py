"""``hornbeamglade losses``: failed and late requests by cause, from logs."""

import collections.abc
import dataclasses
import json
import pathlib
import sys
import typing

import click

from hornbeamglade.observability import losses as losseslib
from hornbeamglade.observability import lossesplot, requesttimeline

EXIT_NO_REQUESTS = 1

_ROWS_BY_GROUPING: dict[str, collections.abc.Callable[[losseslib.Losses], list[losseslib.Row]]] = {
    "cause": lambda found: losseslib.by_cause(found.lost),
    "service": lambda found: losseslib.by_service(found.lost),
    "domain": losseslib.by_domain,
    "window": losseslib.by_window,
}
_HEADS = ("CAUSE", "REQUESTS", "PROMPT TOKENS", "SECONDS")


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.File(errors="replace"))
@click.option(
    "--by",
    "grouping",
    type=click.Choice(list(_ROWS_BY_GROUPING)),
    default="cause",
    show_default=True,
    help="Group by this in addition to the cause.",
)
@click.option("--json", "is_json", is_flag=True, help="Print each loss and the groups as JSON.")
@click.option(
    "--plot",
    type=click.Path(path_type=pathlib.Path, dir_okay=False),
    help="Plot the losses per time window into a file.",
)
def losses(
    files: tuple[typing.TextIO, ...], grouping: str, is_json: bool, plot: pathlib.Path | None
) -> None:
    """Attribute each request that was not served completely and on time to one cause.

    FILES contain the standard output of all instances of a site, in any order; - is
    standard input. Exits with 1 when they contain no request.
    """
    found = losseslib.find(line for file in files for line in requesttimeline.parse(file))
    rows = _ROWS_BY_GROUPING[grouping](found)
    click.echo(_as_json(found, rows) if is_json else _as_text(found, rows, grouping))
    if plot is not None:
        lossesplot.plot(found, plot)
    if not found.requests:
        sys.exit(EXIT_NO_REQUESTS)


def _as_json(found: losseslib.Losses, rows: list[losseslib.Row]) -> str:
    page = {
        "requests": found.requests,
        "groups": [dataclasses.asdict(row) | {"cause": row.cause.value} for row in rows],
        "lost": [dataclasses.asdict(loss) | {"cause": loss.cause.value} for loss in found.lost],
    }
    return json.dumps(page, indent=2)


def _as_text(found: losseslib.Losses, rows: list[losseslib.Row], grouping: str) -> str:
    is_grouped = grouping != "cause"
    heads = ((grouping.upper(),) if is_grouped else ()) + _HEADS
    cells = [
        (*((row.key,) if is_grouped else ()), row.cause.value, row.count, row.tokens, row.seconds)
        for row in rows
    ]
    total = (
        *(("all",) if is_grouped else ()),
        "all causes",
        len(found.lost),
        sum(row.tokens for row in rows),
        round(sum(row.seconds for row in rows), 3),
    )
    texts = [tuple(str(cell) for cell in line) for line in (heads, *cells, total)]
    widths = [max(len(line[i]) for line in texts) for i in range(len(heads))]
    lines = [f"{found.requests} requests, {len(found.lost)} not served whole and on time"]
    lines += [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in texts
    ]
    return "\n".join(lines)
