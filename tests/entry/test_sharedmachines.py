"""Instances whose replicas report that they share their machines."""

import pytest

from hornbeamglade.routed import calls
from tests.entry import site as entrysite


@pytest.mark.parametrize(("path", "service"), [("/list/1", "web"), ("/draft/1", "llm")])
@pytest.mark.parametrize("figures", ["1,0,8", "1,0,8,250"])
async def test_load_in_buffered_and_streamed_responses_is_observed(path, service, figures):
    """Guards against load headers that only one kind of response is read for."""
    async with entrysite.started() as site:
        for server in (*site.engines, *site.services):
            proof = server._proof_headers
            server._proof_headers = lambda request, proof=proof: (
                proof(request) | {"Replica-Load": figures}
            )
        client = await site.nodes[0].request(path, more=entrysite.USAGE)
        status = (await client.answer())[0]
        shared = site.nodes[0].instance.shared_machines
        site.nodes[0].instance.clean_up()
        assert (status, [each for each in ("web", "llm") if shared.shares_machines(each)]) == (
            200,
            [service] if figures.endswith("250") else [],
        )


async def test_second_attempt_leaves_the_failure_domain_of_the_first():
    """All replicas of a failure domain fail requests, as their machines are overloaded."""
    async with entrysite.started(engines=0, services=8) as site:
        entrysite.set_faults(site.services[:-1], fail=True)
        last = site.services[-1]
        site.put(f"servers/{last.replica_id}", entrysite.server_row(last, "web", "b"))
        site.read_store()
        site.nodes[0].instance.shared_machines.observe("web", calls.Load(0, 0, 8, 1.0))
        statuses = []
        for number in range(10):
            client = await site.nodes[0].request("/list/1", request_id=f"r{number}")
            statuses.append((await client.answer())[0])
        assert statuses == [200] * 10
