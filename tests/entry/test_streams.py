"""Streams through entry instances, while engines leave, die and misbehave."""

import asyncio
import json

import pytest

from hornbeamglade.entry import settings
from hornbeamglade.standins import routed, routedfaults, routedruns
from tests import eventloop
from tests.entry import site as entrysite

EVENTS = 30


def whole(request_id, first=1):
    numbers = range(first, EVENTS + 1)
    return b"".join(routedruns.event(request_id, number) for number in numbers)


def ran(site):
    return [ran.request_id for engine in site.engines for ran in engine.ledger]


def runs_at(site, request_id):
    return [engine for engine in site.engines if request_id in engine.run_by_id]


def waiting(site):
    """Return how many wait for engines, by the word of the engines' owners."""
    catalogs = (node.instance.catalog for node in site.nodes)
    known = (each for catalog in catalogs for each in catalog.candidates("llm", frozenset()))
    return sum(each.queued for each in known if not each.owner)


async def begun(site, path="/draft/1", request_id="r1", node=0):
    """Ask for a stream; return the client once some events have been made."""
    client = await site.nodes[node].request(path, request_id=request_id, more=entrysite.USAGE)
    await eventloop.until(
        lambda: any(engine.run_by_id[request_id].made > 5 for engine in runs_at(site, request_id))
    )
    return client


def test_stream_comes_whole_under_the_teams_name():
    async def test(site):
        client = await site.nodes[0].request("/draft/1", more=entrysite.USAGE)
        return await client.answer(), [each for e in site.engines for each in e.ledger]

    (status, fields, body), ledger = entrysite.run(test)
    assert (status, body) == (200, whole("r1"))
    assert fields["content-type"] == "text/event-stream"
    assert [(each.team, each.body) for each in ledger] == [("clinic", "body")]
    assert "authorization" not in ledger[0].names


@pytest.mark.parametrize("nodes", [1, 2])
def test_run_goes_on_elsewhere_when_its_engine_is_to_stop(nodes):
    """An engine is reclaimed in the middle of a draft.

    The list says that it stops; two seconds later it is gone, and the clerk would have
    half a draft. Its run is moved first, and no event is made or sent twice.
    """

    async def test(site):
        client = await begun(site)
        source = runs_at(site, "r1")[0]
        site.leave(site.engines.index(source))
        await eventloop.until(lambda: source.run_by_id["r1"].is_stopped)
        await source.stop()
        return await client.answer(), ran(site)

    (status, _, body), runs = entrysite.run(test, nodes=nodes)
    assert (status, body, runs) == (200, whole("r1"), ["r1"])


def test_run_leaves_also_on_the_engines_own_word():
    """The store is away while an engine is reclaimed: only the engine's report says so."""

    async def test(site):
        client = await begun(site)
        source = runs_at(site, "r1")[0]
        source.is_leaving = True
        await eventloop.until(lambda: source.run_by_id["r1"].is_stopped)
        await source.stop()
        return await client.answer()

    _, _, body = entrysite.run(test, nodes=2, gap_s=0.04)
    assert body == whole("r1")


def test_run_leaves_an_engine_that_is_taken_off_the_list_without_a_word():
    async def test(site):
        client = await begun(site)
        source = runs_at(site, "r1")[0]
        site.delete(f"servers/{source.replica_id}")
        site.read_store()
        await eventloop.until(lambda: source.run_by_id["r1"].is_stopped)
        await source.stop()
        return await client.answer()

    _, _, body = entrysite.run(test, nodes=2)
    assert body == whole("r1")


def test_engine_that_starts_anew_under_its_name_is_used_again():
    """An engine is told to stop, and starts again in place some seconds later.

    Held for the one that was to stop, it got no request any more from whoever had heard of
    that, until its row was taken from the list.
    """

    async def test(site):
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
        return await client.answer(), ran(site)

    (status, _, body), runs = entrysite.run(test, nodes=2, engines=1)
    assert (status, body, runs) == (200, whole("r1"), ["r1"])


async def restarted(site, request_id):
    """Have the list tell that the engine of a run has started anew; return the engine."""
    engine = runs_at(site, request_id)[0]
    number = site.engines.index(engine)
    row = entrysite.server_row(engine, "llm", "ab"[number % 2], born=7000)
    engine.born = 7000
    site.put(f"servers/{engine.replica_id}", row)
    site.read_store()
    return engine


