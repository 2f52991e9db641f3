"""Tunnels over loopback, from the requesting instance to a scripted server."""

import asyncio
import contextlib
import time

from hornbeamglade.core import clocks
from hornbeamglade.exchange import codec, messages, transport
from hornbeamglade.http1 import clientside
from hornbeamglade.localsite import routedsite
from hornbeamglade.tunnels import frames, serverpaths, tunnelclient, tunnelserver
from tests import eventloop
from tests.http1 import raw, test_clientside

CLOCK = clocks.SystemClock()
RING = codec.KeyRing(1, {1: b"sixteen bytes at least"})
REPLICA = messages.key_hash("i1")
LONG = 50_000_000
"""More than the buffers of three connections hold."""
TUNNELS = 8
WRITE_LIMIT_BYTES = 65_536
MAX_HELD_BYTES = 2 * WRITE_LIMIT_BYTES
Outcome = messages.TunnelOutcome
free_port = routedsite.PortAllocator().allocate


class Relay:
    """A relaying instance and a server behind it."""

    def __init__(self, *script):
        self.replica = raw.ScriptedServer(*script)
        self.paths = serverpaths.ServerPaths(CLOCK)
        self.server = tunnelserver.TunnelServer(
            codec.Codec("relay", 1, RING, CLOCK), self.resolve, self.paths
        )
        self.address = None
        self.requester = codec.Codec("requester", 1, RING, CLOCK)

    def resolve(self, replica):
        return self.address if replica == REPLICA else None

    async def __aenter__(self):
        self.address = await self.replica.start()
        self.endpoint = transport.Endpoint("127.0.0.1", free_port())
        await self.server.listen(self.endpoint)
        return self

    async def __aexit__(self, *exception):
        self.server.close()
        self.replica.stop()

    async def open(self, replica=REPLICA):
        peer = transport.Peer("relay", self.endpoint)
        return await tunnelclient.open_tunnel(self.address, replica, peer, self.requester, CLOCK)

    async def request(self):
        """Send a request through a tunnel; return the connection and the response's head."""
        connection = await self.open()
        connection.send(b"POST", b"/x", ((b"Host", b"x"),), b"body")
        return connection, await connection.head()


async def body_of_request(*script):
    async with Relay(*script) as relay:
        connection, _ = await relay.request()
        return await connection.body(LONG)


async def test_request_and_response_pass_unchanged():
    async with Relay(test_clientside.COMPLETE) as relay:
        connection, head = await relay.request()
        body = await connection.body(LONG)
    assert (head.status, body, connection.may_be_reused) == (200, b"ok", False)
    assert relay.replica.requests == [
        b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
    ]


async def test_response_without_length_is_complete_if_the_replica_closed_in_order():
    assert await body_of_request(test_clientside.close) == b"until the end"


async def test_response_that_the_replica_reset_is_not_complete():
    assert await body_of_request(test_clientside.reset) == clientside.ResponseLost("reset")


