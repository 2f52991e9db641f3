"""Listeners at their limit of connections, and errors of ``accept``."""

import asyncio
import errno
import socket

from hornbeamglade.core import clocks
from hornbeamglade.http1 import (
    acceptor,
    buffermemory,
    callerrequests,
    callersserver,
    handlers,
    listeners,
    openconnections,
    receivebuffer,
)
from tests import eventloop
from tests.http1 import raw

GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
LIMIT = 3


class Handler(handlers.Handler):
    def __init__(self):
        self.may_answer = asyncio.Event()
        self.handled = 0

    def limits(self):
        return callerrequests.ConnectionLimits()

    async def handle(self, exchange):
        self.handled += 1
        await self.may_answer.wait()
        await exchange.answer(200)


class Observer(listeners.ListenerObserver):
    def __init__(self):
        self.events = []

    def refused(self, listener, peer, count):
        self.events.append(("refused", listener, count))

    def closed_unused(self, listener, peer, count):
        self.events.append(("closed_unused", listener, count))

    def request_refused(self, listener, peer, count):
        self.events.append(("request_refused", listener, count))

    def reading_paused(self, listener):
        self.events.append(("reading_paused", listener))

    def accept_failed(self, listener, error):
        self.events.append(("accept_failed", error and error.errno))


def run(scenario, bound_bytes=None, limit=LIMIT):
    async def main():
        handler, observer, clock = Handler(), Observer(), clocks.SystemClock()
        settings = listeners.ListenerSettings("directory", limit)
        memory = buffermemory.BufferMemory(clock, bound_bytes)
        server = callersserver.CallersServer(handler, clock, memory, settings, observer)
        address = await server.listen("127.0.0.1", 0)

        async def connect():
            client = await raw.RawClient.connect(address)
            await asyncio.sleep(0.02)
            return client

        result = await scenario(handler, server, connect)
        server.stop_listening()
        return result, observer.events

    return eventloop.run(main())


def test_idle_connection_gives_way_to_a_new_one():
    """Idle connections occupied all descriptors, and nobody else was accepted."""

    async def scenario(handler, server, connect):
        handler.may_answer.set()
        clients = [await connect() for _ in range(LIMIT + 1)]
        await clients[-1].send(GET)
        status = (await clients[-1].answer())[0]
        return status, await clients[0].is_closed(), len(server.connections)

    result, events = run(scenario)
    assert result == (200, True, LIMIT)
    assert events == [("closed_unused", "directory", LIMIT - 1)]


def test_connection_with_a_request_in_progress_is_kept():
    """At the limit the new connection is refused; what was accepted is answered."""

    async def scenario(handler, server, connect):
        clients = [await connect() for _ in range(LIMIT)]
        for client in clients:
            await client.send(GET)
        await eventloop.until(lambda: handler.handled == LIMIT)
        is_refused = False
        try:
            is_refused = await (await connect()).is_closed()
        except ConnectionError:
            is_refused = True
        handler.may_answer.set()
        return is_refused, [(await client.answer())[0] for client in clients]

    result, events = run(scenario)
    assert result == (True, LIMIT * [200])
    assert events == [("refused", "directory", LIMIT)]


def test_request_is_refused_while_connections_are_left_for_refusals():
    """Callers were reset without a response once each connection had a request in progress."""
    limit = int(1 / openconnections.REFUSAL_SHARE)

    async def scenario(handler, server, connect):
        in_progress = [await connect() for _ in range(limit - 1)]
        for client in in_progress:
            await client.send(GET)
        await eventloop.until(lambda: handler.handled == limit - 1)
        refusals = []
        for _ in range(2):
            client = await connect()
            await client.send(GET)
            status, fields, _ = await client.answer()
            refusals.append((status, fields["retry-after"]))
        handler.may_answer.set()
        statuses = [(await client.answer())[0] for client in in_progress]
        await in_progress[0].send(GET)
        return refusals, statuses, (await in_progress[0].answer())[0]

    result, events = run(scenario, limit=limit)
    assert result == (2 * [(503, "1")], (limit - 1) * [200], 200)
    refused = ("request_refused", "directory", limit - 1)
    assert events == [refused, ("closed_unused", "directory", limit - 1), refused]


