"""The stand-in engine implements the protocol and injects the faults that are set."""

import json
import socket
import threading
import time

import pytest
import urllib3

from hornbeamglade.standins import engine

WAIT_S = 10.0


@pytest.fixture
def start():
    servers = []

    def _start(**settings):
        server = engine.serve(engine.EngineSettings(threads=8, step_s=0.002, **settings))
        server.start()
        servers.append(server)
        return Client(server)

    yield _start
    for server in servers:
        server.stop()


class Client:
    def __init__(self, server):
        self.server = server
        self.pool = urllib3.HTTPConnectionPool(server.address, retries=False, timeout=WAIT_S)

    def json(self, method, path, body=None):
        response = self.pool.request(method, path, json=body)
        return response.status, response.json()

    def faults(self, **faults):
        assert self.json("PUT", "/standin/faults", faults)[0] == 200

    def open(self, request_id, tokens=20, path="/v1/completions", priority=0, **body):
        headers = {"X-Request-Id": request_id, "X-Priority": str(priority)}
        body = {"model": "draft", "stream": True, "prompt": "hi", "x_answer_tokens": tokens} | body
        return self.pool.request("POST", path, json=body, headers=headers, preload_content=False)

    def run(self, request_id):
        (entry,) = [
            r
            for r in self.json("GET", "/standin/ledger")[1]["runs"]
            if r["request_id"] == request_id
        ]
        return entry

    def wait(self, request_id, state):
        end = time.monotonic() + WAIT_S
        while (entry := self.run(request_id))["state"] != state:
            assert time.monotonic() < end, entry
            time.sleep(0.01)
        return entry


def chunks(response):
    found = []
    try:
        for line in response:
            if line.startswith(b"data: {"):
                found.append(json.loads(line[6:]))
    except urllib3.exceptions.ProtocolError:
        found.append("lost")
    return found


def texts(found):
    return [c["choices"][0].get("text", "") for c in found if c != "lost"]


def test_a_stream_is_complete_and_ends_with_usage(start):
    client = start()
    response = client.open("r1", tokens=5)
    found = chunks(response)
    assert response.headers["X-Request-Id"] == "r1"
    mark = client.run("r1")["mark"]
    assert texts(found) == [f"{mark}.{n} " for n in range(5)] + [""]
    assert found[-1]["choices"][0]["finish_reason"] == "stop"
    assert found[-1]["usage"]["completion_tokens"] == 5


def test_chat_chunks_and_the_callers_token_limit(start):
    response = start().open(
        "r1", 9, "/v1/chat/completions", max_tokens=2, messages=[{"role": "user", "content": "x"}]
    )
    found = chunks(response)
    assert [c["choices"][0]["delta"].get("content", "")[-3:] for c in found] == [".0 ", ".1 ", ""]
    assert found[-1]["choices"][0]["finish_reason"] == "length"


def test_a_full_engine_preempts_sends_keep_alives_and_still_delivers_all(start):
    client = start(capacity_tokens=160, keep_alive_s=0.02)
    answers = [client.open(f"r{n}", tokens=100, priority=n) for n in range(2)]
    found = [chunks(response) for response in reversed(answers)]
    assert [len(f) for f in found] == [101, 101]
    assert client.json("GET", "/load")[1]["preemptions"] >= 1


def test_a_stream_that_fills_the_memory_ends_without_waiting_for_a_keep_alive(start):
    found = chunks(start(capacity_tokens=160, keep_alive_s=60.0).open("r1", tokens=4000))
    assert found[-1]["choices"][0]["finish_reason"] == "length"
    assert len(found) == found[-1]["usage"]["completion_tokens"] + 1


def test_closing_cancels_and_frees_the_memory(start):
    client = start()
    response = client.open("r1", tokens=4000)
    response.connection.sock.shutdown(socket.SHUT_RDWR)
    assert client.wait("r1", "cancelled")["tokens"] < 4000
    assert client.json("GET", "/load")[1]["used_tokens"] == 0


def test_delete_cancels(start):
    client = start()
    response = client.open("r1", tokens=4000)
    assert client.json("DELETE", "/v1/streams/r1") == (200, {"cancelled": True})
    assert chunks(response)[-2]["error"]["code"] == "cancelled"
    assert client.json("DELETE", "/v1/streams/r1")[0] == 404


def test_a_lost_stream_is_resumed_after_the_offset(start):
    client = start()
    client.faults(die_after_tokens=4)
    first = chunks(client.open("r1", tokens=10))
    client.faults()
    response = client.pool.request(
        "GET",
        "/v1/streams/r1",
        headers={"Last-Event-ID": "3", "X-Request-Id": "r1"},
        preload_content=False,
    )
    whole = texts(first) + texts(chunks(response))
    mark = client.run("r1")["mark"]
    assert first[-1] == "lost"
    assert whole == [f"{mark}.{n} " for n in range(10)] + [""]


def test_without_resume_a_lost_stream_is_gone(start):
    client = start(resume=False)
    client.faults(die_after_tokens=4)
    assert chunks(client.open("r1", tokens=4000))[-1] == "lost"
    assert client.json("GET", "/v1/streams/r1")[0] == 404
    client.wait("r1", "cancelled")


def test_refused_requests_are_not_run(start):
    client = start()
    client.faults(refuse=True)
    response = client.open("r1")
    assert (response.status, response.headers["X-Not-Run"]) == (503, "true")
    ledger = client.json("GET", "/standin/ledger")[1]
    assert (ledger["runs"], ledger["refused"]) == ([], 1)


@pytest.mark.parametrize("body", [{"model": "other"}, {"stream": False}, {"prompt": "x" * 9**6}])
def test_invalid_requests_get_an_error(start, body):
    assert start().open("r1", **body).status in (400, 404)


def test_load_reports_lag_and_can_be_disabled(start):
    client = start(load_lag_s=30.0)
    client.open("r1", tokens=4000)
    load = client.json("GET", "/load")[1]
    assert (load["running"], load["waiting"], load["models"]) == (0, 0, ["draft"])
    client.faults(mute_load=True)
    with pytest.raises(urllib3.exceptions.ProtocolError):
        client.json("GET", "/load")


def test_cache_events_have_gaps(start):
    client = start(event_drop_every=2, prefix_hashes=lambda prompt: (11, 12, 13))
    chunks(client.open("r1", prompt="x" * 400))
    response = client.json("GET", "/cache-events?after=1")[1]
    assert response == {"events": [{"sequence": 3, "kind": "stored", "block": 13}], "next": 3}


@pytest.mark.parametrize(("checks", "status"), [(True, 409), (False, 200)])
def test_orders_with_an_old_fencing_number(start, checks, status):
    client = start(checks_fencing=checks)
    client.json("POST", "/orders", {"fencing": 5, "wanted": {"models": ["new"]}})
    old = client.json("POST", "/orders", {"fencing": 4, "wanted": {"models": ["old"]}})
    assert old[0] == status
    present = client.json("GET", "/orders")[1]["present"]["models"]
    assert present == (["new"] if checks else ["old"])


def test_stopping_frees_the_port_while_streams_run(start):
    client = start()
    response = client.open("r1", tokens=4000)
    stopper = threading.Thread(target=client.server.stop)
    stopper.start()
    assert chunks(response)[-1] == "lost"
    stopper.join()
    host, _, port = client.server.address.partition(":")
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection((host, int(port)))
