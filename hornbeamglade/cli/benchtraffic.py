"""Commands that benchmark running processes: the cost per token, and callers under load."""

import dataclasses
import json
import pathlib
import signal
import tempfile

import click

from hornbeamglade.bench import load, loadtraffic, relay
from hornbeamglade.core import codederrors

_WHOLE_SECONDS = click.FloatRange(min=1, max=600)


@click.command("relay")
@click.option("--streams", default="36,72,144", show_default=True, help="Concurrent streams.")
@click.option("--seconds", type=_WHOLE_SECONDS, default=8.0, show_default=True)
@click.option("--engines", type=click.IntRange(1, 16), default=4, show_default=True)
@click.option("--way", "ways", multiple=True, type=click.Choice(relay.WAYS), default=relay.WAYS)
@click.option("--json", "json_path", type=click.Path(path_type=pathlib.Path))
def bench_relay(
    streams: str,
    seconds: float,
    engines: int,
    ways: tuple[str, ...],
    json_path: pathlib.Path | None,
) -> None:
    """Compare the cost per token of an entry node with that of a bare relay.

    Exits with 1 when a stream did not run to its end.
    """
    shape = relay.RelayShape(
        streams=tuple(int(number) for number in streams.split(",")),
        seconds=seconds,
        engines=engines,
        ways=ways,
    )
    click.echo(" | ".join(relay.COLUMN_HEADINGS))
    with _work_folder() as folder:
        results = _with_click_errors(
            lambda: relay.run(
                shape, folder, lambda result: click.echo(" | ".join(relay.as_row(result)))
            )
        )
    _write_json(json_path, shape, results)
    if not relay.no_stream_ended_early(results):
        raise click.ClickException("Streams ended early; the figures don't hold.")


@click.command("load")
@click.option("--load", "offered", type=click.FloatRange(0.05, 5), default=1.2, show_default=True)
@click.option("--seconds", type=_WHOLE_SECONDS, default=30.0, show_default=True)
@click.option("--warmup", "warmup_s", type=click.FloatRange(min=0), default=5.0, show_default=True)
@click.option("--nodes", type=click.IntRange(1, 12), default=3, show_default=True)
@click.option("--engines", type=click.IntRange(1, 16), default=4, show_default=True)
@click.option("--capacity", type=click.IntRange(500), default=4_000, show_default=True)
@click.option("--median", type=click.FloatRange(1), default=100.0, show_default=True)
@click.option("--sigma", type=click.FloatRange(0, 2), default=1.0, show_default=True)
@click.option("--seed", type=int, default=0, show_default=True)
@click.option(
    "--policy",
    "policies",
    multiple=True,
    type=click.Choice(sorted(load.ADMISSION_BY_POLICY)),
    default=tuple(sorted(load.ADMISSION_BY_POLICY)),
)
@click.option("--addresses", help="Send load to these nodes (ip:port,...) and start none.")
@click.option(
    "--keys",
    "keys_path",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help="File of teams' keys for --addresses, one TEAM=KEY per line.",
)
@click.option("--model", default="draft", show_default=True, help="Model for --addresses.")
@click.option("--json", "json_path", type=click.Path(path_type=pathlib.Path))
def bench_load(
    offered: float,
    seconds: float,
    warmup_s: float,
    nodes: int,
    engines: int,
    capacity: int,
    median: float,
    sigma: float,
    seed: int,
    policies: tuple[str, ...],
    addresses: str | None,
    keys_path: pathlib.Path | None,
    model: str,
    json_path: pathlib.Path | None,
) -> None:
    """Generate load on a site and report the results that callers get.

    Exits with 1 when a response was spliced, out of order, repeated or truncated.
    """
    if warmup_s >= seconds:
        raise click.UsageError("--warmup must be shorter than --seconds.")
    defaults = load.LoadShape()
    shape = dataclasses.replace(
        defaults,
        load=offered,
        seconds=seconds,
        warmup_s=warmup_s,
        nodes=nodes,
        engines=engines,
        engine=dataclasses.replace(defaults.engine, capacity_tokens=capacity),
        lengths=loadtraffic.Lengths(median=median, sigma=sigma),
        seed=seed,
    )
    results = []
    click.echo(" | ".join(load.COLUMN_HEADINGS))
    with _work_folder() as folder:
        if addresses:
            key_by_team = _read_keys(keys_path)
            runs = [
                lambda: load.run_remote(
                    shape, tuple(addresses.split(",")), key_by_team, model, folder
                )
            ]
        else:
            runs = [
                lambda policy=policy: load.run_local(shape, policy, folder) for policy in policies
            ]
        for each in runs:
            results.append(_with_click_errors(each))
            click.echo(" | ".join(load.as_row(results[-1])))
    _write_json(json_path, shape, results)
    if any(result.violated for result in results):
        raise click.ClickException("An answer broke a promise: see 'violated'.")


def _read_keys(path: pathlib.Path | None) -> dict[str, str]:
    """Read keys from a file: on the command line, all users of the machine could see them."""
    lines = path.read_text(encoding="utf-8").split() if path else []
    key_by_team = dict(line.split("=", 1) for line in lines if "=" in line)
    if not key_by_team:
        raise click.UsageError("--addresses needs --keys, a file with lines TEAM=KEY.")
    return key_by_team


def _work_folder() -> tempfile.TemporaryDirectory:
    """Return a directory for settings and logs, and make SIGTERM end the bench cleanly.

    A terminated bench must stop the processes that it started; by default, the signal
    would end it without any cleanup.
    """
    signal.signal(signal.SIGTERM, _exit_on_sigterm)
    return _Folder()


def _exit_on_sigterm(*_: object) -> None:
    raise SystemExit(128 + signal.SIGTERM)


class _Folder(tempfile.TemporaryDirectory):
    def __enter__(self) -> pathlib.Path:
        return pathlib.Path(super().__enter__())


def _with_click_errors(run):
    try:
        return run()
    except codederrors.CodedError as error:
        raise click.ClickException(str(error)) from error


def _write_json(path: pathlib.Path | None, shape: object, results: object) -> None:
    if path is None:
        return
    document = {
        "shape": dataclasses.asdict(shape),
        "results": [dataclasses.asdict(result) for result in results],
    }
    path.write_text(json.dumps(document, indent=2) + "\n", encoding="utf-8")
