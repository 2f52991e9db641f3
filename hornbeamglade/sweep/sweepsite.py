"""An entry instance and its servers in one process, without processes or a store to start.

Explanation
===========

The servers run on an event loop of their own, on another thread, so that they go on while the
instance's loop stands still.
"""

import asyncio
import collections.abc
import json
import socket
import threading
import typing

from hornbeamglade.core import clocks
from hornbeamglade.entry import instance, settings
from hornbeamglade.http1 import callersserver
from hornbeamglade.localsite import routedsite, tcpproxy
from hornbeamglade.membership import registry
from hornbeamglade.platform import tables
from hornbeamglade.standins import operatordocuments, routed, routedfaults
from hornbeamglade.store import contract, memory

STORE = "127.0.0.1:1"
KEY = "k1"
TEAM = "clinic"
SLOTS = 64
"""More than the cases that are played at once, so that none of them waits."""

RETRY_RATIO = 10_000
TICK_S = 0.02
READY_TIMEOUT_S = 30.0

_ports = routedsite.PortAllocator()

Result = typing.TypeVar("Result")


class ServerThread:
    """An event loop on a thread of its own."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, coroutine: collections.abc.Coroutine[typing.Any, typing.Any, Result]) -> Result:
        """Run a coroutine there and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    def close(self) -> None:
        """End the loop and its thread."""
        self.run(_cancel_others())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


async def _cancel_others() -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


class LoopInstance:
    """An entry instance on the running event loop.

    :param number: its number, which is part of its name.
    """

    def __init__(self, number: int) -> None:
        clock = clocks.SystemClock()
        exchange = _ports.allocate(socket.SOCK_DGRAM)
        callers = f"127.0.0.1:{_ports.allocate()}"
        self._settings = settings.Settings(
            name=f"entry-{number}",
            host="127.0.0.1",
            failure_domain=routedsite.DOMAINS[number % 2],
            region="r",
            listen=settings.Listen(callers=callers, readiness=callers),
            exchange_ports=(exchange, exchange),
            store=STORE,
            budget=settings.Budget(ratio=RETRY_RATIO, slack=0, window_s=10),
            bounds=settings.Bounds(stop_s=8, address_ttl_s=5),
            is_first_start=True,
        )
        self.instance = instance.EntryInstance(self._settings, clock)
        self._server = callersserver.CallersServer(
            self.instance.callers, clock, self.instance.memory
        )
        self._ticking: asyncio.Task[None] | None = None
        self.address = ""

    async def start(self) -> None:
        """Accept callers."""
        await self.instance.listen()
        host, _, port = self._settings.listen.callers.rpartition(":")
        self.address = await self._server.listen(host, int(port))
        self._ticking = asyncio.ensure_future(self._tick())

    async def stop(self) -> None:
        """Close all connections."""
        self._ticking.cancel()
        self._server.stop_listening()
        for connection in tuple(self._server.connections):
            connection.abort()
        self.instance.close()
        await asyncio.sleep(0)

    async def _tick(self) -> None:
        while True:
            self.instance.tick()
            await asyncio.sleep(TICK_S)


