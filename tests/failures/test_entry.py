"""Entry instances as processes: stops, signals, settings, and logs without a reader."""

import concurrent.futures
import contextlib
import json
import signal
import socket
import subprocess
import sys
import time

import pytest
import urllib3
import yaml

from hornbeamglade.platform import storeclient
from hornbeamglade.routed import drainadmission
from hornbeamglade.store import contract
from tests.entry import site as entrysite

TIMEOUT_S = 30.0
HEADERS = {"Host": entrysite.HOST, "Authorization": f"Bearer {entrysite.KEY}"}


def until(condition):
    ends_at = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < ends_at
        time.sleep(0.02)


class Processes:
    """A store, one plain server, one engine and entry instances as processes."""

    def __init__(self, folder):
        self._folder = folder
        self._started = []
        self.http = urllib3.PoolManager(retries=False, timeout=10.0, maxsize=20)

    def start(self, *arguments, **options):
        command = [sys.executable, "-m", "hornbeamglade", *arguments]
        options = {"stdout": subprocess.PIPE} | options
        process = subprocess.Popen(command, text=True, **options)
        self._started.append(process)
        return process

    def standin(self, *arguments):
        process = self.start("standin", *arguments, "--bind", "127.0.0.1:0")
        return process, process.stdout.readline().strip()

    def set_up(self):
        _, self.store = self.standin("platform")
        _, self.web = self.standin("routed", "--id", "w0")
        self.engine, self.engine_address = self.standin(
            "routed", "--id", "e0", "--events", "60", "--gap", "0.03"
        )
        self.client = storeclient.StoreClient(self.store)
        self.put("op/config", json.dumps(entrysite.manifest()))
        for name, service, address in (
            ("w0", "web", self.web),
            ("e0", "llm", self.engine_address),
        ):
            server = type("Server", (), {"address": address})
            self.put(f"servers/{name}", entrysite.server_row(server, service))

    def put(self, key, value):
        outcome = self.client.transact((), (contract.Put(key, value),))
        assert isinstance(outcome, contract.Committed)

    def settings(self, number, **changes):
        port = entrysite.free_port(socket.SOCK_DGRAM)
        addresses = [f"127.0.0.1:{entrysite.free_port(socket.SOCK_STREAM)}" for _ in range(2)]
        settings = {
            "name": f"entry-{number}",
            "host": "127.0.0.1",
            "failure_domain": "a",
            "region": "r",
            "listen": {"callers": addresses[0], "readiness": addresses[1]},
            "exchange_ports": [port, port],
            "store": self.store,
            "budget": {"ratio": 0.2, "slack": 50, "window_s": 10},
            "bounds": {"stop_s": 8, "address_ttl_s": 5},
        }
        path = self._folder / f"entry-{number}.yaml"
        settings |= changes
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        return path, [settings["listen"]["callers"], settings["listen"]["readiness"]]

    def entry(self, number=0, *, log=None, **changes):
        path, addresses = self.settings(number, **changes)
        stream = log or (self._folder / f"entry-{number}.log").open("w")
        process = self.start("entry", "--settings", str(path), stdout=stream)
        until(lambda: self.is_ready(addresses[1]))
        return process, path, addresses

    def is_ready(self, address):
        try:
            return self.http.request("GET", f"http://{address}/v1/readyz").status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def ask(self, address, path="/list/1", request_id="r1", events=50, **options):
        headers = HEADERS | {"Attempt-Id": request_id, "Deadline-Ms": "20000"}
        if path.startswith(("/draft", "/tag")):
            headers |= {"Model": "m", "Token-Usage": f"100,{events}"}
        url = f"http://{address}{path}"
        return self.http.request("POST", url, headers=headers, body=b"body", **options)

    def set_faults(self, server, **faults):
        url = f"http://{server}/standin/faults"
        self.http.request("PUT", url, body=json.dumps(faults))

    def run_count(self):
        """Return the number of requests that the plain server and the engine were sent."""
        ledgers = [
            self.http.request("GET", f"http://{server}/standin/ledger").json()
            for server in (self.web, self.engine_address)
        ]
        return sum(len(each) for each in ledgers)

    def log(self, number=0):
        text = (self._folder / f"entry-{number}.log").read_text()
        return [json.loads(line) for line in text.splitlines()]

    def stop(self):
        for process in reversed(self._started):
            process.kill()
            process.wait()