def test_stream_from_an_engine_that_has_started_anew_ends_at_once():
    """An engine crashes behind a cut and starts again: its connections are never reset.

    The caller of a draft would wait for its next event until it gave up.
    """

    async def test(site):
        client = await begun(site)
        await restarted(site, "r1")
        with pytest.raises((asyncio.IncompleteReadError, ValueError)):
            await client.answer()
        return runs_at(site, "r1")[0].run_by_id["r1"].made, ran(site)

    made, runs = entrysite.run(test, gap_s=0.1)
    assert (made < EVENTS, runs) == (True, ["r1"])


def test_run_that_may_be_repeated_goes_on_when_its_engine_has_started_anew():
    async def test(site):
        client = await begun(site, path="/tag/1")
        former = await restarted(site, "r1")
        answer = await client.answer()
        return answer, [engine is former for engine in runs_at(site, "r1")]

    (status, _, body), runs = entrysite.run(test, gap_s=0.02)
    assert (status, body, sorted(runs)) == (200, whole("r1"), [False, True])


def test_all_runs_of_an_engine_leave_in_turn():
    """Eight drafts run at an engine that is to stop, at the streams of two nodes."""

    async def test(site):
        names = [f"r{number}" for number in range(6)]
        clients = []
        for number, name in enumerate(names):
            clients.append(await begun(site, request_id=name, node=number % 2))
        site.leave(0)
        await eventloop.until(
            lambda: all(run.is_stopped or not run.is_alive for run in runs(site.engines[0]))
        )
        await site.engines[0].stop()
        return [await client.answer() for client in clients], sorted(ran(site))

    def runs(engine):
        return engine.run_by_id.values()

    answers, order = entrysite.run(test, nodes=2, gap_s=0.05)
    assert [body for _, _, body in answers] == [whole(f"r{number}") for number in range(6)]
    assert order == [f"r{number}" for number in range(6)]


def test_run_goes_on_where_it_was_when_there_is_room_nowhere():
    async def test(site):
        client = await begun(site)
        source = runs_at(site, "r1")[0]
        for engine in site.engines:
            engine.faults = routedfaults.RoutedFaults(no_room=True)
        site.leave(site.engines.index(source))
        return await client.answer(), ran(site)

    (_, _, body), runs = entrysite.run(test, gap_s=0.03)
    assert (body, runs) == (whole("r1"), ["r1"])


def test_draft_whose_engine_dies_is_seen_to_be_torn():
    """An engine crashes without a word in the middle of a draft.

    The draft may not run twice: it cannot be whole any more, and must not look so.
    """

    async def test(site):
        client = await begun(site)
        await runs_at(site, "r1")[0].stop()
        await client.head()
        try:
            rest = await client.reader.read()
        except ConnectionError:
            rest = b""
        return rest, ran(site)

    rest, runs = entrysite.run(test)
    assert not rest.endswith(b"0\r\n\r\n")
    assert runs == ["r1"]


def test_tag_whose_engine_dies_goes_on_in_another_run():
    """The same with a request that may be repeated: it goes on after the last event."""

    async def test(site):
        client = await begun(site, "/tag/1")
        await runs_at(site, "r1")[0].stop()
        return await client.answer(), ran(site)

    (_, _, body), runs = entrysite.run(test)
    assert (body, runs) == (whole("r1"), ["r1", "r1"])


def test_stream_that_breaks_in_the_middle_of_an_event_goes_on_with_that_event():
    async def test(site):
        for engine in site.engines:
            engine.faults = routedfaults.RoutedFaults(die_after_events=7)
        client = await site.nodes[0].request("/tag/1", more=entrysite.USAGE)
        await eventloop.until(lambda: len(ran(site)) == 1)
        for engine in site.engines:
            if "r1" not in engine.run_by_id:
                engine.faults = routedfaults.RoutedFaults()
        return await client.answer()

    _, _, body = entrysite.run(test)
    assert body == whole("r1")


def test_caller_that_leaves_ends_its_run():
    async def test(site):
        client = await begun(site)
        engine = runs_at(site, "r1")[0]
        client.close()
        await eventloop.until(lambda: not engine.run_by_id["r1"].is_alive)
        await eventloop.until(lambda: not site.nodes[0].instance.acquirer.active_count)
        return engine.run_by_id["r1"].made

    assert entrysite.run(test, gap_s=0.05) < EVENTS


def test_caller_that_resumes_gets_the_rest_only():
    async def test(site):
        more = entrysite.USAGE + "Last-Event-Id: 12\r\n"
        client = await site.nodes[0].request("/tag/1", more=more)
        return await client.answer()

    _, _, body = entrysite.run(test)
    assert body == whole("r1", 13)


