"""Request heads that two parsers may interpret differently are refused."""

import pytest

from hornbeamglade.http1 import strictness

START = b"POST /x HTTP/1.1\r\nHost: a.example\r\n"


@pytest.mark.parametrize(
    "fields",
    [
        b"Content-Length: 3\r\nContent-Length: 4\r\n",
        b"Content-Length: 3\r\nContent-Length: 3\r\n",
        b"Content-Length: 3, 3\r\n",
        b"Content-Length: +3\r\n",
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        b"X-Long: a\r\n b\r\n",
        b"X-Space : a\r\n",
        b"Content-Length : 3\r\n",
        b"X-Bare: a\nContent-Length: 3\r\n",
        b"X-Bare: a\rb\r\n",
        b"Host: b.example\r\n",
    ],
)
def test_ambiguous_head_is_refused(fields):
    """A caller hides a second request in the body of its first (request smuggling).

    If a node and a backend server find the end of the body at different positions, the
    rest is taken for a request, which then runs on behalf of another caller.
    """
    assert strictness.ambiguity(START + fields + b"\r\n") is not None


@pytest.mark.parametrize(
    "fields",
    [b"", b"Content-Length: 12\r\n", b"Transfer-Encoding: Chunked\r\n", b"X: a b\r\nY:\r\n"],
)
def test_plain_head_is_accepted(fields):
    assert strictness.ambiguity(START + fields + b"\r\n") is None
