"""Servers that refuse requests and name a time in which they accept no more."""

import asyncio
import itertools
import time

import pytest

from hornbeamglade.standins import routedfaults
from tests import eventloop
from tests.entry import site as entrysite

PLAIN, STREAM = "/list/1", "/tag/1"
BACKOFF_S = 3
REFUSING = routedfaults.RoutedFaults(retry_after=str(BACKOFF_S))
BEYOND_GOAL_S = 8
ALLOWED = 2
"""Requests that may still be on their way."""


def servers_of(site, path):
    return site.services if path == PLAIN else site.engines


async def send(node, path, number):
    client = await node.request(path, request_id=f"r{number}", more=entrysite.USAGE)
    return await client.answer()


async def until_refused(node, path, *servers):
    """Send requests, several at once, until each server has refused one."""
    for batch in itertools.count():
        if all(server.refusals for server in servers):
            return
        await asyncio.gather(*(send(node, path, f"{batch}.{number}") for number in range(12)))


async def send_steadily(node, path, count, gap_s=0.04):
    tasks = []
    for number in range(count):
        tasks.append(asyncio.ensure_future(send(node, path, number)))
        await asyncio.sleep(gap_s)
    return await asyncio.gather(*tasks)


@pytest.mark.parametrize("path", [PLAIN, STREAM])
async def test_server_that_named_a_time_gets_nothing_more_from_the_instance_it_refused(path):
    async with entrysite.started(services=3, engines=3, events=3) as site:
        refusing, *others = servers_of(site, path)
        refusing.faults = REFUSING
        entrysite.set_faults(others, delay_s=0.3)
        await until_refused(site.nodes[0], path, refusing)
        known = len(refusing.refusals)
        answers = await send_steadily(site.nodes[0], path, count=100, gap_s=0.01)
        statuses, count = {status for status, _, _ in answers}, len(refusing.refusals) - known
    assert statuses == {200}
    assert count <= ALLOWED


async def test_owner_s_grants_to_a_refused_instance_avoid_the_engine():
    """The owner was not refused and sees an idle engine, which the other may not use."""
    async with entrysite.started(nodes=2, engines=4, events=20) as site:
        owner, other = sorted(site.nodes, key=lambda node: -len(node.instance.peering.owned()))
        refusing = next(
            engine
            for engine in site.engines
            if engine.replica_id in owner.instance.peering.owned()
        )
        refusing.faults = REFUSING
        await until_refused(other, STREAM, refusing)
        known = len(refusing.refusals)
        answers = await send_steadily(other, STREAM, count=100, gap_s=0.01)
        statuses, count = {status for status, _, _ in answers}, len(refusing.refusals) - known
    assert statuses == {200}
    assert count <= ALLOWED


@pytest.mark.parametrize("path", [PLAIN, STREAM])
async def test_refusal_is_immediate_and_names_the_remaining_time_if_all_servers_named_one(path):
    """The times end later than the caller's goal allows, so no request waits for them."""
    async with entrysite.started(services=2, engines=2, events=3) as site:
        servers = servers_of(site, path)
        entrysite.set_faults(servers, retry_after=str(BEYOND_GOAL_S))
        await until_refused(site.nodes[0], path, *servers)
        known = sum(len(server.refusals) for server in servers)
        began_at = time.monotonic()
        answers = [await send(site.nodes[0], path, number) for number in range(10)]
        took_s = time.monotonic() - began_at
        count = sum(len(server.refusals) for server in servers) - known
    assert {status for status, _, _ in answers} == {503}
    assert min(float(fields["retry-after"]) for _, fields, _ in answers) > 0.5 * BEYOND_GOAL_S
    assert took_s < 0.5 * BEYOND_GOAL_S
    assert count == 0


@pytest.mark.parametrize("path", [PLAIN, STREAM])
async def test_server_is_used_again_after_its_time(path):
    async with entrysite.started(services=2, engines=2, events=3) as site:
        servers = servers_of(site, path)
        entrysite.set_faults(servers, retry_after="0.4")
        await until_refused(site.nodes[0], path, *servers)
        entrysite.set_faults(servers)
        await asyncio.sleep(0.6)
        answers = await asyncio.gather(
            *(send(site.nodes[0], path, number) for number in range(30))
        )
        await eventloop.until(lambda: all(server.ledger for server in servers))
        assert {status for status, _, _ in answers} == {200}


async def test_request_waits_for_a_time_that_ends_soon():
    """Every server refuses for less than the time that the caller's goal leaves."""
    async with entrysite.started(services=2, engines=0) as site:
        entrysite.set_faults(site.services, retry_after="0.5")
        await until_refused(site.nodes[0], PLAIN, *site.services)
        entrysite.set_faults(site.services)
        assert (await send(site.nodes[0], PLAIN, "r"))[0] == 200
