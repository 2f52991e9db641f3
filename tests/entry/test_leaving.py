"""Servers that state in their responses that they will stop."""

import asyncio

import pytest

from tests.entry import site as entrysite

PLAIN, STREAM = "/list/1", "/tag/1"


def servers_of(site, path):
    return site.services if path == PLAIN else site.engines


async def send(site, path, number):
    client = await site.nodes[0].request(path, request_id=f"r{number}", more=entrysite.USAGE)
    status, fields, _ = await client.answer()
    return status, "server-leaving" in fields


async def until_stated(site, path):
    """Send requests until the instance has passed on a response that states leaving."""
    for number in range(200):
        if (await send(site, path, f"a{number}"))[1]:
            return
    raise AssertionError("no response of the leaving server")


async def count_after(site, path, server, count=30):
    """Send requests; return their statuses and how many reached the server."""
    known = len(server.ledger)
    answers = await asyncio.gather(*(send(site, path, number) for number in range(count)))
    return {status for status, _ in answers}, len(server.ledger) - known


@pytest.mark.parametrize("path", [PLAIN, STREAM])
async def test_no_request_follows_a_response_that_states_leaving(path):
    """The list says that the server is ready, as the store cannot be reached."""
    async with entrysite.started(services=3, engines=3, events=3) as site:
        leaving = servers_of(site, path)[0]
        leaving.is_leaving = True
        await until_stated(site, path)
        assert await count_after(site, path, leaving) == ({200}, 0)


@pytest.mark.parametrize("is_delisted", [False, True])
async def test_no_list_read_later_takes_back_that_a_server_is_leaving(is_delisted):
    """The entry is older than the response, or expired and came back after a store outage."""
    async with entrysite.started(services=3, engines=0) as site:
        leaving = site.services[0]
        leaving.is_leaving = True
        await until_stated(site, PLAIN)
        if is_delisted:
            site.delete(f"servers/{leaving.replica_id}")
            site.read_store()
        site.put(f"servers/{leaving.replica_id}", entrysite.server_row(leaving, "web", sequence=2))
        site.read_store()
        assert await count_after(site, PLAIN, leaving) == ({200}, 0)


async def test_error_response_states_leaving_as_well():
    async with entrysite.started(services=3, engines=0) as site:
        leaving = site.services[0]
        leaving.is_leaving = True
        leaving.faults = leaving.faults.model_copy(update={"refuse": True})
        while not leaving.refusals:
            await send(site, PLAIN, len(leaving.ledger))
        known = len(leaving.refusals)
        await asyncio.gather(*(send(site, PLAIN, number) for number in range(30)))
        assert (len(leaving.refusals) - known) == 0


async def test_requests_are_refused_at_once_if_all_servers_are_leaving():
    async with entrysite.started(services=2, engines=0) as site:
        for server in site.services:
            server.is_leaving = True
        statuses = [(await send(site, PLAIN, number))[0] for number in range(20)]
        statuses, runs = statuses[-5:], sum(len(server.ledger) for server in site.services)
    assert (statuses, runs) == ([503] * 5, 2)


async def test_stream_migrates_from_an_engine_that_states_leaving_in_the_response():
    async with entrysite.started(engines=2, events=30, gap_s=0.03) as site:
        leaving = site.engines[0]
        leaving.is_leaving = True
        clients = await site.request_streams(8)
        statuses = {(await client.answer())[0] for client in clients}
        stopped = [run.is_stopped for run in leaving.run_by_id.values()]
        assert (statuses, len(leaving.ledger) > 0, all(stopped)) == ({200}, True, True)


async def test_restarted_server_is_used_though_its_former_incarnation_was_leaving():
    async with entrysite.started(services=2, engines=0) as site:
        server = site.services[0]
        server.born = 5000
        site.put("servers/s0", entrysite.server_row(server, "web", born=5000))
        site.read_store()
        server.is_leaving = True
        await until_stated(site, PLAIN)
        server.born, server.is_leaving = 6000, False
        site.put("servers/s0", entrysite.server_row(server, "web", born=6000))
        site.read_store()
        statuses, count = await count_after(site, PLAIN, server, count=60)
    assert statuses == {200}
    assert count > 0
