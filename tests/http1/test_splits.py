"""What is decoded does not depend on how the bytes are split on arrival."""

import asyncio
import socket
from unittest import mock

import hypothesis
import pytest
from hypothesis import strategies

from hornbeamglade.core import clocks
from hornbeamglade.http1 import (
    buffermemory,
    callerconnection,
    callerrequests,
    clientside,
    handlers,
    listeners,
    openconnections,
)
from hornbeamglade.routed import eventsplit
from hornbeamglade.standins import disturbances
from hornbeamglade.tunnels import frames
from tests import eventloop

OTHER = disturbances.stray_bytes(disturbances.Stray.ANSWER_OTHER, "r1")
HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Seal: e0.r1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = [b"id: %d\ndata: r1.%d%s\n\n" % (n, n, b"." * 90) for n in range(1, 4)]


def chunk(data, extension=b""):
    return b"%x%s\r\n%s\r\n" % (len(data), extension, data)


def with_length(body, stated=None):
    return HEAD + b"Content-Length: %d\r\n\r\n%s" % (stated or len(body), body)


STREAM = CHUNKED + b"".join(map(chunk, EVENTS))
RESPONSES = {
    "plain": with_length(b"s0:r1"),
    "plain, followed by another": with_length(b"s0:r1") + OTHER,
    "plain, within it another": with_length(b"s0:" + OTHER[:40], 43) + OTHER[40:],
    "plain, within it the first byte of another": with_length(b"s0:H", 4) + OTHER[1:],
    "plain, broken off": with_length(b"s0:r1", 9),
    "report": HEAD + b"Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}",
    "after an interim response": b"HTTP/1.1 103 Early\r\nX: y\r\n\r\n" + with_length(b"s0:r1"),
    "without a length": HEAD + b"\r\n" + b"".join(EVENTS),
    "stream": STREAM + b"0\r\n\r\n",
    "stream with extensions and trailers": CHUNKED
    + chunk(EVENTS[0], b";a=b")
    + b"0\r\nX: y\r\n\r\n",
    "stream, broken off in a chunk": STREAM + chunk(EVENTS[0])[:-9],
    "stream, another in a chunk": STREAM + chunk(EVENTS[0])[:9] + OTHER,
    "stream, another between chunks": STREAM + OTHER,
    "stream, its chunk too short": STREAM + b"5\r\ntoo long\r\n0\r\n\r\n",
    "no response": b"SSH-2.0-x\r\n\r\n",
    "another version": b"HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
}
REQUESTS = {
    "with a length": b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody",
    "in chunks": b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    + chunk(b"bo")
    + chunk(b"dy")
    + b"0\r\n\r\n",
    "two": b"\r\nGET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
    "ambiguous": b"GET /a HTTP/1.1\r\nHost: x\r\nX: a\r\n b\r\n\r\n",
    "malformed": b"GET /a HTTP/1.1\r\n: x\r\n\r\n",
    "a body that breaks off": b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nbody",
}


def fake_transport(connection):
    """Return a transport that keeps what is written to it, and is open until it is closed."""
    transport = mock.create_autospec(asyncio.Transport, instance=True)
    transport.written = b""
    transport.is_closing.return_value = False
    transport.get_write_buffer_size.return_value = 0
    transport.get_extra_info.side_effect = {"socket": connection}.get

    def write(data):
        transport.written += data

    def close():
        transport.is_closing.return_value = True

    transport.write.side_effect = write
    transport.close.side_effect = transport.abort.side_effect = close
    return transport


def parts(data, positions):
    bounds = [0, *sorted(positions), len(data)]
    return [data[start:end] for start, end in zip(bounds, bounds[1:], strict=False) if end > start]


async def turns(count=12):
    for _ in range(count):
        await asyncio.sleep(0)


async def read_response(connection, reads_chunks):
    """Return the head, the content that is passed on, and how the response ended."""
    head = await connection.head()
    if isinstance(head, clientside.ResponseLost):
        return head, b"", None
    if not reads_chunks:
        body = await connection.body(10_000)
        return head, b"", body
    content = b""
    while isinstance(piece := await connection.chunk(10_000), bytes):
        content += piece
    return head, content, piece


