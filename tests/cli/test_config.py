import json
import pathlib

import click.testing
import pytest

from hornbeamglade.cli import main
from hornbeamglade.standins import httpserver
from hornbeamglade.standins import platform as platformstandin
from hornbeamglade.store import contract, memory
from tests.configuration import samples

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


@pytest.fixture
def platform():
    server = platformstandin.serve("127.0.0.1:0")
    server.start()
    yield server
    server.stop()


@pytest.fixture
def files(tmp_path):
    (tmp_path / "base.yaml").write_text(samples.BASE)
    (tmp_path / "sites").mkdir()
    write_overlay(tmp_path, 1)
    return tmp_path


def write_overlay(files: pathlib.Path, max_streams: int) -> None:
    text = f"site: krakow\nnode: {{max_streams: {max_streams}}}\n"
    (files / "sites" / "krakow.yaml").write_text(text)


def run(*arguments: str) -> click.testing.Result:
    return click.testing.CliRunner().invoke(main.main, list(arguments))


def file_options(files: pathlib.Path) -> list[str]:
    return ["--base", str(files / "base.yaml"), "--overlay", str(files / "sites")]


def platform_options(platform: platformstandin.Server) -> list[str]:
    return ["--platform", f"http://{platform.address}"]


def apply(platform, files, based_on: int, *more: str) -> click.testing.Result:
    arguments = ["--why", "a reason", "--who", "ada", "--based-on", str(based_on), *more]
    return run("config", "apply", *platform_options(platform), *file_options(files), *arguments)


def test_the_examples_pass_the_check():
    result = run("config", "check", *file_options(EXAMPLES))
    assert (result.exit_code, result.output[:22]) == (0, "ok: krakow, pirkanmaa;")


def test_each_error_is_printed_on_a_line_with_its_position(files):
    overlay = files / "sites" / "krakow.yaml"
    overlay.write_text("site: krakow\nnode: {max_streams: 0}\naddresses: {ttl: 1}\n")
    result = run("config", "check", *file_options(files))
    assert result.exit_code == 2
    places = [line.split(": ")[:2] for line in result.stderr.splitlines()]
    expected_places = [[f"{overlay}:3", "addresses.ttl"], [f"{overlay}:2", "node.max_streams"]]
    assert places == expected_places


def test_a_missing_file_is_bad_input(files):
    (files / "base.yaml").unlink()
    result = run("config", "check", *file_options(files))
    assert (result.exit_code, "config_unreadable" in result.stderr) == (2, True)


def test_a_change_is_applied_shown_and_in_the_history(platform, files):
    assert apply(platform, files, 0).exit_code == 0
    write_overlay(files, 2)
    compared = run("config", "diff", *platform_options(platform), *file_options(files))
    assert "overlays.krakow.node.max_streams: 1 -> 2" in compared.output
    assert apply(platform, files, 1).output == "revision 2 is accepted\n"
    shown = run("config", "show", *platform_options(platform), "--site", "krakow", "--json")
    assert json.loads(shown.output)["effective"]["node"]["max_streams"] == 2
    history = run("config", "history", *platform_options(platform))
    assert "ada: a reason" in history.output
    assert "overlays.krakow.node.max_streams: 1 -> 2" in history.output


def test_the_loser_of_a_race_learns_what_changed_and_keeps_its_files(platform, files):
    # Two operators start from revision 1. The later one must not silently undo the
    # earlier change, nor lose its own files.
    apply(platform, files, 0)
    write_overlay(files, 2)
    apply(platform, files, 1)
    write_overlay(files, 3)
    result = apply(platform, files, 1)
    assert result.exit_code == 3
    assert "overlays.krakow.node.max_streams: 1 -> 2" in result.output
    assert "max_streams: 3" in (files / "sites" / "krakow.yaml").read_text()
    written = run("config", "show", *platform_options(platform), "--into", str(files))
    assert (written.exit_code, "config_file_exists" in written.stderr) == (2, True)
    assert (
        run("config", "show", *platform_options(platform), "--into", str(files / "new")).exit_code
        == 0
    )
    assert run("config", "check", *file_options(files / "new")).exit_code == 0


def test_a_platform_that_is_down_has_its_exit_code(platform, files):
    platform.platform.set_faults(memory.Faults(down=True))
    assert apply(platform, files, 0).exit_code == 4
    assert run("config", "history", *platform_options(platform)).exit_code == 4


def test_a_repeated_command_reports_the_outcome_of_the_first(platform, files):
    # The response was lost after the change took effect; the operator repeats the command.
    assert apply(platform, files, 0, "--change-id", "c1").exit_code == 0
    write_overlay(files, 2)
    assert apply(platform, files, 1).exit_code == 0
    write_overlay(files, 1)
    again = apply(platform, files, 0, "--change-id", "c1")
    assert (again.exit_code, again.output) == (0, "revision 1 is accepted\n")


def test_status_waits_for_every_node_that_is_not_leaving(platform, files):
    apply(platform, files, 0)
    requested_paths: list[str] = []

    def respond(request: httpserver.Request) -> httpserver.Response:
        requested_paths.append(request.path)
        revision = 1 if len(requested_paths) > 2 else 0
        page = {"name": "n1", "failure_domain": "a", "state": "ready", "config_revision": revision}
        return httpserver.json_response(200, page)

    node = httpserver.Server("127.0.0.1:0", respond, threads=2)
    node.start()
    leaving = contract.Instance("n0", "a", "127.0.0.1:9", "127.0.0.1:9", True)
    staying = contract.Instance("n1", "a", node.address, node.address, False)
    platformstandin.set_instances(platform.platform, [leaving, staying])
    waited = run("config", "status", *platform_options(platform), "--wait", "20", "--json")
    other = contract.Instance("n2", "a", node.address, node.address, False)
    platformstandin.set_instances(platform.platform, [staying, other])
    lagging = run("config", "status", *platform_options(platform), "--wait", "0.1")
    node.stop()
    assert (waited.exit_code, json.loads(waited.output)["everywhere"]) == (0, True)
    assert (lagging.exit_code, "n1 answers at this address" in lagging.output) == (5, True)


def test_a_new_key_has_a_valid_hash():
    made = json.loads(run("team", "key", "notary", "--json").output)
    team = f"teams: {{notary: {{key_hashes: ['{made['key_hash']}']}}}}\n"
    assert samples.document(team).text
