"""Statuses that guarantee that a request did not run, on all paths that may have run it.

Each test plays a failure after a replica has received a request that may run once. A caller that
got 408, 421, 429 or 503 would send it again, and it would run twice.
"""

import asyncio
import collections
import json

import pytest

from hornbeamglade.core import outcomes
from hornbeamglade.entry import callershandler
from hornbeamglade.localsite import tcpproxy
from hornbeamglade.routed import attemptlog
from hornbeamglade.standins import routedfaults, routedrequests
from tests import eventloop
from tests.entry import site as entrysite
from tests.routed import fakes

SINGLE, SINGLE_STREAM, REPEATABLE, REPEATABLE_STREAM = "/hold/1", "/draft/1", "/list/1", "/tag/1"
SINGLE_PATHS = (SINGLE, SINGLE_STREAM)


def replicas(site):
    return (*site.engines, *site.services)


def run_count(site):
    return sum(len(server.ledger) for server in replicas(site))


def script(site, respond):
    """Let all replicas record each run and respond with ``respond(server, request)``.

    The connection is closed after a response of None or one without a length.
    """

    def scripted(server):
        async def run(request, _reader, writer):
            server._ledger.record_run(request)
            response = respond(server, request)
            writer.write(response or b"")
            return b"Content-Length" in (response or b"")

        return run

    for server in replicas(site):
        server._plain = server._stream = scripted(server)


def with_status(status, **headers):
    """Return a response function: a sealed response with a status of the replica's own."""
    return lambda server, request: routedrequests.response(
        request, status, server._proof_headers(request) | headers, b"own"
    )


def stream_head(server, request):
    """Return the head of a stream that ends before its first event."""
    return routedrequests.response_head(
        request, 200, server._proof_headers(request) | {"Transfer-Encoding": "chunked"}
    )


async def send(site, path, more=""):
    client = await site.nodes[0].request(path, more=entrysite.USAGE + more)
    return client, await client.answer()


def assert_states_nothing(answer, status=502):
    """Check a response that does not state that the request did not run."""
    got, fields, body = answer
    assert (got, json.loads(body)["run"]) == (status, "unknown")
    assert not {"response-seal", "retry-after"} & fields.keys()


async def assert_may_have_run(site, path, more="", *, status=502, runs=1):
    """Send a request; check that its response states nothing, and how often it was run."""
    assert_states_nothing((await send(site, path, more))[1], status)
    assert run_count(site) == runs


@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize("path", SINGLE_PATHS)
async def test_unmarked_refusal_of_a_replica_is_not_passed_on(path, status):
    """A replica runs the request, and responds 503 as its own server was too slow."""
    async with entrysite.started() as site:
        script(site, with_status(status, **{"Retry-After": "1"}))
        await assert_may_have_run(site, path)


@pytest.mark.parametrize("path", [REPEATABLE, REPEATABLE_STREAM])
async def test_unmarked_refusal_is_retried_only_for_repeatable_requests(path):
    async with entrysite.started() as site:
        script(site, with_status(503))
        await assert_may_have_run(site, path, runs=2)


@pytest.mark.parametrize("status", [500, 504])
@pytest.mark.parametrize("path", SINGLE_PATHS)
async def test_other_failure_of_a_replica_keeps_its_status_and_seal(path, status):
    async with entrysite.started() as site:
        script(site, with_status(status))
        (got, fields, body), runs = (await send(site, path))[1], run_count(site)
    assert (got, body, runs) == (status, b"own", 1)
    assert fields["response-seal"]


@pytest.mark.parametrize("path", SINGLE_PATHS)
@pytest.mark.parametrize("respond", [lambda *_: None, stream_head], ids=["nothing", "head"])
async def test_response_that_ends_before_its_first_byte_or_event(path, respond):
    async with entrysite.started() as site:
        script(site, respond)
        await assert_may_have_run(site, path)


async def test_refusal_without_an_id_after_a_stray_response_proves_nothing():
    """A late response and a late refusal of another request come first on the connection."""

    def respond(server, request):
        stray = routedrequests.response(request, 200, {"Attempt-Id": "another"}, b"not yours")
        return stray + routedrequests.response(request, 503, {"Not-Executed": "1"}, b"")

    async with entrysite.started() as site:
        script(site, respond)
        await assert_may_have_run(site, SINGLE)


