"""Clones of the repository in which a bench program runs."""

import json
import os
import pathlib
import stat
import subprocess

import pytest
from click import testing

from hornbeamglade.bench import trialfolders
from hornbeamglade.cli import main
from hornbeamglade.core import codederrors

# Simulates a day: its worth is 0.5, or 0.6 if the settings contain `moves_runs`.
PROGRAM = """\
#!/usr/bin/env python3
import json, pathlib, sys
words = sys.argv[1:]
day, seed = words[2], words[words.index("--seed") + 1]
name = pathlib.Path.cwd().name
pathlib.Path("journal").mkdir(exist_ok=True)
entry = {"why": words[words.index("--why") + 1], "words": words}
pathlib.Path("journal", f"{name}-{day}-{seed}.json").write_text(json.dumps(entry))
if day == "broken":
    sys.exit("no memory")
still = "moves_runs" in pathlib.Path("deploy/settings.yaml").read_text()
report = {"G": 0.6 if still else 0.5, "classes": [], "breaks": {}, "fault": None}
pathlib.Path(words[words.index("--report") + 1]).write_text(json.dumps(report))
"""


def git(folder, *words):
    names = {"GIT_AUTHOR_NAME": "a", "GIT_AUTHOR_EMAIL": "a@x", "GIT_COMMITTER_NAME": "a"}
    environment = {**os.environ, **names, "GIT_COMMITTER_EMAIL": "a@x"}
    subprocess.run(["git", *words], cwd=folder, check=True, capture_output=True, env=environment)


@pytest.fixture
def repository(tmp_path, monkeypatch):
    root = tmp_path / "repository"
    (root / "deploy").mkdir(parents=True)
    (root / "deploy" / "settings.yaml").write_text("name: x\n")
    (root / ".gitignore").write_text("hornbeamglade-days-*/\n")
    git(root, "init", "-q")
    git(root, "add", "-A")
    git(root, "commit", "-qm", "begin")
    program = tmp_path / "program"
    program.write_text(PROGRAM)
    program.chmod(program.stat().st_mode | stat.S_IXUSR)
    (tmp_path / "site.toml").write_text("")
    monkeypatch.chdir(root)
    return root


def run_days(repository, *words):
    program, site = repository.parent / "program", repository.parent / "site.toml"
    command = ["bench", "days", str(program), str(site), "--why", "a trial", *words]
    return testing.CliRunner().invoke(main.main, command)


def test_variants_are_paired_and_all_journal_entries_are_kept(repository):
    result = run_days(
        *(repository, "--day", "quiet", "--seed", "1", "--seed", "2", "--no-cpu"),
        *("--variant", "still: {moves_runs: false}"),
    )
    assert result.exit_code == 0, result.output
    assert "still | 2 | 0.600 | +0.1000 | 0.0000" in result.output
    kept = sorted(path.name for path in (repository / "journal").iterdir())
    assert kept == [f"{name}-quiet-{seed}.json" for name in ("base", "still") for seed in (1, 2)]
    entry = json.loads((repository / "journal" / kept[0]).read_text())
    assert entry["why"] == "a trial (base)"
    assert "--no-cpu" in entry["words"]
    assert [path.name for path in repository.iterdir() if "hornbeamglade-days" in path.name] == []


def test_journal_entries_of_failed_trials_are_kept(repository):
    """All trials fail, and the temporary folders are removed along with their entries.

    The journal must contain failed trials as well, or it would be incomplete.
    """
    result = run_days(repository, "--day", "broken", "--seed", "1")
    assert result.exit_code == 1
    assert "day_without_result" in result.output
    assert "no memory" in result.output
    assert (repository / "journal" / "base-broken-1.json").exists()


def test_uncommitted_code_is_not_run(repository):
    """Results of code that is not in the repository could not be reproduced."""
    pathlib.Path("deploy", "settings.yaml").write_text("name: y\n")
    result = run_days(repository, "--day", "quiet", "--seed", "1")
    assert result.exit_code == 2
    assert result.output.startswith("tree_not_committed")


@pytest.mark.parametrize(
    "variant", ["far", "a: {b: 1}", "a: {placement_s: -1}", "1: {}", "a: [", "a: {}\nb: {}"]
)
def test_an_invalid_variant_is_refused_with_a_code(repository, variant):
    result = run_days(repository, "--day", "quiet", "--seed", "1", "--variant", variant)
    assert result.exit_code == 2
    assert result.output.startswith("variant_invalid")


def test_a_program_that_cannot_be_started_is_an_error(repository):
    runner = trialfolders.FolderTrialRunner("./missing", "site", {"base": repository}, "why")
    with pytest.raises(codederrors.CodedError) as raised:
        runner.run_trial(trialfolders.pairedtrials.Trial("base", "quiet", 1))
    assert raised.value.code == trialfolders.NO_RESULT
