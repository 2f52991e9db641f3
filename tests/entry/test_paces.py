"""Paces of engines, from the relayed streams to the owner and the other instances."""

import asyncio
import json

import pytest

from hornbeamglade.speeds import enginespeeds
from tests import eventloop
from tests.entry import site as entrysite
from tests.entry import test_streams


def outlooks(site):
    """Return each instance's known paces of the engines."""
    return [
        {
            each.replica: each.outlook.pace.token_s
            for each in node.instance.catalog.candidates("llm", frozenset())
            if each.outlook is not None and each.outlook.pace is not None
        }
        for node in site.nodes
    ]


@pytest.mark.parametrize("node", [0, 1])
async def test_pace_of_a_relayed_stream_is_known_to_all_instances(monkeypatch, node):
    """The relaying instance need not own the engine, and others choose without its pace."""
    monkeypatch.setattr(enginespeeds.EngineSpeeds, "is_enabled", lambda self, service: True)

    async with entrysite.started(nodes=2) as site:
        client = await site.nodes[node].request("/draft/1", more=entrysite.USAGE)
        await client.answer()
        used = [engine for engine in site.engines if engine.ledger]
        await eventloop.until(lambda: all(outlooks(site)))
        assert (len(used), [len(each) for each in outlooks(site)]) == (1, [1, 1])


async def test_paces_are_neither_measured_nor_published_without_shared_machines():
    """Services on dedicated machines are served as before."""
    expected = (test_streams.stream_body("r1"), [{}, {}], [{}, {}])
    async with entrysite.started(nodes=2) as site:
        client = await site.nodes[0].request("/draft/1", more=entrysite.USAGE)
        _, _, body = await client.answer()
        await asyncio.sleep(0)
        pages = [json.loads(each.instance.status())["slow_factors"] for each in site.nodes]
        assert (body, outlooks(site), pages) == expected
