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


def run_site(test, **shape):
    return entrysite.run(test, region_by_failure_domain=REGION_BY_DOMAIN, **shape)


async def statuses(site, path, more="", count=8):
    clients = [
        await site.nodes[n % len(site.nodes)].request(path, request_id=f"r{n}", more=more)
        for n in range(count)
    ]
    return [(await client.answer())[0] for client in clients]


def domains_used(site):
    """Return the failure domains of the engines that ran any request."""
    return {"ab"[n % 2] for n, engine in enumerate(site.engines) if engine.ledger}


def test_streams_stay_in_the_regions_of_their_route():
    async def test(site):
        restrict(site, route=["south"])
        return await statuses(site, "/draft/1", entrysite.USAGE), domains_used(site)

    assert run_site(test, nodes=2, engines=4) == ([200] * 8, {"b"})


def test_regions_of_route_and_team_both_apply():
    async def test(site):
        restrict(site, route=["north", "south"], team=["north"])
        return await statuses(site, "/draft/1", entrysite.USAGE), domains_used(site)

    assert run_site(test, nodes=2, engines=4) == ([200] * 8, {"a"})


def test_migrated_run_stays_in_its_regions():
    """A migrated run must not go to an engine of another region."""

    async def test(site):
        restrict(site, route=["south"])
        client = await site.nodes[0].request("/draft/1", request_id="r1", more=entrysite.USAGE)
        await eventloop.until(
            lambda: any(run.made > 5 for run in site.engines[1].run_by_id.values())
        )
        site.leave(1)
        status = (await client.answer())[0]
        return status, domains_used(site)

    assert run_site(test, engines=2, events=40) == (200, {"b"})


def test_request_without_allowed_region_is_refused_at_once():
    async def test(site):
        restrict(site, route=["north"], team=["south"])
        streams = await statuses(site, "/draft/1", entrysite.USAGE, count=1)
        return streams + await statuses(site, "/list/1", count=1), domains_used(site)

    assert run_site(test, engines=2) == ([503, 503], set())


def test_buffered_requests_stay_in_the_regions_of_their_team():
    async def test(site):
        restrict(site, team=["south"])
        for server in site.services[1:]:
            site.put(f"servers/{server.replica_id}", entrysite.server_row(server, "web", "b"))
        site.read_store()
        found = await statuses(site, "/list/1")
        return found, [bool(server.ledger) for server in site.services]

    assert run_site(test, services=2) == ([200] * 8, [False, True])
