"""The process of one entry instance: its servers, its threads, its planned stop."""

import asyncio
import gc
import random
import signal
import sys

from hornbeamglade.core import clocks, codederrors
from hornbeamglade.entry import controlhandler, instance, registration, settings
from hornbeamglade.http1 import serverside
from hornbeamglade.membership import draining, registry
from hornbeamglade.observability import logs, metricsregistry
from hornbeamglade.platform import storeclient, tables
from hornbeamglade.quarantine import quarantinewriter
from hornbeamglade.store import contract, countedstore, tablefollower

STORE_TIMEOUT_S = 1.0
"""The store answers within some ten milliseconds; one that does not is slow or away, and
another call is the better use of the time."""

LONE_RETRY_S = 6.0
"""Pause after a failed call of an instance that follows the store only for want of others
to tell it: at a large site nearly all do so while the store is away, and those that are to
follow it look for its return four times a second."""

ADDRESS_TTL_S = 2.0
STOP_POLL_S = 0.05
TIDY_EVERY_S = 1.0
EXIT_OK = 0


class Daemon:
    """Runs one entry instance.

    :param path: its settings file.
    :raises CodedError: when the settings cannot be used.
    """

    def __init__(self, path: str) -> None:
        text = settings.read(path)
        told = settings.parse(text, path)
        self._path = path
        self._told = told
        self._clock = clocks.SystemClock()
        self.instance = instance.EntryInstance(told, self._clock)
        self._store = countedstore.CountedStore(
            storeclient.StoreClient(told.store, STORE_TIMEOUT_S),
            self.instance.instruments.platform_outcomes,
        )
        identity = self.instance.identity
        self._registration = registration.Registration(
            contract.Instance(
                identity.name, identity.failure_domain, identity.address, identity.exchange, False
            ),
            registry.Registry(self._store, self._rows_read),
            told.seeds,
            self._introduced,
            self._clock,
            told.is_first_start,
        )
        self.instance.quarantine.set_store_writer(
            quarantinewriter.QuarantineWriter(self._store, self._clock).add
        )
        self._rng = random.Random(self.instance.incarnation)
        self.instance.count_connections(lambda: len(self._callers.connections))
        self._callers = serverside.CallersServer(self.instance.callers, self._clock)
        self._followers = tuple(
            self._follower(table) for table in (tables.CONFIGURATION, tables.REPLICAS)
        )
        self._loop: asyncio.AbstractEventLoop | None = None
        self._stopping: asyncio.Event | None = None
        self._settings_text = text
        self._settings_problem: str | None = None
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def name(self) -> str:
        """The instance's name."""
        return self._told.name

    async def run(self) -> int:
        """Serve until a planned stop is done; return the exit code."""
        self._loop = loop = asyncio.get_running_loop()
        self._stopping = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.instance.peering.listen()
        self._registration.start()
        self._tasks = [
            loop.create_task(self._tick()),
            loop.create_task(self._tidy()),
        ]
        await self._listen()
        logs.state_changed(
            "node",
            "starting",
            "serving",
            node=self._told.name,
            domain=self._told.failure_domain,
        )
        await self._stopping.wait()
        await self._leave()
        return EXIT_OK

    def _follower(self, table: str) -> tablefollower.TableFollower:
        """Return what follows one table, on a thread of its own."""
        return tablefollower.TableFollower(
            self._store,
            table,
            lambda outcome: self._loop.call_soon_threadsafe(
                self.instance.on_store_outcome, table, outcome
            ),
            self._clock,
            self._rng,
            self._retry_s,
        )

    def _retry_s(self) -> float:
        return LONE_RETRY_S if self.instance.watch.is_on_its_own else tablefollower.RETRY_S

    def _introduced(self, listed: tuple[contract.Instance, ...]) -> None:
        self._loop.call_soon_threadsafe(self.instance.on_introduction, listed)

    def _rows_read(self, rows: tuple[contract.Row, ...]) -> None:
        self._loop.call_soon_threadsafe(self.instance.quarantine.on_rows, rows)

    def _follow(self) -> None:
        """Follow the store, or leave it to others, as this instance's part is now."""
        for follower in self._followers:
            if self.instance.watch.is_following:
                follower.start()
            else:
                follower.pause()

    async def _listen(self) -> None:
        told = self._told.listen
        control = controlhandler.ControlHandler(
            self.instance, ADDRESS_TTL_S, metricsregistry.CONTENT_TYPE
        )
        host, _, port = told.callers.rpartition(":")
        await self._callers.listen(host, int(port))
        addresses = [told.readiness, told.directory, told.control, told.metrics]
        for address in filter(None, addresses):
            host, _, port = address.rpartition(":")
            await serverside.CallersServer(control, self._clock).listen(host, int(port))

    async def _tick(self) -> None:
        while True:
            self.instance.tick()
            self._follow()
            await asyncio.sleep(self.instance.tick_s)

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
        self._registration.withdraw()
        while True:
            status = stop.step(self._clock.now(), self._callers.busy_count)
            if status.phase is draining.Phase.CLOSING:
                self._callers.stop_listening()
                self._callers.close_idle()
                stop.listener_closed()
            if status.phase is draining.Phase.DONE:
                break
            await asyncio.sleep(STOP_POLL_S)
        logs.state_changed("node", "leaving", "stopped", count=status.aborted_requests)


def run(path: str) -> int:
    """Run one entry instance until its planned stop is done; return the exit code.

    :param path: its settings file.
    :raises CodedError: when the settings cannot be used.
    """
    daemon = Daemon(path)
    instruments = daemon.instance.instruments
    writer = logs.LogWriter(
        sys.stdout, daemon.name, instruments.state_changes, instruments.log_lines_dropped
    )
    writer.start()
    # What was imported stays: later collections need not look at it.
    gc.freeze()
    gc.enable()
    code = asyncio.run(daemon.run())
    writer.stop()
    return code
