"""The process of one entry instance: its servers, threads and planned stop."""

import asyncio
import collections.abc
import gc
import random
import signal
import sys

from hornbeamglade.core import clocks, codederrors
from hornbeamglade.entry import (
    connectionlog,
    connectionshares,
    controlhandler,
    instance,
    registration,
    settings,
)
from hornbeamglade.http1 import callersserver, listeners
from hornbeamglade.membership import draining, registry
from hornbeamglade.observability import libraryoutput, logs, metricsregistry
from hornbeamglade.platform import storeclient, tables
from hornbeamglade.quarantine import quarantinewriter
from hornbeamglade.store import contract, countedstore, tablefollower

STORE_TIMEOUT_S = 1.0
"""The store answers within about ten milliseconds. If it does not, it is slow or down, and
another call is a better use of the time."""

FALLBACK_RETRY_S = 6.0
"""Pause after a failed call by an instance that follows the store only because no follower
announces versions to it. During a store outage that is nearly every instance of a large site,
and the regular followers already check four times a second whether the store is back."""

ADDRESS_TTL_S = 2.0
STOP_POLL_S = 0.05
LAST_ANSWERS_S = 0.15
"""How long the last answers may take at the limit of a stop; it is part of the stop's margin."""

LAST_ANSWERS_POLL_S = 0.005

CLEANUP_INTERVAL_S = 1.0
CONTROL_WRITE_BUFFER_BYTES = 16_384
PROGRAM_BYTES = 64_000_000
"""Memory of the program itself and of its tables."""

EXIT_OK = 0


