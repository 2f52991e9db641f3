"""Opening connections in bounded time."""

import asyncio
import socket
import time

import pytest

from hornbeamglade.http1 import sockets
from hornbeamglade.localsite import tcpproxy
from tests import eventloop
from tests.http1 import raw

TIMEOUT_S = 0.05


async def open_while_busy(address):
    """Open a connection while the event loop is busy beyond the timeout; return the protocol."""
    asyncio.get_running_loop().call_soon(time.sleep, 2 * TIMEOUT_S)
    return await sockets.open_connection(asyncio.Protocol, address, TIMEOUT_S)


async def test_connection_that_opens_while_the_event_loop_is_busy_is_used():
    """Guards against a server that counts as silent since this process was busy."""
    server = raw.ScriptedServer()
    protocol = await open_while_busy(await server.start())
    await eventloop.until(lambda: server.connections)
    server.stop()
    assert type(protocol) is asyncio.Protocol


def test_refusal_while_the_event_loop_is_busy_is_a_refusal():
    """Guards against a dead server that counts as silent since this process was busy."""
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        with pytest.raises(ConnectionRefusedError):
            eventloop.run(open_while_busy(f"127.0.0.1:{closed.getsockname()[1]}"))


def test_silent_server_is_not_awaited_beyond_the_timeout():
    async def main(address):
        began_at = time.monotonic()
        with pytest.raises(TimeoutError):
            await sockets.open_connection(asyncio.Protocol, address, TIMEOUT_S)
        return time.monotonic() - began_at

    link = tcpproxy.TcpProxy("127.0.0.1:1")
    link.partition(tcpproxy.Partition.HANG)
    took_s = eventloop.run(main(link.address))
    link.close()
    assert TIMEOUT_S <= took_s < 1.0


def test_attempt_that_is_cancelled_leaves_no_socket(monkeypatch):
    """Guards against sockets that pile up while callers leave before a connection opens."""
    opened = []

    class RecordedSocket(socket.socket):
        def __init__(self, *arguments, **options):
            super().__init__(*arguments, **options)
            opened.append(self)

    async def main(address):
        with monkeypatch.context() as patched:
            patched.setattr(socket, "socket", RecordedSocket)
            attempt = asyncio.ensure_future(
                sockets.open_connection(asyncio.Protocol, address, 10.0)
            )
            await asyncio.sleep(0.01)
        attempt.cancel()
        await asyncio.wait((attempt,))
        return attempt.cancelled()

    link = tcpproxy.TcpProxy("127.0.0.1:1")
    link.partition(tcpproxy.Partition.HANG)
    assert eventloop.run(main(link.address))
    link.close()
    assert [each.fileno() for each in opened] == [-1]
