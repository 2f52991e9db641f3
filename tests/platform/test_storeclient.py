"""What the client reports about a write whose response is late, lost or malformed."""

import json
import socket
import threading

import pytest
import urllib3

from hornbeamglade.platform import storeclient
from hornbeamglade.store import contract
from tests.http1 import oddstatuslines, raw

TRICKLED_BYTES = 150
WRITE = ((contract.Condition("a", 0),), (contract.Put("a", "1"),))


class RawServer:
    """Sends the same bytes on each connection, then closes it or trickles more bytes."""

    def __init__(self, response, trickle=False):
        self._answer = response
        self._trickle = trickle
        self.client_waited = False
        self._stopping = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def _serve(self):
        while not self._stopping.is_set():
            connection, _ = self._listener.accept()
            with connection:
                connection.recv(65536)
                self._send(connection)

    def _send(self, connection):
        try:
            connection.sendall(self._answer)
            for _ in range(TRICKLED_BYTES if self._trickle else 0):
                self._stopping.wait(0.02)
                connection.sendall(b"x")
            self.client_waited = self._trickle
        except OSError:
            return

    def stop(self):
        self._stopping.set()
        socket.create_connection(self._listener.getsockname()).close()
        self._thread.join()
        self._listener.close()


@pytest.fixture
def raw_server():
    started = []

    def start(response, trickle=False):
        server = RawServer(response, trickle)
        started.append(server)
        server.client = storeclient.StoreClient(server.url, timeout_s=0.2)
        return server

    yield start
    for server in started:
        server.stop()


def response(status, body):
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


def test_no_connection_means_no_effect():
    with socket.create_server(("127.0.0.1", 0)) as closed:
        port = closed.getsockname()[1]
    client = storeclient.StoreClient(f"http://127.0.0.1:{port}")
    assert isinstance(client.transact(*WRITE), contract.Unavailable)


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        response(b"500 Internal Server Error", b""),
        response(b"200 OK", b"{"),
        response(b"200 OK", b'{"now_ms":1}'),
        response(b"412 Precondition Failed", b"{"),
        response(b"412 Precondition Failed", b'{"rows":[]}'),
        b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{}",
    ],
)
def test_write_without_a_valid_response_is_unknown(raw_server, raw):
    assert isinstance(raw_server(raw).client.transact(*WRITE), contract.Unknown)


@pytest.mark.parametrize(
    "answer", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{}", b"HTTP/1.1 200 OK\r\n"]
)
@pytest.mark.parametrize("trickle", [False, True])
def test_failed_call_is_freed_without_garbage_collection(raw_server, answer, trickle):
    """The error of a call kept its request and what was received of the response."""
    client = raw_server(answer, trickle).client

    def write():
        assert isinstance(client.put("a", "1"), contract.Unknown)

    assert raw.uncollected_errors(write, urllib3.exceptions.HTTPError) == []


def test_row_of_another_table_is_rejected(raw_server):
    """The response to another call arrives in place of that to a read.

    Otherwise the rows of one table would be taken for those of another.
    """
    row = b'{"table":"b","part":"","key":"x","value":"MQ==","ver":1}'
    server = raw_server(response(b"200 OK", b'{"rows":[%s],"ver":1}' % row))
    assert isinstance(server.client.read("a/x"), contract.Unavailable)
    assert isinstance(server.client.snapshot("a"), contract.Unavailable)


@pytest.mark.parametrize("value", [b"!!", b"/////w=="])
def test_value_that_is_not_text_is_rejected(raw_server, value):
    row = b'{"table":"a","part":"","key":"x","value":"%s","ver":1}' % value
    server = raw_server(response(b"200 OK", b'{"rows":[%s],"ver":1}' % row))
    assert isinstance(server.client.read("a/x"), contract.Unavailable)


@pytest.mark.parametrize("value", [b"!!", b"/////w=="])
def test_undecodable_row_does_not_affect_others(raw_server, value):
    """Another program writes bytes to a table that are not text.

    When this counted as an outage, a starting instance never learned of any replica, and one
    that followed the table got stuck at that row.
    """
    rows = (
        b'{"table":"a","part":"","key":"x","value":"%s","ver":1}' % value,
        b'{"table":"a","part":"","key":"y","value":"MQ==","ver":2}',
    )
    raw_response = response(b"200 OK", b'{"rows":[%s],"ver":2}' % b",".join(rows))
    for read in (
        raw_server(raw_response).client.snapshot("a").rows,
        raw_server(raw_response).client.changes("a", 0, 0.0).written_rows,
        raw_server(raw_response).client.scan("a/"),
    ):
        assert [(row.key, row.value, row.problem is None) for row in read] == [
            ("a/x", "", False),
            ("a/y", "1", True),
        ]


