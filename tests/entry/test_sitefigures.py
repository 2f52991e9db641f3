"""Figures that owners pass on to other instances, over sockets."""

import json

from hornbeamglade.exchange import messages
from hornbeamglade.observability import statuspage
from tests import eventloop
from tests.entry import site as entrysite

GOALS_MS = {"draft": 1500, "tag": 4000}


def mixed_manifest():
    content = entrysite.manifest(version=2)
    for route in content["routes"]:
        route["goal_ms"] = GOALS_MS.get(route["name"], route["goal_ms"])
    return content


async def test_response_to_a_grant_request_tells_the_figures_of_a_coordinated_service():
    """The routes of the engines' service have objectives that differ by a factor of 2.

    An instance that owns no engine knows their state after its first request, without a
    heartbeat.
    """
    async with entrysite.started(nodes=2, engines=1) as site:
        site.put("op/config", json.dumps(mixed_manifest()))
        site.read_store()
        replica = site.engines[0].replica_id
        peerings = [node.instance.peering for node in site.nodes]
        number = next(n for n, peering in enumerate(peerings) if peering.owner(replica))
        peering = peerings[number]
        responses = []
        record = peering.figures.record_response

        def record_response(owner, response):
            record(owner, response)
            responses.append(response)

        peering.figures.record_response = record_response
        client = await site.nodes[number].request(
            "/draft/1", request_id="r1", more=entrysite.USAGE
        )
        status, _, _ = await client.answer()
        await eventloop.until(lambda: responses)
        known = [each.digest.replica for each in responses[0].digests]
    assert status == 200
    assert known == [messages.key_hash(replica)]


async def test_page_and_gauge_show_requests_that_wait_at_another_owner():
    """The status command shows only the fields that it knows by name."""
    async with entrysite.started(engines=1) as site:
        site.put("op/config", json.dumps(mixed_manifest()))
        site.read_store()
        instance = site.nodes[0].instance
        gauge = instance.instruments.routed.site_waiting
        seen = []
        for waiting in (3, 0):
            entry = messages.WaitingClass(messages.key_hash("llm"), 8, waiting, 2.0, 0)
            instance.peering.figures.record_heartbeat("n9", (entry,))
            instance.metrics()
            page = statuspage.NodeStatus.model_validate_json(instance.status())
            seen.append((gauge.value(("llm", "1")), page.waiting_by_class))
        assert seen == [(3, {"llm": {1: 3}}), (0, {})]