@pytest.mark.parametrize("path", SINGLE_PATHS)
async def test_deadline_after_dispatch(path):
    async with entrysite.started() as site:
        entrysite.set_faults(replicas(site), hang=True)
        await assert_may_have_run(site, path, "Deadline-Ms: 300\r\n", status=504)


async def assert_cut(client):
    """Check that a stream that has begun is visibly incomplete."""
    assert (await client.head())[0] == 200
    with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
        await client._chunks()


async def test_deadline_within_a_stream():
    async with entrysite.started(gap_s=0.05) as site:
        client = await site.nodes[0].request(
            SINGLE_STREAM, more=entrysite.USAGE + "Deadline-Ms: 400\r\n"
        )
        await assert_cut(client)
        assert run_count(site) == 1


async def test_migrated_run_that_its_target_refuses():
    """The copy of a run's KV cache has expired when the stream continues from it."""
    async with entrysite.started(gap_s=0.03, engines=3) as site:
        client = await site.nodes[0].request(SINGLE_STREAM, more=entrysite.USAGE)
        await eventloop.until(lambda: any(engine.run_by_id for engine in site.engines))
        source = next(engine for engine in site.engines if engine.run_by_id)
        await eventloop.until(lambda: source.run_by_id["r1"].made > 2)
        for engine in site.engines:
            engine._begin = lambda request: None
        site.leave(site.engines.index(source))
        await assert_cut(client)
        assert (source.run_by_id["r1"].is_stopped, run_count(site)) == (True, 1)


@pytest.mark.parametrize("path", SINGLE_PATHS)
async def test_tunnel_that_ends_after_the_request_was_sent(path):
    async with entrysite.started(nodes=3, has_links=True) as site:
        entrysite.set_faults(replicas(site), hang=True)
        site.partition(site.nodes[0], tcpproxy.Partition.RESET)
        answer = asyncio.ensure_future(send(site, path))
        await eventloop.until(lambda: run_count(site))
        for relay in site.nodes[1:]:
            relay.instance.tunneling.close()
        answer, runs = (await answer)[1], run_count(site)
    assert_states_nothing(answer)
    assert runs == 1


@pytest.mark.parametrize("path", SINGLE_PATHS)
async def test_instance_that_ends_while_a_request_runs_sends_no_response(path):
    """The end of the process cancels the tasks of all requests in flight."""
    async with entrysite.started() as site:
        entrysite.set_faults(replicas(site), hang=True)
        node = site.nodes[0]
        client = await node.request(path, more=entrysite.USAGE)
        await eventloop.until(lambda: run_count(site))
        for connection in node._server.connections:
            connection._task.cancel()
        await asyncio.sleep(0)
        await node.stop()
        assert (await client.is_closed(), run_count(site)) == (True, 1)


@pytest.mark.parametrize("path", [REPEATABLE, REPEATABLE_STREAM])
async def test_request_that_is_quarantined_after_it_ran(path):
    """A request is quarantined between its first run and the retry."""
    async with entrysite.started() as site:
        quarantine = site.nodes[0].instance.quarantine
        quarantined = outcomes.Refusal("request_quarantined", 503, "-", retry_after_s=9.0)

        def respond(server, request):
            quarantine.refusal = lambda fingerprint, prompt=None: quarantined
            return b""

        script(site, respond)
        await assert_may_have_run(site, path)


@pytest.mark.parametrize("code", ["no_room_now", "queue_timeout"])
async def test_refusal_by_an_owner_after_the_request_ran(code):
    """An engine ends a repeatable stream without an event, and no owner grants another run."""
    async with entrysite.started() as site:
        acquirer = site.nodes[0].instance.acquirer

        async def refuse(placement):
            return outcomes.Refusal(code, 503, "-", retry_after_s=1.0)

        def respond(server, request):
            acquirer.acquire = refuse
            return b""

        script(site, respond)
        await assert_may_have_run(site, REPEATABLE_STREAM)


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_refusal_of_a_request_that_may_have_run_is_replaced(status):
    """Guards the last step before the caller against paths that forget an attempt."""
    log = attemptlog.AttemptLog(may_have_run=True)
    refusal = outcomes.Refusal("any", status, "-", retry_after_s=1.0)
    truthful = callershandler.truthful(fakes.plain_request(), log, refusal)
    assert (truthful.http_status, truthful.run) == (502, outcomes.RunStatus.UNKNOWN)
    assert truthful.retry_after_s is None
    assert (
        callershandler.truthful(fakes.plain_request(), attemptlog.AttemptLog(), refusal) is refusal
    )


