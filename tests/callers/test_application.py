import gc
import io
import socket

import cheroot.makefile
import pytest

from hornbeamglade.callers import server, slowsenders
from hornbeamglade.callers.application import Application
from hornbeamglade.core import clocks, outcomes
from tests.callers import callerside

ECHO = "/services/echo/x"
CHAT = "/v1/chat/completions"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


class Node:
    def __init__(self):
        self.clock = clocks.ManualClock()
        self.senders = slowsenders.SlowSenders(self.clock)
        self.handlers = callerside.Handlers()
        self.server = server.CallersServer("127.0.0.1:0", 4, self.senders)
        self.server.start(Application(self.handlers))

    def caller(self):
        return callerside.Caller(self.server.address)


@pytest.fixture(scope="module")
def node():
    created = Node()
    yield created
    created.server.stop()


def test_pipelined_requests_are_answered_in_order(node):
    with node.caller() as caller:
        caller.send(b"".join(callerside.request("POST", ECHO, b"%d" % i) for i in range(3)))
        assert [caller.answer()[2] for _ in range(3)] == [b"0", b"1", b"2"]


def test_a_closed_connection_frees_its_response_without_garbage_collection(node):
    """A closed connection kept what its caller had not read of the response."""

    def has_writers():
        return any(type(each) is cheroot.makefile.StreamWriter for each in gc.get_objects())

    gc.collect()
    gc.disable()
    try:
        with node.caller() as caller:
            assert caller.send_request("POST", ECHO, b"a")[2] == b"a"
            assert has_writers()
        callerside.wait_for(lambda: not has_writers())
    finally:
        gc.enable()


@pytest.mark.parametrize("path", ["/healthz", "/nowhere", ECHO])
def test_a_response_to_head_has_no_body(node, path):
    """A monitor sends HEAD and then GET on one connection.

    It would read a body after the first response as the second response.
    """
    with node.caller() as caller:
        caller.send_request("HEAD", path)
        assert caller.send_request("GET", "/healthz")[2] == b"health"


def test_a_chunked_body_is_read_completely_and_its_connection_stays_usable(node):
    """The empty line that ends a chunked body remains unread in the connection.

    A thread would wait for a request after it and then send an unexpected 408, which the
    caller takes for the response to its next request.
    """
    with node.caller() as caller:
        body = b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n"
        assert caller.send_request("POST", ECHO, body, CHUNKED)[2] == b"abcde"
        assert caller.send_request("POST", ECHO, b"next")[2] == b"next"


@pytest.mark.parametrize(
    "body", [b"5\r\nab", b"3\r\nabc\r\n", b"zz\r\n", b"3\r\nabcdef\r\n0\r\n\r\n"]
)
def test_a_truncated_chunked_body_is_not_run(node, body):
    """A caller's connection is lost in the middle of a chunked body.

    No length shows that more was to come, so the truncated body would be forwarded.
    """
    before = len(node.handlers.requests)
    with node.caller() as caller:
        caller.send(callerside.request("POST", ECHO, body, CHUNKED))
        caller.socket.shutdown(socket.SHUT_WR)
        answer = caller.answer()
        assert answer[0] in (400, 408)
        assert callerside.run_status(answer) is outcomes.RunStatus.NOT_RUN
    assert len(node.handlers.requests) == before


@pytest.mark.parametrize(
    ("path", "body"), [(ECHO, b"x" * callerside.MAX_BODY_BYTES + b"y"), (ECHO + "\x01", b"")]
)
def test_not_run_covers_only_the_attempt_if_there_is_a_key(node, path, body):
    """A request ran and its response was lost; the retry is refused before its key is read.

    After "not run" the caller would repeat the request under another key.
    """
    with node.caller() as caller:
        answer = caller.send_request("POST", path, body, b"Idempotency-Key: k1\r\n")
    assert callerside.run_status(answer) is outcomes.RunStatus.UNKNOWN
    assert b'"attempt_run": "not_run"' in answer[2]


def test_a_length_with_chunked_encoding_hides_no_request(node):
    """With a length and chunks, the bytes after the length would be a separate request."""
    hidden = callerside.request("GET", "/services/echo/hidden")
    body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(hidden), hidden)
    before = len(node.handlers.requests)
    with node.caller() as caller:
        headers = CHUNKED + b"Content-Length: 2\r\n"
        assert caller.send_request("POST", ECHO, body, headers)[2] == hidden
        assert caller.send_request("GET", "/healthz")[2] == b"health"
    assert len(node.handlers.requests) == before + 1


