"""Plain requests through an entry instance."""

import asyncio
import json

import pytest

from hornbeamglade.standins import routedfaults
from tests import eventloop
from tests.entry import site as entrysite


def ran(site):
    return [each for server in site.services for each in server.ledger]


def request(path="/list/1?q=%20", faults=None, **options):
    async def test(site):
        for server in site.services:
            server.faults = routedfaults.RoutedFaults(**(faults or {}))
        client = await site.nodes[0].request(path, **options)
        return await client.answer(), ran(site)

    return entrysite.run(test, engines=0)


def test_request_passes_byte_for_byte():
    (status, fields, body), ledger = request(body=b"\x00\xff")
    assert (status, body[2:]) == (200, b":r1")
    assert (fields["attempt-id"], "response-seal" in fields) == ("r1", True)
    assert (ledger[0].target, ledger[0].body, ledger[0].team) == (
        "/list/1?q=%20",
        "\x00\xff",
        "clinic",
    )


@pytest.mark.parametrize(
    ("options", "status"),
    [
        ({"path": "/none/1"}, 404),
        ({"key": "stolen"}, 401),
        ({"more": "Deadline-Ms: soon\r\n"}, 400),
        ({"more": "Content-Length: 4\r\n"}, 400),
    ],
)
def test_what_may_not_pass_runs_nowhere(options, status):
    (got, _, body), ledger = request(**options)
    assert (got, ledger) == (status, [])
    if got != 400:
        assert json.loads(body)["run"] == "not_run"


def test_answer_at_the_routes_time_is_the_last_word():
    """A replica never answers.

    The operator bounds how long a caller is kept waiting; the request was sent, so that
    it has not run cannot be said.
    """
    (status, fields, body), _ = request("/quick/1", faults={"hang": True})
    assert (status, json.loads(body)["run"]) == (504, "unknown")
    assert "retry-after" not in fields


def test_time_that_is_over_before_anything_was_sent_is_told_as_not_run():
    async def test(site):
        for server in site.services:
            await server.stop()
        client = await site.nodes[0].request("/hold/1")
        return await client.answer()

    status, fields, body = entrysite.run(test, engines=0)
    assert (status, json.loads(body)["run"]) == (503, "not_run")
    assert float(fields["retry-after"]) > 0


def test_time_to_come_back_is_at_most_a_third_of_the_callers_time():
    (status, fields, _), _ = request(faults={"refuse": True}, more="Deadline-Ms: 300\r\n")
    assert status == 503
    assert float(fields["retry-after"]) <= 0.1


def test_caller_that_leaves_while_its_replica_works_ends_the_work():
    async def test(site):
        for server in site.services:
            server.faults = routedfaults.RoutedFaults(hang=True)
        client = await site.nodes[0].request("/list/1")
        await eventloop.until(lambda: ran(site))
        client.close()
        await eventloop.until(lambda: not any(server._writers for server in site.services))

    entrysite.run(test, engines=0)


def test_key_that_is_taken_away_is_refused_and_a_new_one_let_in():
    async def test(site):
        changed = entrysite.manifest(2, tenants=[{"name": "clinic", "api_keys": ["k2"]}])
        site.put("op/config", json.dumps(changed))
        site.read_store()
        statuses = []
        for key in ("k1", "k2"):
            client = await site.nodes[0].request("/list/1", key=key)
            statuses.append((await client.answer())[0])
        return statuses

    assert entrysite.run(test, engines=0) == [401, 200]


def test_configuration_never_goes_back():
    """An older configuration comes late, from an instance that lagged behind.

    Taken, it would let in a key that was taken away.
    """

    async def test(site):
        site.put("op/config", json.dumps(entrysite.manifest(5, tenants=[])))
        site.read_store()
        site.put("op/config", json.dumps(entrysite.manifest(4)))
        site.read_store()
        return site.nodes[0].instance.cluster_state.versions().configuration

    assert entrysite.run(test, engines=0) == 5


def test_unreadable_configuration_leaves_the_last_good_one_in_force():
    async def test(site):
        site.put("op/config", '{"version": 9}')
        site.read_store()
        client = await site.nodes[0].request("/list/1")
        status = (await client.answer())[0]
        page = json.loads(site.nodes[0].instance.status())
        return status, page["config_revision"], page["config_problem"]

    assert entrysite.run(test, engines=0) == (200, 1, "config_invalid")


def begins(told_after_s):
    """Return the answer to a request that comes before the instance knows anything."""

    async def main():
        site = entrysite.Site(engines=0)
        try:
            for server in site.services:
                await server.start()
                site.put(f"servers/{server.replica_id}", entrysite.server_row(server, "web"))
            site.put("op/config", json.dumps(entrysite.manifest()))
            await site.nodes[0].start()
            loop = asyncio.get_running_loop()
            if told_after_s is not None:
                loop.call_later(told_after_s, site.read_store)
            client = await site.nodes[0].request("/list/1")
            return await client.answer()
        finally:
            await site.stop()

    return eventloop.run(main())


def test_a_caller_that_comes_just_before_the_configuration_is_served():
    """All instances lose power; a clerk's client had no connection, and tries its last time.

    An instance listens again, and learns the configuration a moment later. Sent away at once,
    the clerk has no answer, though nothing was missing any more.
    """
    status, _, body = begins(0.1)
    assert (status, body[-2:]) == (200, b"r1")


def test_a_caller_of_an_instance_that_learns_nothing_is_sent_away_soon():
    """An instance is cut off when it starts: its callers must go to others, not wait."""
    status, fields, body = begins(None)
    assert (status, json.loads(body)["run"]) == (503, "not_run")
    assert float(fields["retry-after"]) > 0
