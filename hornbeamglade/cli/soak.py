"""``hornbeamglade soak``: inject random faults into a small site and check its guarantees."""

import collections.abc
import pathlib
import sys
import tempfile

import click

from hornbeamglade.soak import plan, running, seeds

EXIT_BROKEN = 1

_KINDS_BY_SET = {
    None: plan.ALL_KINDS,
    "reachability": plan.REACHABILITY_KINDS,
    "load": plan.LOAD_KINDS,
    "refusals": plan.REFUSAL_KINDS,
    "versions": plan.VERSION_KINDS,
    "parts": plan.PART_KINDS,
    "strays": plan.STRAY_KINDS,
    "broken": plan.BROKEN_KINDS,
    "outages": plan.OUTAGE_KINDS,
    "takeovers": plan.TAKEOVER_KINDS,
    "crowds": plan.CROWD_KINDS,
    "ends": plan.ENDS_KINDS,
    "crossings": plan.CROSSING_KINDS,
}


@click.command()
@click.option(
    "--seeds", "seeds_text", default="1", show_default=True, help="Such as 3 or 1-50 or 2,9."
)
@click.option("--seconds", default=12.0, show_default=True, help="Period in which faults start.")
@click.option(
    "--reachability",
    "kind_set",
    flag_value="reachability",
    help="Draw only partitions, silent servers and servers that tolerate few refusals.",
)
@click.option(
    "--load",
    "kind_set",
    flag_value="load",
    help="Draw only slow machines, scarce memory, surges, slow readers and leaving engines.",
)
@click.option(
    "--refusals",
    "kind_set",
    flag_value="refusals",
    help="Draw only faults after which requests are refused, and servers whose refusals lie.",
)
@click.option(
    "--versions",
    "kind_set",
    flag_value="versions",
    help="Draw only engines of other versions, crashes, departures and lost instances.",
)
@click.option(
    "--parts",
    "kind_set",
    flag_value="parts",
    help="Draw only parts of prompts that crash engines, lost instances, surges, store failures.",
)
@click.option(
    "--strays",
    "kind_set",
    flag_value="strays",
    help="Draw only bytes that belong to no request, engines that do not stop runs, lost links.",
)
@click.option(
    "--broken",
    "kind_set",
    flag_value="broken",
    help="Draw only responses that break off, some into another one, and what --strays draws.",
)
@click.option(
    "--outages",
    "kind_set",
    flag_value="outages",
    help="Draw only the loss of all instances, and what --versions draws.",
)
@click.option(
    "--takeovers",
    "kind_set",
    flag_value="takeovers",
    help="Draw only servers that take over an address, lost answers, paused instances.",
)
@click.option(
    "--crowds",
    "kind_set",
    flag_value="crowds",
    help="Draw only crowds of misbehaving callers, stops, pauses, partitions, store failures.",
)
@click.option(
    "--ends",
    "kind_set",
    flag_value="ends",
    help="Draw only streams that end with their connections, leaving servers, lost instances.",
)
@click.option(
    "--crossings",
    "kind_set",
    flag_value="crossings",
    help="Draw only what servers do in planned stops, moves of runs and outages of the store.",
)
@click.option("--instances", default=3, show_default=True, type=click.IntRange(3, 60))
@click.option("--kept", is_flag=True, help="Also run the seeds that have failed before.")
@click.option(
    "--folder",
    type=click.Path(path_type=pathlib.Path),
    help="Directory that keeps each seed's logs.",
)
def soak(
    seeds_text: str,
    seconds: float,
    kind_set: str | None,
    instances: int,
    kept: bool,
    folder: pathlib.Path | None,
) -> None:
    """Run seeds one after the other; the exit code is 1 when a guarantee was violated."""
    chosen = _seeds(seeds_text)
    if kept:
        chosen += [seed for seed in seeds.CAUSE_BY_SEED if seed not in chosen]
    kinds = _KINDS_BY_SET[kind_set]
    failed = [seed for seed in chosen if not _passes(seed, seconds, kinds, instances, folder)]
    click.echo(f"{len(chosen)} seeds, {len(failed)} with a broken promise: {failed or 'none'}")
    sys.exit(EXIT_BROKEN if failed else 0)


def _passes(
    seed: int,
    seconds: float,
    kinds: tuple[plan.FaultFactory, ...],
    instances: int,
    folder: pathlib.Path | None,
) -> bool:
    """Run a seed and print its result; return whether all guarantees held."""
    with tempfile.TemporaryDirectory(prefix="hornbeamglade-soak-") as scratch:
        directory = pathlib.Path(scratch) if folder is None else folder / f"seed-{seed}"
        directory.mkdir(parents=True, exist_ok=True)
        verdict = running.run(seed, seconds, directory, kinds, instances)
    statuses = ", ".join(
        f"{status or 'none'}: {count}" for status, count in sorted(verdict.count_by_status.items())
    )
    click.echo(f"seed {seed}: {verdict.requests} requests ({statuses})")
    if verdict.violations:
        click.echo("  faults: " + "; ".join(verdict.faults))
    for each in verdict.violations:
        click.echo(f"  BROKEN {each.guarantee} {each.request_id} {each.detail}")
    return not verdict.violations


def _seeds(seeds_text: str) -> list[int]:
    """Parse a list of numbers and ranges.

    :raises BadParameter: when it cannot be parsed.

    Examples
    ========

    >>> _seeds("1-3,9")
    [1, 2, 3, 9]
    """
    found: list[int] = []
    for part in seeds_text.split(","):
        first, _, last = part.partition("-")
        try:
            found += _seed_range(int(first), int(last or first))
        except ValueError as error:
            detail = f"{part!r} is no seed and no range"
            raise click.BadParameter(detail, param_hint="--seeds") from error
    return found


def _seed_range(first: int, last: int) -> collections.abc.Iterable[int]:
    if last < first:
        raise ValueError("the range is empty")
    return range(first, last + 1)
