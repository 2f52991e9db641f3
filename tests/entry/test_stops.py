"""Requests without an answer while their instance is stopped."""

import asyncio
import json

import pytest

from hornbeamglade.http1 import listeners
from hornbeamglade.routed import drainadmission
from hornbeamglade.standins import routed
from tests import eventloop
from tests.entry import site as entrysite
from tests.entry import test_streams

FULL_USAGE = f"Model: m\r\nToken-Usage: {routed.MEMORY_TOKENS * 6 // 10},5000\r\n"


async def code_and_fields(client):
    status, fields, body = await client.answer()
    return status, json.loads(body)["code"], fields


@pytest.mark.parametrize("node", [0, 1])
async def test_request_that_waits_for_an_engine_is_refused_at_the_signal(node):
    """It waited, at its own or another owner, and got no answer when the process ended."""
    async with entrysite.started(nodes=2, engines=1, gap_s=0.3) as site:
        patient = entrysite.route("draft", "streaming", "llm", goal_ms=60000, timeout_ms=90000)
        site.configure(2, routes=[patient])
        stopped = site.nodes[node]
        first = await site.nodes[1 - node].request("/draft/1", request_id="r1", more=FULL_USAGE)
        await eventloop.until(lambda: test_streams.dispatched(site) == ["r1"])
        second = await stopped.request("/draft/1", request_id="r2", more=FULL_USAGE)
        await eventloop.until(lambda: test_streams.queued_count(site) == 1)
        stopped.instance.leave()
        status, code, fields = await code_and_fields(second)
        await eventloop.until(lambda: test_streams.queued_count(site) == 0)
        is_first_alive = site.engines[0].run_by_id["r1"].is_alive
        first.close()
        runs = test_streams.dispatched(site)
    assert (status, code) == (503, "node_leaving")
    assert float(fields["retry-after"]) < 0.1
    assert (is_first_alive, runs) == (True, ["r1"])


@pytest.mark.parametrize("path", ["/draft/1", "/tag/1", "/list/1", "/hold/1"])
async def test_request_at_a_replica_is_answered_at_the_limit(path):
    """The process ended while replicas had not answered, and callers got no answer at all."""
    async with entrysite.started() as site:
        node = site.nodes[0]
        entrysite.set_faults((*site.engines, *site.services), hang=True)
        client = await node.request(path, more=entrysite.USAGE)
        servers = (*site.engines, *site.services)
        await eventloop.until(lambda: any(server.ledger or server.run_by_id for server in servers))
        node.instance.leave()
        node.instance.callers.refuse_unanswered()
        status, code, fields = await code_and_fields(client)
        has_unanswered = node.instance.callers.has_unanswered_requests
    assert (status, code, has_unanswered) == (502, "stopped_before_answer", False)
    assert "retry-after" not in fields


@pytest.mark.parametrize("is_resumed", [False, True])
async def test_request_is_refused_while_engines_begin_no_answer(is_resumed):
    """Engines queue what they were sent; requests were admitted until shortly before the end."""
    async with entrysite.started(nodes=2) as site:
        node = site.nodes[0]
        tag = entrysite.route(
            "tag", "streaming", "llm", resumable=True, goal_ms=300, timeout_ms=4000
        )
        site.configure(2, routes=[tag])
        entrysite.set_faults(site.engines, hang=True)
        waiting = await node.request("/tag/1", request_id="r1", more=entrysite.USAGE)
        await asyncio.sleep(1.5)
        node.set_stop_limit(1.9)
        node.instance.leave()
        more = entrysite.USAGE + ("Last-Event-Id: 1\r\nResumes: r1\r\n" if is_resumed else "")
        late = await node.request("/tag/1", request_id="r2", more=more)
        status, code, _ = await code_and_fields(late)
        waiting.close()
        runs = {each for engine in site.engines for each in engine.run_by_id}
    assert (status, code, runs) == (503, "node_leaving", {"r1"})


