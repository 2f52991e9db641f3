"""Entry instances on one event loop, with stand-in engines and a store in memory."""

import asyncio
import contextlib
import json
import socket

from hornbeamglade.core import clocks
from hornbeamglade.entry import instance, settings
from hornbeamglade.http1 import callersserver
from hornbeamglade.localsite import routedsite, tcpproxy
from hornbeamglade.membership import registry
from hornbeamglade.standins import routed, routedfaults
from hornbeamglade.store import contract, memory
from tests import eventloop
from tests.http1 import raw

HOST = "mail.example"
KEY = "k1"
STORE = "127.0.0.1:1"


free_port = routedsite.PortAllocator().allocate


def route(name, kind, service, **changes):
    fields = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "route_kind": kind,
        "timeout_ms": 20000,
        "goal_ms": 5000,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }
    return fields | changes


def manifest(version=1, **changes):
    engine = {
        "slots": 8,
        "kv_capacity_tokens": routed.MEMORY_TOKENS,
        "kv_bytes": 1000,
        "link_mbps": 24000.0,
        "moves": True,
        "backups": True,
        "stride": 1,
        "handle_s": 5.0,
    }
    return {
        "version": version,
        "routes": [
            route("draft", "streaming", "llm", max_attempts=1),
            route("tag", "streaming", "llm", resumable=True),
            route("list", "idempotent", "web"),
            route("hold", "non_idempotent", "web", max_attempts=1),
            route("quick", "idempotent", "web", timeout_ms=80),
        ],
        "services": [
            {"name": "llm", "health_path": "/h", "max_connections": 50, "engine": engine},
            {"name": "web", "health_path": "/h", "max_connections": 50},
        ],
        "limits": {
            "max_header_bytes": 4000,
            "max_body_bytes": 100000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "clinic", "api_keys": [KEY]}],
    } | changes


def server_row(server, service, domain="a", state="ready", **more):
    fields = {
        "service": service,
        "address": server.address,
        "zone": domain,
        "version": "v1",
        "slots": 8,
        "state": state,
        "cold_remaining_ms": 0,
        "sequence": 1,
    }
    return json.dumps(fields | more)


RETRIES = 50
"""Retries that each request allows; a process that has just started has no slack yet."""


class Node:
    """One instance and the client side of its callers."""

    def __init__(self, number, clock=None, region_by_failure_domain=None):
        clock = clock or clocks.SystemClock()
        ports = free_port(socket.SOCK_DGRAM)
        callers = f"127.0.0.1:{free_port(socket.SOCK_STREAM)}"
        self.settings = settings.Settings(
            name=f"entry-{number}",
            host="127.0.0.1",
            failure_domain="ab"[number % 2],
            region="r",
            listen=settings.Listen(callers=callers, readiness=callers),
            exchange_ports=(ports, ports),
            store=STORE,
            budget=settings.Budget(ratio=RETRIES, slack=0, window_s=10),
            bounds=settings.Bounds(stop_s=8, address_ttl_s=5),
            region_by_failure_domain=region_by_failure_domain or {},
            is_first_start=True,
        )
        self.instance = instance.EntryInstance(self.settings, clock)
        self._server = callersserver.CallersServer(
            self.instance.callers, clock, self.instance.memory
        )
        self._tasks = []

    async def start(self):
        await self.instance.listen()
        host, _, port = self.settings.listen.callers.rpartition(":")
        self.address = await self._server.listen(host, int(port))
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._tick())]

    async def _tick(self):
        while True:
            self.instance.tick()
            await asyncio.sleep(0.02)

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        self._server.stop_listening()
        for connection in tuple(self._server.connections):
            connection.abort()
        self.instance.close()

    async def request(
        self, path, *, request_id="r1", key=KEY, more="", body=b"body", body_delay_s=0.0
    ):
        """Send one request on its own connection; return the raw client."""
        client = await raw.RawClient.connect(self.address)
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request_id}\r\n"
            f"Authorization: Bearer {key}\r\nContent-Length: {len(body)}\r\n{more}\r\n"
        )
        if body_delay_s:
            await client.send(head.encode())
            await asyncio.sleep(body_delay_s)
            head = ""
        await client.send(head.encode() + body)
        return client

    def set_stop_limit(self, stop_s):
        bounds = settings.Bounds(stop_s=stop_s, address_ttl_s=5)
        self.instance.apply_settings(self.settings.model_copy(update={"bounds": bounds}))


class Feed(contract.Feed):
    """A node's access to the store, which may be lost.

    :param store: the store, in memory.
    """

    def __init__(self, store):
        self._store = store
        self.is_reached = True

    def snapshot(self, table):
        return self._store.snapshot(table) if self.is_reached else contract.Unavailable("cut off")

    def changes(self, table, after, wait_s):
        if not self.is_reached:
            return contract.Unavailable("cut off")
        return self._store.changes(table, after, wait_s)


def set_faults(servers, **faults):
    for server in servers:
        server.faults = routedfaults.RoutedFaults(**faults)


USAGE = "Model: m\r\nToken-Usage: 100,50\r\n"


