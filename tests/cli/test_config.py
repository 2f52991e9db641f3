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


def named(files: pathlib.Path) -> list[str]:
    return ["--base", str(files / "base.yaml"), "--overlay", str(files / "sites")]


def at(platform: platformstandin.Server) -> list[str]:
    return ["--platform", f"http://{platform.address}"]


def apply(platform, files, based_on: int, *more: str) -> click.testing.Result:
    told = ["--why", "a reason", "--who", "ada", "--based-on", str(based_on), *more]
    return run("config", "apply", *at(platform), *named(files), *told)


def test_the_examples_pass_the_check():
    result = run("config", "check", *named(EXAMPLES))
    assert (result.exit_code, result.output[:22]) == (0, "ok: krakow, pirkanmaa;")


def test_each_fault_is_printed_on_a_line_with_its_place(files):
    overlay = files / "sites" / "krakow.yaml"
    overlay.write_text("site: krakow\nnode: {max_streams: 0}\naddresses: {ttl: 1}\n")
    result = run("config", "check", *named(files))
    assert result.exit_code == 2
    places = [line.split(": ")[:2] for line in result.stderr.splitlines()]
    wanted = [[f"{overlay}:3", "addresses.ttl"], [f"{overlay}:2", "node.max_streams"]]
    assert places == wanted


def test_a_missing_file_is_bad_input(files):
    (files / "base.yaml").unlink()
    result = run("config", "check", *named(files))
    assert (result.exit_code, "config_unreadable" in result.stderr) == (2, True)


def test_a_change_is_applied_shown_and_remembered(platform, files):
    assert apply(platform, files, 0).exit_code == 0
    write_overlay(files, 2)
    compared = run("config", "diff", *at(platform), *named(files))
    assert "overlays.krakow.node.max_streams: 1 -> 2" in compared.output
    assert apply(platform, files, 1).output == "revision 2 is accepted\n"
    shown = run("config", "show", *at(platform), "--site", "krakow", "--json")
    assert json.loads(shown.output)["effective"]["node"]["max_streams"] == 2
    told = run("config", "history", *at(platform))
    assert "ada: a reason" in told.output
    assert "overlays.krakow.node.max_streams: 1 -> 2" in told.output


def test_the_loser_of_a_race_learns_what_changed_and_keeps_its_files(platform, files):
    # Two operators start from revision 1. The later one must not undo the earlier
    # one's change unseen, nor lose what it has written.
    apply(platform, files, 0)
    write_overlay(files, 2)
    apply(platform, files, 1)
    write_overlay(files, 3)
    result = apply(platform, files, 1)
    assert result.exit_code == 3
    assert "overlays.krakow.node.max_streams: 1 -> 2" in result.output
    assert "max_streams: 3" in (files / "sites" / "krakow.yaml").read_text()
    written = run("config", "show", *at(platform), "--into", str(files))
    assert (written.exit_code, "config_file_exists" in written.stderr) == (2, True)
    assert run("config", "show", *at(platform), "--into", str(files / "new")).exit_code == 0
    assert run("config", "check", *named(files / "new")).exit_code == 0


def test_a_platform_that_is_down_has_its_exit_code(platform, files):
    platform.platform.set_faults(memory.Faults(down=True))
    assert apply(platform, files, 0).exit_code == 4
    assert run("config", "history", *at(platform)).exit_code == 4


def test_a_repeated_command_finds_what_became_of_the_first(platform, files):
    # The answer was lost after the change took effect; the operator repeats the command.
    assert apply(platform, files, 0, "--change-id", "c1").exit_code == 0
    write_overlay(files, 2)
    assert apply(platform, files, 1).exit_code == 0
    write_overlay(files, 1)
    again = apply(platform, files, 0, "--change-id", "c1")
    assert (again.exit_code, again.output) == (0, "revision 1 is accepted\n")


def test_status_waits_for_every_node_that_stays(platform, files):
    apply(platform, files, 0)
    asked: list[str] = []

    def answer(request: httpserver.Request) -> httpserver.Response:
        asked.append(request.path)
        revision = 1 if len(asked) > 2 else 0
        page = {"name": "n1", "failure_domain": "a", "state": "ready", "config_revision": revision}
        return httpserver.json_response(200, page)

    node = httpserver.Server("127.0.0.1:0", answer, threads=2)
    node.start()
    leaving = contract.Instance("n0", "a", "127.0.0.1:9", "127.0.0.1:9", True)
    staying = contract.Instance("n1", "a", node.address, node.address, False)
    platformstandin.set_instances(platform.platform, [leaving, staying])
    waited = run("config", "status", *at(platform), "--wait", "20", "--json")
    other = contract.Instance("n2", "a", node.address, node.address, False)
    platformstandin.set_instances(platform.platform, [staying, other])
    lagging = run("config", "status", *at(platform), "--wait", "0.1")
    node.stop()
    assert (waited.exit_code, json.loads(waited.output)["everywhere"]) == (0, True)
    assert (lagging.exit_code, "n1 answers at this address" in lagging.output) == (5, True)


def test_a_new_key_fits_its_hash():
    made = json.loads(run("team", "key", "notary", "--json").output)
    team = f"teams: {{notary: {{key_hashes: ['{made['key_hash']}']}}}}\n"
    assert samples.document(team).text
