"""Streams through entry instances while engines leave, fail and misbehave."""

import asyncio
import json

import pytest

from hornbeamglade.localsite import tcpproxy
from hornbeamglade.standins import routed, routedfaults, routedruns
from tests import eventloop
from tests.entry import site as entrysite

EVENTS = 30


def stream_body(request_id, first=1):
    numbers = range(first, EVENTS + 1)
    return b"".join(routedruns.event(request_id, number) for number in numbers)


def dispatched(site):
    return [run.request_id for engine in site.engines for run in engine.ledger]


def runs_at(site, request_id):
    return [engine for engine in site.engines if request_id in engine.run_by_id]


def queued_count(site):
    """Return the number of queued requests, as the owners of the engines report it."""
    catalogs = (node.instance.catalog for node in site.nodes)
    known = (each for catalog in catalogs for each in catalog.candidates("llm", frozenset()))
    return sum(each.queued for each in known if not each.owner)


async def start_stream(site, path="/draft/1", request_id="r1", node=0):
    """Request a stream; return the client once some events have been generated."""
    client = await site.nodes[node].request(path, request_id=request_id, more=entrysite.USAGE)
    await eventloop.until(
        lambda: any(engine.run_by_id[request_id].made > 5 for engine in runs_at(site, request_id))
    )
    return client


async def start_run(site, path="/draft/1"):
    """Request a stream; return the client and the engine, once some events were generated."""
    client = await start_stream(site, path)
    return client, runs_at(site, "r1")[0]


async def test_stream_is_complete_and_carries_the_teams_name():
    async with entrysite.started() as site:
        client = await site.nodes[0].request("/draft/1", more=entrysite.USAGE)
        status, fields, body = await client.answer()
        ledger = [each for e in site.engines for each in e.ledger]
    assert (status, body) == (200, stream_body("r1"))
    assert fields["content-type"] == "text/event-stream"
    assert [(each.team, each.body) for each in ledger] == [("clinic", "body")]
    assert "authorization" not in ledger[0].names


@pytest.mark.parametrize("nodes", [1, 2])
async def test_run_migrates_when_its_engine_leaves(nodes):
    """An engine is reclaimed in the middle of a stream.

    The list announces the stop, and two seconds later the engine is gone, which would cut the
    stream. Its run migrates first, and no event is generated or sent twice.
    """
    async with entrysite.started(nodes=nodes) as site:
        client, source = await start_run(site)
        site.leave(site.engines.index(source))
        await eventloop.until(lambda: source.run_by_id["r1"].is_stopped)
        await source.stop()
        (status, _, body), runs = await client.answer(), dispatched(site)
    assert (status, body, runs) == (200, stream_body("r1"), ["r1"])


async def test_run_is_sent_to_no_engine_that_began_to_leave_during_its_copy():
    """It was stopped, and sent to an engine whose notice had run out, beside an empty one."""
    async with entrysite.started(engines=3, events=60, gap_s=0.03) as site:
        entrysite.set_faults(site.engines, copy_s=0.3)
        client, source = await start_run(site)
        orders = []
        for engine in site.engines:
            engine.copies.on_copy = orders.append
        site.leave(site.engines.index(source))
        await eventloop.until(lambda: orders)
        target = next(each for each in site.engines if each.address == orders[0])
        site.leave(site.engines.index(target))
        status, _, body = await client.answer()
        other = next(each for each in site.engines if each not in (source, target))
        continued = [("r1" in engine.run_by_id) for engine in (target, other)]
    assert (status, body.count(b"data: r1."), continued) == (200, 60, [False, True])


async def test_run_of_an_engine_that_has_closed_its_port_is_completed_there():
    """A server that stops in order accepts no orders any more, and completes its runs."""
    async with entrysite.started() as site:
        client, source = await start_run(site)
        finishing = asyncio.ensure_future(source.finish())
        await asyncio.sleep(0)
        site.leave(site.engines.index(source))
        status, _, body = await client.answer()
        await finishing
        runs = dispatched(site)
        is_stopped = source.run_by_id["r1"].is_stopped
    assert (status, body, runs, is_stopped) == (200, stream_body("r1"), ["r1"], False)


async def test_run_migrates_on_the_engines_own_report():
    """During a store outage only the engine's own report announces that it will stop."""
    async with entrysite.started(nodes=2, gap_s=0.04) as site:
        client, source = await start_run(site)
        source.is_leaving = True
        await eventloop.until(lambda: source.run_by_id["r1"].is_stopped)
        await source.stop()
        _, _, body = await client.answer()
    assert body == stream_body("r1")