async def decode_response(received, reads_chunks):
    """Return what a connection to a replica decodes of bytes that arrive in parts."""
    with socket.socket() as unused:
        connection = clientside.ServerConnection("127.0.0.1:1", clocks.SystemClock())
        connection.connection_made(fake_transport(unused))
        connection.send(b"POST", b"/a", ((b"Host", b"x"),), b"")
        reading = asyncio.ensure_future(read_response(connection, reads_chunks))
        for part in received:
            connection.data_received(part)
            await turns()
        connection.eof_received()
        return await reading


class Recorder(handlers.Handler):
    """Records and answers requests."""

    def __init__(self):
        self.requests = []

    def limits(self):
        return callerrequests.ConnectionLimits()

    def refused(self, status, reason):
        self.requests.append((status, reason))

    def failed(self, error):
        self.requests.append(repr(error))

    async def handle(self, exchange):
        request = exchange.request
        self.requests.append((request.method, request.target, request.fields, request.body))
        await exchange.answer(200, (), b"ok")


async def decode_requests(received):
    """Return what a connection of a caller decodes, and what it answers."""
    with socket.socket() as unused:
        recorder, clock = Recorder(), clocks.SystemClock()
        opened = openconnections.OpenConnections(
            clock, listeners.ListenerSettings(), listeners.SilentObserver()
        )
        connection = callerconnection.CallerConnection(
            recorder, opened, clock, buffermemory.BufferMemory(clock)
        )
        transport = fake_transport(unused)
        connection.connection_made(transport)
        for part in received:
            if transport.is_closing():
                break
            connection.get_buffer(-1)[: len(part)] = part
            connection.buffer_updated(len(part))
            await turns()
        connection.eof_received()
        await turns()
        connection.connection_lost(None)
        await turns()
        return recorder.requests, transport.written


def compare_every_split(data, decode):
    """Compare each split into two, and pairs of splits, with what arrives at once."""
    whole = eventloop.run(decode([data]))
    for at in range(1, len(data)):
        assert eventloop.run(decode(parts(data, [at]))) == whole, at

    @hypothesis.given(strategies.lists(strategies.integers(1, len(data) - 1), max_size=4))
    @hypothesis.settings(max_examples=60)
    def compare(positions):
        assert eventloop.run(decode(parts(data, positions))) == whole

    compare()


@pytest.mark.parametrize("reads_chunks", [False, True])
@pytest.mark.parametrize("name", RESPONSES)
def test_response_is_decoded_alike_however_it_is_split(name, reads_chunks):
    """A chunk whose length line came first passed on another response before its end was seen."""
    if not reads_chunks or "plain" not in name:
        compare_every_split(RESPONSES[name], lambda each: decode_response(each, reads_chunks))


@pytest.mark.parametrize("name", REQUESTS)
def test_request_is_decoded_alike_however_it_is_split(name):
    """A split that changes a request would run what its caller did not send."""
    compare_every_split(REQUESTS[name], decode_requests)


SEPARATORS = [b"\n\n", b"\r\n\r\n", b"\r\r", b"\n", b"\r", b"id: 4", b"data: x"]


@hypothesis.given(
    strategies.lists(strategies.sampled_from(SEPARATORS), max_size=12).map(b"".join),
    strategies.data(),
)
def test_events_and_frames_are_decoded_alike_however_they_are_split(text, data):
    """An event that ends at another byte would be joined to the next, or lost."""
    positions = data.draw(strategies.lists(strategies.integers(0, len(text))))

    def events(received):
        splitter = eventsplit.EventSplitter()
        return [event for part in received for event in splitter.feed(part)], splitter.remainder

    assert events(parts(text, positions)) == events([text])
    framed = frames.pack(text) + frames.END + frames.pack(b"x")
    reader = frames.FrameReader()
    decoded = [frame for part in parts(framed, positions) for frame in reader.feed(part)]
    assert decoded == [text, b"", b"x"]