def _received(client):
    """Return the start of a response, or nothing after a reset."""
    try:
        return client.recv(12)
    except OSError:
        return b""


def test_burst_at_the_limit_is_refused_in_responses():
    """Of callers that came at once at the limit, all but a few were reset without a response."""
    limit = 2 * int(1 / openconnections.REFUSAL_SHARE)

    async def scenario(handler, server, connect):
        in_progress = [await connect() for _ in range(limit - 2)]
        for client in in_progress:
            await client.send(GET)
        await eventloop.until(lambda: handler.handled == limit - 2)
        endpoint = server.listening_socket.getsockname()
        burst = [socket.create_connection(endpoint) for _ in range(limit)]
        for client in burst:
            client.sendall(GET)
            client.settimeout(0.5)
        responses = await asyncio.to_thread(lambda: [_received(client) for client in burst])
        for client in burst:
            client.close()
        return responses

    result, events = run(scenario, limit=limit)
    assert result == limit * [b"HTTP/1.1 503"]
    assert not [event for event in events if event[0] == "refused"]


def test_connections_that_arrive_at_once_are_counted_once():
    """A burst of callers lost connections although the limit was not reached."""
    count = 3 * acceptor.ACCEPTS_PER_TURN

    async def scenario(handler, server, connect):
        endpoint = server.listening_socket.getsockname()
        # Nothing is accepted before all of them wait.
        clients = [socket.create_connection(endpoint) for _ in range(count)]
        for _ in range(count):
            await asyncio.sleep(0)
        for client in clients:
            client.close()
        return len(server.connections)

    assert run(scenario, limit=count) == (count, [])


def test_connection_whose_request_was_refused_gives_way_to_a_new_one():
    """Callers were reset while connections stayed open only for a refusal to be read."""

    async def scenario(handler, server, connect):
        in_progress = [await connect() for _ in range(LIMIT - 1)]
        for client in in_progress:
            await client.send(GET)
        await eventloop.until(lambda: handler.handled == LIMIT - 1)
        refused = await connect()
        await refused.send(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n")
        refused_status = (await refused.answer())[0]
        new = await connect()
        await new.send(GET)
        handler.may_answer.set()
        statuses = [(await client.answer())[0] for client in (*in_progress, new)]
        return refused_status, statuses

    result, events = run(scenario, bound_bytes=100_000)
    assert result == (503, LIMIT * [200])
    assert events == [("closed_unused", "directory", LIMIT - 1)]


def test_pause_in_reading_is_counted():
    async def scenario(handler, server, connect):
        client = await connect()
        await client.send(GET + 2 * receivebuffer.READ_AHEAD_BYTES * b"x")
        await eventloop.until(lambda: handler.handled)
        await asyncio.sleep(0.02)

    assert run(scenario)[1] == [("reading_paused", "directory")]


def test_error_of_accept_is_reported_once_and_others_are_accepted_later(monkeypatch):
    """Each attempt failed at once, and each wrote a traceback."""
    monkeypatch.setattr(acceptor, "ERROR_PAUSE_S", 0.01)
    accept = acceptor.socket.socket.accept
    failures = iter(3 * [errno.EMFILE])

    class Socket(acceptor.socket.socket):
        def accept(self):
            code = next(failures, None)
            if code is not None:
                raise OSError(code, "too many")
            return accept(self)

    monkeypatch.setattr(acceptor.socket, "socket", Socket)

    async def scenario(handler, server, connect):
        handler.may_answer.set()
        client = await connect()
        await client.send(GET)
        return (await client.answer())[0]

    assert run(scenario) == (200, [("accept_failed", errno.EMFILE), ("accept_failed", None)])
