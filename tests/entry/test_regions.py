"""Routes and teams whose requests may be served in some regions only."""

import json

from tests import eventloop
from tests.entry import site as entrysite

REGION_BY_DOMAIN = {"a": "north", "b": "south"}


def restrict(site, *, route=(), team=()):
    """Restrict all routes, and the team, to some regions."""
    manifest = entrysite.manifest(version=2)
    for each in manifest["routes"]:
        each["allowed_regions"] = list(route)
    manifest["tenants"][0]["allowed_regions"] = list(team)
    site.put("op/config", json.dumps(manifest))
    site.read_store()


def started_site(**shape):
    return entrysite.started(region_by_failure_domain=REGION_BY_DOMAIN, **shape)


async def statuses(site, path, more="", count=8):
    clients = [
        await site.nodes[n % len(site.nodes)].request(path, request_id=f"r{n}", more=more)
        for n in range(count)
    ]
    return [(await client.answer())[0] for client in clients]


def domains_used(site):
    """Return the failure domains of the engines that ran any request."""
    return {"ab"[n % 2] for n, engine in enumerate(site.engines) if engine.ledger}


async def test_streams_stay_in_the_regions_of_their_route():
    async with started_site(nodes=2, engines=4) as site:
        restrict(site, route=["south"])
        assert await statuses(site, "/draft/1", entrysite.USAGE) == [200] * 8
        assert domains_used(site) == {"b"}


async def test_regions_of_route_and_team_both_apply():
    async with started_site(nodes=2, engines=4) as site:
        restrict(site, route=["north", "south"], team=["north"])
        assert await statuses(site, "/draft/1", entrysite.USAGE) == [200] * 8
        assert domains_used(site) == {"a"}


async def test_migrated_run_stays_in_its_regions():
    """A migrated run must not go to an engine of another region."""
    async with started_site(engines=2, events=40) as site:
        restrict(site, route=["south"])
        client = await site.nodes[0].request("/draft/1", request_id="r1", more=entrysite.USAGE)
        await eventloop.until(
            lambda: any(run.made > 5 for run in site.engines[1].run_by_id.values())
        )
        site.leave(1)
        status = (await client.answer())[0]
        assert (status, domains_used(site)) == (200, {"b"})


async def test_request_without_allowed_region_is_refused_at_once():
    async with started_site(engines=2) as site:
        restrict(site, route=["north"], team=["south"])
        streams = await statuses(site, "/draft/1", entrysite.USAGE, count=1)
        assert streams + await statuses(site, "/list/1", count=1) == [503, 503]
        assert domains_used(site) == set()


async def test_buffered_requests_stay_in_the_regions_of_their_team():
    async with started_site(services=2) as site:
        restrict(site, team=["south"])
        for server in site.services[1:]:
            site.put(f"servers/{server.replica_id}", entrysite.server_row(server, "web", "b"))
        site.read_store()
        found = await statuses(site, "/list/1")
        assert found == [200] * 8
        assert [bool(server.ledger) for server in site.services] == [False, True]
