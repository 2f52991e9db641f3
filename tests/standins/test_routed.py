"""The routed stand-in: load figures, slow machines, unread responses and memory."""

import asyncio
import contextlib
import socket

import pytest

from hornbeamglade.emulator import machineslowdowns
from hornbeamglade.standins import routed, routedcaller, routedfaults, routedmachine
from tests import eventloop

RESPONSE_BYTES = 4_000_000


@contextlib.asynccontextmanager
async def _started_server(events=0, **traits):
    server = routed.RoutedStandin(
        "i1", events, gap_s=0.001, traits=routedmachine.RoutedTraits(**traits)
    )
    await server.start()
    try:
        yield server
    finally:
        await server.stop()


async def _open(server, target="/list/1", request_id="r1", headers=""):
    host, port = server.address.split(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=connection, limit=8192)
    writer.write(
        f"GET {target} HTTP/1.1\r\nHost: x\r\nAttempt-Id: {request_id}\r\n{headers}\r\n".encode()
    )
    return reader, writer


async def _head(server, target):
    reader, writer = await _open(server, target)
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return head.decode()


@pytest.mark.parametrize("target", ["/list/1", routed.HEALTH_PATH])
async def test_four_load_figures_are_sent_when_so_configured(target):
    async with _started_server(shares_machine=True) as server:
        head = await _head(server, target)
    assert "Replica-Load: " in head
    assert head.partition("Replica-Load: ")[2].split("\r\n")[0].count(",") == 3


async def test_three_load_figures_are_sent_otherwise():
    """Guards against the switch of a deployment being on in all other sites."""
    async with _started_server() as server:
        assert "Replica-Load: 1,0,8\r\n" in await _head(server, "/list/1")
    async with _started_server() as server:
        assert "Replica-Load" not in await _head(server, routed.HEALTH_PATH)


async def test_a_health_check_is_not_a_run():
    async with _started_server() as server:
        await _head(server, routed.HEALTH_PATH)
        assert server.ledger == []


def test_load_figures_state_the_slowdown_of_the_machine_alone():
    """Guards against a fourth figure that reveals the server's own speed."""
    slowdowns = machineslowdowns.Slowdowns(share=0.5, factor=2.5)
    traits = routedmachine.RoutedTraits(
        shares_machine=True, time_factor=1.7, slowdowns=slowdowns, slots=6
    )
    machine = routedmachine.RoutedMachine(traits)
    times = [0.05 * step for step in range(200)]
    figures = {(machine.load_figures(9, now), round(machine.factor(now), 3)) for now in times}
    assert figures == {("6,3,6,100", 1.7), ("6,3,6,250", 4.25)}
    machine.faults = routedfaults.RoutedFaults(slowdown=4.0)
    assert machine.load_figures(1, 20.0) == "1,0,6,400"


async def test_a_response_of_which_nothing_is_read_is_cut_off():
    async with _started_server(unread_s=0.1) as server:
        server.faults = routedfaults.RoutedFaults(response_bytes=RESPONSE_BYTES)
        reader, writer = await _open(server)
        writer.transport.pause_reading()
        await eventloop.until(lambda: server.cut_off)
        writer.transport.resume_reading()
        with pytest.raises(ConnectionResetError):
            while await reader.read(100_000):
                pass


async def test_a_response_that_is_read_slowly_is_not_cut_off():
    """Guards against a bound on the whole time of a response instead of on a standstill."""
    async with _started_server(unread_s=0.2) as server:
        server.faults = routedfaults.RoutedFaults(response_bytes=RESPONSE_BYTES)
        result = await asyncio.to_thread(
            lambda: routedcaller.RoutedCaller(pause_s=0.001).send(
                server.address, "list", "r1", "clinic-0"
            )
        )
        cut_off = server.cut_off
    assert (result.is_whole, len(result.body), cut_off) == (True, RESPONSE_BYTES, 0)
    assert result.body.endswith(b".i1:r1")


async def test_an_engine_crashes_when_its_runs_exceed_its_memory():
    async with _started_server(events=5000, memory_tokens=600) as server:
        first, _ = await _open(server, "/draft/1", "r1", "Token-Usage: 300,50\r\n")
        await first.readuntil(b"id: 1")
        is_up_before = not server.crashes
        await _open(server, "/draft/1", "r2", "Token-Usage: 301,50\r\n")
        rest = await first.read(-1)
        with pytest.raises(ConnectionRefusedError):
            await _open(server)
        assert (is_up_before, server.crashes, rest.endswith(b"0\r\n\r\n")) == (True, 1, False)