@pytest.mark.parametrize("status", [b"429 Too Many Requests", b"503 Service Unavailable"])
def test_refused_write_has_no_effect(raw_server, status):
    """The store refuses calls beyond its rate limits, or while it is busy.

    If the outcome were unknown, each such write would cost another call to look it up.
    """
    assert isinstance(
        raw_server(response(status, b"")).client.transact(*WRITE), contract.Unavailable
    )


def test_trickling_response_times_out(raw_server):
    """A platform sends one byte of its response now and then, without end.

    The caller would wait forever, because each byte restarts an ordinary timeout.
    """
    server = raw_server(b"HTTP/1.1 200 OK\r\nX-Long: ", trickle=True)
    assert isinstance(server.client.transact(*WRITE), contract.Unknown)
    assert not server.client_waited


def test_response_without_end_is_given_up_before_it_fills_the_memory(raw_server):
    head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
    server = raw_server(head + b"x" * storeclient.MAX_RESPONSE_BYTES)
    assert isinstance(server.client.get("k"), contract.Unavailable)


def feed_response(*rows):
    """Return a feed's response that contains one row in several states."""
    body = json.dumps({"rows": rows, "ver": 9}).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    return head.encode() + body


def state(key, ver, *, deleted=False):
    return {"table": "op", "part": "", "key": key, "value": "", "ver": ver, "deleted": deleted}


@pytest.mark.parametrize("is_reversed", [False, True])
def test_newest_of_several_states_of_a_row_counts(raw_server, is_reversed):
    """A row may be deleted and written again between two calls of a feed."""
    rows = [
        state("again", 3, deleted=True),
        state("again", 5),
        state("over", 4),
        state("over", 6, deleted=True),
    ]
    server = raw_server(feed_response(*(reversed(rows) if is_reversed else rows)))
    changes = server.client.changes("op", 1, 0.01)
    assert [(row.key, row.version) for row in changes.written_rows] == [("op/again", 5)]
    assert changes.deleted_keys == ("op/over",)
    assert changes.newest == 6


def test_row_of_another_part_does_not_replace_or_delete_one_with_its_key(raw_server):
    """A feed has the rows of all parts of a table; a snapshot only those without a part."""
    rows = [
        state("kept", 3),
        state("kept", 4) | {"part": "p", "value": "e30="},
        state("kept", 5, deleted=True) | {"part": "p"},
    ]
    changes = raw_server(feed_response(*rows)).client.changes("op", 1, 0.01)
    assert [(row.key, row.version) for row in changes.written_rows] == [("op/kept", 3)]
    assert (changes.deleted_keys, changes.newest) == ((), 3)


FIELDS = b"Store-Era: 1\r\nContent-Type: text/plain\r\nContent-Length: 9\r\n\r\n"


@pytest.mark.parametrize("status", [b"200 OK", b"404 None", b"503 Down"])
def test_response_whose_head_breaks_off_states_nothing(raw_server, status):
    """An object that was cut off was read as an empty one, and a write as refused or done."""
    head = b"HTTP/1.1 " + status + b"\r\n" + FIELDS
    for at in range(1, len(head)):
        server = raw_server(head[:at])
        assert isinstance(server.client.get("a"), contract.Unavailable), at
        assert isinstance(server.client.put("a", "1"), contract.Unknown), at
        assert isinstance(server.client.transact(*WRITE), contract.Unknown), at


@pytest.mark.parametrize("line", oddstatuslines.MALFORMED)
def test_response_with_a_malformed_status_line_says_nothing(raw_server, line):
    """A write counted as done by a response that was none."""
    body = b'{"ver":1,"now_ms":1,"rows":[],"truncated":false}'
    client = raw_server(response(b"200 OK", body).replace(b"HTTP/1.1 200 OK", line)).client
    assert isinstance(client.transact(*WRITE), contract.Unknown)
    assert isinstance(client.put("a", "1"), contract.Unknown)
    assert isinstance(client.read("a/x"), contract.Unavailable)
    assert isinstance(client.snapshot("a"), contract.Unavailable)


@pytest.mark.parametrize("line", [b"HTTP/1.1 0429 Many", b"HTTP/1.1 +503 Full", b"HTTP/2.0 503 F"])
def test_refusal_with_a_malformed_status_line_does_not_say_that_nothing_was_done(raw_server, line):
    """A write that may have been done was repeated."""
    client = raw_server(response(b"200 OK", b"").replace(b"HTTP/1.1 200 OK", line)).client
    assert isinstance(client.transact(*WRITE), contract.Unknown)
