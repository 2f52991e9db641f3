"""A small installation on loopback: the store, replicas and entry instances as processes."""

import asyncio
import json
import os
import pathlib
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib

from standins import httpwire, store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "site.example"
KEY = "key-of-the-first-tenant"
CANNOT_RUN = 2

_SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}\n?", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def render(template: str, fields: dict) -> str:
    """Fill in a template of settings, as DEPLOY.md describes it."""

    def look_up(path: str) -> object:
        value: object = fields
        for name in path.split("."):
            value = value.get(name) if isinstance(value, dict) else None
        return value

    def section(match: re.Match) -> str:
        is_shown = look_up(match[2]) not in (None, False, [], {})
        return match[3] if is_shown is (match[1] == "#") else ""

    def value(match: re.Match) -> str:
        found = look_up(match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    return _VALUE.sub(value, _SECTION.sub(section, template))


class Record:
    """The record of a case: a line an event, with the seconds since its start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def __call__(self, event: str, **fields: object) -> None:
        """Write one line."""
        rest = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self._started:8.3f} {event} {rest}\n")
        self._file.flush()


class Instance:
    """One entry instance, run by the commands of the deploy file."""

    def __init__(self, number: int, fields: dict, folder: pathlib.Path, record: Record) -> None:
        self.name = f"edge-{number}"
        self.ip = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250}.{number + 1}"
        self._record = record
        self._folder = folder
        self._fields = fields | {"node_name": self.name, "ip": self.ip}
        self._process: asyncio.subprocess.Process | None = None
        ports = _free_ports(self.ip, 6)
        names = ("front", "readiness", "control", "directory")
        listen = {name: f"{self.ip}:{port}" for name, port in zip(names, ports, strict=False)}
        self.listen = listen
        self._fields |= {"listen": listen, "internal_ports": [ports[4], ports[4]]}

    @property
    def callers(self) -> tuple[str, int]:
        """The address for consumers."""
        host, _, port = self.listen["front"].rpartition(":")
        return host, int(port)

    async def start(self, seeds: list[str], *, is_first: bool) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        role = deploy["roles"]["entry"]
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        path = self._folder / f"{self.name}.yaml"
        path.write_text(render(template, self._fields | {"seeds": seeds, "bootstrap": is_first}))
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= {"PYTHONPATH": "target/deps", "HORNBEAMGLADE_SETTINGS": str(path)}
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record("started", instance=self.name, pid=self._process.pid)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._record("signal", instance=self.name, signal=number.name)
        self._process.send_signal(number)

    async def ended(self) -> int:
        """Wait for the end of the process."""
        code = await self._process.wait()
        self._record("ended", instance=self.name, code=code)
        return code

    async def is_ready(self) -> bool:
        """Return whether it says that it is ready."""
        host, _, port = self.listen["readiness"].rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.write(httpwire.request("GET", "/v1/readyz", {"Host": host}))
        answer = await httpwire.read_message(reader)
        writer.close()
        return answer is not None and " 200 " in answer.line

    async def end(self) -> None:
        """End the process if it still runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


class Installation:
    """The store, the replicas and the instances of one case."""

    def __init__(self, folder: pathlib.Path, bounds: dict, count: int) -> None:
        self.record = Record(folder / "record.txt")
        self.store = store.Store()
        self._bounds = bounds
        self._count = count
        self._scratch = tempfile.TemporaryDirectory()
        self.instances: list[Instance] = []

    async def start(self, manifest: dict, replicas: list[tuple[object, str, str]]) -> None:
        """Start everything and wait until all instances are ready."""
        if not (ROOT / "target" / "entry.pack").exists():
            print("the build of the deploy file has not run", file=sys.stderr)
            sys.exit(CANNOT_RUN)
        await self.store.start()
        for replica, service, zone in replicas:
            await replica.start()
            await self.store.put("servers", replica.name, replica.entry(service, zone))
        await self.store.put("op", "config", manifest)
        fields = {
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "limits": {"memory_mb": 150},
            "platform": {"address": self.store.address},
            "bounds": self._bounds,
        }
        folder = pathlib.Path(self._scratch.name)
        self.instances = [
            Instance(number, fields, folder, self.record) for number in range(self._count)
        ]
        seeds = [each.listen["control"] for each in self.instances[:3]]
        for each in self.instances:
            await each.start(seeds, is_first=True)
        ends_at = time.monotonic() + 20
        for each in self.instances:
            while not await each.is_ready():
                if time.monotonic() > ends_at:
                    print(f"{each.name} did not become ready", file=sys.stderr)
                    await self.end()
                    sys.exit(CANNOT_RUN)
                await asyncio.sleep(0.1)
        self.record("ready", instances=len(self.instances))

    def log(self, instance: Instance) -> str:
        """Return what an instance has logged."""
        return (pathlib.Path(self._scratch.name) / f"{instance.name}.log").read_text()

    async def end(self) -> None:
        """End all processes."""
        for each in self.instances:
            await each.end()
        self._scratch.cleanup()


def _free_ports(ip: str, count: int) -> list[int]:
    probes = []
    for _ in range(count):
        probe = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        probe.bind((ip, 0))
        probes.append(probe)
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def manifest(routes: list[dict], services: list[dict]) -> dict:
    """Return a manifest with one tenant."""
    return {
        "version": 3,
        "routes": [{"host": HOST, "public": False} | route for route in routes],
        "services": services,
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "first", "api_keys": [KEY], "priority": 1}],
    }


def engine_service(name: str, memory: int, slots: int) -> dict:
    """Return a service of model replicas for the manifest."""
    engine = {
        "slots": slots,
        "kv_capacity_tokens": memory,
        "kv_bytes": 163_840,
        "link_mbps": 24_000.0,
        "moves": True,
        "backups": True,
        "stride": 4,
        "most": 12,
        "pin_ms": 4000.0,
        "hold_ms": 2000.0,
        "handle_s": 5.0,
        "models": [{"name": "m"}],
    }
    return plain_service(name) | {"engine": engine}


def plain_service(name: str) -> dict:
    """Return a service of plain replicas for the manifest."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": 302,
        "protocol": "h1",
        "tls": False,
    }
