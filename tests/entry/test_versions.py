"""Streams while replicas of several software versions serve side by side."""

import asyncio
import json

import pytest

from hornbeamglade.store import contract
from tests import eventloop
from tests.entry import site as entrysite

COUNT = 8
EVENTS = 60


def list_versions(site, versions):
    """Give each engine a software version, in the order of the engines."""
    for number, (engine, version) in enumerate(zip(site.engines, versions, strict=True)):
        row = entrysite.server_row(engine, "llm", "ab"[number % 2], version=version)
        site.put(f"servers/{engine.replica_id}", row)
    site.read_store()


def runs_of(site, *request_ids):
    """Return the numbers of the engines that ran any of some requests, in order of arrival."""
    runs = [
        (run.at, number)
        for number, engine in enumerate(site.engines)
        for run in engine.ledger
        if run.request_id in request_ids
    ]
    return [number for _, number in sorted(runs)]


def has_migrated(site, number):
    return all(run.is_stopped for run in site.engines[number].run_by_id.values())


def resumption(first, last_event):
    return entrysite.USAGE + f"Resumes: {first}\r\nLast-Event-Id: {last_event}\r\n"


async def begin(site, count=COUNT, path="/tag/1", node=0):
    """Begin streams; return their clients once each has events."""
    clients = [
        await site.nodes[node].request(path, request_id=f"r{n}", more=entrysite.USAGE)
        for n in range(count)
    ]
    for client in clients:
        await client.head()
    return clients


async def take_up(site, first, last_event, request_id, node=0, **fields):
    """Take a stream up at a node; return the status and body of the response."""
    more = resumption(first, last_event)
    client = await site.nodes[node].request("/tag/1", request_id=request_id, more=more, **fields)
    status, _, body = await client.answer()
    return status, body


async def read_to_end(client):
    """Read a stream to its end; return whether it was complete."""
    try:
        await client._chunks()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return False
    return True


async def test_lost_stream_goes_on_only_at_an_engine_of_its_version():
    """An engine crashes: its streams go on at an engine of another software version."""
    async with entrysite.started(engines=4, events=EVENTS) as site:
        list_versions(site, ("v1", "v2", "v2", "v1"))
        clients = await begin(site)
        await site.engines[0].stop()
        are_whole = [await read_to_end(client) for client in clients]
        runs = [runs_of(site, f"r{n}") for n in range(COUNT)]
    assert {tuple(each) for each in runs if each[0] == 0} == {(0, 3)}
    assert are_whole == [True] * COUNT


async def test_lost_stream_is_broken_off_if_no_engine_of_its_version_is_left():
    """The last engine of a version crashes: its streams go on at another version."""
    async with entrysite.started(events=EVENTS) as site:
        list_versions(site, ("v1", "v2"))
        clients = await begin(site)
        began = [runs_of(site, f"r{n}")[0] for n in range(COUNT)]
        await site.engines[0].stop()
        are_whole = [await read_to_end(client) for client in clients]
        runs = [runs_of(site, f"r{n}") for n in range(COUNT)]
    assert runs == [[engine] for engine in began]
    assert are_whole == [engine == 1 for engine in began]


@pytest.mark.parametrize("nodes", [1, 2])
def test_run_migrates_only_to_an_engine_of_its_version(nodes):
    """An engine leaves: its runs are migrated to an engine of another software version."""

    async def test(site):
        list_versions(site, ("v1", "v2", "v2", "v1"))
        clients = await begin(site, path="/draft/1")
        began = {n: runs_of(site, f"r{n}")[0] for n in range(COUNT)}
        leaving = [n for n, engine in began.items() if engine == 0]
        row = entrysite.server_row(site.engines[0], "llm", state="draining", version="v1")
        site.put("servers/e0", row)
        site.read_store()
        await eventloop.until(lambda: has_migrated(site, 0))
        are_whole = [await read_to_end(client) for client in clients]
        targets = [n for n in leaving if f"r{n}" in site.engines[3].run_by_id]
        return leaving, targets, are_whole

    leaving, targets, are_whole = entrysite.run(
        test, nodes=nodes, engines=4, events=EVENTS, gap_s=0.02
    )
    assert leaving
    assert targets == leaving
    assert are_whole == [True] * COUNT


async def test_run_stays_at_a_leaving_engine_if_its_version_has_no_other():
    async with entrysite.started(events=EVENTS) as site:
        list_versions(site, ("v1", "v2"))
        clients = await begin(site, path="/draft/1")
        began = [runs_of(site, f"r{n}")[0] for n in range(COUNT)]
        row = entrysite.server_row(site.engines[0], "llm", state="draining", version="v1")
        site.put("servers/e0", row)
        site.read_store()
        are_whole = [await read_to_end(client) for client in clients]
        moved = [n for n in range(COUNT) if f"r{n}" in site.engines[1].run_by_id]
    assert moved == [n for n in range(COUNT) if began[n] == 1]
    assert are_whole == [True] * COUNT