async def test_run_migrates_from_an_engine_delisted_without_notice():
    async with entrysite.started(nodes=2) as site:
        client, source = await start_run(site)
        site.delete(f"servers/{source.replica_id}")
        site.read_store()
        await eventloop.until(lambda: source.run_by_id["r1"].is_stopped)
        await source.stop()
        _, _, body = await client.answer()
    assert body == stream_body("r1")


async def test_restarted_engine_is_used_again():
    """An engine is told to stop, and restarts in place some seconds later.

    Instances that had seen it leaving took it for the stopped one and sent it no requests
    until its row was deleted from the list.
    """
    async with entrysite.started(nodes=2, engines=1) as site:
        engine = site.engines[0]
        engine.born = 5000
        site.put("servers/e0", entrysite.server_row(engine, "llm", born=5000))
        engine.is_leaving = True
        site.put("servers/e0", entrysite.server_row(engine, "llm", state="draining", born=5000))
        site.read_store()
        engine.born, engine.is_leaving = 6000, False
        site.put("servers/e0", entrysite.server_row(engine, "llm", born=6000))
        site.read_store()
        await eventloop.until(site.is_ready)
        client = await site.nodes[0].request("/draft/1", more=entrysite.USAGE)
        (status, _, body), runs = await client.answer(), dispatched(site)
    assert (status, body, runs) == (200, stream_body("r1"), ["r1"])


async def restarted(site, request_id):
    """Let the list show that the engine of a run has restarted; return the engine."""
    engine = runs_at(site, request_id)[0]
    number = site.engines.index(engine)
    row = entrysite.server_row(engine, "llm", "ab"[number % 2], born=7000)
    engine.born = 7000
    site.put(f"servers/{engine.replica_id}", row)
    site.read_store()
    return engine


async def test_stream_of_a_restarted_engine_ends_at_once():
    """An engine crashes during a network partition and restarts; its connections are not reset.

    The caller of a stream would wait for the next event until its timeout.
    """
    async with entrysite.started(gap_s=0.1) as site:
        client = await start_stream(site)
        await restarted(site, "r1")
        with pytest.raises((asyncio.IncompleteReadError, ValueError)):
            await client.answer()
        made, runs = runs_at(site, "r1")[0].run_by_id["r1"].made, dispatched(site)
    assert (made < EVENTS, runs) == (True, ["r1"])


async def test_repeatable_run_resumes_after_its_engine_restarted():
    async with entrysite.started(gap_s=0.02) as site:
        client = await start_stream(site, path="/tag/1")
        former = await restarted(site, "r1")
        status, _, body = await client.answer()
        runs = [engine is former for engine in runs_at(site, "r1")]
    assert (status, body, sorted(runs)) == (200, stream_body("r1"), [False, True])


async def test_all_runs_of_a_leaving_engine_migrate():
    """Several streams of two nodes run at an engine that will stop."""

    def runs(engine):
        return engine.run_by_id.values()

    async with entrysite.started(nodes=2, gap_s=0.05) as site:
        names = [f"r{number}" for number in range(6)]
        clients = []
        for number, name in enumerate(names):
            clients.append(await start_stream(site, request_id=name, node=number % 2))
        site.leave(0)
        await eventloop.until(
            lambda: all(run.is_stopped or not run.is_alive for run in runs(site.engines[0]))
        )
        await site.engines[0].stop()
        answers, order = [await client.answer() for client in clients], sorted(dispatched(site))
    assert [body for _, _, body in answers] == [stream_body(f"r{number}") for number in range(6)]
    assert order == [f"r{number}" for number in range(6)]


async def test_run_stays_when_no_engine_has_capacity():
    async with entrysite.started(gap_s=0.03) as site:
        client, source = await start_run(site)
        entrysite.set_faults(site.engines, no_room=True)
        site.leave(site.engines.index(source))
        (_, _, body), runs = await client.answer(), dispatched(site)
    assert (body, runs) == (stream_body("r1"), ["r1"])


async def test_stream_of_a_crashed_engine_is_visibly_incomplete():
    """An engine crashes in the middle of a stream that may not run twice.

    The stream cannot be completed, and its response must not look complete.
    """
    async with entrysite.started() as site:
        client = await start_stream(site)
        await runs_at(site, "r1")[0].stop()
        await client.head()
        try:
            rest = await client.reader.read()
        except ConnectionError:
            rest = b""
        runs = dispatched(site)
    assert not rest.endswith(b"0\r\n\r\n")
    assert runs == ["r1"]


