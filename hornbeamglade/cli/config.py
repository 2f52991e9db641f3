"""``hornbeamglade config``: check, compare, apply and show the configuration.

Exit codes: 0 done, 2 bad input, 3 conflict with another operator's change,
4 platform down or outcome unknown, 5 not in force everywhere in time.
"""

import collections.abc
import dataclasses
import datetime
import getpass
import json
import sys
import typing
import uuid

import click

from hornbeamglade.cli import codedgroup, configfiles, configstatus
from hornbeamglade.configuration import (
    documentdiff,
    documents,
    documentsites,
    head,
    headrecords,
)
from hornbeamglade.core import clocks, codederrors
from hornbeamglade.membership import registry
from hornbeamglade.platform import storeclient
from hornbeamglade.store import contract

POLL_INTERVAL_S = 0.2
HISTORY_LIMIT = 20

_Command = typing.TypeVar("_Command", bound=collections.abc.Callable[..., None])


def _platform_option(command: _Command) -> _Command:
    return click.option(
        "--platform",
        "platform_url",
        required=True,
        envvar="HORNBEAMGLADE_PLATFORM",
        metavar="URL",
        help="The operator's platform.",
    )(command)


def _file_options(command: _Command) -> _Command:
    command = click.option(
        "--overlay", "overlays", multiple=True, help="An overlay, or a directory of them."
    )(command)
    return click.option("--base", required=True, help="The base file.")(command)


def _json_option(command: _Command) -> _Command:
    return click.option("--json", "as_json", is_flag=True, help="Print JSON.")(command)


@click.group()
def config() -> None:
    """Check, apply and follow the configuration."""


@config.command()
@_file_options
@_json_option
def check(base: str, overlays: tuple[str, ...], as_json: bool) -> None:
    """Check the files without contacting the platform."""
    document = configfiles.load(base, overlays)
    sites = documents.sites(document.text)
    found = {"digest": document.digest, "sites": list(sites)}
    _print(found, as_json, f"ok: {', '.join(sites)}; {document.digest}")


@config.command()
@_platform_option
@_file_options
@_json_option
def diff(platform_url: str, base: str, overlays: tuple[str, ...], as_json: bool) -> None:
    """Show what the files would change."""
    document = configfiles.load(base, overlays)
    current = _require_reachable(_head(platform_url).current())
    before = current.document if current else None
    number = current.number if current else 0
    differences = documentdiff.differences(before, document.text)
    found = {"revision": number, "differences": _as_dicts(differences)}
    _print(found, as_json, "\n".join([f"against revision {number}:", *_lines(differences)]))


@config.command()
@_platform_option
@_file_options
@click.option("--why", required=True, help="The reason, for the audit trail.")
@click.option(
    "--who", default=lambda: _login_name(), help="The operator; by default the login name."
)
@click.option(
    "--based-on",
    type=click.IntRange(min=0),
    required=True,
    help="The revision that the files were made from; 0 for the first.",
)
@click.option("--change-id", default=lambda: uuid.uuid4().hex, help="Id of a change sent before.")
@_json_option
def apply(
    platform_url: str,
    base: str,
    overlays: tuple[str, ...],
    why: str,
    who: str,
    based_on: int,
    change_id: str,
    as_json: bool,
) -> None:
    """Make the files the newest revision."""
    document = configfiles.load(base, overlays)
    change = head.Change(document, based_on, change_id, who, why)
    outcome = _head(platform_url).apply(change)
    message, exit_code = _describe_outcome(outcome, based_on)
    kind = type(outcome).__name__
    _print({"outcome": kind, **dataclasses.asdict(outcome)}, as_json, message)
    sys.exit(exit_code)


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        raise click.UsageError("This login has no name; give --who.") from None


def _describe_outcome(outcome: head.Outcome, based_on: int) -> tuple[str, int]:
    match outcome:
        case head.Applied(revision):
            return f"revision {revision} is accepted", 0
        case head.NothingChanged(revision):
            return f"revision {revision} says the same already", 0
        case head.LostRace(revision, theirs):
            lines = [
                f"conflict: revision {revision} was accepted since {based_on}; your files are"
                " as they were and nothing of them took effect. It changed:",
                *(["  (could not be read)"] if theirs is None else _lines(theirs)),
                f"put these into your files and apply again with --based-on {revision}",
            ]
            return "\n".join(lines), codedgroup.EXIT_CONFLICT
        case head.OutcomeUnknown(change_id, reason):
            message = f"outcome unknown ({reason}); repeat with --change-id {change_id}"
            return message, codedgroup.EXIT_PLATFORM_DOWN
        case head.PlatformDown(reason):
            message = f"platform down ({reason}); nothing took effect"
            return message, codedgroup.EXIT_PLATFORM_DOWN


