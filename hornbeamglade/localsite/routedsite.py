"""Start and observe a small site of entry instances, and inject faults into it.

Explanation
===========

The counterpart of :mod:`hornbeamglade.localsite.localsite` for routed requests: a store,
engines, plain servers and entry instances as processes on loopback. Entries in the replica
list are written here; on the platform, servers write their own.
"""

import collections.abc
import contextlib
import dataclasses
import fcntl
import functools
import json
import pathlib
import random
import signal
import socket
import tempfile
import time
import typing

import urllib3
import yaml

from hornbeamglade.bench import loadprocesses
from hornbeamglade.core import codederrors
from hornbeamglade.platform import storeclient, tables
from hornbeamglade.standins import operatordocuments, routedcaller
from hornbeamglade.standins import platform as platformstandin
from hornbeamglade.store import contract

STORE = "store"
FREE = "127.0.0.1:0"
READY_TIMEOUT_S = 30.0
STOP_S = 8.0
RETRY_SLACK = 50
DOMAINS = ("a", "b")
FIRST_VERSION = "v1"
FATAL_BODY = "fatal-request"
"""A request with this body crashes every server that runs it."""

PORT_RANGE = (20_000, 30_000)
"""Below the ephemeral ports of outgoing connections, which begin at 32,768."""

RESERVATIONS = pathlib.Path(tempfile.gettempdir()) / "hornbeamglade-ports.lock"

Route = collections.abc.Callable[[str, str], str]
"""Returns the address under which a process is reached, by its name and its own address."""


