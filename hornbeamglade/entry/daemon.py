"""The process of one entry instance: its servers, its threads, its planned stop."""

import asyncio
import random
import signal
import sys
import threading

from hornbeamglade.core import clocks, codederrors
from hornbeamglade.entry import controlhandler, instance, settings
from hornbeamglade.http1 import serverside
from hornbeamglade.membership import draining, introduction, registry
from hornbeamglade.observability import logs, metrics
from hornbeamglade.platform import storeclient, tables
from hornbeamglade.store import contract, tablefollower

STORE_TIMEOUT_S = 1.0
"""The store answers within some ten milliseconds; one that does not is slow or away, and
another call is the better use of the time."""

REGISTER_EVERY_S = 0.5
LIST_EVERY_S = 5.0
ADDRESS_TTL_S = 2.0
STOP_POLL_S = 0.05
TIDY_EVERY_S = 1.0
EXIT_OK = 0


class Daemon:
    """Runs one entry instance.

    :param path: its settings file.
    :param metrics_port: where its instruments are read, or None.
    :raises CodedError: when the settings cannot be used.
    """

    def __init__(self, path: str, metrics_port: int | None) -> None:
        text = settings.read(path)
        told = settings.parse(text, path)
        self._path = path
        self._told = told
        self._metrics_port = metrics_port
        self._clock = clocks.SystemClock()
        self.instance = instance.EntryInstance(told, self._clock)
        self._store = storeclient.StoreClient(told.store, STORE_TIMEOUT_S)
        self._registry = registry.Registry(self._store)
        self._rng = random.Random(self.instance.incarnation)
        self._callers = serverside.CallersServer(self.instance.callers, self._clock)
        self._stopping: asyncio.Event | None = None
        self._stopped = threading.Event()
        self._settings_text = text
        self._settings_problem: str | None = None
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def name(self) -> str:
        """The instance's name."""
        return self._told.name

    async def run(self) -> int:
        """Serve until a planned stop is done; return the exit code."""
        loop = asyncio.get_running_loop()
        self._stopping = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.instance.peering.listen()
        self._follow(loop)
        self._tasks = [
            loop.create_task(self._tick()),
            loop.create_task(self._tidy()),
            loop.create_task(self.instance.poller.run()),
        ]
        await self._listen()
        logs.state_changed("node", "starting", "serving", node=self._told.name)
        await self._stopping.wait()
        await self._leave()
        return EXIT_OK

    def _follow(self, loop: asyncio.AbstractEventLoop) -> None:
        """Follow the store, on threads of its own."""
        following = self.instance.following
        for table, told in (
            (tables.CONFIGURATION, following.configuration_told),
            (tables.REPLICAS, following.replicas_told),
        ):
            tablefollower.TableFollower(
                self._store,
                table,
                lambda outcome, told=told: loop.call_soon_threadsafe(told, outcome),
                self._clock,
                self._rng,
            ).start()
        threading.Thread(
            target=self._introduce, args=(loop,), name="registry", daemon=True
        ).start()

    def _introduce(self, loop: asyncio.AbstractEventLoop) -> None:
        """Write this instance's row, and read those of the others now and then."""
        identity = self.instance.identity
        own = contract.Instance(
            identity.name, identity.failure_domain, identity.address, identity.exchange, False
        )
        listing = introduction.Introduction(self._registry, self._told.seeds)
        is_registered = False
        while not self._stopped.is_set():
            if not is_registered:
                is_registered = isinstance(self._registry.register(own), contract.Committed)
            listed = listing.list()
            is_listed = not isinstance(listed, contract.Unavailable)
            if is_listed:
                loop.call_soon_threadsafe(self.instance.introduced, listed)
            self._stopped.wait(LIST_EVERY_S if is_registered and is_listed else REGISTER_EVERY_S)

    async def _listen(self) -> None:
        told = self._told.listen
        control = controlhandler.ControlHandler(self.instance, ADDRESS_TTL_S, metrics.CONTENT_TYPE)
        host, _, port = told.callers.rpartition(":")
        await self._callers.listen(host, int(port))
        addresses = [told.readiness, told.directory, told.control]
        if self._metrics_port is not None:
            addresses.append(f"{self._told.host}:{self._metrics_port}")
        for address in filter(None, addresses):
            host, _, port = address.rpartition(":")
            await serverside.CallersServer(control, self._clock).listen(host, int(port))

    async def _tick(self) -> None:
        while True:
            self.instance.tick()
            await asyncio.sleep(instance.TICK_S)

    async def _tidy(self) -> None:
        while True:
            await asyncio.sleep(TIDY_EVERY_S)
            self.instance.tidy()
            # The file may change without a signal.
            self._reload()

    def _reload(self) -> None:
        """Read the settings anew; a file that cannot be read leaves the former in force."""
        try:
            text = settings.read(self._path)
            if text == self._settings_text:
                return
            self._settings_text = text
            told = settings.parse(text, self._path)
        except codederrors.CodedError as error:
            if error.code != self._settings_problem:
                reason = logs.slug(error.detail)
                logs.state_changed("settings", "in_force", error.code, reason=reason)
            self._settings_problem = error.code
            return
        self._settings_problem = None
        self.instance.take_settings(told)
        logs.state_changed("settings", "in_force", "changed", node=told.name)

    async def _leave(self) -> None:
        """Stop as planned: told to all first, and with nothing under way cut off."""
        logs.state_changed("node", "serving", "leaving", node=self._told.name)
        stop = self.instance.leave()
        self._callers.leave()
        self._stopped.set()
        threading.Thread(
            target=self._registry.withdraw, args=(self._told.name,), daemon=True
        ).start()
        while True:
            status = stop.step(self._clock.now(), self._callers.busy_count)
            if status.phase is draining.Phase.CLOSING:
                self._callers.stop_listening()
                self._callers.close_idle()
                stop.listener_closed()
            if status.phase is draining.Phase.DONE:
                break
            await asyncio.sleep(STOP_POLL_S)
        logs.state_changed("node", "leaving", "stopped", count=status.cut)


def run(path: str, metrics_port: int | None) -> int:
    """Run one entry instance until its planned stop is done; return the exit code.

    :param path: its settings file.
    :param metrics_port: where its instruments are read, or None.
    :raises CodedError: when the settings cannot be used.
    """
    daemon = Daemon(path, metrics_port)
    instruments = daemon.instance.instruments
    writer = logs.LogWriter(
        sys.stdout, daemon.name, instruments.state_changes, instruments.log_lines_dropped
    )
    writer.start()
    code = asyncio.run(daemon.run())
    writer.stop()
    return code
