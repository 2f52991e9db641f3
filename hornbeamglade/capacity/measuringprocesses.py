"""Measures the cost of real, idle node processes."""

import collections.abc
import contextlib
import dataclasses
import pathlib
import tempfile
import time
import typing

import yaml

from hornbeamglade.capacity import bytecount, fits, samplesite, slopes
from hornbeamglade.localsite import localsite
from hornbeamglade.membership import dissemination

GROUP = "processes"
WINDOW_S = 8.0
SETTLE_S = 3.0
_NODE_COUNTS = (3, 6, 12, 16, 24)
_TEAM_COUNTS = (100, 200, 400, 800)
_OWNED_COUNTS = (5, 10, 20, 40)
_THREAD_COUNTS = (64, 128, 256, 448)
_STATUS_SAMPLES = 5
_PLATFORM = "platform"


@dataclasses.dataclass(slots=True)
class _Reading:
    """Resource use of the nodes of one site, as a mean per node."""

    cores: float
    resident_bytes: float
    platform_bytes_per_s: float
    backend_bytes_per_s: float
    unseen: float
    status_s: float


@dataclasses.dataclass(slots=True)
class _Links:
    """Byte-counting proxies of a site."""

    stack: contextlib.ExitStack
    link_by_name: dict[str, bytecount.CountingProxy] = dataclasses.field(default_factory=dict)

    def route(self, name: str, address: str) -> str:
        """Return the address of the proxy that forwards to ``address``."""
        if name not in self.link_by_name:
            link = bytecount.CountingProxy(address)
            self.stack.callback(link.close)
            self.link_by_name[name] = link
        return self.link_by_name[name].address

    def bytes_forwarded(self, platform: bool) -> int:
        """Return the bytes exchanged with the platform, or with the backend servers."""
        return sum(
            link.bytes_forwarded
            for name, link in self.link_by_name.items()
            if (name == _PLATFORM) is platform
        )


def measure() -> collections.abc.Iterator[slopes.Slope]:
    """Measure the group; this takes several minutes."""
    yield from _by_nodes()
    yield from _by_teams()
    yield from _by_owned()
    yield from _by_threads()


def _slopes(over, readings, metrics) -> collections.abc.Iterator[slopes.Slope]:
    for key, cost, mechanism, read in metrics:
        points = tuple(fits.Point(size, read(reading)) for size, reading in readings.items())
        yield slopes.Slope(f"processes.{key}", GROUP, cost, over, mechanism, points)


def _by_nodes() -> collections.abc.Iterator[slopes.Slope]:
    readings = {n: _read_site({"nodes": n, "engines": 2, "services": 1}) for n in _NODE_COUNTS}
    # Above the full-mesh limit, nodes read the list too rarely for one window.
    meshes = {
        n: reading for n, reading in readings.items() if n <= dissemination.FULL_MESH_MAX_NODES
    }
    yield from _slopes(
        "nodes, each of which reads the list once a second",
        meshes,
        (
            (
                "platform_bytes.nodes",
                "bytes a second between a node and the platform: head row, instance list",
                "configuration/follower.py, node/upkeep.py (read_instances)",
                lambda r: r.platform_bytes_per_s,
            ),
        ),
    )
    yield from _slopes(
        "nodes",
        readings,
        (
            ("cores.nodes", "cores of an idle node", "node/daemon.py", lambda r: r.cores),
            (
                "resident.nodes",
                "resident bytes of an idle node",
                "node/daemon.py",
                lambda r: r.resident_bytes,
            ),
            (
                "unseen.nodes",
                "part of the replicas, all serving, of which a node has no fresh word",
                "membership/dissemination.py, node/replicacatalog.py (takes_new_work)",
                lambda r: r.unseen,
            ),
        ),
    )


def _by_teams() -> collections.abc.Iterator[slopes.Slope]:
    readings = {n: _read_site({"base": {"teams": _teams(n)}}) for n in _TEAM_COUNTS}
    yield from _slopes(
        "teams, at a single node",
        readings,
        (
            ("cores.teams", "cores of an idle node", "node/daemon.py", lambda r: r.cores),
            (
                "resident.teams",
                "resident bytes of an idle node",
                "node/siteview.py, teams/limits.py",
                lambda r: r.resident_bytes,
            ),
        ),
    )


