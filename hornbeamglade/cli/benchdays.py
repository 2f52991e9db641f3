"""``hornbeamglade bench days``: paired trials of policy variants with the operators' bench."""

import dataclasses
import pathlib
import tempfile

import click

from hornbeamglade.bench import pairedtrials, trialfolders
from hornbeamglade.entry import policysettings

TEMPLATE = "deploy/settings.yaml"
BASE = "base"


@dataclasses.dataclass(frozen=True, slots=True)
class _Trial:
    """How the variants are run.

    :param program: the path of the bench program.
    :param site: the path of the site's file.
    :param why: the purpose of the trial.
    :param options: further options of the program.
    :param at_once: number of plays that run in parallel.
    """

    program: str
    site: str
    why: str
    options: tuple[str, ...]
    at_once: int


@click.command("days")
@click.argument("program", type=click.Path(exists=True, dir_okay=False, resolve_path=True))
@click.argument("site", type=click.Path(exists=True, dir_okay=False, resolve_path=True))
@click.option("--day", "days", multiple=True, required=True, help="A day of the site's file.")
@click.option("--seed", "seeds", multiple=True, type=int, required=True)
@click.option(
    "--variant",
    "variant_texts",
    multiple=True,
    metavar="NAME: {FIELD: VALUE}",
    help="Values of the policy, such as 'far: {placement_s: 0.5}'.",
)
@click.option("--why", required=True, help="Purpose of the plays; kept in the journal.")
@click.option("--at-once", type=click.IntRange(1, 8), default=2, show_default=True)
@click.option("--no-cpu", is_flag=True, help="Do not measure CPU time.")
@click.option("--small", is_flag=True, help="Use small versions of large days.")
@click.option(
    "--keep", type=click.Path(file_okay=False), help="Directory that keeps reports and logs."
)
def bench_days(
    program: str,
    site: str,
    days: tuple[str, ...],
    seeds: tuple[int, ...],
    variant_texts: tuple[str, ...],
    why: str,
    at_once: int,
    no_cpu: bool,
    small: bool,
    keep: str | None,
) -> None:
    """Run days of SITE with the bench PROGRAM, with the committed code and with its variants.

    Prints a table of paired differences to the unchanged code. The journal entry of each play
    is copied back, also when plays have failed. Exits with 1 when a play broke a rule or had no
    result.
    """
    variant_by_name = {BASE: policysettings.Policy()}
    for text in variant_texts:
        name, chosen = policysettings.parse_variant(text)
        variant_by_name[name] = chosen
    flags = {"--no-cpu": no_cpu, "--small": small}
    options = tuple(flag for flag, is_set in flags.items() if is_set)
    # Bench programs may hide the directory for temporary files from the processes they start.
    with tempfile.TemporaryDirectory(prefix="hornbeamglade-days-", dir=".") as scratch:
        failed = _run_plays(
            pathlib.Path(keep or scratch).resolve(),
            _Trial(program, site, why, options, at_once),
            variant_by_name,
            pairedtrials.plan_trials(tuple(variant_by_name), days, seeds),
        )
    if failed:
        raise click.ClickException("A play broke a rule or had no result.")


def _run_plays(
    folder: pathlib.Path,
    trial: _Trial,
    variant_by_name: dict[str, policysettings.Policy],
    plays: tuple[pairedtrials.Trial, ...],
) -> bool:
    root = pathlib.Path.cwd()
    folder_by_variant = {name: folder / name for name in variant_by_name}
    for name, chosen in variant_by_name.items():
        text = policysettings.as_settings_section(chosen)
        trialfolders.prepare_clone(root, folder_by_variant[name], text, TEMPLATE)
    player = trialfolders.FolderTrialRunner(
        trial.program, trial.site, folder_by_variant, trial.why, trial.options
    )
    try:
        outcomes, failures = pairedtrials.run_trials(
            plays, player, trial.at_once, _report_finished_play
        )
    finally:
        trialfolders.collect_journal_entries(root, folder_by_variant.values())
    comparisons = pairedtrials.compare(tuple(variant_by_name), outcomes)
    click.echo(pairedtrials.table(comparisons))
    for play, error in failures.items():
        click.echo(f"{play.variant}: {play.day}, seed {play.seed}: {error}")
    return bool(failures) or any(each.broken for each in comparisons)


def _report_finished_play(play: pairedtrials.Trial) -> None:
    click.echo(f"played: {play.variant}, {play.day}, seed {play.seed}", err=True)
