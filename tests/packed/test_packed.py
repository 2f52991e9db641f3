"""Programs started from a pack behave like those started from their sources."""

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
    """Run the interpreter as a deployment does, without processing site-packages."""
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


def test_modules_are_imported_from_the_pack_and_others_as_usual(tmp_path):
    small_program(tmp_path)
    completed = run(tmp_path, "hornbeamglade.packed", "program.pack", "program")
    assert completed.stderr == ""
    assert completed.returncode == 3
    first, second = completed.stdout.splitlines()
    assert first == f"hello PackImporter {tmp_path / 'tools' / 'words.py'}"
    assert second == "later module"


def test_a_pack_of_another_interpreter_is_not_used(tmp_path):
    """An operator upgrades the interpreter and starts an instance with the former pack.

    The new interpreter cannot use that code: the instance reports this and starts from its
    sources.
    """
    small_program(tmp_path)
    pack = tmp_path / "program.pack"
    data = pack.read_bytes()
    pack.write_bytes(data.replace(sys.base_prefix.encode(), b"x" * len(sys.base_prefix), 1))
    completed = run(tmp_path, "hornbeamglade.packed", "program.pack", "program")
    assert completed.stderr == "pack_unusable: program.pack: made for another interpreter\n"
    assert completed.returncode == 3
    assert "SourceFileLoader" in completed.stdout


def test_a_pack_that_is_missing_or_truncated_is_not_used(tmp_path):
    """If a build is interrupted, or its folder is cleared, the program still starts."""
    small_program(tmp_path)
    pack = tmp_path / "program.pack"
    data = pack.read_bytes()
    for content in (None, b"", data[:50]):
        if content is None:
            pack.unlink()
        else:
            pack.write_bytes(content)
        completed = run(tmp_path, "hornbeamglade.packed", "program.pack", "program")
        assert completed.stderr.startswith("pack_unusable: program.pack: ")
        assert completed.returncode == 3


def test_an_entry_instance_starts_from_its_pack(tmp_path):
    """As in a deployment: invalid settings are reported as by the command line."""
    entry = "hornbeamglade.entry.__main__"
    packed = run(tmp_path, "hornbeamglade.packed.packing", entry, "entry.pack")
    assert packed.returncode == 0, packed.stderr
    completed = run(tmp_path, "hornbeamglade.packed", "entry.pack", entry)
    assert completed.returncode == 2
    assert completed.stderr.startswith("settings_unreadable: ")


NOT_NEEDED_TO_SERVE = ("click", "prometheus_client", "hornbeamglade.cli", "hornbeamglade.bench")


def test_an_entry_instance_imports_nothing_that_serving_does_not_need(tmp_path):
    """After a full outage callers wait until the instances have imported their modules.

    One import of the command line or of the exposition library in a module of the request
    path delays each start, and no other test would detect it.
    """
    listing = "import sys, hornbeamglade.entry.__main__; print(*sys.modules)"
    libraries = sysconfig.get_paths()["purelib"]
    completed = subprocess.run(
        [sys.executable, "-S", "-c", listing],
        env={**os.environ, "PYTHONPATH": os.pathsep.join((str(ROOT), libraries))},
        capture_output=True,
        text=True,
        timeout=120,
        check=True,
    )
    imported = completed.stdout.split()
    assert "hornbeamglade.entry.daemon" in imported
    assert not [name for name in imported if name.startswith(NOT_NEEDED_TO_SERVE)]