@pytest.fixture
def processes(tmp_path):
    started = Processes(tmp_path)
    try:
        started.set_up()
        yield started
    finally:
        started.stop()


def test_planned_stop_finishes_requests_in_progress(processes):
    """An instance is stopped while it streams a response, and the caller keeps reading.

    The platform sends SIGTERM and kills the instance eight seconds later. The stream must
    be completed, a request on an open connection must still get a response, and the
    instance must no longer report that it is ready.
    """
    process, _, addresses = processes.entry()
    stream = processes.ask(addresses[0], "/draft/1", preload_content=False)
    pieces = stream.stream()
    first = next(pieces)
    process.send_signal(signal.SIGTERM)
    until(lambda: not processes.is_ready(addresses[1]))
    late = processes.ask(addresses[0], request_id="r2")
    rest = b"".join(pieces)
    assert (first + rest).count(b"data: r1.") == 60
    assert (late.status, late.headers["Connection"]) == (200, "close")
    assert process.wait(TIMEOUT_S) == 0
    states = [line["after"] for line in processes.log() if line.get("subject") == "node"]
    assert states == ["serving", "leaving", "stopped"]


def test_planned_stop_answers_requests_that_replicas_have_not_answered(processes):
    """At the limit of a stop, connections of requests without an answer were just closed."""
    process, _, addresses = processes.entry(bounds={"stop_s": 2.5, "address_ttl_s": 1})
    for server in (processes.web, processes.engine_address):
        processes.set_faults(server, hang=True)
    paths = ("/list/1", "/hold/1", "/draft/1", "/tag/1")
    with concurrent.futures.ThreadPoolExecutor(len(paths)) as pool:
        pending = [
            pool.submit(processes.ask, addresses[0], path, f"r{number}")
            for number, path in enumerate(paths)
        ]
        until(lambda: processes.run_count() == len(paths))
        process.send_signal(signal.SIGTERM)
        answers = [each.result(TIMEOUT_S) for each in pending]
    assert [(each.status, each.json()["code"]) for each in answers] == [
        (502, "stopped_before_answer")
    ] * len(paths)
    assert process.wait(TIMEOUT_S) == 0
    lines = [each for each in processes.log() if each.get("decision") == "answer"]
    assert all(each["sent_s"] < each["seconds"] for each in lines)


@contextlib.contextmanager
def late_in_a_stop(processes, **faults):
    """Let the engine have faults, stop an instance, and yield its address after its early period.

    The instance ends sooner if nothing is in progress.
    """
    routes = [
        entrysite.route("draft", "streaming", "llm", goal_ms=100, max_attempts=1),
        entrysite.route("hold", "non_idempotent", "web", max_attempts=1),
    ]
    processes.put("op/config", json.dumps(entrysite.manifest(2, routes=routes)))
    process, _, addresses = processes.entry(bounds={"stop_s": 6.0, "address_ttl_s": 1})
    processes.set_faults(processes.web, hang=True)
    processes.set_faults(processes.engine_address, **faults)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        pending = pool.submit(processes.ask, addresses[0], "/hold/1", "r1")
        until(lambda: processes.run_count() == 1)
        process.send_signal(signal.SIGTERM)
        time.sleep(drainadmission.EARLY_PERIOD_S + 0.1)
        yield addresses[0]
        assert pending.result(TIMEOUT_S).status == 502
    assert process.wait(TIMEOUT_S) == 0


@pytest.mark.parametrize("delay_s", [1.5, 2.1])
def test_stream_that_an_engine_begins_late_during_a_stop_is_not_truncated(processes, delay_s):
    """A stream sent long after the signal was begun just before the limit, and truncated there."""
    with late_in_a_stop(processes, delay_s=delay_s) as address:
        answer = processes.ask(address, "/draft/1", "r2")
    assert (answer.status, answer.json()["code"]) == (502, "stopped_before_answer")


