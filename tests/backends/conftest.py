"""Fixtures that start stand-in backend servers."""

import contextlib
import json
import time

import pytest
import urllib3

from hornbeamglade.standins import engine, plainservice
from tests import reservedports

WAIT_S = 10.0


class Backend:
    def __init__(self, server):
        self.server = server
        self.address = server.address
        self._pool = urllib3.HTTPConnectionPool(server.address, timeout=WAIT_S)

    def faults(self, **faults):
        response = self._pool.request("PUT", "/standin/faults", body=json.dumps(faults))
        assert response.status == 200

    def ledger(self):
        return self._pool.request("GET", "/standin/ledger").json()

    def state(self, request_id="r1"):
        return [r["state"] for r in self.ledger()["runs"] if r["request_id"] == request_id]

    def wait_for_state(self, state):
        _wait_until(lambda: self.state() == [state])

    def wait_for_tokens(self, count):
        _wait_until(lambda: self.ledger()["runs"][0]["tokens"] >= count)


def _wait_until(is_reached):
    end = time.monotonic() + WAIT_S
    while not is_reached():
        assert time.monotonic() < end
        time.sleep(0.01)


@pytest.fixture
def start_engine():
    """Start engines; the port of one that stops refuses connections until the test ends."""
    with contextlib.ExitStack() as ports:
        servers = []

        def _start(**settings):
            settings = {"threads": 6, "step_s": 0.002, "keep_alive_s": 0.05} | settings

            def serve(bind):
                return engine.serve(engine.EngineSettings(bind=bind, **settings))

            servers.append(ports.enter_context(reservedports.kept_port(serve)))
            servers[-1].start()
            return Backend(servers[-1])

        yield _start
        for server in servers:
            server.stop()


@pytest.fixture
def plain():
    server = plainservice.serve(plainservice.PlainSettings(threads=4))
    server.start()
    yield Backend(server)
    server.stop()