def test_stream_without_proof_is_not_passed_on():
    async def test(site):
        for engine in site.engines:
            engine.faults = routedfaults.RoutedFaults(unproved=True)
        client = await site.nodes[0].request("/draft/1", more=entrysite.USAGE)
        return await client.answer(), ran(site)

    (status, _, _), runs = entrysite.run(test)
    assert (status, runs) == (502, ["r1"])


def test_full_engines_are_told_as_not_run_with_a_time_to_come_back():
    async def test(site):
        for engine in site.engines:
            engine.faults = routedfaults.RoutedFaults(refuse=True)
        client = await site.nodes[0].request("/draft/1", more=entrysite.USAGE)
        return await client.answer(), ran(site)

    (status, fields, _), runs = entrysite.run(test)
    assert (status, runs) == (503, [])
    assert float(fields["retry-after"]) > 0


def test_grants_of_ended_streams_are_given_back():
    async def test(site):
        clients = [
            await site.nodes[n % 2].request("/draft/1", request_id=f"r{n}", more=entrysite.USAGE)
            for n in range(8)
        ]
        await asyncio.gather(*(client.answer() for client in clients))
        await eventloop.until(
            lambda: not any(node.instance.acquirer.active_count for node in site.nodes)
        )

    entrysite.run(test, nodes=2)


@pytest.mark.parametrize("node", [0, 1])
def test_a_caller_that_leaves_while_it_waits_for_room_is_not_served_later(node):
    """An engine is full, a clerk gives up, and then there is room.

    Were the place in the queue kept, the engine would read a long prompt for nobody, in
    the way of those who still wait. One of the two instances owns the engine.
    """

    async def test(site):
        # So long that the second one waits on, and in time, until it is taken out.
        patient = entrysite.route("draft", "streaming", "llm", goal_ms=60000, timeout_ms=90000)
        site.put("op/config", json.dumps(entrysite.manifest(2, routes=[patient])))
        site.read_store()
        usage = f"Model: m\r\nToken-Usage: {routed.MEMORY_TOKENS * 6 // 10},50\r\n"
        first = await site.nodes[node].request("/draft/1", request_id="r1", more=usage)
        await eventloop.until(lambda: ran(site) == ["r1"])
        second = await site.nodes[node].request("/draft/1", request_id="r2", more=usage)
        await eventloop.until(lambda: waiting(site) == 1)
        second.close()
        await eventloop.until(lambda: waiting(site) == 0)
        is_first_alive = site.engines[0].run_by_id["r1"].is_alive
        first.close()
        return is_first_alive, ran(site)

    assert entrysite.run(test, nodes=2, engines=1, gap_s=0.3) == (True, ["r1"])


def test_leaving_instance_refuses_a_draft_that_would_be_cut():
    """A caller with an old address asks an instance that stops for a long draft.

    The process would end before the draft: it was begun, and cut in the middle. Its
    caller is sent to another instance at once, and no engine has seen the request.
    """

    async def test(site):
        site.nodes[0].instance.leave()
        usage = "Model: m\r\nToken-Usage: 100,5000\r\n"
        client = await site.nodes[0].request("/draft/1", more=usage)
        long = await client.answer()
        client = await site.nodes[0].request("/draft/1", request_id="r2", more=entrysite.USAGE)
        return long, await client.answer(), ran(site)

    (status, fields, body), short, runs = entrysite.run(test, nodes=2)
    assert (status, json.loads(body)["code"]) == (503, "node_leaving")
    assert float(fields["retry-after"]) < 0.1
    assert (short[0], runs) == (200, ["r2"])


@pytest.mark.parametrize(("stop_s", "outcome"), [(0.5, "cut_by_stop"), (8.0, "caller_left")])
def test_a_draft_that_the_stop_cuts_is_not_told_as_its_callers_doing(stop_s, outcome):
    """An instance reaches the limit of its planned stop while a draft is under way.

    A citizen got half of a reply, and the log said that the clerk had closed the
    connection: the stop ends what is left as a caller's close does.
    """

    async def test(site):
        node = site.nodes[0]
        bounds = settings.Bounds(stop_s=stop_s, address_ttl_s=5)
        node.instance.apply_settings(node.settings.model_copy(update={"bounds": bounds}))
        client = await begun(site)
        node.instance.leave()
        await asyncio.sleep(0.15)
        client.close()
        line = f'outcome="{outcome}"'.encode()
        await eventloop.until(lambda: line in node.instance.metrics())

    entrysite.run(test, gap_s=0.05)