@config.command()
@_platform_option
@click.option("--site", help="Show what is in force at this site.")
@click.option("--revision", type=click.IntRange(min=1), help="An earlier revision.")
@click.option("--into", metavar="DIR", help="Write base and overlays into new files there.")
@_json_option
def show(
    platform_url: str, site: str | None, revision: int | None, into: str | None, as_json: bool
) -> None:
    """Show a revision's base and overlays, or what it gives for one site."""
    config_head = _head(platform_url)
    found = _require_reachable(
        config_head.revision(revision) if revision else config_head.current()
    )
    if found is None:
        raise codederrors.CodedError("config_no_revision", "there is no such revision")
    if into is not None:
        names = configfiles.write_new(into, found.document)
        text = "\n".join(f"wrote {name}" for name in names)
        _print({"revision": found.number, "files": list(names)}, as_json, text)
    elif site is not None:
        written = documentsites.to_yaml_values(found.effective(site))
        text = f"# revision {found.number}, site {site}\n{configfiles.as_yaml(written)}"
        _print({"revision": found.number, "effective": written}, as_json, text)
    else:
        base, overlay_by_site = documents.parts(found.document)
        text = f"# revision {found.number}, base\n{configfiles.as_yaml(base)}" + "".join(
            f"---\n# overlay {name}\n{configfiles.as_yaml(value)}"
            for name, value in overlay_by_site.items()
        )
        shown = {"revision": found.number, "base": base, "overlays": overlay_by_site}
        _print(shown, as_json, text)


@config.command()
@_platform_option
@click.option("--limit", type=click.IntRange(min=1), default=HISTORY_LIMIT)
@_json_option
def history(platform_url: str, limit: int, as_json: bool) -> None:
    """Show who changed what, when and why, newest first."""
    records = _require_reachable(_head(platform_url).history(limit))
    text = "\n".join(line for record in records for line in _history_lines(record))
    _print({"changes": _as_dicts(records)}, as_json, text)


def _history_lines(record: headrecords.AuditRecord) -> list[str]:
    at = datetime.datetime.fromtimestamp(record.at_s, datetime.UTC).isoformat(timespec="seconds")
    first = f"{record.revision}  {at}  {record.who}: {record.why} (change {record.change_id})"
    omitted_count = record.differed_count - len(record.differed)
    more = [f"    and {omitted_count} more"] if omitted_count else []
    return [first, *(f"    {line}" for line in record.differed), *more]


@config.command()
@_platform_option
@click.option("--wait", "wait_s", type=click.FloatRange(min=0), default=0.0, metavar="SECONDS")
@_json_option
def status(platform_url: str, wait_s: float, as_json: bool) -> None:
    """Show the revision in force at each node; --wait until all have the newest."""
    clock = clocks.SystemClock()
    deadline = clock.now() + wait_s
    number, statuses = _read_statuses(platform_url)
    while (
        not (done := configstatus.in_force_everywhere(statuses, number)) and clock.now() < deadline
    ):
        clock.sleep(POLL_INTERVAL_S)
        number, statuses = _read_statuses(platform_url)
    lines = [
        f"{node.name}  {node.address}  {node.revision or '-'}"
        f"{'  leaving' if node.leaving else ''}  {node.problem}".rstrip()
        for node in statuses
    ]
    found = {"revision": number, "everywhere": done, "nodes": _as_dicts(statuses)}
    _print(found, as_json, "\n".join([f"newest revision {number}", *lines]))
    if wait_s and not done:
        sys.exit(codedgroup.EXIT_NOT_EVERYWHERE)


def _read_statuses(platform_url: str) -> tuple[int, tuple[configstatus.NodeRevision, ...]]:
    platform = storeclient.StoreClient(platform_url)
    newest = _require_reachable(
        head.ConfigurationHead(platform, platform, clocks.SystemClock()).newest()
    )
    instances = _require_reachable(registry.Registry(platform).list())
    return (newest.revision if newest else 0), configstatus.read_revisions(instances)


def _head(platform_url: str) -> head.ConfigurationHead:
    platform = storeclient.StoreClient(platform_url)
    return head.ConfigurationHead(platform, platform, clocks.SystemClock())


_Found = typing.TypeVar("_Found")


def _require_reachable(found: _Found | head.PlatformDown | contract.Unavailable) -> _Found:
    if isinstance(found, head.PlatformDown | contract.Unavailable):
        click.echo(f"platform down ({found.reason})", err=True)
        sys.exit(codedgroup.EXIT_PLATFORM_DOWN)
    return found


def _lines(differences: tuple[documentdiff.Difference, ...]) -> list[str]:
    return [f"  {difference}" for difference in differences] or ["  nothing"]


def _as_dicts(values: tuple[object, ...]) -> list[dict[str, object]]:
    return [dataclasses.asdict(value) for value in values]


def _print(found: dict[str, object], as_json: bool, text: str) -> None:
    click.echo(json.dumps(found) if as_json else text.rstrip("\n"))
