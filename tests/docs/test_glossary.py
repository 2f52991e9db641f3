"""The glossary names existing modules and contains the users' terms."""

import importlib.util
import pathlib
import re

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "GLOSSARY.md"
TEXT = PAGE.read_text(encoding="utf-8")


def test_every_module_named_exists():
    named = set(re.findall(r"`(hornbeamglade\.[\w.]+)`", TEXT))
    assert named
    assert {name for name in named if importlib.util.find_spec(name) is None} == set()


def test_every_entry_names_its_module():
    entries = TEXT.split("\n- ")[1:]
    assert [entry for entry in entries if "`hornbeamglade." not in entry] == []


def test_the_words_of_the_users_are_there():
    section = TEXT.partition("## Words of the users")[2].partition("\n## ")[0]
    words = {word.lower() for word in re.findall(r"^- \*\*(.+?)\*\*", section, re.MULTILINE)}
    assert words == {
        "backend server",
        "failure domain",
        "instance",
        "model pool",
        "replica",
        "team",
    }