@pytest.mark.parametrize("size", [callerside.MAX_BODY_BYTES + 1, 6_000_000])
@pytest.mark.parametrize("headers", [b"", CHUNKED])
def test_an_oversized_body_gets_its_413(node, size, headers):
    body = b"x" * size
    if headers:
        body = b"3e8\r\n%s\r\n" % (b"x" * 1000) * (size // 1000 + 1) + b"0\r\n\r\n"
    with node.caller() as caller:
        answer = caller.send_request("POST", ECHO, body, headers)
        assert answer[0] == 413
        assert callerside.run_status(answer) is outcomes.RunStatus.NOT_RUN


def test_a_chunk_that_declares_gigabytes_is_refused_unread(node):
    """One chunk of 64 GiB is announced: if read before it is checked, it fills the memory."""
    with node.caller() as caller:
        assert caller.send_request("POST", ECHO, b"1000000000\r\n", CHUNKED)[0] == 413


@pytest.mark.parametrize(
    "sent",
    [
        callerside.request("POST", ECHO, headers=b"Content-Length: -5\r\n"),
        callerside.request("GET", "/services/echo/\xe4"),
        callerside.request("GET", ECHO + "\x01"),
        callerside.request("GET", ECHO + "?q=\x01"),
        callerside.request("GET", ECHO, headers=b"X-A: a\rb\r\n"),
        callerside.request("GET", ECHO, headers=b"X-A: a\x00b\r\n"),
        callerside.request("GET", ECHO, headers=b"X(A: b\r\n"),
        callerside.request("B@D", ECHO),
        b"nonsense\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"GET " + ECHO.encode() + b" HTTP/1.1\r\nno colon\r\n\r\n",
        b"\x16\x03\x01\x00\xa5\x01\r\n\r\n",
    ],
)
def test_a_malformed_request_reaches_no_handler(node, sent):
    """A request that the client library rejects is to be forwarded to a backend server.

    The library rejects it for each replica, and three healthy ones count as unreachable.
    """
    before = len(node.handlers.requests), len(node.handlers.errors)
    with node.caller() as caller:
        caller.send(sent)
        assert caller.answer()[0] in (400, 505)
    assert (len(node.handlers.requests), len(node.handlers.errors)) == before
    with node.caller() as caller:
        assert caller.send_request("GET", "/healthz")[0] == 200


@pytest.mark.parametrize("sent", [b"GET /hea", callerside.request("POST", ECHO, b"x" * 9)[:-5]])
def test_reading_from_a_slow_sender_is_ended(node, sent):
    """A caller sends a byte occasionally, and each one restarts the socket's timeout."""
    with node.caller() as caller:
        caller.send(sent)
        callerside.wait_for(lambda: len(node.senders._start_by_connection) == 1)
        assert node.senders.sweep() == 0
        node.clock.advance(slowsenders.REQUEST_READ_S + 1)
        assert node.senders.sweep() == 1
        answer = caller.answer()
        assert answer is None or answer[0] in (400, 408)
    callerside.wait_for(lambda: not node.senders._start_by_connection)


def test_a_caller_that_waits_for_its_response_is_not_a_slow_sender(node):
    with node.caller() as caller:
        caller.send(callerside.request("POST", CHAT, b"endless"))
        assert caller.reader.readline().startswith(b"HTTP/1.1 200")
        node.clock.advance(slowsenders.REQUEST_READ_S + 1)
        assert node.senders.sweep() == 0
    callerside.wait_for(lambda: node.handlers.streams[-1].close_count == 1)


def test_a_caller_that_disconnects_while_it_waits_is_detected(node):
    with node.caller() as caller:
        caller.send(callerside.request("GET", "/services/wait/x"))
        assert node.handlers.entered.wait(callerside.TIMEOUT_S)
    callerside.wait_for(lambda: node.handlers.disconnected_requests)


def test_a_connection_closed_by_this_node_counts_as_disconnected():
    class Request:
        class conn:  # noqa: N801
            socket = socket.socket()

    Request.conn.socket.close()
    assert server.CallerLink(Request()).is_gone()


def test_a_handler_that_raises_is_answered_as_unknown(node):
    with node.caller() as caller:
        answer = caller.send_request("GET", "/services/raise/x")
        assert answer[0] == 500
        assert callerside.run_status(answer) is outcomes.RunStatus.UNKNOWN
        assert caller.send_request("GET", "/healthz")[0] == 200
    assert len(node.handlers.errors) == 1
    node.handlers.errors.clear()


@pytest.mark.parametrize("kind", ["whole", "raise", "raise_first", "raise_close"])
def test_a_stream_is_closed_once_and_the_next_request_is_served(node, kind):
    """If a stream fails in the middle, the caller gets one error event and no [DONE]."""
    with node.caller() as caller:
        body = caller.send_request("POST", CHAT, kind.encode())[2]
        assert caller.send_request("GET", "/healthz")[0] == 200
    assert node.handlers.streams[-1].close_count == 1
    assert len(node.handlers.errors) == (kind != "whole")
    assert (b"[DONE]" in body) == (kind in ("whole", "raise_close"))
    assert body.count(b'"internal_error"') == 2 * (b"[DONE]" not in body)
    node.handlers.errors.clear()


def test_a_stream_of_a_disconnected_caller_is_closed_once_and_can_still_be_read(node):
    """A caller disconnects in the middle of a stream that runs at most once.

    Its response is still read to the end, so that a retry finds it recorded.
    """
    with node.caller() as caller:
        caller.send(callerside.request("POST", CHAT, b"recorded"))
        assert caller.reader.readline().startswith(b"HTTP/1.1 200")
    stream = node.handlers.streams[-1]
    callerside.wait_for(lambda: stream.close_count)
    callerside.wait_for(lambda: hasattr(stream, "rest"))
    assert stream.close_count == 1
    assert stream.rest[-1] == b"data: [DONE]\n\n"


def test_a_stream_is_closed_if_its_head_cannot_be_sent(node):
    """A caller resets its connection while its stream ends without a piece.

    The server then cannot send the head, and without a close the request's grant and
    its place in the team's limit are never released.
    """

    class Request:
        class server:  # noqa: N801
            wsgi_app = Application(node.handlers)

        def ensure_headers_sent(self):
            raise BrokenPipeError

    gateway = object.__new__(server._gateway_class(node.senders, server._ServingState()))
    gateway.req = Request()
    gateway.start_response = lambda *_: None
    gateway.env = {
        "REQUEST_METHOD": "POST",
        "REQUEST_URI": CHAT,
        "CONTENT_LENGTH": "5",
        "wsgi.input": io.BytesIO(b"empty"),
    }
    with pytest.raises(BrokenPipeError):
        gateway.respond()
    assert node.handlers.streams[-1].close_count == 1
