"""One entry node: its components, its threads, its planned stop."""

import os
import random
import signal
import sys
import threading
import typing

from hornbeamglade.callers import application, server, slowsenders
from hornbeamglade.claims import claimstore
from hornbeamglade.configuration import follower
from hornbeamglade.core import clocks, codederrors, outcomes
from hornbeamglade.grants import grantacquirer, schedulerset
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.membership import discovery, draining, membershiplog, registry
from hornbeamglade.node import (
    applying,
    crashchecks,
    deadlines,
    digestcache,
    handlers,
    inflight,
    loadpoller,
    onceonly,
    pages,
    peering,
    periodic,
    placing,
    replicacatalog,
    runtime,
    settings,
    siteview,
    statuses,
    upkeep,
)
from hornbeamglade.observability import logs, metrics
from hornbeamglade.platform import storeclient
from hornbeamglade.quarantine import quarantinewriter
from hornbeamglade.routing import candidates
from hornbeamglade.store import contract, countedstore
from hornbeamglade.teams import limits, shares

TICK_S = 0.1
REPORT_S = 1.0
PLACEMENT_S = 1.0
LOAD_S = 1.0
DEFAULT_ADDRESS_TTL_S = 30.0
LEAVING_CODE = "node_leaving"
ALL_SERVICES = "all"
LAST_ANSWERS_S = 1.0
"""How long the last answers may take after the operator's limit of a planned stop."""

LAST_ANSWERS_POLL_S = 0.02
EXIT_OK = 0
EXIT_ABORTED = 1
EXIT_INVARIANT = 70


