"""Sound servers that are silent for about a second and go on."""

import asyncio

import pytest

from hornbeamglade.localsite import tcpproxy
from hornbeamglade.tunnels import serverpaths
from tests.entry import site as entrysite

SILENCE_S = 1.2
PLAIN, SINGLE, STREAM, SINGLE_STREAM = "/list/1", "/hold/1", "/tag/1", "/draft/1"
SHAPE = {"nodes": 2, "engines": 2, "services": 2, "events": 40, "gap_s": 0.05, "has_links": True}


async def answer(node, path, number):
    client = await node.request(path, request_id=f"r{number}", more=entrysite.USAGE)
    status, _, body = await client.answer()
    return status, body.count(b"data:")


async def silence(site, server):
    """Let a server be silent for all nodes for a while."""
    links = [links.link_by_name[server.address] for links in site.links_by_node.values()]
    for link in links:
        link.partition(tcpproxy.Partition.HANG)
    await asyncio.sleep(SILENCE_S)
    for link in links:
        link.release()


def runs_by_id(servers):
    """Return how many runs each request had."""
    ids = [record.request_id for server in servers for record in server.ledger]
    return {each: ids.count(each) for each in ids}


@pytest.mark.parametrize("path", [STREAM, SINGLE_STREAM])
async def test_streams_at_a_silent_engine_are_complete_and_run_once(path):
    async with entrysite.started(**SHAPE) as site:
        tasks = [
            asyncio.ensure_future(answer(site.nodes[number % 2], path, number))
            for number in range(8)
        ]
        await asyncio.sleep(0.5)
        await silence(site, site.engines[0])
        answers = await asyncio.gather(*tasks)
        runs = runs_by_id(site.engines)
    assert answers == [(200, 40)] * 8
    assert set(runs.values()) == {1}


async def test_silent_server_is_not_taken_for_crashed_partitioned_or_leaving():
    async with entrysite.started(**SHAPE) as site:
        tasks = []
        silent = asyncio.ensure_future(
            asyncio.gather(silence(site, site.services[0]), silence(site, site.engines[0]))
        )
        for number in range(60):
            path = (PLAIN, SINGLE, STREAM)[number % 3]
            tasks.append(asyncio.ensure_future(answer(site.nodes[number % 2], path, number)))
            await asyncio.sleep(SILENCE_S / 60)
        await silent
        statuses = {status for status, _ in await asyncio.gather(*tasks)}
        await asyncio.sleep(1.0)
        states = [
            (
                node.instance.quarantine.quarantined_count,
                node.instance.tunneling.paths.detoured_count,
                len(node.instance.catalog.candidates("llm", ())),
            )
            for node in site.nodes
        ]
        runs = runs_by_id((*site.engines, *site.services))
    assert statuses == {200}
    assert states == [(0, 0, 2)] * 2
    assert set(runs.values()) == {1}


@pytest.mark.parametrize("path", [PLAIN, SINGLE])
async def test_servers_that_are_silent_to_all_until_another_instance_is_asked_are_not_partitioned(
    path,
):
    """Guards against a path that counts as partitioned when no later request tries it again."""
    async with entrysite.started(**SHAPE) as site:
        silent = asyncio.ensure_future(
            asyncio.gather(*(silence(site, service) for service in site.services))
        )
        await asyncio.sleep(SILENCE_S - serverpaths.HEAD_START_S / 2)
        status, _ = await answer(site.nodes[0], path, 0)
        await silent
        await asyncio.sleep(1.0)
        detoured = [node.instance.tunneling.paths.detoured_count for node in site.nodes]
    assert (status, detoured) == (200, [0, 0])
