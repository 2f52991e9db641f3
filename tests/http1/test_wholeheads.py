"""Heads that break off, as the blocking client reads them."""

import http.client

import pytest

from hornbeamglade.http1 import wholeheads
from tests.backends import scripted

HEAD = b"HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 2\r\nX-B: 2\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\nX-C: 3\r\n\r\n"


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
