"""Start and observe the processes of a small site, and inject faults into them."""

import collections.abc
import contextlib
import dataclasses
import json
import pathlib
import signal
import typing

import urllib3
import yaml

from hornbeamglade.bench import loadprocesses
from hornbeamglade.configuration import documents, documentyaml, head
from hornbeamglade.core import clocks, codederrors
from hornbeamglade.localsite import localcaller
from hornbeamglade.platform import storeclient
from hornbeamglade.teams import identity

SITE = "local"
TEAM = "front-desk"
TEAM_KEY = "front-desk-key"
EXCHANGE_SECRET = "a secret of the local site"
READY_TIMEOUT_S = 30.0
PLATFORM = "platform"
FREE = "127.0.0.1:0"

Route = collections.abc.Callable[[str, str], str]


def direct(_name: str, address: str) -> str:
    """Return the address unchanged."""
    return address


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Size and settings of a local site.

    :param nodes: number of entry nodes.
    :param engines: number of stand-in engines, serving ``draft``.
    :param services: number of stand-in plain services, serving ``holds``.
    :param engine_options: further command line options of the engines.
    :param node_settings: fields that override those of the nodes' settings.
    :param base: fields that override those of the base file.
    :param route: returns the address under which the nodes reach a backend server or
        the platform, by its name; a test can put a proxy in between.
    """

    nodes: int = 3
    engines: int = 2
    services: int = 1
    engine_options: tuple[str, ...] = ()
    node_settings: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    base: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    route: Route = direct


class LocalSite:
    """A running site; use it as a context manager.

    :param shape: its size and settings.
    :param folder: directory for settings files and logs.
    """

    def __init__(self, shape: Shape, folder: pathlib.Path) -> None:
        self.shape = shape
        self.child_by_name: dict[str, loadprocesses.Child] = {}
        self.address_by_name: dict[str, str] = {}
        self._folder = folder
        self._exchange_by_node: dict[str, str] = {}
        self._stack = contextlib.ExitStack()
        self._http = urllib3.PoolManager(retries=False, timeout=10.0)

    def __enter__(self) -> typing.Self:
        """Start all processes and wait until the nodes are ready."""
        try:
            self._start_backends()
            self.apply(self.base())
            for number in range(self.shape.nodes):
                self.start_node(number)
            self.list_nodes()
            for number in range(self.shape.nodes):
                self.await_ready(f"entry-{number}")
            self.wait_until(self._owners_agree, "the nodes to agree on owners")
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *exception: object) -> None:
        """Stop all processes, nodes first."""
        for name in tuple(self.child_by_name):
            self.signal(name, signal.SIGCONT)
        for name in tuple(self.child_by_name):
            if name.startswith("entry-"):
                self.signal(name, signal.SIGKILL)
        self._stack.close()

    def caller(self, number: int = 0, key: str = TEAM_KEY) -> localcaller.Caller:
        """Return a client of one node."""
        return localcaller.Caller(self.address_by_name[f"entry-{number}"], key)

    def caller_at(self, address: str, key: str = TEAM_KEY) -> localcaller.Caller:
        """Return a client of the node at an address that the site announced."""
        return localcaller.Caller(address, key)

    @property
    def node_names(self) -> tuple[str, ...]:
        """The names of the entry nodes."""
        return tuple(self._exchange_by_node)

    def is_in_force(self, revision: int) -> bool:
        """Return whether every node has a revision in force."""
        pages = (self.status(name) for name in self.node_names)
        return all(page.get("config_revision") == revision for page in pages)

    def start_node(self, number: int) -> None:
        """Start an entry node, or restart one that was stopped."""
        name = f"entry-{number}"
        if name in self.child_by_name:
            # Its address is free only after the previous process has ended.
            self.wait_until(self.child_by_name[name].ended, f"{name} to end")
        path = self._folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self._node_settings(name)), encoding="utf-8")
        addresses = self.start(name, "node", "--settings", str(path))
        self.address_by_name[name], self._exchange_by_node[name] = addresses.split()

    def start(self, name: str, *arguments: str) -> str:
        """Start one process of the ``hornbeamglade`` command.

        Each process binds a free port itself and prints it, so that no two processes
        can get the same one.
        """
        child = loadprocesses.Child(name, ("hornbeamglade", *arguments), self._folder)
        self.child_by_name[name] = child
        self._stack.callback(child.stop)
        return child.first_line()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process; does nothing when it has ended."""
        self.child_by_name[name].send(number)

    def status(self, name: str) -> dict[str, typing.Any]:
        """Return a node's status page; empty when the node does not respond."""
        return self._get(name, "/status") or {}

    def ledger(self, name: str) -> dict[str, typing.Any]:
        """Return the ledger of a stand-in backend server: the requests that it ran."""
        return self._get(name, "/standin/ledger") or {}

    def orders(self, engine: str) -> dict[str, typing.Any]:
        """Return the placement orders of a stand-in engine and the models that it has."""
        return self._get(engine, "/orders") or {}

    def faults(self, name: str, **faults: typing.Any) -> None:
        """Set a stand-in's faults; all others are switched off."""
        self._put(name, "/standin/faults", faults)

    def await_ready(self, name: str) -> None:
        """Wait until a node is ready."""
        self.wait_until(lambda: self._is_ready(name), f"{name} to be ready")

    def wait_until(
        self,
        condition: collections.abc.Callable[[], bool],
        what: str,
        timeout_s: float = READY_TIMEOUT_S,
    ) -> None:
        """Wait for a condition; the generous timeout only ends a wait that would never end."""
        loadprocesses.wait_until(condition, what, (), timeout_s)

    def platform(self) -> storeclient.StoreClient:
        """Return a client of the platform."""
        return storeclient.StoreClient(f"http://{self.address_by_name[PLATFORM]}")

    def apply(self, base: dict[str, typing.Any], based_on: int = 0, change_id: str = "c1") -> int:
        """Apply a configuration and return its revision."""
        document = documents.load(
            documentyaml.SourceFile("base.yaml", yaml.safe_dump(base).encode()),
            [documentyaml.SourceFile("site.yaml", f"site: {SITE}\n".encode())],
        )
        platform = self.platform()
        change = head.Change(document, based_on, change_id, "local", "a local site")
        outcome = head.ConfigurationHead(platform, platform, clocks.SystemClock()).apply(change)
        if not isinstance(outcome, head.Applied):
            raise codederrors.CodedError("local_configuration", f"not accepted: {outcome}")
        return outcome.revision

    def list_nodes(self, leaving: frozenset[str] = frozenset()) -> None:
        """Write the nodes to the platform's instance list."""
        instances = [
            {
                "name": name,
                "failure_domain": f"d{number}",
                "address": self.address_by_name[name],
                "exchange": self._exchange_by_node[name],
                "leaving": name in leaving,
            }
            for number, name in enumerate(self._exchange_by_node)
        ]
        self._put(PLATFORM, "/standin/instances", {"instances": instances})

    def base(self) -> dict[str, typing.Any]:
        """Return the content of the base file as plain values."""
        return {
            "sites": [SITE],
            "addresses": {"ttl_s": 1},
            "services": {
                "drafts": {"kind": "generation", "model": "draft", "pool": "drafters"},
                "replies": {
                    "kind": "generation",
                    "model": "reply",
                    "pool": "drafters",
                    "repeatable": False,
                },
                "holds": {"kind": "plain", "pool": "counters", "repeatable": False},
                "codes": {"kind": "plain", "pool": "counters"},
            },
            "pools": {
                "drafters": {"replicas": self._replicas("engine", {"memory_tokens": 12_000})},
                "counters": {"replicas": self._replicas("counter", {})},
            },
            "teams": {TEAM: {"key_hashes": [identity.hash_key(TEAM_KEY)]}},
        } | self.shape.base

    def _replicas(self, kind: str, members: dict[str, typing.Any]) -> dict[str, typing.Any]:
        names = [name for name in self.address_by_name if name.startswith(f"{kind}-")]
        return {
            name: {
                "address": self.shape.route(name, self.address_by_name[name]),
                "failure_domain": f"d{number}",
            }
            | members
            for number, name in enumerate(names)
        }

    def _start_backends(self) -> None:
        self._start_standin(PLATFORM, "platform")
        for number in range(self.shape.engines):
            options = ("--model", "draft", "--model", "reply", "--seed", str(number))
            self._start_standin(f"engine-{number}", "engine", *options, *self.shape.engine_options)
        for number in range(self.shape.services):
            self._start_standin(f"counter-{number}", "service")

    def _start_standin(self, name: str, kind: str, *options: str) -> None:
        bind = self.address_by_name.get(name, FREE)
        self.address_by_name[name] = self.start(name, "standin", kind, "--bind", bind, *options)

    def restart_engine(self, number: int) -> None:
        """Restart an engine at its previous address, with empty memory."""
        self._start_engine(number)

    def _start_engine(self, number: int) -> None:
        options = ("--model", "draft", "--model", "reply", "--seed", str(number))
        self._start_standin(f"engine-{number}", "engine", *options, *self.shape.engine_options)

    def _node_settings(self, name: str) -> dict[str, typing.Any]:
        platform = self.shape.route(PLATFORM, self.address_by_name[PLATFORM])
        return {
            "name": name,
            "site": SITE,
            "failure_domain": f"d{name.rpartition('-')[2]}",
            "callers": self.address_by_name.get(name, FREE),
            "exchange": self._exchange_by_node.get(name, FREE),
            "platform": f"http://{platform}",
            "exchange_keys": [{"id": 1, "secret": EXCHANGE_SECRET}],
            "seeds": [
                self.address_by_name[peer] for peer in self._exchange_by_node if peer != name
            ],
            "threads": 64,
        } | self.shape.node_settings

    def _is_ready(self, name: str) -> bool:
        """Return whether a node is ready and sees all nodes and a serving, owned replica each."""
        page = self.status(name)
        if page.get("state") != "ready":
            return False
        owners = {each["owner"] for each in page["replicas"]}
        states = {each["state"] for each in page["replicas"]}
        return states == {"serving"} and owners <= self._exchange_by_node.keys()

    def _owners_agree(self) -> bool:
        """Return whether all nodes agree on the replicas' owners, once they know each other."""
        pages = [self.status(name) for name in self._exchange_by_node]
        owners = [{each["name"]: each["owner"] for each in page["replicas"]} for page in pages]
        return all(each == owners[0] for each in owners)

    def _get(self, name: str, path: str) -> typing.Any | None:
        try:
            response = self._http.request("GET", f"http://{self.address_by_name[name]}{path}")
        except (urllib3.exceptions.HTTPError, OSError):
            return None
        return response.json() if response.status == 200 else None

    def _put(self, name: str, path: str, body: dict[str, typing.Any]) -> None:
        url = f"http://{self.address_by_name[name]}{path}"
        response = self._http.request("PUT", url, body=json.dumps(body))
        if response.status >= 300:
            detail = f"{name}{path}: {response.status} {response.data[:200]!r}"
            raise codederrors.CodedError("local_standin", detail)
