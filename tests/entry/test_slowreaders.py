"""The bound on held memory at an entry instance: its setting, refusals, metrics and log lines."""

import pytest

from hornbeamglade.entry import componentsettings
from hornbeamglade.observability import logs
from tests.entry import site as entrysite
from tests.http1 import test_buffermemory


@pytest.mark.parametrize(("memory_mb", "bound"), [(None, None), (129, 38_700_000)])
def test_bound_follows_the_setting(memory_mb, bound):
    """Without the setting an instance has no bound, as before it existed."""
    node = entrysite.Node(0)
    assert node.instance.memory.bound_bytes is None
    changed = node.settings.model_copy(update={"memory_mb": memory_mb})
    assert componentsettings.buffer_bound(changed) == bound
    node.instance.apply_settings(changed)
    assert node.instance.memory.bound_bytes == bound


@pytest.mark.parametrize(("bound", "status"), [(80_000, 503), (None, 200)])
async def test_large_body_is_refused_only_at_the_bound(bound, status, monkeypatch):
    lines = []
    monkeypatch.setattr(logs.eliot, "log_message", lambda **record: lines.append(record))

    async with entrysite.started() as site:
        node = site.nodes[0]
        node.instance.memory.bound_bytes = bound
        client = await node.request("/list/1", body=b"x" * 90_000)
        received = (await client.answer())[0]
        metrics = node.instance.metrics().decode().splitlines()
        ran = sum(len(each.ledger) for each in site.services)
    is_refused = status == 503
    assert (received, ran) == (status, 0 if is_refused else 1)
    assert f"hornbeamglade_held_bytes_bound {float(bound or 0)}" in metrics
    assert ("hornbeamglade_refused_bodies_total 1.0" in metrics) == is_refused
    refused = [each for each in lines if each.get("outcome") == "body_refused"]
    assert [each["bytes"] for each in refused] == ([90_000] if is_refused else [])


def test_closed_connection_is_counted_and_logged(monkeypatch):
    lines = []
    monkeypatch.setattr(logs.eliot, "log_message", lambda **record: lines.append(record))
    node = entrysite.Node(0)
    node.instance.callers.closed_unread("127.0.0.1:5", 70_000, 12)
    assert b"hornbeamglade_closed_unread_total 1.0" in node.instance.metrics()
    logged = [(each["address"], each["bytes"], each["held_bytes"]) for each in lines]
    assert logged == [("127.0.0.1:5", 70_000, 12)]


def test_what_callers_have_read_is_noticed_without_further_writes():
    """A sum that keeps what was read long ago would refuse bodies without need."""
    node = entrysite.Node(0)
    reader = test_buffermemory.FakeReader(node.instance.memory)
    reader.write(70_000)
    reader.unsent = 0
    assert node.instance.memory.held_bytes == 70_000
    node.instance.clean_up()
    assert node.instance.memory.held_bytes == 0
