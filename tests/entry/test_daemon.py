"""The periodic work of the process of an entry instance."""

import asyncio

import yaml

from hornbeamglade.entry import daemon
from tests import eventloop
from tests.entry import test_settings


async def test_error_in_a_tick_is_logged_and_does_not_end_the_ticks(tmp_path, monkeypatch):
    """The instance would send no heartbeats any more and still appear ready."""
    path = tmp_path / "entry.yaml"
    path.write_text(yaml.safe_dump(test_settings.GOOD))
    started = daemon.Daemon(str(path))
    ticks, logged = [], []

    def tick():
        ticks.append(None)
        if len(ticks) < 5:
            raise OverflowError("too large")

    monkeypatch.setattr(started.instance, "tick", tick)
    monkeypatch.setattr(started, "_update_followers", lambda: None)
    monkeypatch.setattr(daemon.logs, "log_internal_error", lambda *about: logged.append(about[0]))

    task = asyncio.create_task(started._tick())
    await eventloop.until(lambda: task.done() or len(ticks) > 6)
    is_running = not task.done()
    task.cancel()
    assert is_running
    assert logged == ["tick"]
