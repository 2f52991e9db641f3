"""Requests without an answer while their instance is stopped."""

import json

import pytest

from hornbeamglade.standins import routedfaults
from tests import eventloop
from tests.entry import site as entrysite


async def code_and_fields(client):
    status, fields, body = await client.answer()
    return status, json.loads(body)["code"], fields


@pytest.mark.parametrize("path", ["/draft/1", "/tag/1", "/list/1", "/hold/1"])
def test_request_at_a_replica_is_answered_at_the_limit(path):
    """The process ended while replicas had not answered, and callers got no answer at all."""

    async def test(site):
        node = site.nodes[0]
        for server in (*site.engines, *site.services):
            server.faults = routedfaults.RoutedFaults(hang=True)
        client = await node.request(path, more=entrysite.USAGE)
        servers = (*site.engines, *site.services)
        await eventloop.until(lambda: any(server.ledger or server.run_by_id for server in servers))
        node.instance.leave()
        node.instance.callers.refuse_unanswered()
        answer = await code_and_fields(client)
        return answer, node.instance.callers.has_unanswered_requests

    (status, code, fields), has_unanswered = entrysite.run(test)
    assert (status, code, has_unanswered) == (502, "stopped_before_answer", False)
    assert "retry-after" not in fields
