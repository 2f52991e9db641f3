"""Failure domains that are evacuated and restored, as seen by entry instances."""

import asyncio
import json

from hornbeamglade.platform import tables
from hornbeamglade.store import contract
from tests import eventloop
from tests.entry import site as entrysite

PROPAGATION_TIMEOUT_S = 3.0
IN_FLIGHT_S = 0.1


def evacuate(site, domain):
    site.put(f"op/evacuate/{domain}", "")


def evacuated(node):
    return json.loads(node.instance.status())["evacuated"]


async def until_known_everywhere(site, domains):
    """Wait until all instances know which failure domains are evacuated."""
    async with asyncio.timeout(PROPAGATION_TIMEOUT_S):
        await eventloop.until(lambda: all(evacuated(each) == domains for each in site.nodes))


def engines_in(site, domain):
    return site.engines["ab".index(domain) :: 2]


def runs(engines):
    return sum(len(engine.ledger) for engine in engines)


async def streams(site, node=0, count=6, prefix="r"):
    """Request several streams concurrently; return their statuses."""
    clients = [
        await site.nodes[node].request("/draft/1", request_id=f"{prefix}{n}", more=entrysite.USAGE)
        for n in range(count)
    ]
    return [(await client.answer())[0] for client in clients]


async def test_evacuated_domain_gets_no_requests_until_it_is_restored():
    async with entrysite.started(engines=4) as site:
        evacuate(site, "a")
        site.read_store()
        first = await streams(site), runs(engines_in(site, "a"))
        site.delete("op/evacuate/a")
        site.read_store()
        second = await streams(site, prefix="s"), runs(engines_in(site, "a"))
    assert first == ([200] * 6, 0)
    assert second[0] == [200] * 6
    assert second[1] > 0


async def test_instance_refused_by_the_store_learns_of_an_evacuation_from_peers():
    async with entrysite.started(nodes=3, engines=4) as site:
        evacuate(site, "a")
        site.read_store(site.nodes[0])
        await until_known_everywhere(site, ["a"])
        statuses = await streams(site, node=1)
        assert (statuses, runs(engines_in(site, "a"))) == ([200] * 6, 0)


async def test_instance_that_starts_during_a_store_outage_learns_of_an_evacuation_first():
    """An instance must not accept callers before it knows the evacuations."""
    async with entrysite.started(nodes=3) as site:
        evacuate(site, "a")
        site.read_store(site.nodes[0], site.nodes[1])
        await site.nodes[2].stop()
        again = site.nodes[2] = entrysite.Node(2)
        await again.start()
        others = [node.instance.identity for node in site.nodes]
        again.instance.on_instance_list(
            tuple(
                contract.Instance(
                    each.name, each.failure_domain, each.address, each.exchange, False
                )
                for each in others
            )
        )
        await eventloop.until(again.instance.is_ready)
        assert evacuated(again) == ["a"]


async def test_overlapping_evacuations_are_independent():
    """One failure domain is restored while another one is evacuated."""
    async with entrysite.started(nodes=2) as site:
        seen = []
        for change in (
            lambda: evacuate(site, "a"),
            lambda: evacuate(site, "b"),
            lambda: site.delete("op/evacuate/a"),
            lambda: evacuate(site, "a"),
        ):
            change()
            site.read_store(site.nodes[0])
            await eventloop.until(lambda: evacuated(site.nodes[1]) == evacuated(site.nodes[0]))
            seen.append(evacuated(site.nodes[1]))
        assert seen == [["a"], ["a", "b"], ["b"], ["a", "b"]]


async def test_row_deleted_during_an_outage_ends_its_evacuation():
    """The row is deleted during a store outage, and the feed restarts with a snapshot."""
    async with entrysite.started(nodes=2) as site:
        evacuate(site, "a")
        site.read_store()
        site.delete("op/evacuate/a")
        site.nodes[1].instance.on_store_outcome(
            tables.CONFIGURATION, contract.Unavailable("status 503")
        )
        during_outage = evacuated(site.nodes[1])
        site.read_store()
        assert (during_outage, evacuated(site.nodes[1])) == (["a"], [])


async def test_request_queued_at_an_evacuated_engine_goes_to_another_at_once():
    async with entrysite.started(engines=2, events=10) as site:
        first = await site.request_streams(40)
        await eventloop.until(lambda: runs(site.engines) >= 16)
        evacuate(site, "a")
        site.read_store()
        # Requests granted just before may still be in flight.
        await asyncio.sleep(IN_FLIGHT_S)
        before = runs(engines_in(site, "a"))
        answers = [(await client.answer())[0] for client in first]
        later, ran = runs(engines_in(site, "a")) - before, runs(site.engines)
    assert later == 0
    assert answers.count(200) == ran


async def test_running_streams_of_an_evacuated_domain_are_completed():
    async with entrysite.started(engines=4) as site:
        clients = await site.request_streams(6)
        await eventloop.until(lambda: runs(site.engines) == 6)
        evacuate(site, "a")
        site.read_store()
        statuses = [(await client.answer())[0] for client in clients]
        assert (statuses, runs(site.engines)) == ([200] * 6, 6)