@pytest.mark.parametrize("is_other_ready", [False, True])
def test_late_stream_of_a_preempted_run_is_not_truncated(processes, is_other_ready):
    """An engine preempted a stream that came late in a stop, and the limit truncated it."""
    others = [processes.entry(1)[2][0]] if is_other_ready else []
    with late_in_a_stop(processes, preempted_after_events=5, preempted_s=8.0) as address:
        answer = processes.ask(address, "/draft/1", "r2", events=10)
    expected = (503, "node_leaving") if is_other_ready else (502, "stopped_before_answer")
    assert (answer.status, answer.json()["code"]) == expected
    processes.set_faults(processes.engine_address)
    for each in others:
        assert processes.ask(each, "/draft/1", "r3").data.count(b"data: r3.") == 60


def test_answer_lines_say_when_a_request_was_sent(processes):
    """Waiting for an engine and waiting at one looked alike in the log."""
    _, _, addresses = processes.entry()
    for number, path in enumerate(("/list/1", "/draft/1")):
        assert processes.ask(addresses[0], path, f"r{number}").status == 200
    until(lambda: len([line for line in processes.log() if "sent_s" in line]) == 2)
    lines = [line for line in processes.log() if "sent_s" in line]
    assert all(0.0 <= line["sent_s"] < line["seconds"] for line in lines)
    assert [line["budget_s"] for line in lines] == [20.0, 20.0]


def test_settings_change_with_and_without_a_signal_and_interrupt_no_stream(processes):
    process, path, addresses = processes.entry()
    stream = processes.ask(addresses[0], "/draft/1", preload_content=False)
    settings = yaml.safe_load(path.read_text())
    path.write_text(yaml.safe_dump(settings | {"budget": settings["budget"] | {"slack": 7}}))
    process.send_signal(signal.SIGHUP)
    until(lambda: [line for line in processes.log() if line.get("subject") == "settings"])
    path.write_text("name: [")
    until(lambda: len([line for line in processes.log() if line.get("subject") == "settings"]) > 1)
    body = b"".join(stream.stream())
    assert body.count(b"data: r1.") == 60
    after = [line["after"] for line in processes.log() if line.get("subject") == "settings"]
    assert after == ["changed", "settings_unreadable"]
    assert process.poll() is None


def test_log_without_a_reader_blocks_nothing(processes):
    """The reader of an instance's output is stalled.

    A pipe holds 64 KiB; lines beyond that must be dropped and must not block.
    """
    _, _, addresses = processes.entry(log=subprocess.PIPE)
    statuses = {
        processes.ask(addresses[0], request_id=f"request-{number}").status for number in range(600)
    }
    assert statuses == {200}


def test_instance_starts_before_its_store_and_serves_once_the_store_is_up(processes):
    port = entrysite.free_port(socket.SOCK_STREAM)
    path, addresses = processes.settings(0, store=f"127.0.0.1:{port}")
    log = (path.parent / "entry-0.log").open("w")
    processes.start("entry", "--settings", str(path), stdout=log)
    until(lambda: "serving" in [line.get("after") for line in processes.log()])
    refused = processes.ask(addresses[0])
    assert (refused.status, json.loads(refused.data)["code"]) == (503, "no_configuration")
    assert float(refused.headers["Retry-After"]) > 0
    store = processes.start("standin", "platform", "--bind", f"127.0.0.1:{port}")
    store.stdout.readline()
    processes.client = storeclient.StoreClient(f"127.0.0.1:{port}")
    processes.put("op/config", json.dumps(entrysite.manifest()))
    server = type("Server", (), {"address": processes.web})
    processes.put("servers/w0", entrysite.server_row(server, "web"))
    until(lambda: processes.ask(addresses[0]).status == 200)


