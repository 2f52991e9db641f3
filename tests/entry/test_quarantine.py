"""Requests that crash the servers that run them, at any instance."""

import pytest

from hornbeamglade.standins import routedfaults
from tests.entry import site as entrysite

CRASHES_ALLOWED = 3
RETRIES_ALLOWED = 3
BOOM = b"boom"


async def ask_again(site, path, times):
    """Ask for one request again and again, each time at the next instance."""
    statuses = []
    for number in range(times):
        node = site.nodes[number % len(site.nodes)]
        client = await node.request(
            path, request_id=f"again-{number}", more=entrysite.USAGE, body=BOOM
        )
        statuses.append((await client.answer())[0])
    return statuses


def crash_on_boom(servers):
    for server in servers:
        server.faults = routedfaults.RoutedFaults(crash_on=BOOM.decode())


def ran(servers):
    return sum(len(server.ledger) for server in servers)


@pytest.mark.parametrize("nodes", [1, 3])
def test_a_request_that_crashes_engines_reaches_few_after_the_third(nodes):
    """Guards engines against one request that ends each that runs it, under ever new ids."""

    async def test(site):
        crash_on_boom(site.engines)
        await ask_again(site, "/draft/1", 9)
        return ran(site.engines)

    assert entrysite.run(test, nodes=nodes, engines=10) <= CRASHES_ALLOWED + RETRIES_ALLOWED


def test_a_request_that_crashes_plain_servers_reaches_few_after_the_third():
    """Guards plain servers, which nobody owns, against such a request."""

    async def test(site):
        crash_on_boom(site.services)
        await ask_again(site, "/hold/1", 9)
        return ran(site.services)

    assert entrysite.run(test, nodes=3, services=10) <= CRASHES_ALLOWED + RETRIES_ALLOWED
