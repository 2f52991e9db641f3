"""Requests that crash the servers that run them, sent to any instance."""

import pytest

from tests import eventloop
from tests.entry import site as entrysite

CRASHES_ALLOWED = 3
RETRIES_ALLOWED = 3
CRASHING_BODY = b"boom"


async def send_repeatedly(site, path, times):
    """Send one request repeatedly, each time to the next instance."""
    statuses = []
    for number in range(times):
        node = site.nodes[number % len(site.nodes)]
        client = await node.request(
            path, request_id=f"again-{number}", more=entrysite.USAGE, body=CRASHING_BODY
        )
        statuses.append((await client.answer())[0])
    return statuses


def crash_on_body(servers):
    entrysite.set_faults(servers, crash_on=CRASHING_BODY.decode())


def run_count(servers):
    return sum(len(server.ledger) for server in servers)


@pytest.mark.parametrize("nodes", [1, 3])
async def test_request_that_crashes_engines_is_contained(nodes):
    """A request that crashes each engine that runs it returns under new ids each time."""
    async with entrysite.started(nodes=nodes, engines=10) as site:
        crash_on_body(site.engines)
        await send_repeatedly(site, "/draft/1", 9)
        assert run_count(site.engines) <= CRASHES_ALLOWED + RETRIES_ALLOWED


async def test_request_that_crashes_plain_servers_is_contained():
    """Plain servers, which have no owner, need the same protection from such a request."""
    async with entrysite.started(nodes=3, services=10) as site:
        crash_on_body(site.services)
        await send_repeatedly(site, "/hold/1", 9)
        assert run_count(site.services) <= CRASHES_ALLOWED + RETRIES_ALLOWED


async def test_draft_cut_by_a_crashing_draft_is_served_when_it_is_sent_again():
    """Another draft runs beside the crashing one at each of the engines that it crashes."""
    async with entrysite.started(engines=4, events=60) as site:
        for number, engine in enumerate(site.engines[:CRASHES_ALLOWED]):
            entrysite.set_faults(site.engines, refuse=True)
            crash_on_body([engine])
            beside = f"beside-{number}"
            client = await site.nodes[0].request(
                "/draft/1", request_id=beside, more=entrysite.USAGE, body=beside.encode()
            )
            await eventloop.until(lambda engine=engine, beside=beside: beside in engine.run_by_id)
            await send_repeatedly(site, "/draft/1", 1)
            client.close()
        crash_on_body(site.engines)
        client = await site.nodes[0].request("/draft/1", more=entrysite.USAGE, body=b"beside-0")
        crashing = await send_repeatedly(site, "/draft/1", 1)
        status, runs = (await client.answer())[0], run_count(site.engines[:CRASHES_ALLOWED])
    assert (status, crashing, runs) == (200, [503], 2 * CRASHES_ALLOWED)
