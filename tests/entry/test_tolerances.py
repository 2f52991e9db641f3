"""Servers that crash if they must refuse more requests in a second than they state."""

import asyncio

import pytest

from tests.entry import site as entrysite

SLOTS = 8
WORK_S = 0.1
TOLERATED = 3
ROUTES = ("list", "hold")
ALLOWED_FALLS = 2


async def send(node, number):
    path = f"/{ROUTES[number % 2]}/1"
    client = await node.request(path, request_id=f"r{number}")
    return (await client.answer())[0]


async def crowd(site, per_s, seconds):
    """Send requests to all nodes in turn; return their statuses."""
    tasks = []
    for number in range(int(per_s * seconds)):
        node = site.nodes[number % len(site.nodes)]
        tasks.append(asyncio.ensure_future(send(node, number)))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*tasks)


@pytest.mark.parametrize("nodes", [3, 6])
async def test_brittle_servers_do_not_fall_over_in_a_crowd(nodes):
    """Guards against a refused request that goes on to the next full server."""
    async with entrysite.started(nodes=nodes, engines=0, services=2) as site:
        entrysite.set_faults(site.services, delay_s=WORK_S, brittle=str(TOLERATED))
        await crowd(site, per_s=40, seconds=1.0)
        for server in site.services:
            server.faults = server.faults.model_copy(update={"room": SLOTS})
        capacity_per_s = len(site.services) * SLOTS / WORK_S
        statuses = await crowd(site, per_s=1.3 * capacity_per_s, seconds=4.0)
        served = statuses.count(200) / (4.0 * capacity_per_s)
        falls, statuses = sum(server.falls for server in site.services), set(statuses)
    assert falls <= ALLOWED_FALLS
    assert statuses <= {200, 503}
    assert served > 0.4


async def test_servers_are_used_without_a_bound_once_they_state_none():
    async with entrysite.started(nodes=1, engines=0, services=2) as site:
        entrysite.set_faults(site.services, delay_s=WORK_S, brittle="3")
        await crowd(site, per_s=20, seconds=0.5)
        entrysite.set_faults(site.services, delay_s=WORK_S)
        await crowd(site, per_s=20, seconds=0.5)
        assert set(await crowd(site, per_s=400, seconds=0.5)) == {200}