class EntryNode:
    """One entry node.

    :param node_settings: its settings.
    :param clock: its clock.
    """

    def __init__(self, node_settings: settings.NodeSettings, clock: clocks.Clock) -> None:
        self._settings = node_settings
        self._clock = clock
        self.incarnation = int(clock.wall() * 1000)
        self._metrics = metrics.NodeMetrics()
        self._platform = countedstore.CountedStore(
            storeclient.StoreClient(node_settings.platform), self._metrics.platform_outcomes
        )
        self._config = follower.Follower(
            self._platform, self._platform, clock, node_settings.site, node_settings.name
        )
        self._rng = random.Random(self.incarnation)
        self._senders = slowsenders.SlowSenders(clock)
        self._server = server.CallersServer(
            node_settings.callers, node_settings.threads, self._senders
        )
        lengths = lengthmodel.LengthModel()
        self._schedulers = schedulerset.SchedulerSet(clock, lengths)
        digests = digestcache.DigestCache(clock)
        self._catalog = replicacatalog.ReplicaCatalog(clock, digests)
        team_limits = limits.TeamLimits(node_settings.name, shares.ShareSettings())
        self._in_flight = inflight.InFlight(team_limits, node_settings.threads)
        self.peering = peering.Peering(
            node_settings,
            self._server.address,
            self.incarnation,
            clock,
            self._schedulers,
            digests,
            self._catalog,
            self._config,
            self._in_flight,
            lambda: self._placing.closed(),
            membershiplog.log_member_change,
            self._failed,
        )
        self._placing = placing.Placing(
            f"{node_settings.name}/{self.incarnation}",
            node_settings.name,
            self._platform,
            clock,
            self._rng,
            self.peering.heartbeats.owner_candidates,
        )
        self._claims = claimstore.ClaimStore(
            self._platform,
            self._platform,
            clock,
            node_settings.name,
            upkeep.CLAIM_SETTINGS,
        )
        acquirer = grantacquirer.GrantAcquirer(
            clock,
            self._schedulers,
            self.peering.grants,
            self.peering,
            self._rng,
            candidates.RoutingSettings(failure_domain=node_settings.failure_domain),
        )
        self._parts = runtime.Runtime(
            clock=clock,
            views=runtime.Views(self._config),
            catalog=self._catalog,
            schedulers=self._schedulers,
            acquirer=acquirer,
            once=onceonly.OnceOnly(self._claims),
            in_flight=self._in_flight,
            budgets=runtime.Budgets(),
            lengths=lengths,
            metrics=self._metrics,
            deadlines=deadlines.Deadlines(clock),
            quarantine=self.peering.quarantine,
            crashes=crashchecks.CrashChecks(
                self.peering.quarantine, self._catalog.takes_new_work, clock
            ),
        )
        status_page = statuses.Statuses(
            node_settings,
            self._server.address,
            self.incarnation,
            self._parts,
            self._config,
            self.peering,
            self._state,
            self._placing,
        ).page
        own_pages = pages.Pages(
            self._parts, self.peering.heartbeats.members, self._unready, status_page
        )
        self._application = application.Application(
            handlers.NodeHandlers(self._parts, own_pages, self._failed)
        )
        self._poller = loadpoller.LoadPoller(
            clock, self._catalog, self._schedulers, self.peering.owned, self._failed
        )
        beats = self.peering.heartbeats
        self._applier = applying.Applier(
            self._parts.views, self._catalog, self._schedulers, self._in_flight, beats
        )
        self.peering.quarantine.set_store_writer(
            quarantinewriter.QuarantineWriter(self._platform, clock).add
        )
        self._registry = registry.Registry(self._platform, self.peering.quarantine.on_rows)
        instances = discovery.Discovery(self._registry, node_settings.seeds)
        self._upkeep = upkeep.Upkeep(
            self._platform, instances, clock, self._rng, beats, self._config
        )
        self._draining: draining.Draining | None = None
        self._invariant_code: str | None = None
        self._aborted_requests = 0
        self._problem = "none"
        self._is_listener_closed = False
        self._is_registered = False
        self._loops = (
            periodic.Periodic("ticks", TICK_S, self._tick, self._failed),
            periodic.Periodic("reports", REPORT_S, self._report, self._failed),
            periodic.Periodic(
                "instances", upkeep.LIST_INTERVAL_S, self._upkeep.read_instances, self._failed
            ),
            periodic.Periodic("loads", LOAD_S, self._poller.poll, self._failed),
            periodic.Periodic("placement", PLACEMENT_S, self._place_models, self._failed),
            periodic.Periodic(
                "sweeps", upkeep.SWEEP_INTERVAL_S, self._upkeep.sweep_claims, self._failed
            ),
        )

    @property
    def metrics(self) -> metrics.NodeMetrics:
        """The node's metrics."""
        return self._metrics

    @property
    def address(self) -> str:
        """The address for callers, as ``ip:port``."""
        return self._server.address

    def start(self) -> None:
        """Start serving callers."""
        # The instance list is read first: without its peers, a node would take the whole
        # limit of each team for itself.
        self._register()
        self._upkeep.read_instances()
        self._config.on_adopted = self._applier.apply
        self._config.poll()
        self.peering.start()
        self._config.start()
        for loop in self._loops:
            loop.start()
        self._server.start(self._application)
        logs.state_changed("node", "starting", "serving", node=self._settings.name)

    def _register(self) -> None:
        """Write this node's row, so that other nodes find it."""
        if self._is_registered or self._draining is not None:
            return
        node_settings = self._settings
        exchange = str(self.peering.transport.endpoint)
        own = contract.Instance(
            node_settings.name, node_settings.failure_domain, self._server.address, exchange, False
        )
        self._is_registered = isinstance(self._registry.register(own), contract.Committed)

    def leave(self) -> None:
        """Begin a planned stop; idempotent."""
        if self._draining is not None:
            return
        view = self._parts.views.current()
        ttl_s = DEFAULT_ADDRESS_TTL_S
        if isinstance(view, siteview.SiteView):
            ttl_s = view.site.addresses.ttl_s
        self._draining = draining.Draining(ttl_s, hard_limit_s=self._settings.hard_stop_s)
        self._draining.begin(self._clock.now())
        self.peering.heartbeats.leave()
        self._server.leave()
        self._placing.stop()
        logs.state_changed("node", "serving", "leaving", node=self._settings.name)

    def await_end(self) -> int:
        """Wait until the planned stop is complete, then stop; return the exit code."""
        while True:
            if self._invariant_code is not None:
                self.leave()
            if self._draining is not None and self._has_drained():
                break
            self._clock.sleep(TICK_S)
        return self._stop()

    def _has_drained(self) -> bool:
        # Requests count from their first byte: one that is being read, or whose
        # claim is being written, does not count towards a team's limit yet.
        in_flight = max(self._parts.in_flight.count, self._server.busy)
        status = self._draining.step(self._clock.now(), in_flight)
        if status.phase is draining.Phase.CLOSING and not self._is_listener_closed:
            self._is_listener_closed = True
            self._server.close_listener()
            self._draining.listener_closed()
            return False
        self._aborted_requests = status.aborted_requests
        return status.phase is draining.Phase.DONE

    def _stop(self) -> int:
        logs.state_changed("node", "leaving", "stopped", count=self._aborted_requests)
        if self._aborted_requests:
            # The operator's hard limit has passed: running requests end with the process.
            self._answer_remaining()
            return EXIT_ABORTED
        self._server.stop()
        self._registry.deregister(self._settings.name)
        for loop in self._loops:
            loop.stop()
        self._poller.stop()
        self._config.stop()
        self.peering.stop()
        return EXIT_OK if self._invariant_code is None else EXIT_INVARIANT

    def _answer_remaining(self) -> None:
        """End the requests in progress, so that those without an answer get one."""
        self._parts.deadlines.end_all()
        ends_at = self._clock.now() + LAST_ANSWERS_S
        while self._server.busy and self._clock.now() < ends_at:
            self._clock.sleep(LAST_ANSWERS_POLL_S)

    def _tick(self) -> None:
        self._applier.apply()
        self._applier.follow_members()
        self.peering.tick()
        self._schedulers.process_queues()

    def _place_models(self) -> None:
        view = self._parts.views.current()
        if isinstance(view, siteview.SiteView) and self._draining is None:
            self._placing.step(view)

    def _report(self) -> None:
        self._register()
        self._parts.acquirer.report_progress()
        self._claims.write_pending()
        self._senders.sweep()
        self._parts.deadlines.sweep()
        self.peering.quarantine.expire()
        self._report_metrics()
        self._log_problem_change()
        self._metrics.config_revision.set(self._applier.revision)

    def _log_problem_change(self) -> None:
        """Log when a problem that keeps the newest revision from being applied begins or ends."""
        problem = self._config.problem or "none"
        logs.state_changed("config_problem", self._problem, problem, code=problem)
        self._problem = problem

    def _report_metrics(self) -> None:
        self._metrics.streams_in_flight.set(self._in_flight.count, (ALL_SERVICES,))
        waiting = sum(state.waiting for state in self._schedulers.states().values())
        self._metrics.requests_waiting.set(waiting, (ALL_SERVICES,))
        for reason, count in dict(self.peering.codec.dropped_by_reason).items():
            self._metrics.exchange_drops.set_total(count, (reason,))

    def _unready(self) -> str | None:
        if self._draining is not None:
            return LEAVING_CODE
        view = self._parts.views.current()
        return view.code if isinstance(view, outcomes.Refusal) else None

    def _state(self) -> str:
        unready = self._unready()
        if unready is None:
            return "ready"
        return "leaving" if unready == LEAVING_CODE else "unready"

    def _failed(self, error: Exception, where: str) -> None:
        """Count an unexpected error; a violated invariant begins a planned stop of the node."""
        self._metrics.refusals.add(labels=("internal_error", ""))
        print(f"{where}: {error!r}", file=sys.stderr)
        if isinstance(error, codederrors.InvariantError):
            self._invariant_code = error.code
            logs.state_changed("node", "serving", "broken", code=error.code)


def _log_stream(path: str | None) -> typing.TextIO:
    if path is None:
        return sys.stderr
    try:
        return open(path, "a", encoding="utf-8")
    except OSError as error:
        detail = f"log: cannot open {path}: {error.strerror}"
        raise codederrors.CodedError("settings_invalid", detail) from error


def run(node_settings: settings.NodeSettings) -> int:
    """Run one node until its planned stop is complete; return the exit code.

    :param node_settings: its settings.
    """
    stream = _log_stream(node_settings.log)
    node = EntryNode(node_settings, clocks.SystemClock())
    writer = logs.LogWriter(
        stream, node_settings.name, node.metrics.state_changes, node.metrics.log_lines_dropped
    )
    writer.start()
    terminated = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: terminated.set())
    node.start()
    print(node.address, node.peering.transport.endpoint, flush=True)
    threading.Thread(
        target=lambda: (terminated.wait(), node.leave()), name="stopper", daemon=True
    ).start()
    code = node.await_end()
    writer.stop()
    if code == EXIT_ABORTED:
        # An ordinary exit would wait for the threads that carry streams.
        os._exit(EXIT_ABORTED)
    return code