@pytest.mark.parametrize(("path", "status"), [("/tag/1", 502), ("/draft/1", 200)])
async def test_answer_that_can_be_repeated_is_not_begun_too_late(path, status):
    """A stream whose first event came just before the end was begun, and truncated at once."""
    async with entrysite.started(nodes=2, gap_s=0.6) as site:
        node = site.nodes[0]
        client = await node.request(path, more=entrysite.USAGE)
        await eventloop.until(lambda: any(engine.run_by_id for engine in site.engines))
        node.set_stop_limit(1.2)
        node.instance.leave()
        received, _ = await client.head()
        client.close()
        assert received == status


@pytest.mark.parametrize(
    ("is_body_late", "leaves"), [(False, False), (True, False), (False, True)]
)
async def test_stream_that_is_withheld_at_a_stop_arrives_whole(is_body_late, leaves):
    """A late stream was truncated; if withheld it must not lose its events or its head."""
    async with entrysite.started(events=40, gap_s=0.04) as site:
        node = site.nodes[0]
        draft = entrysite.route("draft", "streaming", "llm", goal_ms=100, max_attempts=1)
        site.configure(2, routes=[draft])
        entrysite.set_faults(site.engines, delay_s=1.6)
        node.set_stop_limit(drainadmission.EARLY_PERIOD_S + 3.0)
        node.instance.leave()
        late_s = drainadmission.EARLY_PERIOD_S + 0.05
        await asyncio.sleep(0.0 if is_body_late else late_s)
        more = "Model: m\r\nToken-Usage: 100,100\r\n"
        body_delay_s = late_s if is_body_late else 0.0
        client = await node.request("/draft/1", more=more, body_delay_s=body_delay_s)
        await eventloop.until(lambda: any("r1" in engine.run_by_id for engine in site.engines))
        first = next(n for n, engine in enumerate(site.engines) if "r1" in engine.run_by_id)
        run = site.engines[first].run_by_id["r1"]
        await eventloop.until(lambda: run.made > 1)
        is_withheld = node.instance.callers.has_unanswered_requests
        if leaves:
            entrysite.set_faults(site.engines)
            site.leave(first)
        status, fields, body = await client.answer()
        is_first = fields["response-seal"] == f"{site.engines[first].replica_id}.r1"
        events = body.count(b"data: r1.")
        used = sum("r1" in engine.run_by_id for engine in site.engines)
    assert (status, events, is_first, is_withheld) == (200, 40, True, True)
    assert used == (2 if leaves else 1)


@pytest.fixture
def early_period(monkeypatch):
    """Shorten the early period of a stop, for tests of what comes after it."""
    monkeypatch.setattr(drainadmission, "EARLY_PERIOD_S", 0.4)
    return drainadmission.EARLY_PERIOD_S


RESUMED = "Last-Event-Id: 1\r\nResumes: r0\r\n"


@pytest.mark.parametrize(
    ("path", "more", "body_delay_s"),
    [
        ("/draft/1", "", 0.0),
        ("/draft/1", "", 0.5),
        ("/draft/1", "Deadline-Ms: 9000\r\n", 0.0),
        ("/tag/1", "", 0.0),
        ("/tag/1", RESUMED, 0.0),
        ("/hold/1", "", 0.0),
        ("/list/1", "", 0.0),
    ],
)
async def test_late_request_is_sent_nowhere_while_another_instance_is_ready(
    early_period, path, more, body_delay_s
):
    """An engine preempted a stream that came late in a stop, and the limit truncated it."""
    async with entrysite.started(nodes=2) as site:
        first, second = site.nodes
        first.instance.leave()
        site.configure(2)
        first.set_stop_limit(20.0)
        await asyncio.sleep(0.0 if body_delay_s else early_period)
        more = entrysite.USAGE + more
        late = await first.request(path, more=more, body_delay_s=body_delay_s)
        status, code, fields = await code_and_fields(late)
        runs = [run for server in (*site.engines, *site.services) for run in server.ledger]
        again = await second.request(path, request_id="r2", more=more)
        assert (await again.answer())[0] == 200
    assert (status, code, runs) == (503, "node_leaving", [])
    assert float(fields["retry-after"]) < 0.1


