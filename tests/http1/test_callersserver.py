"""Connections from callers, tested with raw bytes."""

import asyncio
import gc
import weakref

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.http1 import callerrequests, callersserver, handlers
from tests import eventloop
from tests.http1 import raw

GET = b"GET /a?b=%20c HTTP/1.1\r\nHost: x\r\n\r\n"


class Recorder(handlers.Handler):
    """Echoes bodies; waits, fails or streams depending on the target."""

    def __init__(self, limits=None):
        self.requests = []
        self.refusals = []
        self.failures = []
        self.cancelled = asyncio.Event()
        self._limits = limits or callerrequests.ConnectionLimits()

    def limits(self):
        return self._limits

    def refused(self, status, reason):
        self.refusals.append(int(status))

    def failed(self, error):
        self.failures.append(error)

    async def handle(self, exchange):
        self.requests.append(exchange.request)
        target = exchange.request.target
        if target == b"/wait":
            try:
                await asyncio.sleep(3600)
            except asyncio.CancelledError:
                self.cancelled.set()
                raise
        if target == b"/fault":
            raise ValueError("injected handler error")
        if target in (b"/stream", b"/aborted"):
            await exchange.begin(200, ())
            await exchange.send(b"one")
            if target == b"/aborted":
                exchange.abort()
                return
            await exchange.finish()
            return
        await exchange.answer(200, ((b"X-Own", b"1"),), exchange.request.body)


async def serve(handler):
    server = callersserver.CallersServer(handler, clocks.SystemClock())
    return server, await server.listen("127.0.0.1", 0)


def exchange(*sent, handler=None, answers=1):
    """Send bytes on one connection; return the handler and the responses."""

    async def main():
        recorder = handler or Recorder()
        server, address = await serve(recorder)
        client = await raw.RawClient.connect(address)
        for data in sent:
            await client.send(data)
            await asyncio.sleep(0)
        received = [await client.answer() for _ in range(answers)]
        client.close()
        server.stop_listening()
        return recorder, received

    return eventloop.run(main())


def test_request_is_received_as_sent():
    sent = b"PUT /a?b=%20c HTTP/1.1\r\nHost: x\r\nX-Odd-Case: V\r\nContent-Length: 3\r\n\r\nabc"
    recorder, _ = exchange(sent)
    request = recorder.requests[0]
    assert (request.method, request.target, request.body) == (b"PUT", b"/a?b=%20c", b"abc")
    assert (b"X-Odd-Case", b"V") in request.fields


def test_chunked_body_is_assembled():
    sent = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    recorder, received = exchange(sent, b"3\r\nabc\r\n", b"2\r\nde\r\n0\r\n\r\n")
    assert recorder.requests[0].body == b"abcde"
    assert received[0][2] == b"abcde"


def test_requests_on_one_connection_are_answered_in_order():
    _, received = exchange(GET + GET.replace(b"/a", b"/b"), answers=2)
    assert [status for status, _, _ in received] == [200, 200]


def test_response_without_length_is_sent_in_chunks():
    _, received = exchange(b"GET /stream HTTP/1.1\r\nHost: x\r\n\r\n")
    assert received[0][2] == b"one"


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n", 413),
        (b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 400 + b"\r\n\r\n", 431),
        (b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 400, 431),
        (b"GET / HTTP/1.1\r\nHost : x\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
    ],
)
async def test_invalid_request_gets_its_status_and_ends_the_connection(sent, status):
    recorder = Recorder(callerrequests.ConnectionLimits(head_bytes=300, body_bytes=10))
    server, address = await serve(recorder)
    client = await raw.RawClient.connect(address)
    await client.send(sent)
    received = await client.answer()
    is_closed = await client.is_closed()
    server.stop_listening()
    recorder, received, is_closed = recorder, received[0], is_closed
    assert (received, is_closed, recorder.requests) == (status, True, [])
    assert recorder.refusals == [status]


