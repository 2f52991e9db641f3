"""Status lines of replicas in trouble, on all paths to callers."""

import json

import pytest

from hornbeamglade.localsite import tcpproxy
from hornbeamglade.standins import routedfaults
from tests.entry import site as entrysite
from tests.entry import test_streamends, test_streams
from tests.entry.test_truthfulness import (
    REPEATABLE,
    REPEATABLE_STREAM,
    SINGLE_PATHS,
    assert_states_nothing,
    replicas,
    run_count,
    send,
)
from tests.http1 import oddstatuslines

MAX_REQUESTS = 20
REPEATABLE_PATHS = (REPEATABLE, REPEATABLE_STREAM)


def is_caller_s(request):
    return bool(request.request_id)


def disturb(servers, line, applies=is_caller_s):
    for server in servers:
        server.wrap_writer = oddstatuslines.replacing(line, applies)


@pytest.mark.parametrize("line", oddstatuslines.MALFORMED)
@pytest.mark.parametrize("path", SINGLE_PATHS)
async def test_response_with_a_malformed_status_line_is_no_answer(path, line):
    """A replica in trouble sent an answer whose status was 000, and the caller got it."""
    async with entrysite.started() as site:
        disturb(replicas(site), line)
        answer, runs = (await send(site, path))[1], run_count(site)
    assert_states_nothing(answer)
    assert runs == 1


@pytest.mark.parametrize("line", oddstatuslines.PARSED_ELSEWHERE)
@pytest.mark.parametrize("path", REPEATABLE_PATHS)
async def test_repeatable_request_is_retried_after_a_malformed_status_line(path, line):
    """A status that HTTP does not define was the answer to a request that could be repeated."""
    async with entrysite.started(events=3) as site:
        first, other = site.engines if path == REPEATABLE_STREAM else site.services
        disturb((first,), line)
        for number in range(MAX_REQUESTS):
            client = await site.nodes[0].request(
                path, request_id=f"r{number}", more=entrysite.USAGE
            )
            assert (await client.answer())[0] == 200
            if first.ledger:
                break
        bad, good, sent = len(first.ledger), len(other.ledger), number + 1
    assert bad and good == sent


@pytest.mark.parametrize("line", [b"HTTP/2.0 503 Full", b"HTTP/0.9 503 Full", b"HTTP/1.1 603 F"])
@pytest.mark.parametrize("path", SINGLE_PATHS)
async def test_refusal_with_a_malformed_status_line_proves_nothing(path, line):
    """The request was sent again although its replica may have run it."""
    async with entrysite.started() as site:
        entrysite.set_faults(replicas(site), refuse=True)
        disturb(replicas(site), line)
        assert_states_nothing((await send(site, path))[1])


@pytest.mark.parametrize("line", [b"HTTP/1.1 600 High", b"HTTP/2.0 200 OK", b"HTTP/1.1 000 Zero"])
async def test_malformed_status_lines_eject_their_replica_as_other_failures_do(line):
    """Answers of a replica in trouble counted as successes, and it kept its share."""

    async def ledger_length(site):
        for number in range(24):
            client = await site.nodes[0].request(REPEATABLE, request_id=f"r{number}")
            await client.answer()
        return len(site.services[0].ledger)

    async with entrysite.started(services=4) as site:
        disturb((site.services[0],), line)
        malformed = await ledger_length(site)
    async with entrysite.started(services=4) as site:
        site.services[0].faults = routedfaults.RoutedFaults(broken_at=0)
        closed = await ledger_length(site)
    assert malformed <= closed + 1


@pytest.mark.parametrize("line", [b"HTTP/2.0 200 OK", b"HTTP/1.1 600 High", b"HTTP/1.1 000 Zero"])
@pytest.mark.parametrize("path", ["/draft/1", "/tag/1"])
async def test_stream_does_not_go_on_from_a_response_with_a_malformed_status_line(path, line):
    """Events of a response that is none were passed on as the rest of a stream."""
    async with entrysite.started(nodes=1) as site:
        client, source = await test_streams.start_run(site, path)
        disturb(site.engines, line)
        if path == "/tag/1":
            await source.stop()
        else:
            site.leave(site.engines.index(source))
        assert await test_streamends.body_of(client) == test_streamends.BROKEN_OFF


@pytest.mark.parametrize("line", oddstatuslines.PARSED_ELSEWHERE)
@pytest.mark.parametrize("unframed", [False, True])
async def test_order_whose_answer_has_a_malformed_status_line_is_given_again(unframed, line):
    """A run counted as moved by an answer that was none."""
    async with entrysite.started(nodes=1) as site:
        entrysite.set_faults(site.engines, unframed=unframed)
        client, source = await test_streams.start_run(site)
        orders = []

        def is_first_last_order(request):
            if request.target != "/v1/kv-move" or not json.loads(request.body)["last"]:
                return False
            orders.append(request)
            return len(orders) == 1

        disturb((source,), line, is_first_last_order)
        site.leave(site.engines.index(source))
        body = await test_streamends.body_of(client)
        runs = test_streams.dispatched(site)
        order_count = len(orders)
    assert (body, runs) == (test_streams.stream_body("r1"), ["r1"])
    assert order_count > 1


@pytest.mark.parametrize("line", [b"HTTP/2.0 200 OK", b"HTTP/1.1 600 High", b"HTTP/1.1 000 Zero"])
@pytest.mark.parametrize("path", SINGLE_PATHS)
async def test_relayed_response_with_a_malformed_status_line_is_no_answer(path, line):
    """The same at an instance whose connections to replicas another one relays."""
    async with entrysite.started(nodes=3, has_links=True) as site:
        site.partition(site.nodes[0], tcpproxy.Partition.RESET)
        disturb(replicas(site), line)
        answer, runs = (await send(site, path))[1], run_count(site)
    assert_states_nothing(answer)
    assert runs == 1


@pytest.mark.parametrize("status", [204, 304])
async def test_bytes_after_a_response_without_a_body_reach_no_caller(status):
    """A replica sends a body with a status that has none."""
    async with entrysite.started() as site:
        disturb(site.services, b"HTTP/1.1 %d Bodiless" % status)
        answers = []
        for number in range(3):
            client = await site.nodes[0].request(REPEATABLE, request_id=f"r{number}")
            got, _, body = await client.answer()
            answers.append((got, body))
        assert answers == [(status, b"")] * 3
