"""``hornbeamglade standin``: stand-ins for the external systems that hornbeamglade uses."""

import pathlib

import click

from hornbeamglade.emulator import machineslowdowns
from hornbeamglade.routing import prefixes
from hornbeamglade.standins import engine, enginesettings, plainservice, routed, routedmachine
from hornbeamglade.standins import platform as platformstandin


@click.group()
def standin() -> None:
    """Run a stand-in: a platform, an engine or a plain service."""


@standin.command("platform")
@click.option("--bind", default="127.0.0.1:0", show_default=True, help="ip:port to listen on.")
@click.option(
    "--page-rows",
    type=click.IntRange(1, platformstandin.MAX_ROWS),
    default=platformstandin.MAX_ROWS,
    show_default=True,
    help="Most rows in one response to a read.",
)
def platform(bind: str, page_rows: int) -> None:
    """Run a platform: table, object store and instance list, all in memory."""
    platformstandin.run(bind, page_rows)


@standin.command("engine")
@click.option("--bind", default="127.0.0.1:0", show_default=True, help="ip:port to listen on.")
@click.option("--capacity-tokens", default=12_000, show_default=True, help="Memory, in tokens.")
@click.option("--step-s", default=0.026, show_default=True, help="Seconds between tokens.")
@click.option("--max-running", default=256, show_default=True, help="Concurrent sequences.")
@click.option("--load-lag-s", default=0.0, show_default=True, help="Age of load reports.")
@click.option("--event-lag-s", default=0.0, show_default=True, help="Age of cache events.")
@click.option(
    "--event-drop-every", default=0, show_default=True, help="Omit every n-th event; 0: none."
)
@click.option("--model", "models", multiple=True, default=("draft",), help="Models present.")
@click.option("--resume/--no-resume", default=True, help="Whether streams can be resumed.")
@click.option("--checks-fencing/--no-checks-fencing", default=True)
@click.option("--seed", default=0, show_default=True)
@click.option("--threads", default=300, show_default=True)
@click.option("--crash-on", default="", help="Text in a body that ends the process.")
def engine_command(
    bind: str,
    capacity_tokens: int,
    step_s: float,
    max_running: int,
    load_lag_s: float,
    event_lag_s: float,
    event_drop_every: int,
    models: tuple[str, ...],
    resume: bool,
    checks_fencing: bool,
    seed: int,
    threads: int,
    crash_on: str,
) -> None:
    """Run a model engine with bounded memory."""
    engine.run(
        enginesettings.EngineSettings(
            bind=bind,
            capacity_tokens=capacity_tokens,
            step_s=step_s,
            max_running=max_running,
            load_lag_s=load_lag_s,
            event_lag_s=event_lag_s,
            event_drop_every=event_drop_every,
            models=models,
            resume=resume,
            checks_fencing=checks_fencing,
            seed=seed,
            threads=threads,
            prefix_hashes=prefixes.prefix_hashes,
            crash_on=crash_on,
        )
    )


@standin.command("service")
@click.option("--bind", default="127.0.0.1:0", show_default=True, help="ip:port to listen on.")
@click.option("--threads", default=64, show_default=True)
def service(bind: str, threads: int) -> None:
    """Run a plain service that counts its runs."""
    plainservice.run(plainservice.PlainSettings(bind=bind, threads=threads))


@standin.command("routed")
@click.option("--bind", default="127.0.0.1:0", show_default=True, help="ip:port to listen on.")
@click.option("--id", "replica_id", required=True, help="The server's id in the list.")
@click.option(
    "--events", default=0, show_default=True, help="Events per stream; 0: plain service."
)
@click.option("--gap", "gap_s", default=0.01, show_default=True, help="Seconds between events.")
@click.option(
    "--born", default=0, show_default=True, help="Start time in Unix ms; 0: not reported."
)
@click.option(
    "--ledger", type=click.Path(path_type=pathlib.Path), help="File that records the runs."
)
@click.option("--crash-on", default="", help="Text in a body that ends the server.")
@click.option("--shares-machine", is_flag=True, help="State the machine's slowdown.")
@click.option("--time-factor", default=1.0, show_default=True, help="Multiplies all its times.")
@click.option(
    "--busy-share",
    type=click.FloatRange(0, 1, max_open=True),
    default=0.0,
    show_default=True,
    help="Share of the time in which its machine is 2.5 times as slow.",
)
@click.option("--busy-seed", default=0, show_default=True, help="Seed of the busy windows.")
@click.option("--version", default="", help="Its software version, which its events contain.")
@click.option("--slots", default=routedmachine.SLOTS, show_default=True)
@click.option("--plain-s", default=0.0, show_default=True, help="Seconds per plain request.")
@click.option("--unread-s", type=float, help="Cut off a response unread for so many seconds.")
@click.option("--memory-tokens", type=int, help="Crash when the runs hold more tokens.")
def routed_server(
    bind: str,
    replica_id: str,
    events: int,
    gap_s: float,
    born: int,
    ledger: pathlib.Path | None,
    crash_on: str,
    shares_machine: bool,
    time_factor: float,
    busy_share: float,
    busy_seed: int,
    slots: int,
    plain_s: float,
    unread_s: float | None,
    memory_tokens: int | None,
    version: str,
) -> None:
    """Run a backend server for routed requests: a plain service or a model engine."""
    traits = routedmachine.RoutedTraits(
        shares_machine,
        time_factor,
        machineslowdowns.Slowdowns(busy_share) if busy_share else None,
        busy_seed,
        slots,
        plain_s,
        unread_s,
        memory_tokens,
    )
    routed.run(bind, replica_id, events, gap_s, born, ledger, crash_on, traits, version)
