"""``hornbeamglade losses`` on recorded logs."""

import json
import pathlib
import re

import click.testing
import pytest

from hornbeamglade.cli import main

RECORDED = pathlib.Path(__file__).parent / "recorded"
PAGE = pathlib.Path(__file__).parents[2] / "docs" / "OPERATIONS.md"


def losses(*arguments):
    files = [str(RECORDED / each) if each.endswith(".log") else each for each in arguments]
    return click.testing.CliRunner().invoke(main.main, ["losses", *files])


def test_the_page_shows_what_the_command_prints():
    text = PAGE.read_text(encoding="utf-8")
    shown = re.search(r"\$ hornbeamglade losses (\S+\.log)\n(.*?)```", text, re.DOTALL)
    result = losses(shown.group(1))
    assert (result.exit_code, result.output) == (0, shown.group(2))


@pytest.mark.parametrize("grouping", ["cause", "service", "domain", "window"])
def test_json_holds_each_loss_and_groups_that_sum_to_them(grouping):
    result = losses("broken_off.log", "late.log", "--by", grouping, "--json")
    page = json.loads(result.output)
    assert sum(group["count"] for group in page["groups"]) == len(page["lost"]) > 0


def test_files_without_a_request_exit_with_1(tmp_path):
    empty = tmp_path / "empty.txt"
    empty.write_text("noise\n")
    result = losses(str(empty))
    assert (result.exit_code, result.output.splitlines()[0]) == (
        1,
        "0 requests, 0 not served whole and on time",
    )


def test_unknown_grouping_is_a_usage_error():
    assert losses("late.log", "--by", "moon").exit_code == 2
