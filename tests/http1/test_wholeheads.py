"""Heads that break off, as the blocking client reads them."""

import http.client
import io

import hypothesis
import pytest

from hornbeamglade.http1 import statuslines, wholeheads
from tests.backends import scripted
from tests.http1 import oddstatuslines

HEAD = b"HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 2\r\nX-B: 2\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\nX-C: 3\r\n\r\n"


FIELDS = b"\r\nContent-Length: 2\r\n\r\nab"


class Received:
    """Stands for a socket on which bytes have arrived."""

    def __init__(self, data):
        self._data = data

    def makefile(self, _mode):
        return io.BytesIO(self._data)


def parse(data):
    """Return the status and body of a response, or None if it is none."""
    response = wholeheads.WholeHeadResponse(Received(data), method="GET")
    try:
        response.begin()
        return response.status, response.read()
    except http.client.HTTPException:
        return None


def read(data):
    with scripted.server(data) as address:
        host, port = address.split(":")
        connection = wholeheads.WholeHeadConnection(host, int(port), timeout=10.0)
        try:
            connection.request("GET", "/", preload_content=False)
            return connection.getresponse().read()
        finally:
            connection.close()


def test_whole_head_is_read():
    assert read(HEAD + b"ab") == read(INTERIM + HEAD + b"ab") == b"ab"


@pytest.mark.parametrize("start", [b"", INTERIM])
def test_head_that_breaks_off_at_any_byte_is_no_response(start):
    """A server stopped within a head, and its answer counted as whole, with an empty body."""
    head = start + HEAD
    for at in range(len(head)):
        with pytest.raises(http.client.HTTPException):
            read(head[:at])


def test_head_that_runs_into_another_response_is_no_response():
    for at in range(1, len(HEAD) - 2):
        with pytest.raises(http.client.HTTPException):
            read(HEAD[:at] + HEAD)


def test_overlong_line_is_no_response():
    with pytest.raises(http.client.HTTPException):
        read(b"HTTP/1.1 200 OK\r\nX-A: " + b"a" * 70_000 + b"\r\n\r\n")


@pytest.mark.parametrize("start", [b"", INTERIM])
@pytest.mark.parametrize("line", oddstatuslines.MALFORMED)
def test_response_whose_status_line_is_malformed_is_none(line, start):
    """A status of four digits counted as one of three, and 600 as an answer."""
    assert parse(start + line + FIELDS) is None


@pytest.mark.parametrize("line", oddstatuslines.SOUND)
def test_sound_status_line_begins_a_response(line):
    assert parse(line + FIELDS) == (int(line.split()[1]), b"ab")


@hypothesis.given(oddstatuslines.lines())
@hypothesis.settings(deadline=None, max_examples=500)
def test_status_lines_of_responses_are_those_of_the_table(line):
    """A line that the routed path rejects was an answer to the blocking client."""
    sound = statuslines.parse(line)
    body = b"ab" if line[9:12] not in (b"204", b"304") else b""
    assert parse(line + FIELDS) == (None if sound is None else (sound[1], body))


@pytest.mark.parametrize("status", [b"100", b"102", b"103", b"199"])
def test_interim_response_is_no_answer(status):
    """An interim response was the answer to the caller, and the answer was lost."""
    assert parse(b"HTTP/1.1 " + status + b" I\r\nX-C: 3\r\n\r\n" + HEAD + b"ab") == (200, b"ab")


def test_too_many_interim_responses_are_none():
    """A server that sends nothing else held a thread for ever."""
    most = statuslines.MAX_INTERIM_RESPONSES
    assert parse(INTERIM * most + HEAD + b"ab") == (200, b"ab")
    assert parse(INTERIM * (most + 1) + HEAD + b"ab") is None


@pytest.mark.parametrize("status", [b"100", b"103"])
def test_interim_response_that_runs_into_another_response_is_none(status):
    """The fields of the other response were taken for those of the interim one."""
    start = b"HTTP/1.1 " + status + b" EarlyHTTP/1.1 200 OK\r\nX-A: 1\r\n\r\n"
    assert parse(start + HEAD + b"ab") is None


@pytest.mark.parametrize("framing", oddstatuslines.FRAMINGS)
@pytest.mark.parametrize("status", [204, 304])
def test_response_whose_status_has_no_body_is_complete_without_one(status, framing):
    """A length or chunks in a status without a body made the client wait, or lose the response."""
    head = b"HTTP/1.1 %d None\r\n%b\r\n\r\n" % (status, framing)
    assert parse(head) == parse(head + b"2\r\nok\r\n0\r\n\r\n") == (status, b"")