def test_instance_gets_its_configuration_from_a_seed_while_the_store_is_down(processes):
    """An instance starts while the store is down; another instance has the configuration."""
    control = f"127.0.0.1:{entrysite.free_port(socket.SOCK_STREAM)}"
    callers = f"127.0.0.1:{entrysite.free_port(socket.SOCK_STREAM)}"
    ready = f"127.0.0.1:{entrysite.free_port(socket.SOCK_STREAM)}"
    listen = {"callers": callers, "readiness": ready, "control": control}
    processes.entry(0, listen=listen)
    url = f"http://{processes.store}/standin/faults"
    assert processes.http.request("PUT", url, body='{"down":true}').status == 200
    _, _, addresses = processes.entry(1, seeds=[control])
    response = processes.ask(addresses[0])
    assert response.status == 200
    sources = [line["source"] for line in processes.log(1) if line.get("subject") == "config"]
    assert sources == ["peer"]


@pytest.mark.parametrize("text", ["name: [", "name: entry-0"])
def test_invalid_settings_abort_the_start_with_a_coded_error(tmp_path, text):
    path = tmp_path / "entry.yaml"
    path.write_text(text)
    command = [sys.executable, "-m", "hornbeamglade", "entry", "--settings", str(path)]
    ended = subprocess.run(command, capture_output=True, text=True, check=False)
    assert ended.returncode == 2
    assert ended.stderr.startswith("settings_")
    assert str(path) in ended.stderr


def test_a_request_that_crashed_servers_is_refused_after_a_full_outage(processes):
    """Guards servers against a loss of the quarantine when all instances are lost at once."""
    for number in range(6):
        _, address = processes.standin("routed", "--id", f"crashes-{number}")
        url = f"http://{address}/standin/faults"
        processes.http.request("PUT", url, body='{"crash_on":"body"}')
        server = type("Server", (), {"address": address})
        processes.put(f"servers/crashes-{number}", entrysite.server_row(server, "web"))
    processes.http.request("PUT", f"http://{processes.web}/standin/faults", body='{"refuse":true}')
    process, path, addresses = processes.entry()

    def code(number):
        response = processes.ask(addresses[0], "/hold/1", request_id=f"again-{number}")
        return response.status, json.loads(response.data)["code"]

    codes = []
    while not codes or codes[-1] != (503, "request_quarantined"):
        codes.append(code(len(codes)))
        assert len(codes) < 20
        time.sleep(0.1)
    row = "instances/quarantine:"
    until(lambda: processes.client.scan(row))
    process.kill()
    process.wait()
    processes.start("entry", "--settings", str(path), stdout=subprocess.DEVNULL)
    until(lambda: processes.is_ready(addresses[1]))
    until(lambda: code("after")[1] == "request_quarantined")
    crashed = sum(code == (502, "no_answer") for code in codes)
    assert crashed == 3


def test_servers_listed_after_the_store_was_restored_from_a_backup_are_used(processes):
    """Guards against a replica list that stays frozen until the versions have caught up."""
    _, _, addresses = processes.entry()
    store = f"http://{processes.store}/standin"
    processes.http.request("PUT", f"{store}/copy")
    web = type("Server", (), {"address": processes.web})
    for number in range(40):
        processes.put("servers/w0", entrysite.server_row(web, "web", sequence=number + 2))
    until(lambda: processes.ask(addresses[0]).status == 200)
    processes.http.request("PUT", f"{store}/restore")
    _, address = processes.standin("routed", "--id", "w1")
    server = type("Server", (), {"address": address})
    processes.put("servers/w1", entrysite.server_row(server, "web"))
    outcome = processes.client.transact((), (contract.Delete("servers/w0"),))
    assert isinstance(outcome, contract.Committed)

    def ran():
        assert processes.ask(addresses[0], request_id="after").status == 200
        ledger = processes.http.request("GET", f"http://{address}/standin/ledger").data
        return json.loads(ledger)

    until(ran)
    lines = [line for line in processes.log() if line.get("subject") == "store_era"]
    assert [line["after"] for line in lines] == ["1"]
