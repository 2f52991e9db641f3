"""A small site on the local machine: platform, engines and entry nodes.

The stand-in platform runs in the process of the benchmark, which is mostly idle;
engines and nodes run as separate processes.
"""

import collections.abc
import contextlib
import dataclasses
import hashlib
import json
import pathlib
import socket
import typing

import urllib3
import yaml

from hornbeamglade.bench import loadprocesses
from hornbeamglade.configuration import documents, documentyaml, head
from hornbeamglade.core import clocks, codederrors
from hornbeamglade.standins import platform as standinplatform
from hornbeamglade.store import contract
from hornbeamglade.teams import identity

SITE = "bench"
MODEL = "draft"
POOL = "drafts"
FAILURE_DOMAINS = ("a", "b", "c")

_READY_TIMEOUT_S = 30.0
_CALL_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineShape:
    """Parameters of each stand-in engine of a site.

    :param capacity_tokens: memory in tokens.
    :param step_s: seconds between the tokens of a stream.
    :param load_lag_s: age of its load reports.
    """

    capacity_tokens: int = 12_000
    step_s: float = 0.026
    load_lag_s: float = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class SiteShape:
    """Size and configuration of a site.

    :param engines: number of engines.
    :param nodes: number of entry nodes.
    :param weight_by_team: the teams and their weights.
    :param admission: admission settings of the pool in the configuration.
    """

    engines: int
    nodes: int
    weight_by_team: dict[str, float]
    engine: EngineShape = EngineShape()
    admission: dict[str, typing.Any] = dataclasses.field(default_factory=dict)


def team_key(team: str) -> str:
    """Return the API key of a team's callers."""
    return hashlib.sha256(f"bench/{team}".encode()).hexdigest()


class Site:
    """A running site; to be used as a context manager.

    :param shape: size and configuration.
    :param folder: directory of settings files and logs.
    """

    def __init__(self, shape: SiteShape, folder: pathlib.Path) -> None:
        self._shape = shape
        self._folder = folder
        self._stack = contextlib.ExitStack()
        self._platform = standinplatform.serve("127.0.0.1:0")
        self._http = urllib3.PoolManager(retries=False, timeout=_CALL_TIMEOUT_S)
        self.engines: list[str] = []
        self.node_by_address: dict[str, loadprocesses.Child] = {}

    def __enter__(self) -> typing.Self:
        """Start the platform, the engines and the nodes, and wait until the nodes are ready."""
        try:
            self._platform.start()
            self._stack.callback(self._platform.stop)
            for number in range(self._shape.engines):
                self.engines.append(self._start_engine(number))
            if self._shape.nodes:
                self._configure()
                self._start_nodes()
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *exception: object) -> None:
        """Stop all that was started, nodes first."""
        self._stack.close()

    def preemptions(self) -> int:
        """Return the number of preemptions that the engines have counted so far."""
        return sum(self._load_report(engine)["preemptions"] for engine in self.engines)

    def addresses(self, team: str) -> tuple[str, ...]:
        """Return the addresses that a node lists for a team's callers."""
        response = self._http.request(
            "GET",
            f"http://{next(iter(self.node_by_address))}/v1/addresses",
            headers={"Authorization": f"Bearer {team_key(team)}"},
        )
        if response.status != 200:
            detail = f"{response.status}: {response.data[:200]!r}"
            raise codederrors.CodedError("addresses_refused", detail)
        return tuple(response.json()["addresses"])

    def _load_report(self, engine: str) -> dict[str, typing.Any]:
        return self._http.request("GET", f"http://{engine}/load").json()

    def _start_engine(self, number: int) -> str:
        settings = dataclasses.asdict(self._shape.engine) | {"models": (MODEL,), "seed": number}
        module_arguments = ("hornbeamglade.bench.loadengine", json.dumps(settings))
        return self._start(f"engine-{number}", module_arguments).first_line()

    def _start(
        self, name: str, module_arguments: collections.abc.Sequence[str]
    ) -> loadprocesses.Child:
        child = loadprocesses.Child(name, module_arguments, self._folder)
        self._stack.callback(child.stop)
        return child

    def _start_nodes(self) -> None:
        instances = []
        for number in range(self._shape.nodes):
            instance = contract.Instance(
                name=f"entry-{number}",
                failure_domain=FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
                address=loadprocesses.free_address(),
                exchange=loadprocesses.free_address(socket.SOCK_DGRAM),
                leaving=False,
            )
            instances.append(instance)
        standinplatform.set_instances(self._platform.platform, instances)
        for instance in instances:
            path = self._folder / f"{instance.name}.yaml"
            path.write_text(yaml.safe_dump(self._node_settings(instance)), encoding="utf-8")
            module_arguments = ("hornbeamglade", "node", "--settings", str(path))
            self.node_by_address[instance.address] = self._start(instance.name, module_arguments)
        for address in self.node_by_address:
            loadprocesses.wait_until(
                lambda address=address: self._ready(address),
                f"the node at {address}",
                list(self.node_by_address.values()),
                _READY_TIMEOUT_S,
            )

    def _ready(self, address: str) -> bool:
        try:
            return self._http.request("GET", f"http://{address}/readyz").status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _node_settings(self, instance: contract.Instance) -> dict[str, typing.Any]:
        return {
            "name": instance.name,
            "site": SITE,
            "failure_domain": instance.failure_domain,
            "callers": instance.address,
            "exchange": instance.exchange,
            "platform": f"http://{self._platform.address}",
            "exchange_keys": [{"id": 1, "secret": hashlib.sha256(b"bench").hexdigest()}],
        }

    def _configure(self) -> None:
        document = documents.load(
            documentyaml.SourceFile("base.yaml", yaml.safe_dump(self.base()).encode()),
            [documentyaml.SourceFile("site.yaml", f"site: {SITE}\n".encode())],
        )
        change = head.Change(document, 0, "bench-1", "bench", "start of the bench")
        platform = self._platform.platform
        outcome = head.ConfigurationHead(platform, platform, clocks.SystemClock()).apply(change)
        if not isinstance(outcome, head.Applied):
            raise codederrors.CodedError("bench_configuration", f"not accepted: {outcome}")

    def base(self) -> dict[str, typing.Any]:
        """Return the base configuration of the site as plain values."""
        replicas = {
            f"engine-{number}": {
                "address": address,
                "failure_domain": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
                "memory_tokens": self._shape.engine.capacity_tokens,
            }
            for number, address in enumerate(self.engines)
        }
        teams = {
            team: {
                "key_hashes": [identity.hash_key(team_key(team))],
                "weight": weight,
                "requests_in_flight": 10_000,
                "tokens_in_flight": 100_000_000,
            }
            for team, weight in self._shape.weight_by_team.items()
        }
        pool = {"replicas": replicas}
        if self._shape.admission:
            pool["admission"] = self._shape.admission
        return {
            "sites": [SITE],
            "services": {POOL: {"kind": "generation", "pool": POOL, "model": MODEL}},
            "pools": {POOL: pool},
            "teams": teams,
        }