async def test_repeatable_stream_of_a_crashed_engine_resumes_elsewhere():
    """The same for a repeatable request: it continues after the last event."""
    async with entrysite.started() as site:
        client = await start_stream(site, "/tag/1")
        await runs_at(site, "r1")[0].stop()
        (_, _, body), runs = await client.answer(), dispatched(site)
    assert (body, runs) == (stream_body("r1"), ["r1", "r1"])


async def test_stream_interrupted_within_an_event_resumes_with_that_event():
    async with entrysite.started() as site:
        entrysite.set_faults(site.engines, die_after_events=7)
        client = await site.nodes[0].request("/tag/1", more=entrysite.USAGE)
        await eventloop.until(lambda: len(dispatched(site)) == 1)
        for engine in site.engines:
            if "r1" not in engine.run_by_id:
                engine.faults = routedfaults.RoutedFaults()
        _, _, body = await client.answer()
    assert body == stream_body("r1")


async def test_caller_disconnect_ends_its_run():
    async with entrysite.started(gap_s=0.05) as site:
        client = await start_stream(site)
        engine = runs_at(site, "r1")[0]
        client.close()
        await eventloop.until(lambda: not engine.run_by_id["r1"].is_alive)
        await eventloop.until(lambda: not site.nodes[0].instance.acquirer.active_count)
        assert engine.run_by_id["r1"].made < EVENTS


async def test_resuming_caller_gets_only_the_rest():
    async with entrysite.started() as site:
        more = entrysite.USAGE + "Last-Event-Id: 12\r\n"
        client = await site.nodes[0].request("/tag/1", more=more)
        _, _, body = await client.answer()
    assert body == stream_body("r1", 13)


async def test_stream_without_response_seal_is_not_forwarded():
    async with entrysite.started() as site:
        entrysite.set_faults(site.engines, unproved=True)
        client = await site.nodes[0].request("/draft/1", more=entrysite.USAGE)
        (status, _, _), runs = await client.answer(), dispatched(site)
    assert (status, runs) == (502, ["r1"])


async def test_full_engines_yield_not_run_with_a_retry_delay():
    async with entrysite.started() as site:
        entrysite.set_faults(site.engines, refuse=True)
        client = await site.nodes[0].request("/draft/1", more=entrysite.USAGE)
        (status, fields, _), runs = await client.answer(), dispatched(site)
    assert (status, runs) == (503, [])
    assert float(fields["retry-after"]) > 0


async def test_grants_of_ended_streams_are_released():
    async with entrysite.started(nodes=2) as site:
        clients = [
            await site.nodes[n % 2].request("/draft/1", request_id=f"r{n}", more=entrysite.USAGE)
            for n in range(8)
        ]
        await asyncio.gather(*(client.answer() for client in clients))
        await eventloop.until(
            lambda: not any(node.instance.acquirer.active_count for node in site.nodes)
        )


@pytest.mark.parametrize("node", [0, 1])
async def test_queued_request_of_a_disconnected_caller_is_removed(node):
    """A caller disconnects while its request is queued at a full engine.

    If the queue position were kept, the engine would later prefill a long prompt for nobody,
    ahead of requests that still wait. One of the two instances owns the engine.
    """
    async with entrysite.started(nodes=2, engines=1, gap_s=0.3) as site:
        # Timeouts long enough that the second request stays queued until it is removed.
        patient = entrysite.route("draft", "streaming", "llm", goal_ms=60000, timeout_ms=90000)
        site.configure(2, routes=[patient])
        usage = f"Model: m\r\nToken-Usage: {routed.MEMORY_TOKENS * 6 // 10},50\r\n"
        first = await site.nodes[node].request("/draft/1", request_id="r1", more=usage)
        await eventloop.until(lambda: dispatched(site) == ["r1"])
        second = await site.nodes[node].request("/draft/1", request_id="r2", more=usage)
        await eventloop.until(lambda: queued_count(site) == 1)
        second.close()
        await eventloop.until(lambda: queued_count(site) == 0)
        is_first_alive = site.engines[0].run_by_id["r1"].is_alive
        first.close()
        assert (is_first_alive, dispatched(site)) == (True, ["r1"])


async def test_draining_instance_refuses_a_stream_that_it_could_not_finish():
    """A caller with a stale address requests a long stream from a draining instance.

    The process would exit before the stream ends; it used to start the stream and cut it. The
    caller is sent to another instance at once, and no engine receives the request.
    """
    async with entrysite.started(nodes=2) as site:
        site.nodes[0].instance.leave()
        usage = "Model: m\r\nToken-Usage: 100,5000\r\n"
        client = await site.nodes[0].request("/draft/1", more=usage)
        status, fields, body = await client.answer()
        client = await site.nodes[0].request("/draft/1", request_id="r2", more=entrysite.USAGE)
        short, runs = await client.answer(), dispatched(site)
    assert (status, json.loads(body)["code"]) == (503, "node_leaving")
    assert float(fields["retry-after"]) < 0.1
    assert (short[0], runs) == (200, ["r2"])


