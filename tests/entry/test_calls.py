"""Buffered requests through an entry instance."""

import asyncio
import json

import pytest

from tests import eventloop
from tests.entry import site as entrysite


def dispatched(site):
    return [each for server in site.services for each in server.ledger]


async def request(path="/list/1?q=%20", faults=None, **options):
    async with entrysite.started(engines=0) as site:
        entrysite.set_faults(site.services, **(faults or {}))
        client = await site.nodes[0].request(path, **options)
        return await client.answer(), dispatched(site)


async def test_request_passes_byte_for_byte():
    (status, fields, body), ledger = await request(body=b"\x00\xff")
    assert (status, body[2:]) == (200, b":r1")
    assert (fields["attempt-id"], "response-seal" in fields) == ("r1", True)
    assert ledger[0].target == "/list/1?q=%20"
    assert ledger[0].body == "\x00\xff"
    assert ledger[0].team == "clinic"


@pytest.mark.parametrize(
    ("options", "status"),
    [
        ({"path": "/none/1"}, 404),
        ({"key": "stolen"}, 401),
        ({"more": "Deadline-Ms: soon\r\n"}, 400),
        ({"more": "Content-Length: 4\r\n"}, 400),
    ],
)
async def test_rejected_request_runs_nowhere(options, status):
    (got, _, body), ledger = await request(**options)
    assert (got, ledger) == (status, [])
    if got != 400:
        assert json.loads(body)["run"] == "not_run"


async def test_timeout_response_does_not_claim_that_the_request_was_not_run():
    """A replica never responds.

    The operator limits how long a caller waits. Since the request was sent, the response must
    not claim that it was not run.
    """
    (status, fields, body), _ = await request("/quick/1", faults={"hang": True})
    assert (status, json.loads(body)["run"]) == (504, "unknown")
    assert "retry-after" not in fields


async def test_timeout_before_dispatch_is_reported_as_not_run():
    async with entrysite.started(engines=0) as site:
        for server in site.services:
            await server.stop()
        client = await site.nodes[0].request("/hold/1")
        status, fields, body = await client.answer()
    assert (status, json.loads(body)["run"]) == (503, "not_run")
    assert float(fields["retry-after"]) > 0


async def test_retry_delay_is_at_most_a_third_of_the_remaining_time():
    (status, fields, _), _ = await request(faults={"refuse": True}, more="Deadline-Ms: 300\r\n")
    assert status == 503
    assert float(fields["retry-after"]) <= 0.1


async def test_caller_disconnect_cancels_the_request_at_its_replica():
    async with entrysite.started(engines=0) as site:
        entrysite.set_faults(site.services, hang=True)
        client = await site.nodes[0].request("/list/1")
        await eventloop.until(lambda: dispatched(site))
        client.close()
        await eventloop.until(lambda: not any(server._writers for server in site.services))


async def test_revoked_key_is_rejected_and_a_new_one_accepted():
    async with entrysite.started(engines=0) as site:
        changed = entrysite.manifest(2, tenants=[{"name": "clinic", "api_keys": ["k2"]}])
        site.put("op/config", json.dumps(changed))
        site.read_store()
        statuses = []
        for key in ("k1", "k2"):
            client = await site.nodes[0].request("/list/1", key=key)
            statuses.append((await client.answer())[0])
        assert statuses == [401, 200]


async def test_configuration_never_goes_back():
    """An older configuration arrives late, from an instance that lagged behind.

    Applying it would accept a revoked key again.
    """
    async with entrysite.started(engines=0) as site:
        site.configure(5, tenants=[])
        site.configure(4)
        assert site.nodes[0].instance.cluster_state.versions().configuration == 5


async def test_unreadable_configuration_leaves_the_last_good_one_in_force():
    async with entrysite.started(engines=0) as site:
        site.put("op/config", '{"version": 9}')
        site.read_store()
        client = await site.nodes[0].request("/list/1")
        status = (await client.answer())[0]
        page = json.loads(site.nodes[0].instance.status())
        assert status == 200
        assert page["config_revision"] == 1
        assert page["config_problem"] == "config_invalid"


async def response_during_startup(store_read_after_s):
    """Return the response to a request that arrives before the instance knows anything."""
    site = entrysite.Site(engines=0)
    try:
        for server in site.services:
            await server.start()
            site.put(f"servers/{server.replica_id}", entrysite.server_row(server, "web"))
        site.put("op/config", json.dumps(entrysite.manifest()))
        await site.nodes[0].start()
        loop = asyncio.get_running_loop()
        if store_read_after_s is not None:
            loop.call_later(store_read_after_s, site.read_store)
        client = await site.nodes[0].request("/list/1")
        return await client.answer()
    finally:
        await site.stop()


async def test_request_just_before_the_configuration_arrives_is_served():
    """After a full outage, a caller's last retry arrives just after an instance has started.

    The instance learns the configuration a moment later. Refusing the request at once would
    fail it for good although the service is available again.
    """
    status, _, body = await response_during_startup(0.1)
    assert (status, body[-2:]) == (200, b"r1")


async def test_instance_that_learns_nothing_refuses_callers_soon():
    """A partitioned instance must send its callers to others instead of keeping them waiting."""
    status, fields, body = await response_during_startup(None)
    assert (status, json.loads(body)["run"]) == (503, "not_run")
    assert float(fields["retry-after"]) > 0
