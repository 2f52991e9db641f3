"""A placer with stand-in engines over HTTP."""

import json
import random
import time

import pytest
import urllib3

from hornbeamglade import leases, placement
from hornbeamglade.backends import orders
from hornbeamglade.configuration import models
from hornbeamglade.core import clocks
from hornbeamglade.placement import placementvalues
from hornbeamglade.standins import engine
from hornbeamglade.store import memory
from tests.backends import scripted

TIMEOUT_S = 20.0
WANTED = orders.EngineState(frozenset({"draft@2"}), frozenset(), "mixed")
LOAD_RATE = placement.LoadRateSettings(loads_per_s=100.0)
ROLLOUT = placement.PlacementSettings(load_rate=LOAD_RATE, propagation_s=0.05, back_off_s=0.01)
PLACER = placement.PlacerSettings(flight_s=0.1)


@pytest.fixture
def servers():
    started = [
        engine.serve(engine.EngineSettings(threads=8, step_s=0.002, checks_fencing=checks))
        for checks in (True, False)
    ]
    for server in started:
        server.start()
    yield started
    for server in started:
        server.stop()


@pytest.fixture
def placer(servers):
    clock = clocks.SystemClock()
    replica_by_name = {
        f"e{number}": models.Replica(
            address=server.address, failure_domain="z1", checks_fencing=number == 0
        )
        for number, server in enumerate(servers)
    }
    desired = placementvalues.DesiredState(1, WANTED, replica_by_name)
    decisions = placement.Rollout(desired, ROLLOUT, PLACER.flight_s, random.Random(1), clock.now())
    table = memory.MemoryPlatform(clock)
    lease = leases.LeaseHolder(table, clock, "pool", "n1", PLACER.term_s, PLACER.flight_s)
    engines = placement.HttpEngineClient(clock)
    return placement.Placer(lease, decisions, engines, lambda: True, lambda: 1, PLACER, clock)


def step_until(placer, is_reached):
    end = time.monotonic() + TIMEOUT_S
    while not is_reached():
        assert time.monotonic() < end, placer.statuses()
        placer.step()
        time.sleep(0.01)


def ledger(pool):
    return pool.request("GET", "/standin/ledger").json()


def conditions(placer):
    return {status.condition for status in placer.statuses().values()}


def test_orders_reach_the_engines_over_http(placer, servers):
    step_until(placer, lambda: conditions(placer) == {placement.PlacementCondition.IN_SYNC})
    for server in servers:
        received = ledger(urllib3.HTTPConnectionPool(server.address))["orders"]
        assert {tuple(order["wanted"]["models"]) for order in received} == {("draft@2",)}


def test_model_is_not_unloaded_while_its_stream_runs(placer, servers):
    pool = urllib3.HTTPConnectionPool(servers[0].address, maxsize=2, timeout=TIMEOUT_S)
    body = {"model": "draft", "stream": True, "prompt": "hi", "x_answer_tokens": 100_000}
    headers = {"X-Request-Id": "r1"}
    response = pool.request(
        "POST", "/v1/completions", json=body, headers=headers, preload_content=False
    )
    waiting = placement.PlacementCondition.WAITING_FOR_STREAMS
    step_until(placer, lambda: placer.statuses()["e0"].condition is waiting)
    for _ in range(20):
        placer.step()
        time.sleep(0.01)
    assert ledger(pool)["orders"] == []
    assert ledger(pool)["runs"][0]["state"] == "running"
    pool.request("DELETE", "/v1/streams/r1")
    response.close()
    step_until(placer, lambda: conditions(placer) == {placement.PlacementCondition.IN_SYNC})


def test_stream_count_is_dated_by_the_age_in_the_report():
    report = {"sequence": 1, "age_s": 3.0, "running": 2, "waiting": 1, "leaving": False}
    body = json.dumps(report).encode()
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    with scripted.server(head + body) as address:
        replica = models.Replica(address=address, failure_domain="z1")
        streams = placement.HttpEngineClient(clocks.ManualClock(100.0)).stream_count(replica)
    assert streams == placement.StreamCount(3, 97.0)


def test_unreachable_engine_has_no_stream_count(servers):
    address = servers[0].address
    servers[0].stop()
    replica = models.Replica(address=address, failure_domain="z1")
    engines = placement.HttpEngineClient(clocks.SystemClock())
    assert engines.stream_count(replica) is None
    assert isinstance(engines.read(replica), orders.NotSent)
