"""A program started from a pack of its modules is the same program."""

import os
import pathlib
import subprocess
import sys
import sysconfig

import hornbeamglade

ROOT = pathlib.Path(hornbeamglade.__file__).parent.parent
PROGRAM = """\
import sys
from tools import words

def main():
    spec = words.__spec__
    print(words.GREETING, type(spec.loader).__name__, words.__file__)
    from tools import later
    print(later.WORD, len(words.__path__) if hasattr(words, "__path__") else "module")
    return 3
"""


def run(folder, *arguments):
    """Run the interpreter as a deployment does: without the folder of site packages."""
    libraries = sysconfig.get_paths()["purelib"]
    paths = os.pathsep.join((str(folder), str(ROOT), libraries))
    return subprocess.run(
        [sys.executable, "-S", "-m", *arguments],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": paths},
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )


def small_program(folder):
    (folder / "program.py").write_text(PROGRAM)
    (folder / "tools").mkdir()
    (folder / "tools" / "__init__.py").write_text("")
    (folder / "tools" / "words.py").write_text("GREETING = 'hello'\n")
    (folder / "tools" / "later.py").write_text("WORD = 'later'\n")
    packed = run(folder, "hornbeamglade.packed.packing", "program", "program.pack")
    assert packed.returncode == 0, packed.stderr


def test_modules_come_from_the_pack_and_the_rest_as_usual(tmp_path):
    small_program(tmp_path)
    ended = run(tmp_path, "hornbeamglade.packed", "program.pack", "program")
    assert ended.stderr == ""
    assert ended.returncode == 3
    first, second = ended.stdout.splitlines()
    assert first == f"hello PackImporter {tmp_path / 'tools' / 'words.py'}"
    assert second == "later module"


def test_a_pack_of_another_interpreter_is_not_used(tmp_path):
    """An operator upgrades the interpreter and starts an instance with the former pack.

    Its code would mean something else, or nothing, to the new one: the instance says so and
    starts from its sources.
    """
    small_program(tmp_path)
    pack = tmp_path / "program.pack"
    data = pack.read_bytes()
    pack.write_bytes(data.replace(sys.base_prefix.encode(), b"x" * len(sys.base_prefix), 1))
    ended = run(tmp_path, "hornbeamglade.packed", "program.pack", "program")
    assert ended.stderr == "pack_unusable: program.pack: made for another interpreter\n"
    assert ended.returncode == 3
    assert "SourceFileLoader" in ended.stdout


def test_a_pack_that_is_missing_or_cut_short_is_not_used(tmp_path):
    """A build is stopped half-way, or its folder is cleared: the program still starts."""
    small_program(tmp_path)
    pack = tmp_path / "program.pack"
    whole = pack.read_bytes()
    for broken in (None, b"", whole[:50]):
        if broken is None:
            pack.unlink()
        else:
            pack.write_bytes(broken)
        ended = run(tmp_path, "hornbeamglade.packed", "program.pack", "program")
        assert ended.stderr.startswith("pack_unusable: program.pack: ")
        assert ended.returncode == 3


def test_an_entry_instance_starts_from_its_pack(tmp_path):
    """What the deployment runs: bad settings are told as by the command line."""
    entry = "hornbeamglade.entry.__main__"
    packed = run(tmp_path, "hornbeamglade.packed.packing", entry, "entry.pack")
    assert packed.returncode == 0, packed.stderr
    ended = run(tmp_path, "hornbeamglade.packed", "entry.pack", entry)
    assert ended.returncode == 2
    assert ended.stderr.startswith("settings_unreadable: ")


NOT_NEEDED_TO_SERVE = ("click", "prometheus_client", "hornbeamglade.cli", "hornbeamglade.bench")


def test_an_entry_instance_imports_nothing_that_serving_does_not_need(tmp_path):
    """After a loss of all instances callers wait for imports.

    One import of the command line or of the exposition library in a module of the request
    path makes each start longer, and nothing else shows it.
    """
    listing = "import sys, hornbeamglade.entry.__main__; print(*sys.modules)"
    libraries = sysconfig.get_paths()["purelib"]
    ended = subprocess.run(
        [sys.executable, "-S", "-c", listing],
        env={**os.environ, "PYTHONPATH": os.pathsep.join((str(ROOT), libraries))},
        capture_output=True,
        text=True,
        timeout=120,
        check=True,
    )
    imported = ended.stdout.split()
    assert "hornbeamglade.entry.daemon" in imported
    assert not [name for name in imported if name.startswith(NOT_NEEDED_TO_SERVE)]
