"""Requests that crash the servers that run them, sent to any instance."""

import pytest

from hornbeamglade.standins import routedfaults
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
    for server in servers:
        server.faults = routedfaults.RoutedFaults(crash_on=CRASHING_BODY.decode())


def run_count(servers):
    return sum(len(server.ledger) for server in servers)


@pytest.mark.parametrize("nodes", [1, 3])
def test_request_that_crashes_engines_is_contained(nodes):
    """A request that crashes each engine that runs it returns under new ids each time."""

    async def test(site):
        crash_on_body(site.engines)
        await send_repeatedly(site, "/draft/1", 9)
        return run_count(site.engines)

    assert entrysite.run(test, nodes=nodes, engines=10) <= CRASHES_ALLOWED + RETRIES_ALLOWED


def test_request_that_crashes_plain_servers_is_contained():
    """Plain servers, which have no owner, need the same protection from such a request."""

    async def test(site):
        crash_on_body(site.services)
        await send_repeatedly(site, "/hold/1", 9)
        return run_count(site.services)

    assert entrysite.run(test, nodes=3, services=10) <= CRASHES_ALLOWED + RETRIES_ALLOWED
