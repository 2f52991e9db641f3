"""Folders in which a bench program plays variants of this repository's committed code.

Explanation
===========

The program builds and plays whatever folder it is run in, and leaves an entry of each play in
the folder's ``journal/``. Each variant gets a clone of its own, so that variants are played
beside each other; the entries of all, also those of plays that failed, are brought back.
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
LONGEST_PLAY_S = 1800.0
TOLD_CHARACTERS = 300


def prepare_clone(
    root: pathlib.Path, folder: pathlib.Path, settings_text: str, template: str
) -> None:
    """Clone the repository into a folder, and add to the template of its settings.

    :param settings_text: what the variant adds, as it stands in the template.
    :param template: the template's path in the repository.
    :raises CodedError: ``tree_not_committed`` when there are changes beside the journal's.
    """
    changed = _git(root, "status", "--porcelain", "--", ".", f":!{JOURNAL}")
    if changed:
        raise codederrors.CodedError(NOT_COMMITTED, changed.splitlines()[0])
    _git(root, "clone", "--quiet", str(root), str(folder))
    path = folder / template
    path.write_text(path.read_text(encoding="utf-8") + settings_text, encoding="utf-8")


def _git(root: pathlib.Path, *words: str) -> str:
    done = subprocess.run(["git", *words], cwd=root, capture_output=True, text=True, check=True)
    return done.stdout


class FolderTrialRunner(pairedtrials.TrialRunner):
    """Plays days by a bench program, each variant in its folder.

    :param program: the program's path.
    :param site: the path of the site's file.
    :param folder_by_variant: where each variant lies.
    :param why: what the plays are for; kept in each entry of the journal.
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

    def run_trial(self, play: pairedtrials.Trial) -> dayreports.DayOutcome:
        """Play a day; its output is kept beside its report."""
        folder = self._folder_by_variant[play.variant]
        day = pathlib.PurePath(play.day).stem
        report = folder.parent / f"{play.variant}-{day}-{play.seed}.json"
        words = dayreports.command(
            self._program,
            self._site,
            play.day,
            play.seed,
            str(report),
            f"{self._why} ({play.variant})",
            self._options,
        )
        try:
            done = subprocess.run(
                words,
                cwd=folder,
                stdin=subprocess.DEVNULL,
                capture_output=True,
                text=True,
                timeout=LONGEST_PLAY_S,
                check=False,
            )
        except (OSError, subprocess.TimeoutExpired) as error:
            raise codederrors.CodedError(NO_RESULT, str(error)) from error
        report.with_suffix(".log").write_text(done.stdout + done.stderr, encoding="utf-8")
        if not report.exists():
            told = (done.stdout + done.stderr).strip()[-TOLD_CHARACTERS:]
            raise codederrors.CodedError(NO_RESULT, f"exit code {done.returncode}: {told}")
        return dayreports.decode(report.read_bytes())


def collect_journal_entries(
    root: pathlib.Path, folders: collections.abc.Iterable[pathlib.Path]
) -> int:
    """Copy new entries of the folders' journals to the repository's; return how many files."""
    journal = root / JOURNAL
    count = 0
    for folder in folders:
        for path in sorted((folder / JOURNAL).rglob("*")):
            kept = journal / path.relative_to(folder / JOURNAL)
            if path.is_file() and not kept.exists():
                kept.parent.mkdir(parents=True, exist_ok=True)
                shutil.copy2(path, kept)
                count += 1
    return count