class Daemon:
    """Runs one entry instance.

    :param path: its settings file.
    :raises CodedError: if the settings are unusable.
    """

    def __init__(self, path: str) -> None:
        text = settings.read(path)
        instance_settings = settings.parse(text, path)
        self._path = path
        self._settings = instance_settings
        self._clock = clocks.SystemClock()
        self.instance = instance.EntryInstance(instance_settings, self._clock)
        self._store = countedstore.CountedStore(
            storeclient.StoreClient(instance_settings.store, STORE_TIMEOUT_S),
            self.instance.instruments.platform_outcomes,
        )
        identity = self.instance.identity
        self._registration = registration.Registration(
            contract.Instance(
                identity.name, identity.failure_domain, identity.address, identity.exchange, False
            ),
            registry.Registry(self._store, self._on_rows),
            instance_settings.seeds,
            self._on_instance_list,
            self._clock,
            instance_settings.is_first_start,
        )
        writer = quarantinewriter.QuarantineWriter(self._store, self._clock)
        self.instance.quarantine.set_store_writer(writer.add)
        self.instance.origins.set_store_writer(writer.add)
        self.instance.follow_on_demand(self._store)
        self._rng = random.Random(self.instance.incarnation)
        self.instance.set_connection_counter(lambda: len(self._callers.connections))
        shares = self.instance.connection_shares
        self._connection_log = connectionlog.ConnectionLog(self.instance.instruments)
        self._callers = callersserver.CallersServer(
            self.instance.callers,
            self._clock,
            self.instance.memory,
            listeners.ListenerSettings("callers", shares.callers),
            self._connection_log,
        )
        self._followers = tuple(
            self._make_follower(table) for table in (tables.CONFIGURATION, tables.REPLICAS)
        )
        self._control_servers: list[callersserver.CallersServer] = []
        self._loop: asyncio.AbstractEventLoop | None = None
        self._stopping: asyncio.Event | None = None
        self._settings_text = text
        self._settings_problem: str | None = None
        self._problem_by_step: dict[str, str | None] = {}
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def name(self) -> str:
        """The instance's name."""
        return self._settings.name

    async def run(self) -> int:
        """Serve until a planned stop is complete; return the exit code."""
        self._loop = loop = asyncio.get_running_loop()
        self._stopping = asyncio.Event()
        loop.set_exception_handler(libraryoutput.on_loop_error)
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.instance.listen()
        self._registration.start()
        self._tasks = [
            loop.create_task(self._tick()),
            loop.create_task(self._clean_up()),
        ]
        await self._listen()
        self._check_memory()
        logs.state_changed(
            "node",
            "starting",
            "serving",
            node=self._settings.name,
            domain=self._settings.failure_domain,
        )
        await self._stopping.wait()
        await self._drain()
        return EXIT_OK

    def _make_follower(self, table: str) -> tablefollower.TableFollower:
        """Return a follower of one table, which runs on its own thread."""
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
        return (
            FALLBACK_RETRY_S if self.instance.follower_role.is_fallback else tablefollower.RETRY_S
        )

    def _on_instance_list(self, listed: tuple[contract.Instance, ...]) -> None:
        self._loop.call_soon_threadsafe(self.instance.on_instance_list, listed)

    def _on_rows(self, rows: tuple[contract.Row, ...]) -> None:
        self._loop.call_soon_threadsafe(self.instance.on_rows, rows)

    def _update_followers(self) -> None:
        """Start or pause the followers according to this instance's current role."""
        for follower in self._followers:
            if self.instance.follower_role.is_following:
                follower.start()
            else:
                follower.pause()

    async def _listen(self) -> None:
        listen = self._settings.listen
        control = controlhandler.ControlHandler(
            self.instance, ADDRESS_TTL_S, metricsregistry.CONTENT_TYPE
        )
        host, _, port = listen.callers.rpartition(":")
        await self._callers.listen(host, int(port))
        shares = self.instance.connection_shares
        limit_by_name = dict.fromkeys(settings.OPERATOR_LISTENERS, shares.operator)
        for name, limit in {"directory": shares.directory, **limit_by_name}.items():
            address = getattr(listen, name)
            if address is None:
                continue
            server = callersserver.CallersServer(
                control,
                self._clock,
                settings=listeners.ListenerSettings(name, limit, CONTROL_WRITE_BUFFER_BYTES),
                observer=self._connection_log,
            )
            host, _, port = address.rpartition(":")
            await server.listen(host, int(port))
            self._control_servers.append(server)

    def _check_memory(self) -> None:
        """Log a warning if connections and held data could exceed the memory."""
        bound_bytes = self.instance.memory.bound_bytes
        if bound_bytes is None:
            return
        needed = connectionshares.worst_case_bytes(
            self.instance.connection_shares, bound_bytes, PROGRAM_BYTES
        )
        if needed > self._settings.memory_mb * 1_000_000:
            logs.state_changed("memory", "sufficient", "limits_exceed_memory", bytes=needed)

    async def _tick(self) -> None:
        while True:
            self._run_step("tick", self.instance.tick)
            self._update_followers()
            await asyncio.sleep(self.instance.tick_s)

    async def _clean_up(self) -> None:
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            self._run_step("clean_up", self.instance.clean_up)
            # The file may change without a SIGHUP.
            self._run_step("reload", self._reload)

    def _run_step(self, name: str, step: collections.abc.Callable[[], None]) -> None:
        """Run a periodic step; an error is logged when it changes, and the next one runs."""
        problem = None
        try:
            step()
        except codederrors.InvariantError:
            raise
        # The task would end, and its steps with it, while the instance still appears ready.
        except Exception as error:  # noqa: BLE001
            problem = repr(error)
            if problem != self._problem_by_step.get(name):
                logs.log_internal_error(name, error)
        self._problem_by_step[name] = problem

    def _reload(self) -> None:
        """Reload the settings; if the file is invalid, the former settings stay in force."""
        try:
            text = settings.read(self._path)
            if text == self._settings_text:
                return
            self._settings_text = text
            instance_settings = settings.parse(text, self._path)
        except codederrors.CodedError as error:
            if error.code != self._settings_problem:
                reason = logs.slug(error.detail)
                logs.state_changed("settings", "in_force", error.code, reason=reason)
            self._settings_problem = error.code
            return
        self._settings_problem = None
        self.instance.apply_settings(instance_settings)
        logs.state_changed("settings", "in_force", "changed", node=instance_settings.name)

    async def _drain(self) -> None:
        """Perform the planned stop: announce it, then let in-flight requests finish."""
        logs.state_changed("node", "serving", "leaving", node=self._settings.name)
        stop = self.instance.leave()
        self._callers.leave()
        self._registration.withdraw()
        while True:
            busy_count = self._callers.busy_count + self.instance.tunneling.relayed_count
            status = stop.step(self._clock.now(), busy_count)
            if status.phase is draining.Phase.CLOSING:
                self._callers.stop_listening()
                self._callers.close_idle()
                stop.listener_closed()
            if status.phase is draining.Phase.DONE:
                break
            await asyncio.sleep(STOP_POLL_S)
        await self._answer_remaining()
        logs.state_changed("node", "leaving", "stopped", count=status.aborted_requests)

    async def _answer_remaining(self) -> None:
        """Answer the requests that the limit of the stop leaves without an answer."""
        self._callers.stop_listening()
        self.instance.callers.refuse_unanswered()
        ends_at = self._clock.now() + LAST_ANSWERS_S
        while self.instance.callers.has_unanswered_requests and self._clock.now() < ends_at:
            await asyncio.sleep(LAST_ANSWERS_POLL_S)
        self._callers.report_unsent()


def run(path: str) -> int:
    """Run one entry instance until its planned stop; return the exit code.

    :param path: its settings file.
    :raises CodedError: if the settings are unusable.
    """
    daemon = Daemon(path)
    instruments = daemon.instance.instruments
    writer = logs.LogWriter(
        sys.stdout, daemon.name, instruments.state_changes, instruments.log_lines_dropped
    )
    writer.start()
    libraryoutput.capture()
    # Imported objects are never freed, so garbage collections need not traverse them.
    gc.freeze()
    gc.enable()
    code = asyncio.run(daemon.run())
    writer.stop()
    return code