def _by_owned() -> collections.abc.Iterator[slopes.Slope]:
    readings = {n: _read_site({}, owned=n) for n in _OWNED_COUNTS}
    yield from _slopes(
        "replicas owned",
        readings,
        (
            ("cores.owned", "cores of an idle node", "node/loadpoller.py", lambda r: r.cores),
            (
                "backend_bytes.owned",
                "bytes a second of load polls and cache events, both ways",
                "node/loadpoller.py, backends/loadreports.py",
                lambda r: r.backend_bytes_per_s,
            ),
            ("status_s.owned", "seconds of /status", "node/statuses.py", lambda r: r.status_s),
        ),
    )


def _teams(count: int) -> dict[str, typing.Any]:
    return samplesite.base(samplesite.Counts(teams=count))["teams"]


def _read_site(shape: dict[str, typing.Any], owned: int = 0) -> _Reading:
    """Start a site, wait until it has settled, and measure its nodes."""
    with contextlib.ExitStack() as stack:
        links = _Links(stack)
        folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        options = {"nodes": 1, "engines": 1, "services": 0} | shape
        site = localsite.LocalSite(localsite.Shape(route=links.route, **options), folder)
        stack.enter_context(site)
        if owned:
            site.apply(_with_replicas(site, links, owned), based_on=1, change_id="c2")
        time.sleep(SETTLE_S)
        return _read(site, links)


def _with_replicas(site: localsite.LocalSite, links: _Links, count: int) -> dict[str, typing.Any]:
    """Return a configuration in which a pool has many replicas, all proxies of one engine."""
    base = site.base()
    (engine,) = base["pools"]["drafters"]["replicas"].values()
    address = site.address_by_name["engine-0"]
    names = [samplesite.replica_name(number) for number in range(count)]
    replicas = {name: engine | {"address": links.route(name, address)} for name in names}
    return base | {"pools": base["pools"] | {"drafters": {"replicas": replicas}}}


def _read(site: localsite.LocalSite, links: _Links) -> _Reading:
    nodes = [name for name in site.child_by_name if name.startswith("entry-")]
    cpu_s, platform, backends = _totals(site, nodes, links)
    started = time.monotonic()
    time.sleep(WINDOW_S)
    elapsed_s = time.monotonic() - started
    totals_after = _totals(site, nodes, links)
    resident = sum(site.child_by_name[name].resident_bytes() for name in nodes)
    per_node_s = len(nodes) * elapsed_s
    unseen, status_s = _sample_status(site, nodes)
    return _Reading(
        cores=(totals_after[0] - cpu_s) / per_node_s,
        resident_bytes=resident / len(nodes),
        platform_bytes_per_s=(totals_after[1] - platform) / per_node_s,
        backend_bytes_per_s=(totals_after[2] - backends) / per_node_s,
        unseen=unseen,
        status_s=status_s,
    )


def _totals(site: localsite.LocalSite, nodes: list[str], links: _Links) -> tuple[float, int, int]:
    cpu_s = sum(site.child_by_name[name].cpu_s() for name in nodes)
    return cpu_s, links.bytes_forwarded(platform=True), links.bytes_forwarded(platform=False)


def _sample_status(site: localsite.LocalSite, nodes: list[str]) -> tuple[float, float]:
    """Return the share of replicas not shown as serving, and the median status page time."""
    is_serving: list[bool] = []
    durations_s: list[float] = []
    for _ in range(_STATUS_SAMPLES):
        for name in nodes:
            started = time.monotonic()
            page = site.status(name)
            durations_s.append(time.monotonic() - started)
            is_serving += [each["state"] == "serving" for each in page["replicas"]]
        time.sleep(1.0)
    return 1 - sum(is_serving) / len(is_serving), sorted(durations_s)[len(durations_s) // 2]


def _by_threads() -> collections.abc.Iterator[slopes.Slope]:
    resident_by_count = {}
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        site = localsite.LocalSite(localsite.Shape(nodes=1, engines=1, services=0), folder)
        stack.enter_context(site)
        settings = yaml.safe_load((folder / "entry-0.yaml").read_text(encoding="utf-8"))
        for count in _THREAD_COUNTS:
            name = f"threads-{count}"
            path = folder / f"{name}.yaml"
            changed = settings | {"name": name, "threads": count}
            path.write_text(yaml.safe_dump(changed), encoding="utf-8")
            site.start(name, "node", "--settings", str(path))
            time.sleep(SETTLE_S)
            resident_by_count[count] = site.child_by_name[name].resident_bytes()
            site.child_by_name[name].stop()
    yield from _slopes(
        "caller threads",
        resident_by_count,
        (("resident.threads", "resident bytes of an idle node", "callers/server.py", float),),
    )
