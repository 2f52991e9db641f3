"""Status lines of servers in trouble, as the client of the routed path reads them."""

import hypothesis
import pytest
from hypothesis import strategies

from hornbeamglade.http1 import clientside, statuslines
from tests.http1 import oddstatuslines, test_clientside

FIELDS = b"Content-Length: 2\r\nKeep-Alive: timeout=10\r\n\r\nok"
ANSWER = b"HTTP/1.1 200 OK\r\n" + FIELDS
INTERIM = b"HTTP/1.1 %s Interim\r\nX-A: 1\r\n\r\n"


def read(data):
    """Return the body that the client reads, or what it has lost."""
    return test_clientside.send_requests(data)[0][0]


@pytest.mark.parametrize("start", [b"", INTERIM % b"103"])
@pytest.mark.parametrize("line", oddstatuslines.MALFORMED)
def test_response_whose_status_line_is_malformed_is_lost(line, start):
    """A server in trouble sent an answer with status 000 or 600, and its caller got it."""
    assert read(start + line + b"\r\n" + FIELDS) == clientside.ResponseLost("malformed")
    assert statuslines.parse(line) is None


@pytest.mark.parametrize("line", oddstatuslines.SOUND)
def test_sound_status_line_begins_a_response(line):
    assert read(line + b"\r\n" + FIELDS) == b"ok"
    assert statuslines.parse(line) is not None


@hypothesis.given(oddstatuslines.lines())
@hypothesis.settings(deadline=None, max_examples=200)
def test_status_lines_of_responses_are_those_of_the_table(line):
    """A line that the parser takes though HTTP does not define it became an answer."""
    is_sound = statuslines.parse(line) is not None
    body = b"ok" if line[9:12] not in (b"204", b"304") else b""
    received = read(line + b"\r\n" + FIELDS)
    assert received == (body if is_sound else clientside.ResponseLost("malformed"))


@hypothesis.given(strategies.integers(0, 999), strategies.sampled_from((b"1.0", b"1.1", b"2.0")))
def test_table_has_the_statuses_and_versions_that_http_defines(status, version):
    is_defined = 100 <= status <= 599 and status != 101 and version != b"2.0"
    parsed = statuslines.parse(b"HTTP/%s %03d A" % (version, status))
    assert parsed == ((version, status, b"A") if is_defined else None)
    assert statuslines.is_valid(version, status) == is_defined


@pytest.mark.parametrize("framing", oddstatuslines.FRAMINGS)
@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
def test_bytes_after_a_response_without_a_body_belong_to_none(status, framing):
    """A server sends a body with a status that has none, and it became the next answer."""
    bodiless = b"HTTP/1.1 " + status + b"\r\n" + framing + b"\r\n\r\n2\r\nok"
    received, server = test_clientside.send_requests(bodiless, ANSWER, count=2)
    assert (received, server.connections) == ([b"", b"ok"], 2)


@pytest.mark.parametrize("status", [b"100", b"102", b"103", b"199"])
def test_interim_response_is_no_answer(status):
    assert read(INTERIM % status + ANSWER) == b"ok"


def test_too_many_interim_responses_are_lost():
    most = statuslines.MAX_INTERIM_RESPONSES
    assert read(INTERIM % b"100" * most + ANSWER) == b"ok"
    assert read(INTERIM % b"100" * (most + 1) + ANSWER) == clientside.ResponseLost("excessive")