@pytest.mark.parametrize(
    "sent", [b"GET / HT", b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab"]
)
async def test_slow_request_gets_a_timeout_status(sent):
    """Callers that never complete a request would occupy memory and descriptors permanently."""
    recorder = Recorder(callerrequests.ConnectionLimits(head_s=0.05, idle_s=0.05))
    server, address = await serve(recorder)
    client = await raw.RawClient.connect(address)
    await client.send(sent)
    received = await client.answer()
    server.stop_listening()
    assert (received[0], await client.is_closed()) == (408, True)


async def test_idle_connection_is_closed_without_a_response():
    server, address = await serve(Recorder(callerrequests.ConnectionLimits(idle_s=0.05)))
    client = await raw.RawClient.connect(address)
    is_closed = await client.is_closed()
    server.stop_listening()
    assert is_closed


async def test_request_of_a_disconnected_caller_is_cancelled():
    """A replica would continue although no caller waits for the response."""
    recorder = Recorder()
    server, address = await serve(recorder)
    client = await raw.RawClient.connect(address)
    await client.send(b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
    await eventloop.until(lambda: recorder.requests)
    client.close()
    await recorder.cancelled.wait()
    await eventloop.until(lambda: not server.connections)
    server.stop_listening()


def test_what_a_disconnected_caller_held_is_freed_without_garbage_collection():
    """The error that ended a task kept the frames of its handler, and with them the response."""

    class Held:
        pass

    class Holder(Recorder):
        async def handle(self, exchange):
            held = Held()
            self.requests.append(weakref.ref(held))
            async with asyncio.timeout(3600):
                await asyncio.sleep(3600)

    async def main():
        holder = Holder()
        server, address = await serve(holder)
        client = await raw.RawClient.connect(address)
        await client.send(GET)
        await eventloop.until(lambda: holder.requests)
        client.close()
        await eventloop.until(lambda: not server.connections)
        await asyncio.sleep(0.01)
        server.stop_listening()
        return holder.requests

    gc.disable()
    try:
        (reference,) = eventloop.run(main())
        assert reference() is None
    finally:
        gc.enable()


@pytest.mark.parametrize(
    "head", [b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n", b"GET / HTTP/1.1\r\nA: "]
)
def test_disconnected_connection_is_freed_without_garbage_collection(head):
    """A closed connection kept what its caller had sent ahead, or of a head, and uncounted."""

    async def main():
        server, address = await serve(Recorder())
        client = await raw.RawClient.connect(address)
        await client.send(head + 12_000 * b"x")
        await eventloop.until(lambda: server.busy_count)
        (connection,) = map(weakref.ref, server.connections)
        client.close()
        await eventloop.until(lambda: not server.connections)
        await asyncio.sleep(0.01)
        server.stop_listening()
        return connection

    gc.disable()
    try:
        assert eventloop.run(main())() is None
    finally:
        gc.enable()


@pytest.mark.parametrize(
    "rest", [b"Bad\r\n\r\n", b"\r\n2\r\nab\r\nzz\r\n", b"\r\n0\r\nBad\r\n\r\n"]
)
def test_malformed_request_is_freed_without_garbage_collection(rest):
    """The error of the parser kept the body that had been read, and uncounted."""

    async def main():
        server, address = await serve(Recorder())
        client = await raw.RawClient.connect(address)
        await client.send(b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n" + rest)
        assert (await client.answer())[0] == 400
        client.close()
        await eventloop.until(lambda: not server.connections)
        await asyncio.sleep(0.01)
        server.stop_listening()

    assert raw.uncollected_errors(lambda: eventloop.run(main())) == []


def test_aborted_response_does_not_look_complete():
    async def main():
        server, address = await serve(Recorder())
        client = await raw.RawClient.connect(address)
        await client.send(b"GET /aborted HTTP/1.1\r\nHost: x\r\n\r\n")
        await client.head()
        rest = b""
        try:
            rest = await client.reader.read()
        except ConnectionError:
            pass
        server.stop_listening()
        return rest

    assert not eventloop.run(main()).endswith(b"0\r\n\r\n")


async def test_error_of_the_handler_ends_one_connection_only():
    recorder = Recorder()
    server, address = await serve(recorder)
    failed = await raw.RawClient.connect(address)
    await failed.send(b"GET /fault HTTP/1.1\r\nHost: x\r\n\r\n")
    is_closed = await failed.is_closed()
    other = await raw.RawClient.connect(address)
    await other.send(GET)
    received = await other.answer()
    server.stop_listening()
    recorder, is_closed, status = recorder, is_closed, received[0]
    assert (is_closed, status, len(recorder.failures)) == (True, 200, 1)


async def test_leaving_server_announces_that_it_closes_and_still_serves():
    """A connection that closes while a request is in transit leaves it without a response."""
    server, address = await serve(Recorder())
    client = await raw.RawClient.connect(address)
    await client.send(GET)
    first = await client.answer()
    server.leave()
    await client.send(GET)
    second = await client.answer()
    is_closed = await client.is_closed()
    late = await raw.RawClient.connect(address)
    await late.send(GET)
    third = await late.answer()
    server.stop_listening()
    assert ([received[1].get("connection") for received in (first, second, third)], is_closed) == (
        [None, "close", "close"],
        True,
    )


async def test_only_idle_connections_are_closed_at_the_end():
    recorder = Recorder()
    server, address = await serve(recorder)
    idle = await raw.RawClient.connect(address)
    incomplete = await raw.RawClient.connect(address)
    await incomplete.send(b"GET /a HTTP/1.1\r\n")
    busy = await raw.RawClient.connect(address)
    await busy.send(b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
    await eventloop.until(lambda: server.busy_count == 2 and len(server.connections) == 3)
    await asyncio.sleep(0.02)
    server.close_idle()
    is_closed = await idle.is_closed()
    await incomplete.send(b"Host: x\r\n\r\n")
    received = await incomplete.answer()
    server.stop_listening()
    assert (is_closed, received[0], server.busy_count) == (True, 200, 1)


async def test_request_whose_body_arrives_at_the_end_is_answered():
    """A planned stop closed the connection of a request between its head and its body."""
    server, address = await serve(Recorder())
    client = await raw.RawClient.connect(address)
    await client.send(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbo")
    await eventloop.until(lambda: server.connections)
    await asyncio.sleep(0.02)
    counts = [server.busy_count]
    server.leave()
    server.close_idle()
    await client.send(b"dy")
    status, fields, body = await client.answer()
    await eventloop.until(lambda: not server.connections)
    server.stop_listening()
    assert ([*counts, server.busy_count], status, fields["connection"], body) == (
        [1, 0],
        200,
        "close",
        b"body",
    )