def direct(_name: str, address: str) -> str:
    """Return the address unchanged."""
    return address


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Size and settings of a site.

    :param instances: number of entry instances.
    :param engines: number of stand-in engines.
    :param services: number of stand-in plain servers.
    :param events: events of each stream.
    :param gap_s: seconds between events.
    :param route: returns the address under which the store and the servers are reached.
    :param entry_module: the module that runs an instance, after ``python -m``.
    :param page_rows: most rows in one response of the store to a read.
    :param memory_mb: the memory of an instance, or None for no bound.
    :param max_body_bytes: longest body of a request.
    """

    instances: int = 3
    engines: int = 3
    services: int = 2
    events: int = 40
    gap_s: float = 0.03
    route: Route = direct
    entry_module: tuple[str, ...] = ("hornbeamglade",)
    page_rows: int = platformstandin.MAX_ROWS
    memory_mb: int | None = None
    max_body_bytes: int = operatordocuments.MAX_BODY_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """One incarnation of a backend server.

    :param replica_id: its name in the replica list.
    :param service: the service that it serves.
    :param failure_domain: the failure domain in its entry.
    :param address: the address under which instances reach it.
    :param born: its start time, in Unix milliseconds.
    :param version: the version of its software.
    """

    replica_id: str
    service: str
    failure_domain: str
    address: str
    born: int
    version: str = FIRST_VERSION


def domain_of(place: str) -> str:
    """Return the failure domain of a backend server.

    :param place: ``engine-N`` or ``service-N``.
    """
    return DOMAINS[int(place.rpartition("-")[2]) % len(DOMAINS)]


class RoutedSite:
    """A running site; use it as a context manager.

    :param shape: its size and settings.
    :param folder: directory for settings files, logs and ledgers.
    """

    def __init__(self, shape: Shape, folder: pathlib.Path) -> None:
        self.shape = shape
        self.folder = folder
        self.child_by_name: dict[str, loadprocesses.Child] = {}
        self.server_by_place: dict[str, Server] = {}
        self.address_by_name: dict[str, str] = {}
        self._settings_by_instance: dict[str, dict[str, typing.Any]] = {}
        self._incarnation_by_place: dict[str, int] = {}
        self._version = 0
        self._ports = PortAllocator()
        self._stack = contextlib.ExitStack()
        self._http = urllib3.PoolManager(retries=False, timeout=5.0, maxsize=8)

    def __enter__(self) -> typing.Self:
        """Start the store and the backend servers."""
        try:
            pages = ("--page-rows", str(self.shape.page_rows))
            address = self.start(
                STORE, "hornbeamglade", "standin", "platform", "--bind", FREE, *pages
            )
            self.address_by_name[STORE] = address
            for number in range(self.shape.engines):
                self.start_server(f"engine-{number}")
            for number in range(self.shape.services):
                self.start_server(f"service-{number}")
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *exception: object) -> None:
        """Stop the processes that were started; no other process is signalled."""
        for child in self.child_by_name.values():
            child.send(signal.SIGCONT)
            child.send(signal.SIGKILL)
        self._stack.close()

    def start_instances(self) -> None:
        """Start all instances and wait until each accepts callers."""
        for number in range(self.shape.instances):
            self.start_instance(f"entry-{number}")
        for name in self.instance_names:
            self.await_ready(name)

    @property
    def instance_names(self) -> tuple[str, ...]:
        """The names of the entry instances."""
        return tuple(f"entry-{number}" for number in range(self.shape.instances))

    @property
    def store(self) -> str:
        """The address under which instances reach the store."""
        return self.shape.route(STORE, self.address_by_name[STORE])

    def start(self, name: str, *arguments: str) -> str:
        """Start a process that prints its address once it listens; return the address."""
        child = loadprocesses.Child(name, arguments, self.folder)
        self._register_child(name, child)
        return child.first_line()

    def start_instance(self, name: str) -> None:
        """Start an entry instance, or restart one that has run before."""
        settings = self._settings_by_instance.setdefault(name, self._settings(name))
        path = self.write_settings(name, settings)
        log = (self.folder / f"{name}.out").open("ab")
        self._stack.callback(log.close)
        arguments = (*self.shape.entry_module, "entry", "--settings", str(path))
        self._register_child(name, loadprocesses.Child(name, arguments, self.folder, output=log))

    def write_settings(self, name: str, settings: dict[str, typing.Any]) -> pathlib.Path:
        """Write an instance's settings file, possibly while it runs."""
        self._settings_by_instance[name] = settings
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        return path

    def settings(self, name: str) -> dict[str, typing.Any]:
        """Return an instance's current settings."""
        return self._settings_by_instance[name]

    def callers_address(self, name: str) -> str:
        """Return the address on which an instance accepts callers."""
        return self._settings_by_instance[name]["listen"]["callers"]

    def directory_address(self, name: str) -> str:
        """Return the address of an instance's directory."""
        return self._settings_by_instance[name]["listen"]["directory"]

    def start_server(
        self,
        place: str,
        *,
        keeps_name: bool = False,
        keeps_address: bool = False,
        version: str | None = None,
    ) -> Server:
        """Start a backend server and write its entry to the replica list.

        :param place: ``engine-N`` or ``service-N``.
        :param version: the version of its software; None for that of the previous incarnation.
        :param keeps_name: whether it keeps the replica id of the previous incarnation.
        :param keeps_address: whether it listens at the address of the previous incarnation, whose
            process is stopped first.
        """
        incarnation = self._incarnation_by_place.get(place, 0) + (0 if keeps_name else 1)
        self._incarnation_by_place[place] = incarnation
        replica_id = f"{place}.{incarnation}"
        born = time.time_ns() // 1_000_000
        is_engine = place.startswith("engine")
        events = str(self.shape.events if is_engine else 0)
        options = ("--id", replica_id, "--events", events, "--gap", str(self.shape.gap_s))
        options += ("--born", str(born))
        options += ("--crash-on", FATAL_BODY)
        if version is None:
            previous = self.server_by_place.get(place)
            version = FIRST_VERSION if previous is None else previous.version
        options += ("--version", version)
        ledger = ("--ledger", str(self.folder / "ledger.jsonl"))
        bind = self.address_by_name[place] if keeps_address else FREE
        address = self.start(
            place, "hornbeamglade", "standin", "routed", "--bind", bind, *options, *ledger
        )
        self.address_by_name[place] = address
        kind = operatordocuments.ENGINE_SERVICE if is_engine else operatordocuments.PLAIN_SERVICE
        server = Server(
            replica_id,
            kind,
            domain_of(place),
            self.shape.route(place, address),
            born,
            version,
        )
        self.server_by_place[place] = server
        self.list_server(server)
        return server

    def list_server(self, server: Server, *, is_leaving: bool = False) -> bool:
        """Write a server's entry; return whether the store accepted it."""
        entry = operatordocuments.entry(
            server.service,
            server.address,
            server.failure_domain,
            is_leaving=is_leaving,
            born=server.born,
            version=server.version,
        )
        return self.write((contract.Put(f"{tables.REPLICAS}/{server.replica_id}", entry),))

    def write_entry(self, name: str, value: str) -> bool:
        """Write an arbitrary entry, as another program might; return whether it was accepted."""
        return self.write((contract.Put(f"{tables.REPLICAS}/{name}", value),))

    def unlist_server(self, server: Server) -> bool:
        """Remove a server's entry; return whether the store accepted it."""
        return self.write((contract.Delete(f"{tables.REPLICAS}/{server.replica_id}"),))

    def configure(
        self, keys_by_team: collections.abc.Mapping[str, collections.abc.Sequence[str]]
    ) -> bool:
        """Write the next version of the manifest; return whether the store accepted it."""
        self._version += 1
        document = operatordocuments.manifest(
            self._version, keys_by_team, max_body_bytes=self.shape.max_body_bytes
        )
        return self.write((contract.Put(tables.CONFIGURATION_KEY, document),))

    def write(self, writes: tuple[contract.Put | contract.Delete, ...]) -> bool:
        """Write to the store directly, past any proxy between it and the instances."""
        client = storeclient.StoreClient(self.address_by_name[STORE])
        return isinstance(client.transact((), writes), contract.Committed)

    def evacuate(self, domain: str) -> bool:
        """Evacuate a failure domain; return whether the store accepted it."""
        return self.write((contract.Put(tables.evacuation_key(domain), "{}"),))

    def rewrite_servers(self) -> bool:
        """Write the current replica list again; return whether the store accepted it."""
        client = storeclient.StoreClient(self.address_by_name[STORE])
        rows = client.scan(f"{tables.REPLICAS}/")
        if isinstance(rows, contract.Unavailable):
            return False
        servers = self.server_by_place.values()
        names = {f"{tables.REPLICAS}/{server.replica_id}" for server in servers}
        stale = tuple(contract.Delete(row.key) for row in rows if row.key not in names)
        is_rewritten = all(self.list_server(server) for server in servers)
        return is_rewritten and (not stale or self.write(stale))

    def end_evacuation(self, domain: str) -> bool:
        """End a failure domain's evacuation; return whether the store accepted it."""
        return self.write((contract.Delete(tables.evacuation_key(domain)),))

    def faults(self, name: str, **faults: typing.Any) -> None:
        """Set a stand-in's faults; all others are switched off."""
        self.put_json(name, "/standin/faults", faults)

    def put_json(self, name: str, path: str, body: dict[str, typing.Any]) -> None:
        """Send a PUT request with a JSON body to a stand-in.

        :raises CodedError: ``local_standin``, when it does not accept the request.
        """
        url = f"http://{self.address_by_name[name]}{path}"
        try:
            response = self._http.request("PUT", url, body=json.dumps(body))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise codederrors.CodedError("local_standin", f"{name}{path}: {error}") from error
        if response.status >= 300:
            detail = f"{name}{path}: {response.status} {response.data[:200]!r}"
            raise codederrors.CodedError("local_standin", detail)

    def is_ready(self, name: str) -> bool:
        """Return whether an instance reports that it accepts callers."""
        address = self._settings_by_instance[name]["listen"]["readiness"]
        url = f"http://{address}{routedcaller.READY_PATH}"
        try:
            return self._http.request("GET", url, timeout=1.0).status == 200
        except (urllib3.exceptions.HTTPError, OSError):
            return False

    def await_ready(self, name: str) -> None:
        """Wait until an instance accepts callers; the timeout only ends an endless wait."""
        child = self.child_by_name[name]
        loadprocesses.wait_until(
            lambda: self.is_ready(name), f"{name} to be ready", (child,), READY_TIMEOUT_S
        )

    def ledger(self) -> tuple[dict[str, typing.Any], ...]:
        """Return all requests that backend servers have run, stopped servers included."""
        return tuple(each for each in self._ledger_records() if "target" in each)

    def refusals(self) -> tuple[dict[str, typing.Any], ...]:
        """Return all requests that backend servers have refused, stopped servers included."""
        return tuple(each for each in self._ledger_records() if "retry_after" in each)

    def continuations(self) -> tuple[dict[str, typing.Any], ...]:
        """Return the runs that engines continued, from copies or without a connection."""
        kinds = {"continued_at", "unread_until"}
        return tuple(each for each in self._ledger_records() if kinds & each.keys())

    def _ledger_records(self) -> list[dict[str, typing.Any]]:
        path = self.folder / "ledger.jsonl"
        lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else ()
        return [json.loads(line) for line in lines]

    def copies(self, place: str) -> tuple[str, ...]:
        """Return the KV cache copies that an engine holds; none when it does not respond."""
        url = f"http://{self.address_by_name[place]}/standin/copies"
        try:
            return tuple(self._http.request("GET", url, timeout=1.0).json())
        except (urllib3.exceptions.HTTPError, OSError):
            return ()

    def _register_child(self, name: str, child: loadprocesses.Child) -> None:
        previous = self.child_by_name.get(name)
        if previous is not None:
            previous.stop()
        self.child_by_name[name] = child
        self._stack.callback(child.stop)

    def _settings(self, name: str) -> dict[str, typing.Any]:
        ports = [self._ports.allocate() for _ in range(4)]
        callers, readiness, directory, control = (f"127.0.0.1:{port}" for port in ports)
        exchange = self._ports.allocate(socket.SOCK_DGRAM)
        number = int(name.rpartition("-")[2])
        memory = {} if self.shape.memory_mb is None else {"memory_mb": self.shape.memory_mb}
        return memory | {
            "name": name,
            "host": "127.0.0.1",
            "failure_domain": DOMAINS[number % len(DOMAINS)],
            "region": "r",
            "listen": {
                "callers": callers,
                "readiness": readiness,
                "directory": directory,
                "control": control,
            },
            "exchange_ports": [exchange, exchange],
            "seeds": [],
            "store": self.store,
            "budget": {"ratio": 0.2, "slack": RETRY_SLACK, "window_s": 10},
            "bounds": {"stop_s": STOP_S, "address_ttl_s": 5},
            "region_by_failure_domain": dict.fromkeys(DOMAINS, "r"),
        }


class PortAllocator:
    """Allocates free ports outside the ephemeral range, each only once.

    An instance that restarts needs its port again: if it were ephemeral, an outgoing
    connection might occupy it by then. Allocating each port once keeps two instances from
    getting the same one before either of them listens.
    """

    def __init__(self) -> None:
        self._allocated: set[int] = set()

    def allocate(self, kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
        """Return a free port for sockets of the given kind."""
        while True:
            port = random.randrange(*PORT_RANGE)
            if port in self._allocated or not _reserve(port) or not _is_free(port, kind):
                continue
            self._allocated.add(port)
            return port


@functools.cache
def _reservations() -> typing.BinaryIO:
    # Opened once: closing another descriptor of the file would release all of its locks.
    return RESERVATIONS.open("ab")


def _reserve(port: int) -> bool:
    """Lock a port's byte in the file of reservations; return whether no other process has it."""
    try:
        fcntl.lockf(_reservations(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
