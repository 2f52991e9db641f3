"""Instances that are partitioned from all replicas while everything else reaches them."""

import asyncio

import pytest

from hornbeamglade.localsite import tcpproxy
from hornbeamglade.standins import routedfaults
from tests import eventloop
from tests.entry import site as entrysite

PLAIN, SINGLE, STREAM, SINGLE_STREAM = "/list/1", "/hold/1", "/tag/1", "/draft/1"
PATHS = (PLAIN, SINGLE, STREAM, SINGLE_STREAM)
CONTACT_S = 3.0
"""Seconds after the start of a partition from which its instance must serve."""

GAP_S = 0.1
SHAPE = {"nodes": 4, "engines": 3, "services": 3, "events": 3, "has_links": True}


async def send(node, path, number):
    client = await node.request(path, request_id=f"r{number}", more=entrysite.USAGE)
    return (await client.answer())[0]


async def send_steadily(node, seconds, prefix, paths=PATHS):
    """Send requests of all kinds in turn; return their statuses."""
    tasks = []
    for number in range(int(seconds / GAP_S)):
        path = paths[number % len(paths)]
        tasks.append(asyncio.ensure_future(send(node, path, f"{prefix}{number}")))
        await asyncio.sleep(GAP_S)
    return await asyncio.gather(*tasks)


@pytest.mark.parametrize("how", tcpproxy.Partition)
async def test_instance_partitioned_from_all_replicas_serves_every_first_try(how):
    """Guards against own connections as the only path to replicas that others reach."""
    async with entrysite.started(**SHAPE) as site:
        cut = site.nodes[0]
        await send_steadily(cut, 1.0, "before")
        site.partition(cut, how)
        during = asyncio.ensure_future(send_steadily(cut, CONTACT_S, "during"))
        await asyncio.sleep(CONTACT_S)
        statuses = await send_steadily(cut, 2.0, "after")
        during.cancel()
        assert set(statuses) == {200}


@pytest.mark.parametrize("how", tcpproxy.Partition)
async def test_idle_instance_notices_a_partition_with_its_first_requests(how):
    async with entrysite.started(**SHAPE) as site:
        cut = site.nodes[0]
        site.partition(cut, how)
        await asyncio.sleep(CONTACT_S)
        assert set(await send_steadily(cut, 1.0, "after")) == {200}


async def test_most_instances_of_a_site_may_be_partitioned_at_the_same_time():
    async with entrysite.started(**SHAPE) as site:
        for cut in site.nodes[:-1]:
            site.partition(cut, tcpproxy.Partition.HANG)
        during = asyncio.gather(
            *(send_steadily(cut, CONTACT_S, "during") for cut in site.nodes[:-1])
        )
        await asyncio.sleep(CONTACT_S)
        answers = await asyncio.gather(
            *(send_steadily(cut, 1.0, f"{cut.settings.name}.") for cut in site.nodes[:-1])
        )
        during.cancel()
        statuses = [status for statuses in answers for status in statuses]
    assert statuses.count(200) >= 0.95 * len(statuses)


async def test_instance_uses_its_own_connections_again_after_a_partition():
    async with entrysite.started(**SHAPE) as site:
        cut = site.nodes[0]
        site.partition(cut, tcpproxy.Partition.HANG)
        await send_steadily(cut, CONTACT_S, "during")
        site.heal(cut)
        await send_steadily(cut, 2.0, "healing")
        for other in site.nodes[1:]:
            await other.stop()
        assert set(await send_steadily(cut, 0.4, "after", paths=(PLAIN, SINGLE))) == {200}


async def test_dead_server_is_told_from_a_partition():
    """A server that nobody reaches is down; the others serve without delay."""
    async with entrysite.started(**SHAPE) as site:
        await site.services[0].stop()
        began_at = asyncio.get_running_loop().time()
        statuses = [await send(site.nodes[0], PLAIN, f"r{number}") for number in range(20)]
        took_s = asyncio.get_running_loop().time() - began_at
    assert set(statuses) == {200}
    assert took_s < 1.0


async def test_partition_does_not_count_as_a_crash_of_the_replicas():
    """Requests whose connections are refused by a partition are not blamed for crashes."""
    async with entrysite.started(**SHAPE) as site:
        cut = site.nodes[0]
        for number in range(6):
            site.partition(cut, tcpproxy.Partition.RESET)
            await send_steadily(cut, 0.4, f"same{number}", paths=(PLAIN,))
            site.heal(cut)
            await send_steadily(cut, 0.2, f"heal{number}", paths=(PLAIN,))
        assert [node.instance.quarantine.quarantined_count for node in site.nodes] == [0] * 4


async def test_silence_on_one_kept_connection_saves_the_requests_on_the_others():
    """Guards against requests on one dead connection after the other."""
    async with entrysite.started(**(SHAPE | {"services": 1})) as site:
        cut = site.nodes[0]
        site.services[0].faults = routedfaults.RoutedFaults(delay_s=0.1)
        await asyncio.gather(*(send(cut, SINGLE, f"keep{number}") for number in range(4)))
        site.partition(cut, tcpproxy.Partition.HANG)
        lost = asyncio.ensure_future(send(cut, SINGLE, "lost"))
        await asyncio.sleep(0.8)
        statuses = [await send(cut, SINGLE, f"r{number}") for number in range(3)]
        lost.cancel()
        assert statuses == [200] * 3


def relayed_count(node):
    return node.instance.tunneling.relayed_count


async def test_leaving_instance_completes_relayed_streams_and_relays_no_further_ones():
    async with entrysite.started(**(SHAPE | {"events": 30, "gap_s": 0.1})) as site:
        cut, *others = site.nodes
        site.partition(cut, tcpproxy.Partition.RESET)
        client = await cut.request(SINGLE_STREAM, more=entrysite.USAGE)
        await client.head()
        # Reports of engines are relayed for a moment, the stream until its end.
        await eventloop.until(lambda: sum(map(relayed_count, others)) == 1)
        (relay,) = filter(relayed_count, others)
        relay.instance.leave()
        statuses = await asyncio.gather(*(send(cut, PLAIN, f"r{number}") for number in range(8)))
        relayed = relayed_count(relay)
        events = await client.reader.readuntil(b"0\r\n\r\n")
        statuses = set(statuses)
        events = events.count(b"data:")
    assert statuses == {200}
    assert relayed == 1
    assert events == 30


async def test_caller_s_disconnect_ends_the_run_behind_a_tunnel():
    async with entrysite.started(**(SHAPE | {"events": 200})) as site:
        cut = site.nodes[0]
        site.partition(cut, tcpproxy.Partition.RESET)
        client = await cut.request(SINGLE_STREAM, more=entrysite.USAGE)
        await client.head()
        client.close()
        await asyncio.sleep(0.5)
        (run,) = (run for engine in site.engines for run in engine.run_by_id.values())
        assert not run.is_alive