class SweepSite:
    """One instance or more, two engines and two plain servers.

    :param wrap_writer: returns the writer for the response to a request.
    :param events: events of each stream.
    :param gap_s: seconds between two events.
    :param event_bytes: least size of an event.
    :param instances: number of instances.
    :param has_links: whether the first instance reaches the servers over links of its own.
    :param misdirected: how many first arrivals of each request a server takes as meant for the one
        before at its address, by server; none by default. Both are then listed.
    """

    def __init__(
        self,
        wrap_writer: routed.WriterWrapper,
        events: int,
        gap_s: float,
        event_bytes: int = 0,
        instances: int = 1,
        has_links: bool = False,
        misdirected: collections.abc.Mapping[str, int] | None = None,
    ) -> None:
        self._is_taken_over = misdirected is not None
        self._thread = ServerThread()
        self.engines = [
            routed.RoutedStandin(
                f"e{number}", events, gap_s, wrap_writer=wrap_writer, event_bytes=event_bytes
            )
            for number in range(2)
        ]
        self.services = [
            routed.RoutedStandin(f"s{number}", wrap_writer=wrap_writer) for number in range(2)
        ]
        self.instances = [LoopInstance(number) for number in range(instances)]
        for server in self.servers:
            count = (misdirected or {}).get(server.replica_id, 0)
            server.faults = routedfaults.RoutedFaults(misdirected=count)
        self._links = tcpproxy.TcpProxies() if has_links else None
        self._stores = [
            memory.MemoryPlatform(clocks.SystemClock(), shared_version_counter=True)
            for _ in self.instances
        ]

    @property
    def servers(self) -> tuple[routed.RoutedStandin, ...]:
        """All servers."""
        return (*self.engines, *self.services)

    @property
    def address(self) -> str:
        """The address on which the first instance accepts callers."""
        return self.instances[0].address

    async def start(self) -> None:
        """Start all, and wait until the first instance can send requests."""
        for server in self.servers:
            self._thread.run(server.start())
        for each in self.instances:
            await each.start()
        listed = registry.Registry(memory.MemoryPlatform(clocks.SystemClock()))
        for each in self.instances:
            identity = each.instance.identity
            listed.register(
                contract.Instance(
                    identity.name,
                    identity.failure_domain,
                    identity.address,
                    identity.exchange,
                    False,
                )
            )
        for number, each in enumerate(self.instances):
            each.instance.follow_on_demand(self._stores[number])
            each.instance.on_instance_list(listed.list())
            each.instance.on_rows(())
            self._configure(number)
            self._list_servers(number)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not all(self._is_ready(each) for each in self.instances):
                await asyncio.sleep(TICK_S)
        for each in self.instances:
            each.instance.clean_up()

    async def stop(self) -> None:
        """Stop all."""
        for each in self.instances:
            await each.stop()
        for server in self.servers:
            self._thread.run(server.stop())
        if self._links is not None:
            self._links.close()
        self._thread.close()

    def partition(self) -> None:
        """Partition the first instance from all servers; it reaches them through the others."""
        for link in self._links.link_by_name.values():
            link.partition(tcpproxy.Partition.RESET)

    def leave(self, engine: routed.RoutedStandin) -> None:
        """Let an engine announce that it will stop."""
        engine.is_leaving = True
        for number in range(len(self.instances)):
            self._list_servers(number)

    def _configure(self, instance_number: int) -> None:
        store = self._stores[instance_number]
        document = operatordocuments.manifest(1, {TEAM: [KEY]})
        manifest = json.loads(document)
        for service in manifest["services"]:
            service["max_connections"] = 4 * SLOTS
            if "engine" in service:
                service["engine"]["slots"] = SLOTS
        store.transact((), (contract.Put(tables.CONFIGURATION_KEY, json.dumps(manifest)),))
        cluster_state = self.instances[instance_number].instance.cluster_state
        cluster_state.on_configuration(store.snapshot(tables.CONFIGURATION))

    def _list_servers(self, instance_number: int) -> None:
        store = self._stores[instance_number]
        for number, server in enumerate(self.servers):
            is_engine = server in self.engines
            entry = json.loads(
                operatordocuments.entry(
                    operatordocuments.ENGINE_SERVICE
                    if is_engine
                    else operatordocuments.PLAIN_SERVICE,
                    server.address if instance_number else self._address(server),
                    routedsite.DOMAINS[number % 2],
                    is_leaving=server.is_leaving,
                )
            )
            row = json.dumps(entry | {"slots": SLOTS})
            for name in self._names(server):
                store.transact((), (contract.Put(f"{tables.REPLICAS}/{name}", row),))
        cluster_state = self.instances[instance_number].instance.cluster_state
        cluster_state.on_replicas(store.snapshot(tables.REPLICAS))

    def _names(self, server: routed.RoutedStandin) -> tuple[str, ...]:
        own = server.replica_id
        return (own, f"{own}-before") if self._is_taken_over else (own,)

    def _address(self, server: routed.RoutedStandin) -> str:
        if self._links is None:
            return server.address
        return self._links.link(server.address, server.address).address

    def _is_ready(self, each: LoopInstance) -> bool:
        live = each.instance.peering.heartbeats.live()
        engines = each.instance.catalog.candidates(operatordocuments.ENGINE_SERVICE, ())
        listed = sum(len(self._names(engine)) for engine in self.engines)
        has_room = len(engines) == listed and all(item.room_tokens for item in engines)
        return len(live) == len(self.instances) and has_room
