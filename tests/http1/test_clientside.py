"""Connections to backend servers with unusual responses."""

import asyncio
import socket
import struct

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.http1 import clientpool, clientside, sockets
from tests import eventloop
from tests.http1 import raw

COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=10\r\n\r\nok"
MAX = 1000


async def close(_reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nuntil the end")
    await writer.drain()
    writer.close()


async def reset(_reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nuntil")
    await writer.drain()
    await asyncio.sleep(0.02)
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def answer_early(_reader, writer):
    writer.write(b"HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
    await writer.drain()
    await asyncio.sleep(3600)


def send_requests(*script, count=1, body=b"", reads_bodies=True):
    """Send requests through a pool; return the responses and the server."""

    async def main():
        server = raw.ScriptedServer(*script, reads_bodies=reads_bodies)
        address = await server.start()
        pool = clientpool.ClientPool(clocks.SystemClock())
        received = [await send_one(pool, address, body) for _ in range(count)]
        server.stop()
        return received, server

    return eventloop.run(main())


async def send_one(pool, address, body=b""):
    connection = await pool.acquire(address)
    connection.send(b"POST", b"/x", ((b"Host", b"x"),), body)
    head = await connection.head()
    if isinstance(head, clientside.ResponseLost):
        pool.release(connection, None)
        return head
    content = await connection.body(MAX)
    pool.release(connection, head if isinstance(content, bytes) else None)
    return content


def test_connection_is_reused_for_the_next_request():
    received, server = send_requests(COMPLETE, COMPLETE, count=2)
    assert (received, server.connections) == ([b"ok", b"ok"], 1)


@pytest.mark.parametrize(
    "first",
    [
        COMPLETE + b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra",
        COMPLETE + b"x",
        COMPLETE.replace(b"Keep-Alive: timeout=10", b"Connection: close"),
    ],
)
def test_connection_is_not_reused_if_bytes_follow_or_the_server_closes(first):
    """A replica sends a second response after the first.

    On a reused connection it would be taken for the response to the next caller's request.
    """
    received, server = send_requests(first, COMPLETE, count=2)
    assert (received, server.connections) == ([b"ok", b"ok"], 2)


def test_bytes_on_an_idle_connection_end_it_and_are_reported():
    reported = []

    async def main():
        server = raw.ScriptedServer(COMPLETE, COMPLETE)
        address = await server.start()
        pool = clientpool.ClientPool(
            clocks.SystemClock(), on_unasked=lambda _address, count: reported.append(count)
        )
        connection = await pool.acquire(address)
        connection.send(b"GET", b"/", ((b"Host", b"x"),), b"")
        head = await connection.head()
        await connection.body(MAX)
        pool.release(connection, head)
        connection.data_received(b"late")
        again = await pool.acquire(address)
        server.stop()
        return again is connection

    assert not eventloop.run(main())
    assert reported == [len(b"late")]


@pytest.mark.parametrize(("refusals", "is_kept"), [(1, True), (clientside.MAX_REFUSALS, False)])
def test_connection_is_not_reused_beyond_the_refusals_that_it_remembers(refusals, is_kept):
    """Guards against a refusal that is forgotten before its late copy arrives."""

    async def main():
        server = raw.ScriptedServer(COMPLETE, COMPLETE)
        address = await server.start()
        pool = clientpool.ClientPool(clocks.SystemClock())
        connection = await pool.acquire(address, request_id="next")
        for number in range(refusals):
            connection.record_refusal(f"r{number}")
        connection.send(b"GET", b"/", ((b"Host", b"x"),), b"")
        head = await connection.head()
        await connection.body(MAX)
        pool.release(connection, head)
        again = await pool.acquire(address, request_id="next")
        server.stop()
        return again is connection

    assert eventloop.run(main()) is is_kept


def test_response_that_ends_with_its_connection_is_complete_only_if_closed_in_order():
    """A replica's response has no length, and its process ends while sending.

    Only the reset shows that bytes are missing.
    """
    assert send_requests(close)[0] == [b"until the end"]
    assert send_requests(reset)[0] == [clientside.ResponseLost("reset")]


@pytest.mark.parametrize(
    ("answer", "code"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", "closed"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", "closed"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "malformed"),
        (b"no answer at all\r\n\r\n", "malformed"),
        (b"", "closed"),
    ],
)
def test_truncated_response_is_lost(answer, code):
    async def end(_reader, writer):
        writer.write(answer)
        await writer.drain()
        writer.close()

    assert send_requests(end)[0] == [clientside.ResponseLost(code)]


@pytest.mark.parametrize("rest", [b"Bad\r\n\r\n", b"\r\n2\r\nab\r\nzz\r\n", b"\r\n2\r\nabzz"])
def test_malformed_response_is_freed_without_garbage_collection(rest):
    """The error of the parser kept what it had been given of the response, and uncounted."""
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"

    def send():
        ((lost,), _) = send_requests(head + rest)
        assert lost == clientside.ResponseLost("malformed")

    assert raw.uncollected_errors(send) == []


def test_response_that_is_too_long_is_lost():
    long = b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + b"a" * 2000
    assert send_requests(long)[0] == [clientside.ResponseLost("malformed")]


def test_interim_responses_are_ignored():
    assert send_requests(b"HTTP/1.1 102 Processing\r\n\r\n" + COMPLETE)[0] == [b"ok"]


async def test_response_to_an_earlier_request_can_be_skipped():
    """A late response to an earlier request arrives before the response to this request."""
    late_response = b"HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold"
    server = raw.ScriptedServer(late_response + COMPLETE)
    address = await server.start()
    connection = await clientside.connect(address, 5.0, clocks.SystemClock())
    connection.send(b"POST", b"/", ((b"Host", b"x"),), b"abc")
    first = await connection.head()
    old = await connection.body(MAX)
    skipped = connection.skip_response()
    await connection.head()
    content = await connection.body(MAX)
    server.stop()
    received = first.fields[0], old, skipped, content, connection.may_be_reused
    assert received == ((b"X-Id", b"old"), b"old", True, b"ok", False)


def test_connection_with_an_unsent_body_is_not_reused_after_an_early_response():
    """A replica refuses a long body before it has read it, and keeps the connection open.

    It still expects the rest of that body: the bytes of the next request would be taken
    for it.
    """
    received, server = send_requests(
        answer_early, COMPLETE, count=2, body=b"a" * 30_000_000, reads_bodies=False
    )
    assert (received, server.connections) == ([b"", b"ok"], 2)


def test_unreachable_server_received_nothing():
    async def main():
        server = raw.ScriptedServer()
        address = await server.start()
        server.stop()
        await asyncio.sleep(0.01)
        pool = clientpool.ClientPool(clocks.SystemClock())
        return await pool.acquire(address), pool.open_count(address)

    lost = clientside.ResponseLost("not_connected", sent=False, is_refused=True)
    assert eventloop.run(main()) == (lost, 0)


async def test_idle_connection_is_reused_for_part_of_the_stated_timeout():
    clock = clocks.ManualClock(100.0)
    server = raw.ScriptedServer(COMPLETE, COMPLETE, COMPLETE)
    address = await server.start()
    pool = clientpool.ClientPool(clock)
    counts = []
    for pause_s in (0.0, 6.9, 7.1):
        clock.advance(pause_s)
        await send_one(pool, address)
        counts.append(server.connections)
    server.stop()
    assert counts == [1, 1, 2]


async def test_silence_of_a_server_ends_no_connection():
    """With keep-alive probes, the user timeout would also end connections of silent servers."""
    server = raw.ScriptedServer(COMPLETE)
    connection = await clientside.connect(await server.start(), 5.0, clocks.SystemClock())
    options = connection._transport.get_extra_info("socket")
    probes = options.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    timeout_ms = options.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    connection.close()
    server.stop()
    assert (probes, timeout_ms) == (0, sockets.USER_TIMEOUT_MS)


REFUSAL = b"HTTP/1.1 503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("sent", [0, 1, 20, 39])
def test_body_that_runs_into_another_response_is_lost(sent):
    """A server stops within a body, and the start of another response fills it."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n"
    (received,), _ = send_requests(head + b"a" * sent + REFUSAL)
    assert received == clientside.ResponseLost("malformed")


def test_body_that_quotes_a_response_is_whole():
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(REFUSAL)
    received, _ = send_requests(head + REFUSAL, head + REFUSAL + COMPLETE, count=2)
    assert received == [REFUSAL] * 2


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunks_of(*portions):
    """Return what is read of a chunked body that arrives in portions, until it ends or is lost."""

    async def arrive(_reader, writer):
        for portion in (CHUNKED, *portions):
            writer.write(portion)
            await writer.drain()
            await asyncio.sleep(0.02)

    async def main():
        server = raw.ScriptedServer(arrive)
        pool = clientpool.ClientPool(clocks.SystemClock())
        connection = await pool.acquire(await server.start())
        connection.send(b"GET", b"/", ((b"Host", b"a"),), b"")
        await connection.head()
        read = []
        while True:
            read.append(await connection.chunk(100))
            if not isinstance(read[-1], bytes):
                server.stop()
                return read

    return eventloop.run(main())


def test_chunk_is_read_when_it_is_whole():
    read = chunks_of(b"3\r\na", b"bc\r\n2\r\n", b"de\r", b"\n0\r\n\r\n")
    assert read == [b"abc", b"de", clientside.BodyEnd(is_stated=True)]


@pytest.mark.parametrize(
    "rest", [b"", b"b", b"bc", b"bc\r", b"bcdef\r\n", b"bcHTTP/1.1 503 No\r\n\r\n"]
)
def test_chunk_that_is_not_whole_is_never_read(rest):
    """A server stops within a chunk, and bytes of another response fill it."""
    (lost,) = chunks_of(b"3\r\na" + rest)
    assert isinstance(lost, clientside.ResponseLost)


def test_chunk_that_another_response_fills_to_its_end_is_never_read():
    """The rest of the chunk has not arrived when the other response has."""
    (lost,) = chunks_of(b"3\r\na", b"bc", b"bc\r\n0\r\n\r\n")
    assert lost == clientside.ResponseLost("malformed")


def test_chunk_that_is_too_long_is_not_held():
    read = chunks_of(b"ff\r\n" + b"a" * 101, b"a" * 154 + b"\r\n0\r\n\r\n")
    assert read == [b"a" * 101, b"a" * 154, clientside.BodyEnd(is_stated=True)]


async def test_connections_beyond_the_limit_are_not_opened():
    """Requests in progress took the last descriptors, and nothing else could be opened."""
    server = raw.ScriptedServer(answer_early)
    address = await server.start()
    pool = clientpool.ClientPool(clocks.SystemClock(), max_connections=2)
    first, second = [await pool.acquire(address) for _ in range(2)]
    refused = await pool.acquire(address)
    pool.release(first, None)
    third = await pool.acquire(address)
    for connection in (second, third):
        pool.release(connection, None)
    server.stop()
    refused, kind, open_count = refused, type(third), pool.open_count(address)
    assert (refused.code, refused.sent) == (clientpool.AT_LIMIT, False)
    assert (kind, open_count) == (clientside.ServerConnection, 0)


def test_idle_connection_is_closed_for_one_to_another_server():
    """Idle connections to some servers kept requests from all others."""

    async def main():
        pool = clientpool.ClientPool(clocks.SystemClock(), max_connections=1)
        servers = [raw.ScriptedServer(COMPLETE) for _ in range(2)]
        addresses = [await server.start() for server in servers]
        contents = [await send_one(pool, address) for address in addresses]
        for server in servers:
            server.stop()
        return contents

    assert all(isinstance(each, bytes) for each in eventloop.run(main()))
