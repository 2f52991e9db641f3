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
def test_response_with_a_malformed_status_line_is_no_answer(path, line):
    """A replica in trouble sent an answer whose status was 000, and the caller got it."""

    async def test(site):
        disturb(replicas(site), line)
        return (await send(site, path))[1], run_count(site)

    answer, runs = entrysite.run(test)
    assert_states_nothing(answer)
    assert runs == 1


@pytest.mark.parametrize("line", oddstatuslines.PARSED_ELSEWHERE)
@pytest.mark.parametrize("path", REPEATABLE_PATHS)
def test_repeatable_request_is_retried_after_a_malformed_status_line(path, line):
    """A status that HTTP does not define was the answer to a request that could be repeated."""

    async def test(site):
        first, other = site.engines if path == REPEATABLE_STREAM else site.services
        disturb((first,), line)
        for number in range(MAX_REQUESTS):
            client = await site.nodes[0].request(
                path, request_id=f"r{number}", more=entrysite.USAGE
            )
            assert (await client.answer())[0] == 200
            if first.ledger:
                break
        return len(first.ledger), len(other.ledger), number + 1

    bad, good, sent = entrysite.run(test, events=3)
    assert bad and good == sent


@pytest.mark.parametrize("line", [b"HTTP/2.0 503 Full", b"HTTP/0.9 503 Full", b"HTTP/1.1 603 F"])
@pytest.mark.parametrize("path", SINGLE_PATHS)
def test_refusal_with_a_malformed_status_line_proves_nothing(path, line):
    """The request was sent again although its replica may have run it."""

    async def test(site):
        for server in replicas(site):
            server.faults = routedfaults.RoutedFaults(refuse=True)
        disturb(replicas(site), line)
        return (await send(site, path))[1]

    assert_states_nothing(entrysite.run(test))


@pytest.mark.parametrize("line", [b"HTTP/1.1 600 High", b"HTTP/2.0 200 OK", b"HTTP/1.1 000 Zero"])
def test_malformed_status_lines_eject_their_replica_as_other_failures_do(line):
    """Answers of a replica in trouble counted as successes, and it kept its share."""

    async def ledgers(site):
        for number in range(24):
            client = await site.nodes[0].request(REPEATABLE, request_id=f"r{number}")
            await client.answer()
        return len(site.services[0].ledger)

    async def malformed(site):
        disturb((site.services[0],), line)
        return await ledgers(site)

    async def closed(site):
        site.services[0].faults = routedfaults.RoutedFaults(broken_at=0)
        return await ledgers(site)

    assert entrysite.run(malformed, services=4) <= entrysite.run(closed, services=4) + 1


@pytest.mark.parametrize("line", [b"HTTP/2.0 200 OK", b"HTTP/1.1 600 High", b"HTTP/1.1 000 Zero"])
@pytest.mark.parametrize("path", ["/draft/1", "/tag/1"])
def test_stream_does_not_go_on_from_a_response_with_a_malformed_status_line(path, line):
    """Events of a response that is none were passed on as the rest of a stream."""

    async def test(site):
        client = await test_streams.start_stream(site, path)
        source = test_streams.runs_at(site, "r1")[0]
        disturb(site.engines, line)
        if path == "/tag/1":
            await source.stop()
        else:
            site.leave(site.engines.index(source))
        return await test_streamends.body_of(client)

    assert entrysite.run(test, nodes=1) == test_streamends.BROKEN_OFF


@pytest.mark.parametrize("line", oddstatuslines.PARSED_ELSEWHERE)
@pytest.mark.parametrize("unframed", [False, True])
def test_order_whose_answer_has_a_malformed_status_line_is_given_again(unframed, line):
    """A run counted as moved by an answer that was none."""

    async def test(site):
        test_streamends.set_faults(site, unframed=unframed)
        client = await test_streams.start_stream(site)
        source = test_streams.runs_at(site, "r1")[0]
        orders = []

        def is_first_last_order(request):
            if request.target != "/v1/kv-move" or not json.loads(request.body)["last"]:
                return False
            orders.append(request)
            return len(orders) == 1

        disturb((source,), line, is_first_last_order)
        site.leave(site.engines.index(source))
        return await test_streamends.body_of(client), test_streams.dispatched(site), len(orders)

    body, runs, order_count = entrysite.run(test, nodes=1)
    assert (body, runs) == (test_streams.stream_body("r1"), ["r1"])
    assert order_count > 1


@pytest.mark.parametrize("line", [b"HTTP/2.0 200 OK", b"HTTP/1.1 600 High", b"HTTP/1.1 000 Zero"])
@pytest.mark.parametrize("path", SINGLE_PATHS)
def test_relayed_response_with_a_malformed_status_line_is_no_answer(path, line):
    """The same at an instance whose connections to replicas another one relays."""

    async def test(site):
        site.partition(site.nodes[0], tcpproxy.Partition.RESET)
        disturb(replicas(site), line)
        return (await send(site, path))[1], run_count(site)

    answer, runs = entrysite.run(test, nodes=3, has_links=True)
    assert_states_nothing(answer)
    assert runs == 1


@pytest.mark.parametrize("status", [204, 304])
def test_bytes_after_a_response_without_a_body_reach_no_caller(status):
    """A replica sends a body with a status that has none."""

    async def test(site):
        disturb(site.services, b"HTTP/1.1 %d Bodiless" % status)
        answers = []
        for number in range(3):
            client = await site.nodes[0].request(REPEATABLE, request_id=f"r{number}")
            got, _, body = await client.answer()
            answers.append((got, body))
        return answers

    assert entrysite.run(test) == [(status, b"")] * 3
