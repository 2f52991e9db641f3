import json
import threading

import click.testing
import pytest
from cheroot import wsgi

from hornbeamglade.cli import status
from hornbeamglade.observability import statuspage, statusreading, statustable
from tests.backends import scripted
from tests.http1 import oddstatuslines


def _node(name, revision=7, **fields):
    return statuspage.NodeStatus(
        name=name, failure_domain="a", state="ready", config_revision=revision, **fields
    )


def _replica(owner, room, age_s=1.0):
    return statuspage.ReplicaStatus(
        name="engine-1", pool="drafts", owner=owner, room_tokens=room, load_age_s=age_s
    )


def _reading(node):
    return statusreading.NodeReading("127.0.0.1:1", node)


@pytest.fixture
def serve(request):
    def start_server(body, status_line="200 OK"):
        def application(environ, start_response):
            start_response(status_line, [("Content-Type", "application/json")])
            return [body]

        server = wsgi.Server(("127.0.0.1", 0), application, numthreads=2)
        server.expiration_interval = 0.05
        server.prepare()
        threading.Thread(target=server.serve, daemon=True).start()
        request.addfinalizer(server.stop)
        return f"127.0.0.1:{server.bind_addr[1]}"

    return start_server


def _run(*arguments):
    return click.testing.CliRunner().invoke(status.status, arguments)


def test_nodes_and_replicas_are_shown(serve):
    page = _node(
        "entry-1", streams=5, counters={"refusals": 3}, replicas=(_replica("entry-1", 9),)
    )
    result = _run("--nodes", serve(page.model_dump_json().encode()))
    assert result.exit_code == 0
    assert "entry-1" in result.output
    assert "engine-1" in result.output


def test_json_holds_the_pages(serve):
    address = serve(_node("entry-1").model_dump_json().encode())
    (node,) = json.loads(_run("--json", "--nodes", address).output)["nodes"]
    assert (node["status"]["name"], node["status"]["config_revision"]) == ("entry-1", 7)


@pytest.mark.parametrize(
    ("body", "status_line"), [(b"busy", "503 Busy"), (b"<html>", "200 OK"), (b"{}", "200 OK")]
)
def test_a_node_without_a_page_is_shown_and_fails_the_command(serve, body, status_line):
    # Guards against a table that leaves out a node which returns an error: an
    # operator would see only the healthy nodes.
    result = _run("--nodes", serve(body, status_line))
    assert result.exit_code == 1
    assert "no answer" in result.output
    assert "1 of 1 nodes gave no status." in result.output


def test_an_unreachable_node_gives_a_reading_without_a_status():
    assert statusreading.read("127.0.0.1:9", 0.5).status is None


def test_the_owner_s_view_of_a_replica_is_shown():
    stale = _node("entry-1", replicas=(_replica("entry-2", 500, age_s=0.1),))
    owner = _node("entry-2", replicas=(_replica("entry-2", 20, age_s=2.0),))
    for readings in ([stale, owner], [owner, stale]):
        views = statustable.best_views([_reading(node) for node in readings])
        assert views["engine-1"][1].room_tokens == 20


def test_nodes_behind_the_newest_revision_are_named():
    readings = [_reading(_node("entry-1")), _reading(_node("entry-2", revision=6))]
    assert "Behind revision 7: entry-2." in statustable.as_text(readings)


def test_fields_of_a_later_release_are_ignored():
    page = json.loads(_node("entry-1").model_dump_json()) | {"added_later": 1}
    assert statuspage.NodeStatus.model_validate(page).name == "entry-1"


def test_exactly_one_source_of_nodes_must_be_given():
    assert _run().exit_code == 2


def test_waiting_requests_and_slow_engines_are_shown_once():
    """Every instance counts the whole site: a sum over instances would be several times too high.

    An instance that hears of few owners must not hide what another one knows.
    """
    pages = (
        _node("entry-1", waiting_by_class={"llm": {0: 1}, "chat": {2: 5}}),
        _node("entry-2", waiting_by_class={"llm": {0: 4, 2: 12}}, slow_factors={"e1": 2.4}),
        _node("entry-3", slow_factors={"e2": 1.0}),
    )
    pages = [statuspage.NodeStatus.model_validate_json(each.model_dump_json()) for each in pages]
    text = statustable.as_text([_reading(page) for page in pages])
    rows = [line.split() for line in text.splitlines()]
    assert rows[5:] == [
        ["ENGINE", "SLOW", "SEEN", "BY"],
        ["e1", "2.40", "entry-2"],
        [],
        ["SERVICE", "CLASS", "WAITING", "SEEN", "BY"],
        ["chat", "2", "5", "entry-1"],
        ["llm", "0", "4", "entry-2"],
        ["llm", "2", "12", "entry-2"],
    ]


def test_tables_without_content_are_left_out():
    text = statustable.as_text([_reading(_node("entry-1", slow_factors={"e1": 1.0}))])
    assert "SLOW" not in text
    assert "CLASS" not in text


@pytest.mark.parametrize("line", oddstatuslines.MALFORMED)
def test_page_with_a_malformed_status_line_is_not_shown(line):
    """The page of another program was shown as that of a node."""
    page = _node("entry-1").model_dump_json().encode()
    with scripted.server(line + b"\r\n\r\n" + page) as address:
        assert statusreading.read(address).status is None
    with scripted.server(b"HTTP/1.1 200 OK\r\n\r\n" + page) as address:
        assert statusreading.read(address).status is not None