@pytest.mark.parametrize("path", ["/hold/1", "/draft/1"])
async def test_late_request_whose_own_time_ends_first_is_served(early_period, path):
    """Its caller was sent to another instance although the stop could not truncate its answer."""
    async with entrysite.started(nodes=2) as site:
        site.nodes[0].instance.leave()
        await asyncio.sleep(early_period)
        more = f"{entrysite.USAGE}Deadline-Ms: 3000\r\n"
        late = await site.nodes[0].request(path, more=more)
        assert (await late.answer())[0] == 200


async def test_request_that_waits_into_the_late_period_is_sent_nowhere(early_period):
    """It was admitted as an early one, got its grant late, and was begun."""
    async with entrysite.started(nodes=2, engines=1, gap_s=0.05) as site:
        running = await site.request_streams(8)
        await eventloop.until(lambda: len(test_streams.dispatched(site)) == len(running))
        node = site.nodes[1]
        waiting = await node.request("/draft/1", request_id="late", more=entrysite.USAGE)
        await eventloop.until(lambda: test_streams.queued_count(site) == 1)
        node.instance.leave()
        answer = await code_and_fields(waiting)
        assert answer[:2] == (503, "node_leaving")
        assert "late" not in test_streams.dispatched(site)


@pytest.mark.parametrize(
    ("path", "preempted_s", "expected"),
    [("/draft/1", 0.3, 200), ("/draft/1", 9.0, 502), ("/tag/1", 9.0, 502)],
)
async def test_late_stream_of_a_preempted_run_is_whole_or_not_begun(
    early_period, path, preempted_s, expected
):
    """While all instances left, a late stream was begun, preempted, and truncated at the limit."""
    async with entrysite.started(events=8, gap_s=0.02) as site:
        node = site.nodes[0]
        faults = {"preempted_after_events": 3, "preempted_s": preempted_s}
        entrysite.set_faults(site.engines, **faults)
        node.instance.leave()
        await asyncio.sleep(early_period)
        client = await node.request(path, more="Model: m\r\nToken-Usage: 100,8\r\n")
        await eventloop.until(
            lambda: any(run.made >= 3 for each in site.engines for run in each.run_by_id.values())
        )
        await asyncio.sleep(0.05)
        is_begun = not node.instance.callers.has_unanswered_requests
        if expected == 502:
            node.instance.callers.refuse_unanswered()
        status, _, body = await client.answer()
    assert (status, is_begun) == (expected, False)
    assert body.count(b"data: r1.") == (8 if expected == 200 else 0)


async def test_late_answer_that_outgrows_what_may_be_withheld_is_not_begun(early_period):
    """It would be begun before it is whole, and the limit could truncate it."""
    async with entrysite.started(events=40) as site:
        for engine in site.engines:
            engine.event_bytes = listeners.WRITE_BUFFER_BYTES // 20
        site.nodes[0].instance.leave()
        await asyncio.sleep(early_period)
        late = await site.nodes[0].request("/draft/1", more=entrysite.USAGE)
        status, code, _ = await code_and_fields(late)
    assert (status, code) == (502, "stopped_before_answer")


async def test_engine_of_an_instance_that_has_exited_changes_owner_while_all_leave():
    """Each request at the last instance waited for owners that had exited, and most were lost."""
    async with entrysite.started(nodes=2, engines=1) as site:
        engine = site.engines[0].replica_id
        owner = next(each for each in site.nodes if each.instance.peering.owner(engine) is None)
        last = next(each for each in site.nodes if each is not owner)
        for node in site.nodes:
            node.instance.leave()
        await eventloop.until(lambda: not last.instance.peering.heartbeats.live())
        await owner.stop()
        client = await last.request("/draft/1", more=entrysite.USAGE)
        assert (await client.answer())[0] == 200
        assert last.instance.peering.owner(engine) is None
