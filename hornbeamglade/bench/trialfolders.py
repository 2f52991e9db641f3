"""Repository clones in which a bench program runs variants of the committed code.

Explanation
===========

The program builds and runs the code of its working directory, and writes an entry for each
trial to the ``journal/`` there. Each variant gets its own clone, so that variants can run in
parallel. The entries of all trials, including failed ones, are copied back.
"""

import collections.abc
import pathlib
import shutil
import subprocess

from hornbeamglade.bench import pairedtrials
from hornbeamglade.core import codederrors
from hornbeamglade.platform import dayreports

NOT_COMMITTED = "tree_not_committed"
NO_RESULT = "day_without_result"
JOURNAL = "journal"
TRIAL_TIMEOUT_S = 1800.0
OUTPUT_TAIL_CHARACTERS = 300


def prepare_clone(
    root: pathlib.Path, folder: pathlib.Path, settings_text: str, template: str
) -> None:
    """Clone the repository into a folder, and append to its settings template.

    :param settings_text: text that the variant appends to the template.
    :param template: path of the template in the repository.
    :raises CodedError: ``tree_not_committed`` when there are uncommitted changes outside the
        journal.
    """
    changed = _git(root, "status", "--porcelain", "--", ".", f":!{JOURNAL}")
    if changed:
        raise codederrors.CodedError(NOT_COMMITTED, changed.splitlines()[0])
    _git(root, "clone", "--quiet", str(root), str(folder))
    path = folder / template
    path.write_text(path.read_text(encoding="utf-8") + settings_text, encoding="utf-8")


def _git(root: pathlib.Path, *arguments: str) -> str:
    completed = subprocess.run(
        ["git", *arguments], cwd=root, capture_output=True, text=True, check=True
    )
    return completed.stdout


class FolderTrialRunner(pairedtrials.TrialRunner):
    """Runs trials by a bench program, each variant in its own folder.

    :param program: path of the program.
    :param site: path of the site file.
    :param folder_by_variant: folder of each variant.
    :param why: purpose of the trials; stored in each journal entry.
    :param options: further options of the program.
    """

    def __init__(
        self,
        program: str,
        site: str,
        folder_by_variant: dict[str, pathlib.Path],
        why: str,
        options: collections.abc.Sequence[str] = (),
    ) -> None:
        self._program = program
        self._site = site
        self._folder_by_variant = folder_by_variant
        self._why = why
        self._options = tuple(options)

    def run_trial(self, trial: pairedtrials.Trial) -> dayreports.DayOutcome:
        """Run a trial; its output is kept beside its report."""
        folder = self._folder_by_variant[trial.variant]
        day = pathlib.PurePath(trial.day).stem
        report = folder.parent / f"{trial.variant}-{day}-{trial.seed}.json"
        arguments = dayreports.command(
            self._program,
            self._site,
            trial.day,
            trial.seed,
            str(report),
            f"{self._why} ({trial.variant})",
            self._options,
        )
        try:
            completed = subprocess.run(
                arguments,
                cwd=folder,
                stdin=subprocess.DEVNULL,
                capture_output=True,
                text=True,
                timeout=TRIAL_TIMEOUT_S,
                check=False,
            )
        except (OSError, subprocess.TimeoutExpired) as error:
            raise codederrors.CodedError(NO_RESULT, str(error)) from error
        report.with_suffix(".log").write_text(
            completed.stdout + completed.stderr, encoding="utf-8"
        )
        if not report.exists():
            output = (completed.stdout + completed.stderr).strip()[-OUTPUT_TAIL_CHARACTERS:]
            raise codederrors.CodedError(NO_RESULT, f"exit code {completed.returncode}: {output}")
        return dayreports.decode(report.read_bytes())


def collect_journal_entries(
    root: pathlib.Path, folders: collections.abc.Iterable[pathlib.Path]
) -> int:
    """Copy new journal entries of the folders to the repository; return their number."""
    journal = root / JOURNAL
    count = 0
    for folder in folders:
        for path in sorted((folder / JOURNAL).rglob("*")):
            target = journal / path.relative_to(folder / JOURNAL)
            if path.is_file() and not target.exists():
                target.parent.mkdir(parents=True, exist_ok=True)
                shutil.copy2(path, target)
                count += 1
    return count
