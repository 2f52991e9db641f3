"""Responses without a stated length, beside a bound on what an instance holds."""

import asyncio
import contextlib
import gc
import tracemalloc

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.http1 import buffermemory, clientpool
from hornbeamglade.replicas import models
from hornbeamglade.routed import attemptlog, calls, responseroom, sending
from tests.http1 import raw
from tests.routed import fakes

BOUND_BYTES = 20_000_000
ENDLESS = 40
SAMPLE_S = 0.005
UNCHANGED_SAMPLES = 100
RECEIVING_S = 0.5
FREED_BYTES_EACH = 32_768
"""What a connection of this process's own and its stand-in leave to be collected."""

HEAD = b"HTTP/1.1 %d OK\r\nAttempt-Id: r1\r\nResponse-Seal: e.r1\r\n%s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CLOSED = b"Connection: close\r\n"
STATED = b""
PIECE = b"x" * 65_536


def encoded(framing, data):
    return b"%x\r\n%s\r\n" % (len(data), data) if framing == CHUNKED else data


def endless(framing, status=200):
    """Return a script entry that responds without end."""

    async def respond(_reader, writer):
        writer.write(HEAD % (status, framing))
        try:
            while True:
                writer.write(encoded(framing, PIECE))
                await writer.drain()
        except ConnectionError:
            pass

    return respond


async def unfinished_head(reader, writer):
    """Send most of the longest head, and wait."""
    writer.write(b"HTTP/1.1 200 OK\r\na: " + PIECE[:60_000])
    await reader.read()


def whole(framing, byte_count):
    """Return a script entry that responds with so many bytes."""

    async def respond(_reader, writer):
        writer.write(HEAD % (200, framing or b"Content-Length: %d\r\n" % byte_count))
        for sent in range(0, byte_count, len(PIECE)):
            writer.write(encoded(framing, PIECE[: byte_count - sent]))
            await writer.drain()
        writer.write(b"0\r\n\r\n" if framing == CHUNKED else b"")
        await writer.drain()
        writer.close()

    return respond


@contextlib.asynccontextmanager
async def responding(script, bound_bytes=BOUND_BYTES):
    """Yield a memory and a function that gets one response."""
    clock = clocks.SystemClock()
    memory = buffermemory.BufferMemory(clock, bound_bytes)
    pool = clientpool.ClientPool(clock)
    sender = fakes.sender(pool, clock, memory=memory)
    server = raw.ScriptedServer(*script)
    address = await server.start()

    async def respond():
        replica = models.Replica("e", "s", address, "a", 8)
        request, log = fakes.routed_request(clock, fakes.route()), attemptlog.AttemptLog()
        log.start(replica, None, clock.now())
        response = await sender.send(request, replica, calls.Dispatch("e", None, 5.0), log)
        if isinstance(response, sending.FailedAttempt):
            return response
        return await sender.read_body(response)

    try:
        yield memory, respond
    finally:
        pool.prune(())
        server.stop()


@pytest.mark.parametrize("framing", [CLOSED, CHUNKED], ids=["connection", "chunks"])
async def test_bodies_without_end_are_held_within_the_bound(framing):
    """Each was read up to the limit of a body, whatever the others held."""
    async with responding([endless(framing)] * ENDLESS) as (memory, respond):
        tasks = [asyncio.ensure_future(respond()) for _ in range(ENDLESS)]
        held = [0]
        while len(set(held[-UNCHANGED_SAMPLES:])) > 1 or len(held) < UNCHANGED_SAMPLES:
            await asyncio.sleep(SAMPLE_S)
            held.append(memory.held_bytes)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        most, left = max(held), memory.held_bytes
    assert BOUND_BYTES / 2 < most <= BOUND_BYTES
    assert left == 0


@pytest.mark.parametrize(
    "step",
    [endless(CLOSED), endless(CHUNKED), unfinished_head],
    ids=["connection", "chunks", "head"],
)
async def test_what_was_received_is_freed_when_its_request_ends(step):
    """It was kept until the next collection of garbage, beside what other requests received."""
    async with responding([step] * ENDLESS) as (_memory, respond):
        gc.collect()
        gc.disable()
        tracemalloc.start()
        try:
            tasks = [asyncio.ensure_future(respond()) for _ in range(ENDLESS)]
            await asyncio.sleep(RECEIVING_S)
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)
            await asyncio.sleep(RECEIVING_S)
            held_bytes = tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()
            gc.enable()
    assert held_bytes < ENDLESS * FREED_BYTES_EACH


@pytest.mark.parametrize(
    "framing", [CLOSED, CHUNKED, STATED], ids=["connection", "chunks", "stated"]
)
@pytest.mark.parametrize(
    ("count", "byte_count", "bound_bytes"),
    [(1, 16_000_000, BOUND_BYTES), (6, 6_000_000, BOUND_BYTES), (3, 8_000_000, 4_000_000)],
    ids=["large", "at_once", "larger_than_the_bound"],
)
async def test_large_bodies_are_served(framing, count, byte_count, bound_bytes):
    """Responses that wait for each other's room would all be lost."""
    script = [whole(framing, byte_count)] * count
    async with responding(script, bound_bytes) as (memory, respond):
        bodies = await asyncio.gather(*(respond() for _ in range(count)))
        assert ({sum(map(len, body)) for body in bodies}, memory.held_bytes) == ({byte_count}, 0)


async def test_oldest_response_ends_while_all_requests_with_long_bodies_wait_for_theirs():
    """Bodies filled the memory, no response had room, and all requests ran out of time."""
    memory = buffermemory.BufferMemory(clocks.ManualClock(), BOUND_BYTES)
    room = responseroom.ResponseRoom(memory)
    body_bytes, responses = BOUND_BYTES // 10, []
    while memory.has_room_for_body(body_bytes):
        memory.open().hold(body_bytes)
        responses.append(room.open())
    share = memory.held_bytes / BOUND_BYTES
    whole_bytes = int(responseroom.RESERVE_SHARE * BOUND_BYTES)
    for response in responses:
        for byte_count in range(body_bytes, whole_bytes, body_bytes):
            async with asyncio.timeout(1.0):
                await response.reserve(byte_count)
        assert memory.held_bytes <= BOUND_BYTES
        response.close()
    assert 0.5 < share <= 1.0 - responseroom.RESERVE_SHARE