@pytest.mark.parametrize(("stop_s", "outcome"), [(0.5, "cut_by_stop"), (8.0, "caller_left")])
async def test_stream_cut_by_the_drain_limit_is_not_blamed_on_its_caller(stop_s, outcome):
    """An instance reaches its drain time limit while a stream is in progress.

    The stream was cut, and the log blamed the caller for closing the connection, because the
    time limit cancels requests just as a closed connection does.
    """
    async with entrysite.started(gap_s=0.05) as site:
        node = site.nodes[0]
        node.set_stop_limit(stop_s)
        client = await start_stream(site)
        node.instance.leave()
        await asyncio.sleep(0.15)
        client.close()
        line = f'outcome="{outcome}"'.encode()
        await eventloop.until(lambda: line in node.instance.metrics())


async def unframed_stream(site, path, die_after_events, is_partitioned):
    """Let engines end their streams with the connection; return the response, or its error."""
    node = site.nodes[0]
    if is_partitioned:
        site.partition(node, tcpproxy.Partition.RESET)
    entrysite.set_faults(site.engines, unframed=True, die_after_events=die_after_events)
    client = await node.request(path, more=entrysite.USAGE)
    try:
        return (await client.answer())[2]
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        # The end of the connection, where the size of the next chunk is due, is no number.
        return "broken off"


@pytest.mark.parametrize("is_partitioned", [False, True])
@pytest.mark.parametrize(
    ("path", "die_after_events", "expected"),
    [
        ("/draft/1", None, stream_body("r1")),
        ("/draft/1", 7, "broken off"),
        ("/tag/1", 16, stream_body("r1")),
    ],
)
async def test_stream_that_ends_with_its_connection(
    path, die_after_events, expected, is_partitioned
):
    """A stream without length and chunks that ends inside an event looked whole."""
    async with entrysite.started(nodes=2, has_links=is_partitioned, events=EVENTS) as site:
        answer = await unframed_stream(site, path, die_after_events, is_partitioned)
        assert answer == expected


@pytest.mark.parametrize("ignores_stops", [False, True])
@pytest.mark.parametrize("lost_after_events", [0, 7])
async def test_run_whose_stream_broke_off_is_stopped_before_it_continues_elsewhere(
    lost_after_events, ignores_stops
):
    """Its former engine worked on it for seconds beside the next one."""
    async with entrysite.started(events=100, gap_s=0.02) as site:
        node = site.nodes[0]
        faults = {"reset_after_events": lost_after_events} if lost_after_events else {"hang": True}
        entrysite.set_faults(site.engines, keeps_runs=True, ignores_stops=ignores_stops, **faults)
        client = await node.request("/tag/1", more=entrysite.USAGE)
        await eventloop.until(lambda: any(engine.run_by_id for engine in site.engines))
        former = next(engine for engine in site.engines if engine.run_by_id)
        other = next(engine for engine in site.engines if engine is not former)
        entrysite.set_faults([other])
        if not lost_after_events:
            for writer in tuple(former._writers):
                writer.transport.abort()
        await eventloop.until(lambda: "r1" in other.run_by_id)
        is_stopped = former.run_by_id["r1"].is_stopped
        status, _, body = await client.answer()
        copies = [engine.copy_by_name for engine in site.engines]
    whole = b"".join(routedruns.event("r1", number) for number in range(1, 101))
    assert (status, body, is_stopped, copies) == (200, whole, not ignores_stops, [{}, {}])


async def test_run_does_not_continue_elsewhere_while_its_engine_works_on():
    """An engine that leaves ignores the order to stop a run, and resets its connection."""
    async with entrysite.started(nodes=1, events=200, gap_s=0.02) as site:
        entrysite.set_faults(
            site.engines, reset_after_events=60, keeps_runs=True, ignores_stops=True
        )
        client, source = await start_run(site)
        target = next(each for each in site.engines if each is not source)
        site.leave(site.engines.index(source))
        await eventloop.until(lambda: target.copy_by_name)
        await asyncio.wait((asyncio.ensure_future(client.answer()),))
        assert (source.run_by_id["r1"].is_alive, "r1" in target.run_by_id) == (True, False)