async def test_response_is_not_complete_if_the_relaying_instance_ends():
    """A killed process's connections are closed in order by the system."""

    async def answer_and_wait(_reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nuntil")
        await writer.drain()
        await asyncio.sleep(3600)

    async with Relay(answer_and_wait) as relay:
        connection, _ = await relay.request()
        first = await connection.piece()
        for tunnel in tuple(relay.server._tunnels):
            tunnel.finish()
        assert (first, await connection.piece()) == (b"until", clientside.ResponseLost("reset"))


async def test_replica_s_connection_ends_with_the_request():
    async def wait(reader, _writer):
        assert await reader.read(1) == b""

    async with Relay(wait) as relay:
        connection = await relay.open()
        connection.send(b"POST", b"/x", ((b"Host", b"x"),), b"")
        await eventloop.until(lambda: relay.replica.requests)
        connection.close()
        async with asyncio.timeout(0.5):
            await relay.replica.closed.wait()
        await eventloop.until(lambda: not relay.server.active_count)


async def test_what_unread_tunnels_hold_is_bounded_and_counted():
    """Each held several times its write buffer, beside what was counted for callers."""

    async def flood(_reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(bytes(1_000_000))
                await writer.drain()

    async with Relay(*TUNNELS * (flood,)) as relay:
        connections = [(await relay.request())[0] for _ in range(TUNNELS)]
        for connection in connections:
            connection.pause_reading()
        await asyncio.sleep(0.5)
        held = [each._transport.get_write_buffer_size() for each in relay.server._tunnels]
        counted = relay.server.memory.held_bytes
        for connection in connections:
            connection.close()
        await eventloop.until(lambda: not relay.server.active_count)
    left = relay.server.memory.held_bytes
    assert len(held) == TUNNELS
    assert WRITE_LIMIT_BYTES < sum(held) <= TUNNELS * MAX_HELD_BYTES
    assert (counted, left) == (sum(held), 0)


async def test_slow_reader_slows_the_replica_down():
    written = []

    async def flood(_reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG)
        for _ in range(LONG // 10_000):
            writer.write(bytes(10_000))
            await writer.drain()
            written.append(10_000)

    async with Relay(flood) as relay:
        connection, _ = await relay.request()
        await asyncio.sleep(0.3)
        before = sum(written)
        received = len(await connection.body(LONG))
    assert before < LONG / 2
    assert received == LONG


async def test_outcome_tells_why_there_is_no_tunnel():
    async with Relay() as relay:
        outcomes = [await relay.open(replica=0)]
        relay.replica.stop()
        outcomes.append(await relay.open())
        relay.paths.reached_by("another", "n")
        outcomes.append(await relay.open())
        relay.server.leave()
        outcomes.append(await relay.open())
        relay.server.close()
        assert [*outcomes, await relay.open()] == [
            Outcome.UNKNOWN_REPLICA,
            Outcome.REFUSED,
            Outcome.PARTITIONED,
            Outcome.LEAVING,
            None,
        ]


async def test_tunnels_are_bounded():
    async with Relay() as relay:
        tunnels = [await relay.open() for _ in range(tunnelserver.MAX_TUNNELS)]
        beyond = await relay.open()
        for tunnel in tunnels:
            tunnel.close()
        await eventloop.until(lambda: not relay.server.active_count)
        again = await relay.open()
        assert (beyond, isinstance(again, tunnelclient.TunneledConnection)) == (Outcome.BUSY, True)


async def test_tunnel_opens_while_the_relaying_instance_is_busy(monkeypatch):
    """Guards against a replica that counts as silent as the relay's event loop was late."""
    async with Relay() as relay:

        def be_busy(_address):
            loop = asyncio.get_running_loop()
            loop.call_soon(time.sleep, 1.2 * tunnelserver.CONNECT_TIMEOUT_S)

        monkeypatch.setattr(relay.paths, "trial_started", be_busy)
        assert type(await relay.open()) is tunnelclient.TunneledConnection


async def test_nobody_else_may_use_the_relay():
    """Unauthenticated, replayed and misdirected requests, and other protocols, get nothing."""
    frame = codec.Codec("requester", 1, RING, CLOCK).encode(
        "relay", messages.TunnelRequest(REPLICA)
    )
    attacks = (
        frames.pack(frame[:-1] + b"x"),
        frames.pack(codec.Codec("r", 1, RING, CLOCK).encode("x", messages.TunnelRequest(REPLICA))),
        frames.pack(codec.Codec("r", 2, RING, CLOCK).encode("relay", messages.Progress((), ()))),
        b"CONNECT 127.0.0.1:1 HTTP/1.1\r\n\r\n",
        frames.pack(frame) + b"before the response",
    )

    async with Relay() as relay:
        for attack in attacks:
            client = await raw.RawClient.connect(str(relay.endpoint))
            await client.send(attack)
            assert await client.is_closed()
        assert (relay.replica.requests, relay.server.active_count) == ([], 0)


async def test_request_that_is_not_sent_is_not_awaited(monkeypatch):
    monkeypatch.setattr(tunnelserver, "REQUEST_TIMEOUT_S", 0.05)
    async with Relay() as relay, asyncio.timeout(1.0):
        client = await raw.RawClient.connect(str(relay.endpoint))
        assert await client.is_closed()
