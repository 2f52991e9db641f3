"""Responses of replicas whose callers read slowly or not at all."""

import contextlib
import socket

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.http1 import (
    buffermemory,
    callerrequests,
    callersserver,
    clientpool,
    clientside,
    handlers,
    listeners,
    receivebuffer,
)
from hornbeamglade.replicas import models
from hornbeamglade.routed import eventrelay, sending
from tests import eventloop
from tests.http1 import raw

MAX_READ_BYTES = 262_144
"""What an asyncio transport reads at once."""


def event(number, size):
    head = b"id: %d\ndata: " % number
    return head + b"x" * (size - len(head) - 2) + b"\n\n"


class Relayer(handlers.Handler):
    """Relays the stream of a replica as :class:`streamrun.StreamRun` does."""

    def __init__(self, address, clock):
        self._pool = clientpool.ClientPool(clock)
        self._address = address
        self._clock = clock
        self.connection = None
        self.is_finished = False

    def limits(self):
        return callerrequests.ConnectionLimits()

    async def handle(self, exchange):
        self.connection = await self._pool.acquire(self._address)
        self.connection.send(b"GET", b"/", ((b"Host", b"x"),), b"")
        await self.connection.head()
        exchange.set_read_ahead(self.connection.read_ahead_bytes)
        relay = eventrelay.EventRelay(exchange, self._clock, None)
        start = eventrelay.ResponseStart(200, ())
        while isinstance(piece := await self.connection.piece(), bytes):
            assert await relay.relay(piece, start)
        self.is_finished = await relay.finish(start)

    def is_paused(self):
        return self.connection is not None and not self.connection._transport.is_reading()


@contextlib.asynccontextmanager
async def relayed(event_count, size):
    """Relay a stream to a caller that reads nothing until the test tells it to."""

    async def stream(_reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for number in range(1, event_count + 1):
            writer.write(b"%x\r\n%s\r\n" % (size, event(number, size)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    clock = clocks.ManualClock(100.0)
    memory = buffermemory.BufferMemory(clock, 10_000_000)
    replica = raw.ScriptedServer(stream)
    handler = Relayer(await replica.start(), clock)
    server = callersserver.CallersServer(handler, clock, memory)
    host, _, port = (await server.listen("127.0.0.1", 0)).rpartition(":")
    # Otherwise the socket buffers would hold the whole response.
    server.listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.connect((host, int(port)))
    caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    caller.setblocking(False)
    try:
        yield handler, memory, clock, caller
    finally:
        caller.close()
        replica.stop()
        server.stop_listening()


async def test_response_is_read_to_its_end_while_its_caller_reads_nothing():
    """A replica cuts off a response that remains unread for some seconds."""
    async with relayed(440, 350) as (handler, memory, clock, caller):
        await eventloop.until(lambda: handler.is_finished)
        held = memory.held_bytes
        for _ in range(10):
            clock.advance(1.0)
            memory.refresh()
        client = raw.RawClient(*await raw.asyncio.open_connection(sock=caller))
        body = (await client.answer())[2]
        await eventloop.until(lambda: not memory.held_bytes)
    assert 100_000 < held < listeners.WRITE_BUFFER_BYTES
    assert body == b"".join(event(number, 350) for number in range(1, 441))


async def test_read_ahead_of_a_long_response_is_bounded_and_counted():
    """A response of any length would otherwise fill the memory of a caller that reads nothing."""
    async with relayed(20_000, 1000) as (handler, memory, _clock, _caller):
        await eventloop.until(handler.is_paused)
        memory.refresh()
        held, read_ahead = memory.held_bytes, handler.connection.read_ahead_bytes()
    assert clientside.READ_AHEAD_BYTES < read_ahead < held
    assert read_ahead <= clientside.READ_AHEAD_BYTES + MAX_READ_BYTES
    assert held <= read_ahead + listeners.WRITE_BUFFER_BYTES + receivebuffer.REQUEST_BYTES + 2000


@pytest.mark.parametrize("ends_early", [False, True])
async def test_buffered_response_is_counted_while_it_is_read(ends_early):
    """What a lost connection leaves in the sum would be missing there forever."""
    clock = clocks.ManualClock(100.0)
    memory = buffermemory.BufferMemory(clock, None)
    held = []

    async def answer(_reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n")
        writer.write(b"x" * 100_000)
        await eventloop.until(lambda: memory.held_bytes == 200_000)
        held.append(memory.held_bytes)
        writer.write(b"" if ends_early else b"x" * 100_000)
        await writer.drain()

    replica = raw.ScriptedServer(answer)
    pool = clientpool.ClientPool(clock)
    connection = await pool.acquire(await replica.start())
    connection.send(b"GET", b"/", ((b"Host", b"x"),), b"")
    head = await connection.head()
    sender = sending.Sender(pool, None, None, None, clock, memory=memory)
    source = models.Replica("e0", "llm", connection.address, "a", 8)
    body = await sender.read_body(sending.StartedResponse(connection, head, None, source, None))
    replica.stop()
    assert isinstance(body, sending.FailedAttempt) == ends_early
    assert (held, memory.held_bytes) == ([200_000], 0)
