"""Streams taken up at an instance that stood still while a release began, as real processes."""

import asyncio
import contextlib
import json
import re
import signal

import pytest

from hornbeamglade.bench import loadprocesses
from hornbeamglade.localsite import routedsite, tcpproxy
from tests import eventloop
from tests.http1 import raw

KEY = "k1"
STREAMS = 24
EVENTS = 60
CONNECT_S = 0.2
"""Time in which the callers connect to the instance that stands still."""

REFUSED_S = 0.1
TIMEOUT_S = 30.0
VICTIM = "entry-0"
EVENT = re.compile(rb"^data: \S+ (v\d)\r?$", re.MULTILINE)


class FirstStart(routedsite.RoutedSite):
    """A site that starts for the first time."""

    def _settings(self, name):
        return super()._settings(name) | {"is_first_start": True}


@pytest.fixture
def store():
    """A proxy between the instances and the store."""
    with contextlib.closing(tcpproxy.TcpProxies(routedsite.STORE)) as proxies:
        yield proxies


@pytest.fixture
def site(tmp_path, store):
    shape = routedsite.Shape(instances=4, engines=4, services=1, events=EVENTS, route=store.route)
    with FirstStart(shape, tmp_path) as started:
        yield started


def logged(site, name, subject, key):
    """Return the values of a field in an instance's log lines on a subject."""
    text = (site.folder / f"{name}.out").read_text()
    lines = [json.loads(line) for line in text.splitlines()]
    return {each[key] for each in lines if each.get("subject") == subject}


def are_introduced(site):
    names = set(site.instance_names)
    return all(logged(site, name, "member", "node") == names for name in names)


def have_read(site, names, place):
    replica = site.server_by_place[place]
    full_id = f"{replica.replica_id}@{replica.born}"
    return all(full_id in logged(site, name, "replica", "replica") for name in names)


async def send(site, name, request_id, more=""):
    client = await raw.RawClient.connect(site.callers_address(name))
    head = (
        f"POST /tag/1 HTTP/1.1\r\nHost: mail.example\r\nAttempt-Id: {request_id}\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: 4\r\nModel: m\r\n"
        f"Token-Usage: 100,50\r\n{more}\r\n"
    )
    await client.send(head.encode() + b"body")
    return client


async def begin(site, name, request_id):
    """Begin a stream, and break its connection after some events; return its version.

    The owner of an engine may be the instance that stands still; a refused stream is sent again.
    """
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            client = await send(site, name, request_id)
            status, _ = await client.head()
            if status != 503:
                break
            client.close()
            await asyncio.sleep(REFUSED_S)
    assert status == 200
    read = b""
    while len(EVENT.findall(read)) < 4:
        read += await client.reader.read(1000)
    client.close()
    (version,) = set(EVENT.findall(read))
    return version


async def take_up(site, request_id):
    """Take a stream up at the instance that stood still; return the status and the versions."""
    more = f"Resumes: {request_id}\r\nLast-Event-Id: 3\r\n"
    client = await send(site, VICTIM, f"{request_id}-again", more)
    status, _, body = await client.answer()
    return status, set(EVENT.findall(body))


async def release_during_a_pause(site, store, silent_s):
    victim = site.child_by_name[VICTIM]
    others = [name for name in site.instance_names if name != VICTIM]
    victim.send(signal.SIGSTOP)
    if silent_s:
        store.reset_connections()
    for place in ("engine-2", "engine-3"):
        assert site.list_server(site.server_by_place[place])
    loadprocesses.wait_until(
        lambda: have_read(site, others, "engine-3"), "the others to read the list", (), TIMEOUT_S
    )
    begun = await asyncio.gather(
        *(begin(site, others[n % len(others)], f"r{n}") for n in range(STREAMS))
    )
    taken_up = [asyncio.ensure_future(take_up(site, f"r{n}")) for n in range(STREAMS)]
    await asyncio.sleep(CONNECT_S)
    if silent_s:
        store.partition(tcpproxy.Partition.HANG)
    victim.send(signal.SIGCONT)
    await asyncio.sleep(silent_s)
    store.release()
    return begun, await asyncio.gather(*taken_up)


@pytest.mark.parametrize("silent_s", [0.0, 1.0])
def test_streams_taken_up_where_an_instance_stood_still_go_on_at_their_version(
    site, store, silent_s
):
    """An instance is stopped while replicas of another version join: streams are joined there."""
    for place in ("engine-2", "engine-3"):
        site.unlist_server(site.start_server(place, version="v2"))
    assert site.configure({"clinic": (KEY,)})
    site.start_instances()
    loadprocesses.wait_until(lambda: are_introduced(site), "introductions", (), TIMEOUT_S)
    begun, answers = eventloop.run(release_during_a_pause(site, store[routedsite.STORE], silent_s))
    assert set(begun) == {b"v1", b"v2"}
    joined = [n for n, (_, seen) in enumerate(answers) if seen and seen != {begun[n]}]
    assert joined == []
    assert [status for status, _ in answers] == [200] * STREAMS
