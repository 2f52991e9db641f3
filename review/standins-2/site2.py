"""A small site on loopback: the store's stand-in, entry instances and servers of a case."""

import asyncio
import base64
import collections.abc
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
ENTRY = ("-S", "-m", "hornbeamglade.packed", "target/entry.pack", "hornbeamglade.entry.__main__")
HOST = "mail.example"
KEY = "key-1"
BROKEN = 11


class NotRunError(Exception):
    """The case could not be run."""


_taken: set[int] = set()


def free_port() -> int:
    """Return a port of loopback that is free now, for TCP and UDP.

    Below those that the system gives to outgoing connections, and apart from those of the tests.
    """
    while True:
        port = random.randrange(12_000, 19_000)
        if port in _taken:
            continue
        _taken.add(port)
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagram:
            try:
                stream.bind(("127.0.0.1", port))
                datagram.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def line(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")
        self._file.flush()


class Site:
    """Processes of a case; all are ended at its end."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="hornbeamglade-review-"))
        self.processes: dict[str, subprocess.Popen] = {}
        self.settings: dict[str, dict] = {}
        self.store = ""
        self._version = 0

    def start_store(self) -> None:
        """Start the project's stand-in for the platform's store."""
        port = free_port()
        self.store = f"127.0.0.1:{port}"
        environment = os.environ | {"PYTHONPATH": f"{ROOT}/target/deps:{ROOT}"}
        command = ["-m", "hornbeamglade", "standin", "platform", "--bind", self.store]
        self._start("store", command, environment)
        self._await_port(port)

    def start_entry(self, name: str, **fields: object) -> None:
        """Start an entry instance with the command of the deploy file."""
        if name not in self.settings:
            self.settings[name] = self._new_settings(name) | fields
        path = self.folder / f"{name}.yaml"
        path.write_text(json.dumps(self.settings[name]), encoding="utf-8")
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "HORNBEAMGLADE_SETTINGS": str(path),
        }
        self._start(name, list(ENTRY), environment)

    def start_server(self, name: str, body_bytes: int, work_s: float) -> int:
        """Start a plain server that answers without a length; return its port."""
        port = free_port()
        program = str(pathlib.Path(__file__).with_name("plainserver.py"))
        self._start(
            name, [program, name, str(port), str(body_bytes), str(work_s)], dict(os.environ)
        )
        self._await_port(port)
        return port

    def await_ready(self, name: str, seconds: float = 20.0) -> None:
        """Wait until an instance says that it is ready."""
        url = f"http://{self.settings[name]['listen']['readiness']}/v1/readyz"
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            with contextlib.suppress(OSError), urllib.request.urlopen(url, timeout=1) as answer:
                if answer.status == 200:
                    return
            time.sleep(0.05)
        raise NotRunError(f"{name} is not ready")

    def front(self, name: str) -> tuple[str, int]:
        """Return the address for consumers of an instance."""
        host, _, port = self.settings[name]["listen"]["callers"].partition(":")
        return host, int(port)

    def write(self, table: str, key: str, value: dict | None) -> None:
        """Write or remove a row as the operator or a server does; return once confirmed."""
        name = {"table": table, "part": "", "key": key}
        body: dict[str, list] = {"expected": [], "writes": [], "remove": []}
        if value is None:
            body["remove"].append(name)
        else:
            encoded = base64.b64encode(json.dumps(value).encode()).decode()
            body["writes"].append(name | {"value": encoded})
        request = urllib.request.Request(
            f"http://{self.store}/v1/rows-tx",
            json.dumps(body).encode(),
            {"Content-Type": "application/json"},
        )
        with urllib.request.urlopen(request, timeout=5) as answer:
            if answer.status != 200:
                raise NotRunError(f"the store answered {answer.status}")

    def write_config(self, routes: list[dict], services: list[dict], **limits: int) -> None:
        """Write the next manifest."""
        self._version += 1
        document = {
            "version": self._version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 4_194_304,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000,
            }
            | limits,
            "tenants": [{"name": "office", "api_keys": [KEY]}],
        }
        self.write("op", "config", document)

    def write_server(self, name: str, service: str, address: str, **fields: object) -> None:
        """Write the entry of a server."""
        entry = {
            "service": service,
            "address": address,
            "zone": "krk-a",
            "version": "1",
            "slots": 32,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
        self.write("servers", name, entry | fields)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this site."""
        if self.processes[name].poll() is None:
            self.processes[name].send_signal(number)

    def end(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def _start(self, name: str, arguments: list[str], environment: dict[str, str]) -> None:
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            ["python3", *arguments], cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()

    def _await_port(self, port: int) -> None:
        until = time.monotonic() + 15
        while time.monotonic() < until:
            with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port), 1):
                return
            time.sleep(0.05)
        raise NotRunError(f"nothing listens at {port}")

    def _new_settings(self, name: str) -> dict:
        ports = {key: free_port() for key in ("callers", "readiness", "directory", "control")}
        exchange = free_port()
        return {
            "name": name,
            "host": "127.0.0.1",
            "failure_domain": "krk-a",
            "region": "krk",
            "memory_mb": 150,
            "limits": {"descriptors": 4200},
            "listen": {key: f"127.0.0.1:{port}" for key, port in ports.items()},
            "exchange_ports": [exchange, exchange],
            "seeds": [],
            "store": self.store,
            "budget": {"ratio": 0.2, "slack": 52, "window_s": 10},
            "bounds": {"stop_s": 8, "address_ttl_s": 5},
            "region_by_failure_domain": {"krk-a": "krk"},
            "is_first_start": True,
        }


def route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route of the manifest."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "route_kind": kind,
        "timeout_ms": 39_000,
        "goal_ms": 1_800,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "resumable": False,
    } | fields


@dataclasses.dataclass
class Answer:
    """What a consumer got."""

    status: int | None = None
    fields: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False


async def post(
    front: tuple[str, int], name: str, request_id: str, *, deadline_ms: int = 1_500
) -> Answer:
    """Send one request and read its answer."""
    answer = Answer()
    try:
        reader, writer = await asyncio.open_connection(*front)
    except OSError:
        return answer
    try:
        lines = [
            f"POST /{name}/1 HTTP/1.1",
            f"Host: {HOST}",
            f"Attempt-Id: {request_id}",
            f"Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {KEY}",
            "Content-Length: 4",
            "",
            "text",
        ]
        writer.write("\r\n".join(lines).encode())
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *rest = head.split("\r\n")
        answer.status = int(first.split(" ")[1])
        answer.fields = {
            field.partition(":")[0].lower(): field.partition(":")[2].strip() for field in rest
        }
        answer.body = await reader.readexactly(int(answer.fields["content-length"]))
        answer.is_whole = True
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        answer.body = getattr(error, "partial", b"")
    finally:
        writer.close()
    return answer


def run(
    case: collections.abc.Callable[[Site, bool], collections.abc.Awaitable[bool]],
    folder: pathlib.Path,
) -> None:
    """Run a case and exit with its result: 11 if the rule was broken, 0 if not, 2 if not run.

    ``run.sh`` turns 11 into 1, which Python itself uses for its own errors.

    :param case: coroutine function that takes the site and whether there is trouble, and returns
        whether the rule was broken.
    """
    record = Record(folder / "record.txt")
    site = Site(record)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    try:
        is_broken = asyncio.run(asyncio.wait_for(case(site, has_trouble), 110))
        code = BROKEN if is_broken else 0
    except Exception as error:  # noqa: BLE001
        record.line(f"not run: {error!r}")
    finally:
        site.end()
    record.line(f"exit {code}")
    print(f"exit {code}")
    sys.exit(code)
