"""``hornbeamglade explain`` on recorded logs: three kinds of requests that failed."""

import pathlib
import re

import click.testing
import pytest

from hornbeamglade.cli import main

RECORDED = pathlib.Path(__file__).parent / "recorded"
PAGE = pathlib.Path(__file__).parents[2] / "docs" / "OPERATIONS.md"
KINDS = ("refused", "broken_off", "late")


def explain(request_id, *files):
    return click.testing.CliRunner().invoke(
        main.main, ["explain", request_id, *(str(RECORDED / file) for file in files)]
    )


def shown(kind):
    """Return the id and the output that the page for operators shows for a kind."""
    text = PAGE.read_text(encoding="utf-8")
    found = re.search(rf"\$ hornbeamglade explain (\w+) {kind}\.log\n(.*?)```", text, re.DOTALL)
    return found.group(1), found.group(2)


@pytest.mark.parametrize("kind", KINDS)
def test_the_page_shows_what_the_command_prints(kind):
    request_id, output = shown(kind)
    result = explain(request_id, f"{kind}.log")
    assert (result.exit_code, result.output) == (0, output)


def test_an_unknown_request_exits_with_1():
    result = explain("0000000000000000", *(f"{kind}.log" for kind in KINDS))
    assert result.exit_code == 1
    assert "no line of" in result.output


def test_a_missing_file_is_a_usage_error(tmp_path):
    result = explain("r1", str(tmp_path / "none.log"))
    assert result.exit_code == 2