ROUNDS = 6
MAX_ROUNDS = 60
"""With several replicas, some requests meet connections that were not used before."""

LATE_REFUSAL = routedfaults.RoutedFaults(delay_s=0.1, late_refusal_s=0.05)


async def send_in_turn(site, path, until=None):
    """Send requests one after the other; return their statuses and how often each was run.

    Without a response of the status ``until``, more requests follow.
    """
    runs, statuses = collections.Counter(), []
    for number in range(MAX_ROUNDS):
        if number >= ROUNDS and (until is None or until in statuses):
            break
        client = await site.nodes[0].request(path, request_id=f"r{number}", more=entrysite.USAGE)
        statuses.append((await client.answer())[0])
    runs.update(run.request_id for server in replicas(site) for run in server.ledger)
    return statuses, [runs[f"r{number}"] for number in range(len(statuses))]


@pytest.mark.parametrize("replica_count", [1, 3])
@pytest.mark.parametrize("path", SINGLE_PATHS)
async def test_late_refusal_of_an_earlier_request_does_not_send_a_running_one_again(
    path, replica_count
):
    """A replica sends a second response to an earlier request while it runs the next one."""
    shape = {"engines": replica_count, "services": replica_count, "events": 10, "gap_s": 0.01}
    async with entrysite.started(**shape) as site:
        for server in replicas(site):
            server.faults = LATE_REFUSAL
        statuses, runs = await send_in_turn(site, path, until=502)
    assert runs == [1] * len(statuses)
    assert not outcomes.NOT_RUN_STATUSES & set(statuses)
    assert 502 in statuses


@pytest.mark.parametrize("path", SINGLE_PATHS)
async def test_late_refusal_on_a_relayed_connection_does_not_send_a_running_request_again(path):
    """The same at an instance whose connections to replicas another one relays."""
    shape = {"nodes": 3, "has_links": True, "events": 10, "gap_s": 0.01}
    async with entrysite.started(**shape) as site:
        site.partition(site.nodes[0], tcpproxy.Partition.RESET)
        for server in replicas(site):
            server.faults = LATE_REFUSAL
        statuses, runs = await send_in_turn(site, path)
    assert runs == [1] * len(statuses)
    assert not outcomes.NOT_RUN_STATUSES & set(statuses)


@pytest.mark.parametrize("path", [REPEATABLE, REPEATABLE_STREAM])
async def test_late_refusals_do_not_run_a_repeatable_request_more_often_than_allowed(path):
    """Each late refusal could start one run more."""
    async with entrysite.started(engines=4, services=4, events=10, gap_s=0.01) as site:
        for server in replicas(site):
            server.faults = LATE_REFUSAL
        _, runs = await send_in_turn(site, path)
    assert max(runs) <= 2


@pytest.mark.parametrize("path", SINGLE_PATHS)
async def test_refusals_without_ids_prove_that_requests_have_not_run_on_new_connections(path):
    """Replicas whose refusals never carry an id are full, and callers may ask again."""
    async with entrysite.started(events=2) as site:
        unnamed = routedfaults.RoutedFaults(refuse=True, unnamed=True)
        await send_in_turn(site, path)
        for server in replicas(site):
            server.faults = unnamed
        statuses, _ = await send_in_turn(site, path)
    assert statuses.count(502) <= 2
    assert set(statuses[2:]) == {503}


@pytest.mark.parametrize("path", SINGLE_PATHS)
async def test_second_copy_of_a_refusal_does_not_send_a_request_again_that_its_new_replica_runs(
    path,
):
    """A request is refused at an address and sent again there, to a replica that has started."""
    async with entrysite.started(engines=2, services=2, events=5) as site:
        server = site.engines[0] if path == SINGLE_STREAM else site.services[0]
        service = "llm" if path == SINGLE_STREAM else "web"
        entrysite.set_faults(replicas(site), repeats_refusals=True)
        for number in range(2, 5):
            site.put(f"servers/earlier{number}", entrysite.server_row(server, service))
        site.read_store()
        statuses, runs = await send_in_turn(site, path)
    assert max(runs) == 1
    assert not any(
        status in outcomes.NOT_RUN_STATUSES and count
        for status, count in zip(statuses, runs, strict=True)
    )


