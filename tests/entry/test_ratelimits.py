"""Overloaded servers that state how many requests they accept from all instances together."""

import asyncio
import time

import pytest

from hornbeamglade.standins import routedfaults
from tests import eventloop
from tests.entry import site as entrysite

LIMIT_PER_S = 1.0
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
GRACE_S = 0.5
"""Time after an instance has received the limit from which its requests count."""


BATCH = 24


async def send(site, path, number):
    return await send_to(site.nodes[number % len(site.nodes)], path, number)


async def send_to(node, path, number):
    client = await node.request(path, request_id=f"r{number}", more=entrysite.USAGE)
    return (await client.answer())[0]


async def until_all_know_the_limit(site, path, servers):
    """Send requests until each instance has passed on a response of each server."""
    number = 0
    for node in site.nodes:
        available = node.instance.catalog
        while not all(available.limit(server.replica_id) for server in servers):
            await asyncio.gather(*(send(site, path, number + each) for each in range(BATCH)))
            number += BATCH
    await asyncio.sleep(GRACE_S)
    return number


async def send_steadily(site, path, first, count, gap_s):
    """Send requests at a steady rate, to the instances in turn; return their statuses."""
    tasks = []
    for number in range(first, first + count):
        tasks.append(asyncio.ensure_future(send(site, path, number)))
        await asyncio.sleep(gap_s)
    return await asyncio.gather(*tasks)


def arrivals(server, since):
    return [each for each in server.ledger if each.at > since]


@pytest.mark.parametrize(
    ("path", "shape"),
    [("/list/1", {"services": 3}), ("/tag/1", {"engines": 3, "events": 5})],
    ids=["plain_server", "engine"],
)
async def test_limit_of_a_server_holds_and_others_serve_the_rest(path, shape):
    """Each instance must apply only its share of the limit, not the whole of it."""
    async with entrysite.started(nodes=3, **shape) as site:
        limited = site.services[0] if "services" in shape else site.engines[0]
        limited.faults = routedfaults.RoutedFaults(limit=str(LIMIT_PER_S))
        sent = await until_all_know_the_limit(site, path, [limited])
        since = time.monotonic()
        statuses = await send_steadily(site, path, sent, 60, 0.05)
        count = len(arrivals(limited, since))
    assert count <= ALLOWED
    assert set(statuses) == {200}


async def test_excess_requests_are_refused_at_once_if_all_servers_are_limited():
    """Overloaded servers must not get more, nor callers wait for what cannot come in time."""
    async with entrysite.started(nodes=3) as site:
        entrysite.set_faults(site.services, limit=str(LIMIT_PER_S))
        sent = await until_all_know_the_limit(site, "/list/1", site.services)
        since = time.monotonic()
        statuses = await send_steadily(site, "/list/1", sent, 60, 0.05)
        counts = [len(arrivals(each, since)) for each in site.services]
    assert max(counts) <= ALLOWED
    assert set(statuses) <= {200, 503}
    assert statuses.count(503) > 30


async def test_concurrent_requests_share_one_send_slot():
    """Concurrent requests that see the same free send slot must not all use it."""
    async with entrysite.started(nodes=3, engines=2, events=5) as site:
        limited = site.engines[0]
        limited.faults = routedfaults.RoutedFaults(limit=str(LIMIT_PER_S))
        sent = await until_all_know_the_limit(site, "/tag/1", [limited])
        node = next(each for each in site.nodes if not each.instance.peering.owned())
        catalog = node.instance.catalog
        await eventloop.until(lambda: catalog.may_send(limited.replica_id))
        since = time.monotonic()
        await asyncio.gather(*(send_to(node, "/tag/1", sent + each) for each in range(60)))
        assert len(arrivals(limited, since)) <= 2
