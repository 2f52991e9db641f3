"""Services whose routes' objectives differ by a factor of 2 or more, as configured."""

import asyncio

import pytest

from hornbeamglade.core import outcomes
from hornbeamglade.grants import replicascheduler
from hornbeamglade.observability import logs
from hornbeamglade.replicas import departures
from tests.entry import site as entrysite


def routes(goal_ms):
    return [
        entrysite.route("draft", "streaming", "llm", goal_ms=goal_ms, max_attempts=1),
        entrysite.route("tag", "streaming", "llm", goal_ms=1500, resumable=True),
        entrysite.route("hold", "non_idempotent", "web", goal_ms=100, max_attempts=1),
    ]


@pytest.mark.parametrize(("goal_ms", "is_mixed"), [(2900, False), (3000, True)])
async def test_engines_of_a_service_get_the_switch_of_its_routes(goal_ms, is_mixed):
    """The objective of another service's route must not change how a service is served."""
    async with entrysite.started(engines=2) as site:
        site.configure(2, routes=routes(goal_ms))
        found = []
        for engine in site.engines:
            site.nodes[0].instance._schedulers.apply(
                engine.replica_id,
                lambda scheduler, _now: found.append(scheduler.queue.has_mixed_objectives),
            )
        assert found == [is_mixed] * 2


async def test_a_request_with_slack_starts_when_the_backlog_has_drained():
    """Without a call at that time, it would wait for the next tick, up to 0.25 s later."""
    async with entrysite.started(engines=1) as site:
        site.configure(2, routes=routes(9000))
        instance, engine = site.nodes[0].instance, site.engines[0].replica_id
        for task in site.nodes[0]._tasks:
            task.cancel()
        schedulers = instance._schedulers
        scheduled = asyncio.get_running_loop().create_future()

        # 0.35 s of prompts.
        schedulers.apply(engine, lambda scheduler, now: scheduler.prompts.add(2450, now))
        work = outcomes.Work("r1", "draft", "clinic", 0, prompt_tokens=100)
        now = instance._clock.now()
        first = schedulers.request_grant(
            engine, work, 1.0, now + 10, scheduled.set_result, now + 8.5
        )
        async with asyncio.timeout(5):
            later = (await scheduled).answer
    assert isinstance(first, replicascheduler.Queued)
    assert isinstance(later, replicascheduler.Granted)


async def test_departures_in_the_list_reach_the_schedulers():
    """Without them, new requests would fill the memory that migrated runs need."""
    async with entrysite.started(engines=8) as site:
        shares = []

        def read(scheduler, now):
            shares.append(scheduler.departing_share(now))

        for number in range(2):
            site.leave(number)
            site.read_store()
            site.nodes[0].instance._schedulers.apply(site.engines[3].replica_id, read)
        assert shares == [0.0, 0.25]


async def test_memory_for_departing_engines_is_shown_and_logged_when_it_begins_and_ends(
    monkeypatch,
):
    """Requests waited at engines with free memory, and nothing told why.

    One line per change, and the gauge returns to 0, also when the service has no engine left.
    """
    lines = []
    monkeypatch.setattr(logs, "state_changed", lambda *states, **fields: lines.append(states))

    async with entrysite.started(engines=8) as site:
        site.configure(2, routes=routes(3000))
        instance = site.nodes[0].instance
        tokens = []
        for number in (None, 0, 1):
            if number is not None:
                site.leave(number)
                site.read_store()
            instance._reserved.update()
            instance.metrics()
            gauge = instance.instruments.routed.reserved_tokens
            tokens.append(gauge.value(("llm", "departing")))
        instance._reserved.update()
        instance._departures = departures.Departures()
        instance._reserved.update()
        monkeypatch.setattr(instance._reserved, "_owned_engines", list)
        instance.metrics()
        tokens = [*tokens, gauge.value(("llm", "departing"))]
    assert [each > 0 for each in tokens] == [False, False, True, False]
    assert [each for each in lines if each[0] == "departing_memory"] == [
        ("departing_memory", "none", "reserved"),
        ("departing_memory", "reserved", "none"),
    ]