class Site:
    """Connected nodes, engines and plain servers.

    :param nodes: number of instances.
    :param engines: number of engines.
    :param events: events of each stream.
    :param region_by_failure_domain: the regions of the failure domains ``a`` and ``b``.
    :param has_links: whether each node reaches each server over a link of its own, which can be
        partitioned.
    """

    def __init__(
        self,
        nodes=1,
        engines=2,
        services=2,
        events=30,
        gap_s=0.01,
        region_by_failure_domain=None,
        has_links=False,
    ):
        self.store = memory.MemoryPlatform(clocks.SystemClock(), shared_version_counter=True)
        self.engines = [routed.RoutedStandin(f"e{n}", events, gap_s) for n in range(engines)]
        self.services = [routed.RoutedStandin(f"s{n}") for n in range(services)]
        self.nodes = [
            Node(number, region_by_failure_domain=region_by_failure_domain)
            for number in range(nodes)
        ]
        self.links_by_node = (
            {node: tcpproxy.TcpProxies() for node in self.nodes} if has_links else {}
        )
        self._store_by_node = {
            node: memory.MemoryPlatform(clocks.SystemClock(), shared_version_counter=True)
            for node in self.links_by_node
        }

    async def start(self):
        for server in (*self.engines, *self.services):
            await server.start()
        self.put("op/config", json.dumps(manifest()))
        for number, server in enumerate(self.engines):
            self.put(f"servers/{server.replica_id}", server_row(server, "llm", "ab"[number % 2]))
        for server in self.services:
            self.put(f"servers/{server.replica_id}", server_row(server, "web"))
        listed = registry.Registry(self.store)
        for node in self.nodes:
            await node.start()
            node.feed = Feed(self._store_by_node.get(node, self.store))
            node.instance.follow_on_demand(node.feed)
            identity = node.instance.identity
            listed.register(
                contract.Instance(
                    identity.name,
                    identity.failure_domain,
                    identity.address,
                    identity.exchange,
                    False,
                )
            )
        for node in self.nodes:
            node.instance.on_instance_list(listed.list())
            node.instance.on_rows(())
        self.read_store()
        await eventloop.until(self.is_ready)
        for node in self.nodes:
            node.instance.clean_up()

    def put(self, key, value):
        self.store.transact((), (contract.Put(key, value),))
        for node, store in self._store_by_node.items():
            linked = self._over_link(node, value) if key.startswith("servers/") else value
            store.transact((), (contract.Put(key, linked),))

    def configure(self, version, **changes):
        """Let all nodes read a version of the manifest with some changes."""
        self.put("op/config", json.dumps(manifest(version, **changes)))
        self.read_store()

    async def request_streams(self, count, path="/draft/1"):
        """Request streams at the first node; return the clients."""
        return [
            await self.nodes[0].request(path, request_id=f"r{number}", more=USAGE)
            for number in range(count)
        ]

    def _over_link(self, node, value):
        """Return a server's entry with the address of a node's link to it."""
        entry = json.loads(value)
        links = self.links_by_node[node]
        address = links.link(entry["address"], entry["address"]).address
        return json.dumps(entry | {"address": address})

    def partition(self, node, how):
        """Partition a node from all servers."""
        for link in self.links_by_node[node].link_by_name.values():
            link.partition(how)

    def heal(self, node):
        """End a node's partition."""
        for link in self.links_by_node[node].link_by_name.values():
            link.release()

    def delete(self, key):
        for store in (self.store, *self._store_by_node.values()):
            store.transact((), (contract.Delete(key),))

    def read_store(self, *nodes):
        """Let nodes, by default all of them, read the store."""
        for node in nodes or self.nodes:
            following = node.instance.cluster_state
            store = self._store_by_node.get(node, self.store)
            following.on_configuration(store.snapshot("op"))
            following.on_replicas(store.snapshot("servers"))

    def leave(self, number):
        """Make an engine announce that it will stop."""
        server = self.engines[number]
        server.is_leaving = True
        self.put(
            f"servers/{server.replica_id}", server_row(server, "llm", "ab"[number % 2], "draining")
        )
        self.read_store()

    async def stop(self):
        for node in self.nodes:
            await node.stop()
        for server in (*self.engines, *self.services):
            await server.stop()
        for links in self.links_by_node.values():
            links.close()

    def is_ready(self):
        """Return whether each node knows the others and all engines have free capacity."""
        views = [node.instance.peering.heartbeats.live() for node in self.nodes]
        are_connected = all(len(view) == len(self.nodes) for view in views)
        return are_connected and all(self._knows_capacity(node) for node in self.nodes)

    def _knows_capacity(self, node):
        known = node.instance.catalog.candidates("llm", ())
        return len(known) == len(self.engines) and all(each.room_tokens for each in known)


@contextlib.asynccontextmanager
async def started(**shape):
    """Start a site, and stop it at the end."""
    site = Site(**shape)
    try:
        await site.start()
        yield site
    finally:
        await site.stop()


def run(test, **shape):
    """Run ``test`` against a started site."""

    async def main():
        async with started(**shape) as site:
            return await test(site)

    return eventloop.run(main())