async def cut(clients):
    for client in clients:
        client.close()
    await asyncio.sleep(0.1)


async def test_caller_takes_a_stream_up_only_at_the_version_that_began_it():
    """A caller takes its stream up at other instances, twice: it goes on at another version."""
    async with entrysite.started(nodes=3, engines=4, events=EVENTS) as site:
        list_versions(site, ("v1", "v2", "v1", "v2"))
        await cut(await begin(site))
        statuses = []
        for n in range(COUNT):
            statuses.append((await take_up(site, f"r{n}", 20, f"second{n}", node=1))[0])
            statuses.append((await take_up(site, f"r{n}", 40, f"third{n}", node=2))[0])
        runs = [runs_of(site, f"r{n}", f"second{n}", f"third{n}") for n in range(COUNT)]
    assert statuses == [200] * 2 * COUNT
    assert all(len({engine % 2 for engine in each}) == 1 for each in runs), runs


async def test_stream_is_taken_up_though_the_instance_that_began_it_is_gone():
    """An instance is killed: its callers' streams go on at another version at the others."""
    async with entrysite.started(nodes=4, engines=4, events=EVENTS) as site:
        list_versions(site, ("v1", "v2", "v1", "v2"))
        await begin(site)
        await asyncio.sleep(0.4)
        await site.nodes[0].stop()
        statuses = [
            (await take_up(site, f"r{n}", 20, f"second{n}", node=1 + n % 3))[0]
            for n in range(COUNT)
        ]
        runs = [runs_of(site, f"r{n}", f"second{n}") for n in range(COUNT)]
    assert statuses == [200] * COUNT
    assert all(len({engine % 2 for engine in each}) == 1 for each in runs), runs


async def test_stream_of_unknown_beginning_is_refused_while_versions_differ():
    """A stream that no instance knows is taken up: it goes on at a version that was guessed."""
    async with entrysite.started() as site:
        list_versions(site, ("v1", "v2"))
        answers = [await take_up(site, f"nobody{n}", 20, f"r{n}") for n in range(COUNT)]
        runs = [runs_of(site, f"r{n}") for n in range(COUNT)]
    assert [status for status, _ in answers] == [503] * COUNT
    assert {json.loads(body)["code"] for _, body in answers} == {"stream_origin_unknown"}
    assert runs == [[]] * COUNT


async def test_stream_whose_version_is_gone_is_refused_at_once():
    async with entrysite.started(events=EVENTS) as site:
        list_versions(site, ("v1", "v2"))
        await cut(await begin(site))
        version = {n: runs_of(site, f"r{n}")[0] for n in range(COUNT)}
        site.delete("servers/e0")
        site.read_store()
        answers = {n: await take_up(site, f"r{n}", 20, f"second{n}") for n in range(COUNT)}
    assert {n for n, (status, _) in answers.items() if status == 200} == {
        n for n, engine in version.items() if engine == 1
    }
    refused = [body for status, body in answers.values() if status == 503]
    assert refused
    assert {json.loads(body)["code"] for body in refused} == {"version_unavailable"}


async def test_only_version_that_was_ever_listed_began_a_stream_whose_attempt_is_not_named():
    async with entrysite.started(nodes=2) as site:
        more = entrysite.USAGE + "Last-Event-Id: 12\r\n"
        client = await site.nodes[1].request("/tag/1", more=more)
        status, _, body = await client.answer()
        assert (status, body.count(b"id: ")) == (200, 18)


@pytest.mark.parametrize("named", ["Resumes: a\r\nResumes: a\r\n", "Resumes:\r\n"])
async def test_attempt_that_is_not_named_once_is_refused_as_invalid(named):
    async with entrysite.started() as site:
        more = entrysite.USAGE + "Last-Event-Id: 12\r\n" + named
        client = await site.nodes[0].request("/tag/1", more=more)
        status, _, body = await client.answer()
        assert (status, json.loads(body)["code"]) == (400, "request_invalid")
        assert runs_of(site, "r1") == []


async def test_caller_without_events_may_begin_at_any_version():
    """It names an attempt that brought it nothing."""
    async with entrysite.started() as site:
        list_versions(site, ("v1", "v2"))
        more = entrysite.USAGE + "Resumes: nobody\r\n"
        client = await site.nodes[0].request("/tag/1", more=more)
        assert (await client.answer())[0] == 200


async def test_stream_of_another_service_or_team_is_unknown():
    async with entrysite.started(events=EVENTS) as site:
        list_versions(site, ("v1", "v2"))
        await cut(await begin(site, count=1))
        keys = {"clinic": [entrysite.KEY], "court": ["k2"]}
        tenants = [{"name": name, "api_keys": each} for name, each in keys.items()]
        site.put("op/config", json.dumps(entrysite.manifest(2, tenants=tenants)))
        site.read_store()
        assert [
            (await take_up(site, "r0", 20, f"second{key}", key=key))[0]
            for key in ("k2", entrysite.KEY)
        ] == [503, 200]