async def test_second_copy_of_a_refusal_does_not_count_for_a_server_that_starts_again_under_its_name():  # noqa: E501
    """The entry of the new process arrives while the request is sent to it for the former one."""
    async with entrysite.started(services=2) as site:
        server = site.services[0]

        def list_again():
            server.born += 1
            row = entrysite.server_row(server, "web", born=server.born)
            site.put(f"servers/{server.replica_id}", row)
            site.read_store()

        def is_misdirected(request):
            is_new = request.request_id not in refused
            refused.add(request.request_id)
            if is_new:
                list_again()
            return is_new

        refused = set()
        server.faults = routedfaults.RoutedFaults(repeats_refusals=True)
        server._is_misdirected = is_misdirected
        list_again()
        statuses, runs = await send_in_turn(site, SINGLE, until=502)
    assert runs == [1] * len(statuses)
    assert set(statuses) == {200}


@pytest.mark.parametrize("path", SINGLE_PATHS)
async def test_second_copy_of_a_refusal_is_no_response_to_a_later_request_with_the_same_id(path):
    """A caller is refused, and sends its request again under the id that it had."""
    async with entrysite.started(engines=2, services=2, events=5) as site:
        statuses = []
        for is_full in (True, False):
            entrysite.set_faults(replicas(site), refuse=is_full, repeats_refusals=True)
            client = await site.nodes[0].request(path, request_id="r0", more=entrysite.USAGE)
            statuses.append((await client.answer())[0])
        runs = run_count(site)
    assert (statuses, runs) == ([503, 200], 1)


WITHIN_REASON = len(b"HTTP/1.1 200 Sta")
WITHIN_LOAD = len(b"HTTP/1.1 200 Status\r\nAttempt-Id: r1\r\nReplica-Load: 1,")
WITHIN_SEAL = len(
    b"HTTP/1.1 200 Status\r\nAttempt-Id: r1\r\nReplica-Load: 1,0,8\r\nResponse-Seal: s"
)


@pytest.mark.parametrize("broken_at", [WITHIN_REASON, WITHIN_LOAD, WITHIN_SEAL])
@pytest.mark.parametrize("path", SINGLE_PATHS)
async def test_head_that_runs_into_a_refusal_does_not_send_a_running_request_again(
    path, broken_at
):
    """A replica stops within the head of its answer, and a refusal follows on the connection."""
    async with entrysite.started(events=5, engines=3, services=3) as site:
        entrysite.set_faults(replicas(site), broken_at=broken_at, followed_by="refusal")
        await assert_may_have_run(site, path)


@pytest.mark.parametrize(
    ("broken_at", "followed_by"),
    [(WITHIN_LOAD, "answer_other"), (WITHIN_SEAL, "misdirected_other")],
)
@pytest.mark.parametrize("path", SINGLE_PATHS)
async def test_head_that_runs_into_another_response_is_not_passed_on(path, broken_at, followed_by):
    """Callers got the body of another request, or none, as the whole answer of a replica."""
    async with entrysite.started(events=5) as site:
        entrysite.set_faults(replicas(site), broken_at=broken_at, followed_by=followed_by)
        await assert_may_have_run(site, path)


@pytest.mark.parametrize("followed_by", ["refusal", "answer_other"])
@pytest.mark.parametrize("path", [SINGLE_STREAM, REPEATABLE_STREAM])
async def test_bytes_of_another_response_within_an_event_are_not_passed_on(path, followed_by):
    """An engine stops within an event, and another response fills the rest of its chunk."""
    async with entrysite.started(events=5) as site:
        for server in site.engines:
            server.event_bytes = 300
            server.faults = routedfaults.RoutedFaults(broken_at=250, followed_by=followed_by)
        client = await site.nodes[0].request(path, more=entrysite.USAGE)
        received = await client.reader.read()
    assert b"Stray" not in received


@pytest.mark.parametrize("path", [SINGLE, REPEATABLE])
async def test_body_that_runs_into_another_response_is_not_passed_on(path):
    """A replica stops within the body of its answer, and another response fills it."""
    async with entrysite.started() as site:
        entrysite.set_faults(
            site.services, response_bytes=300, broken_at=250, followed_by="refusal"
        )
        assert_states_nothing((await send(site, path))[1])
