"""Status lines that begin no response, and a writer that sends them."""

from hypothesis import strategies

from hornbeamglade.standins import disturbedwriter

MALFORMED = (
    b"HTTP/1.1 000 Zero",
    b"HTTP/1.1 001 One",
    b"HTTP/1.1 099 Low",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 0200 OK",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1",
    b"HTTP/1.1 ",
    b"HTTP/1.1 OK",
    b"HTTP/1.1 -20 OK",
    b"HTTP/1.1 +200 OK",
    b"HTTP/1.1 2_0_0 OK",
    b"HTTP/1.1 600 High",
    b"HTTP/1.1 999 High",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1\t200 OK",
    b"HTTP/2.0 200 OK",
    b"HTTP/2 200 OK",
    b"HTTP/1.2 200 OK",
    b"HTTP/0.9 200 OK",
    b"http/1.1 200 OK",
    b" HTTP/1.1 200 OK",
    b"HTTP/1.1 101 Switching Protocols",
    b"200 OK",
)
"""Lines without a sound version and status."""

SOUND = (
    b"HTTP/1.1 200 OK",
    b"HTTP/1.0 200 OK",
    b"HTTP/1.1 200 ",
    b"HTTP/1.1 200",
    b"HTTP/1.1 299 No such status",
    b"HTTP/1.1 599 \xe4 \t b",
)
FRAMINGS = (b"Content-Length: 2", b"Transfer-Encoding: chunked", b"X-A: 1")

PARSED_ELSEWHERE = (b"HTTP/1.1 600 High", b"HTTP/2.0 200 OK")
"""Lines of the form of a status line whose version or status HTTP/1.1 does not define."""


def lines():
    """Return a strategy of lines of final responses that are nearly status lines."""
    parts = (
        (b"HTTP/", b"http/", b"HTTP", b" HTTP/", b""),
        (b"1.1", b"1.0", b"0.9", b"1.2", b"2.0", b"11", b""),
        (b" ", b"  ", b"\t", b""),
    )
    statuses = strategies.one_of(
        strategies.integers(200, 599).map(lambda number: b"%d" % number),
        strategies.integers(-1, 10_000).map(lambda number: b"%03d" % number),
        strategies.integers(0, 10_000).map(lambda number: b"%d" % number),
        strategies.binary(max_size=4),
    )
    reasons = strategies.sampled_from((b"", b" ", b" OK", b"\tOK", b"OK", b" a\0", b" a\x0b"))
    built = strategies.builds(
        lambda *drawn: b"".join(drawn),
        *(strategies.sampled_from(each) for each in parts),
        statuses,
        reasons,
    )
    return built.filter(lambda line: line[9:10] != b"1" and not {10, 13} & set(line))


class StatusLineWriter(disturbedwriter.DisturbedWriter):
    """Replaces the status line of one response.

    :param line: the status line, without its end.
    """

    def __init__(self, writer, line):
        super().__init__(writer, None, "")
        self._line = line

    def write(self, data):
        """Write bytes of the response."""
        if not self.sent and data:
            self.sent += data
            data = self._line + data[data.index(b"\r\n") :]
        super().write(data)


def replacing(line, applies=lambda request: True):
    """Return a function that wraps the writers of a stand-in.

    :param applies: whether the line of the response to a request is replaced.
    """

    def wrap(request, writer):
        return StatusLineWriter(writer, line) if applies(request) else writer

    return wrap