async def test_resumed_attempt_reaches_the_replica_as_named():
    async with entrysite.started() as site:
        await take_up(site, "x" * 900, 20, "r1")
        (names,) = [run.names for engine in site.engines for run in engine.ledger]
    assert "resumes" in names


async def test_instance_that_has_just_started_asks_the_others():
    async with entrysite.started(nodes=3, engines=4, events=EVENTS) as site:
        list_versions(site, ("v1", "v2", "v1", "v2"))
        await cut(await begin(site))
        await asyncio.sleep(0.4)
        fresh = entrysite.Node(2)
        await site.nodes[2].stop()
        site.nodes[2] = fresh
        await fresh.start()
        for node in site.nodes:
            others = [
                contract.Instance(
                    each.instance.identity.name,
                    each.instance.identity.failure_domain,
                    each.instance.identity.address,
                    each.instance.identity.exchange,
                    False,
                )
                for each in site.nodes
            ]
            node.instance.on_instance_list(tuple(others))
        site.read_store(fresh)
        await eventloop.until(site.is_ready)
        statuses = [
            (await take_up(site, f"r{n}", 20, f"second{n}", node=2))[0] for n in range(COUNT)
        ]
        runs = [runs_of(site, f"r{n}", f"second{n}") for n in range(COUNT)]
    assert statuses == [200] * COUNT
    assert all(len({engine % 2 for engine in each}) == 1 for each in runs), runs


async def test_stream_of_a_server_that_restarted_with_another_version_does_not_go_on():
    """The list is old: a server has restarted under its id with a version that is not listed yet.

    The request is accepted by the new incarnation, and the stream goes on at the listed version.
    """
    async with entrysite.started(engines=3, events=EVENTS) as site:
        (client,) = await begin(site, count=1)
        (number,) = runs_of(site, "r0")
        engine = site.engines[number]
        row = entrysite.server_row(engine, "llm", "ab"[number % 2], version="v2", born=7000)
        site.put(f"servers/{engine.replica_id}", row)
        site.read_store()
        is_whole = await read_to_end(client)
        ran_once = runs_of(site, "r0") == [number]
        status, _ = await take_up(site, "r0", 20, "second")
    assert (is_whole, ran_once, status) == (False, True, 503)


async def test_resumed_streams_begin_as_often_as_new_ones_in_a_crowd():
    """Streams that are taken up starve behind new ones, which may begin at any version."""
    async with entrysite.started(nodes=3, engines=4, events=EVENTS, gap_s=0.02) as site:
        list_versions(site, ("v1", "v2", "v1", "v2"))
        await cut(await begin(site, count=24))
        new, resumed = [], []
        tasks = [
            asyncio.ensure_future(begin_one(site, f"new{n}", entrysite.USAGE, n % 3, new))
            for n in range(60)
        ]
        for n in range(24):
            more = resumption(f"r{n}", 20)
            tasks.append(
                asyncio.ensure_future(begin_one(site, f"again{n}", more, 1 + n % 2, resumed))
            )
            for k in range(5):
                request = begin_one(site, f"new{n}.{k}", entrysite.USAGE, k % 3, new)
                tasks.append(asyncio.ensure_future(request))
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)
        new_share = sum(new) / len(new)
        resumed_share = sum(resumed) / len(resumed)
    assert resumed_share >= new_share / 2


async def begin_one(site, request_id, more, node, begun):
    """Send a request, and append whether its stream begins within two seconds."""
    client = await site.nodes[node].request("/tag/1", request_id=request_id, more=more)
    try:
        async with asyncio.timeout(2.0):
            begun.append((await client.head())[0] == 200)
    except TimeoutError:
        begun.append(False)
    client.close()


def release_unseen_by(site, number):
    """Let two engines run another version, which all instances but one read."""
    for n in (2, 3):
        row = entrysite.server_row(site.engines[n], "llm", "ab"[n % 2], version="v2")
        site.put(f"servers/{site.engines[n].replica_id}", row)
    site.read_store(*(node for node in site.nodes if node is not site.nodes[number]))


@pytest.mark.parametrize("is_store_reached", [True, False])
async def test_stream_taken_up_at_an_instance_out_of_step_goes_on_at_its_version(is_store_reached):
    """An instance stands still while a release begins: it joins streams of two versions."""
    async with entrysite.started(nodes=3, engines=4, events=EVENTS) as site:
        site.nodes[2].feed.is_reached = is_store_reached
        release_unseen_by(site, 2)
        await cut(await begin(site))
        answers = [await take_up(site, f"r{n}", 20, f"second{n}", node=2) for n in range(COUNT)]
        runs = [runs_of(site, f"r{n}", f"second{n}") for n in range(COUNT)]
    assert {each[0] // 2 for each in runs} == {0, 1}
    assert all(len({engine // 2 for engine in each}) == 1 for each in runs), runs
    assert [status for status, _ in answers] == [200] * COUNT, answers
