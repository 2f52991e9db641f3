"""Turns of connections: none may hold the event loop for all that its caller has sent ahead."""

import asyncio

from hornbeamglade.core import clocks
from hornbeamglade.http1 import (
    callerconnection,
    callerrequests,
    callersserver,
    handlers,
    receivebuffer,
    requestreader,
)
from tests import eventloop
from tests.http1 import raw

GET = b"GET %s HTTP/1.1\r\nHost: x\r\n\r\n"
REQUESTS = 300
MAX_TURNS = 8
"""Requests of one connection that may be served while another one's request is waiting."""


class Handler(handlers.Handler):
    """Answers each request without waiting for anything."""

    def __init__(self):
        self.targets = []

    def limits(self):
        return callerrequests.ConnectionLimits(head_bytes=4_000)

    async def handle(self, exchange):
        self.targets.append(exchange.request.target)
        await exchange.answer(200)


def run(scenario):
    async def main():
        handler = Handler()
        server = callersserver.CallersServer(handler, clocks.SystemClock())
        address = await server.listen("127.0.0.1", 0)
        clients = [await raw.RawClient.connect(address) for _ in range(2)]
        await eventloop.until(lambda: len(server.connections) == 2)
        result = await scenario(handler, *clients)
        server.stop_listening()
        return result

    return eventloop.run(main())


async def until_handled(handler, target):
    """Return how many turns other tasks get until a request is handled."""
    turns = 0
    while target not in handler.targets:
        await asyncio.sleep(0)
        turns += 1
    return turns


def test_request_of_another_connection_is_served_among_those_sent_ahead():
    """One connection was served until its buffer was empty, and all others waited."""

    async def scenario(handler, ahead, other):
        await ahead.send(REQUESTS * (GET % b"/ahead"))
        await other.send(GET % b"/other")
        await until_handled(handler, b"/other")
        return handler.targets.index(b"/other")

    assert run(scenario) <= MAX_TURNS


def test_body_in_small_chunks_gives_other_tasks_their_turns():
    """A body in chunks of one byte was parsed without a turn for any other task."""

    async def scenario(handler, client, _other):
        await client.send(b"POST /body HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
        await client.send(REQUESTS * b"1\r\nx\r\n" + b"0\r\n\r\n")
        return await until_handled(handler, b"/body")

    assert run(scenario) >= REQUESTS // requestreader.EVENTS_PER_TURN


def test_no_more_is_read_than_what_may_be_held(monkeypatch):
    """Each response let in another piece of what had been sent ahead, and memory ran out."""
    held = []
    updated = callerconnection.CallerConnection.buffer_updated

    def buffer_updated(connection, count):
        updated(connection, count)
        held.append(len(connection._received.data))

    monkeypatch.setattr(callerconnection.CallerConnection, "buffer_updated", buffer_updated)
    chunked = b"POST /chunks HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"

    async def scenario(_handler, requests, chunks):
        for count in range(REQUESTS):
            requests.writer.write(100 * (GET % (b"/%d" % count)))
        chunks.writer.write(chunked + 100_000 * b"1\r\nx\r\n" + b"0\r\n\r\n")
        for _ in range(100 * REQUESTS):
            await requests.answer()
        return (await chunks.answer())[0]

    assert run(scenario) == 200
    assert max(held) <= receivebuffer.READ_AHEAD_BYTES + receivebuffer.PIECE_BYTES


def test_empty_lines_before_a_request_end():
    """Empty lines were ignored without end, and their connection was never idle."""

    async def scenario(_handler, client, other):
        await client.send(2 * b"\r\n" + GET % b"/few")
        await other.send(2_001 * b"\r\n" + GET % b"/many")
        return [(await each.answer())[0] for each in (client, other)]

    assert run(scenario) == [200, 400]
