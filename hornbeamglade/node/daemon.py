"""One entry node: its parts, its threads, its planned stop."""

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
EXIT_OK = 0
EXIT_CUT = 1
EXIT_INVARIANT = 70


class EntryNode:
    """One entry node.

    :param told: its settings.
    :param clock: its clock.
    """

    def __init__(self, told: settings.NodeSettings, clock: clocks.Clock) -> None:
        self._told = told
        self._clock = clock
        self.incarnation = int(clock.wall() * 1000)
        self._metrics = metrics.NodeMetrics()
        self._platform = countedstore.CountedStore(
            storeclient.StoreClient(told.platform), self._metrics.platform_outcomes
        )
        self._config = follower.Follower(
            self._platform, self._platform, clock, told.site, told.name
        )
        self._rng = random.Random(self.incarnation)
        self._senders = slowsenders.SlowSenders(clock)
        self._server = server.CallersServer(told.callers, told.threads, self._senders)
        lengths = lengthmodel.LengthModel()
        self._schedulers = schedulerset.SchedulerSet(clock, lengths)
        digests = digestcache.DigestCache(clock)
        self._catalog = replicacatalog.ReplicaCatalog(clock, digests)
        team_limits = limits.TeamLimits(told.name, shares.ShareSettings())
        self._in_flight = inflight.InFlight(team_limits, told.threads)
        self.peering = peering.Peering(
            told,
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
            f"{told.name}/{self.incarnation}",
            told.name,
            self._platform,
            clock,
            self._rng,
            self.peering.heartbeats.owner_candidates,
        )
        self._claims = claimstore.ClaimStore(
            self._platform,
            self._platform,
            clock,
            told.name,
            upkeep.CLAIM_SETTINGS,
        )
        acquirer = grantacquirer.GrantAcquirer(
            clock,
            self._schedulers,
            self.peering.grants,
            self.peering,
            self._rng,
            candidates.RoutingSettings(failure_domain=told.failure_domain),
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
        page = statuses.Statuses(
            told,
            self._server.address,
            self.incarnation,
            self._parts,
            self._config,
            self.peering,
            self._state,
            self._placing,
        ).page
        own_pages = pages.Pages(self._parts, self.peering.heartbeats.members, self._unready, page)
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
        listed = discovery.Discovery(self._registry, told.seeds)
        self._upkeep = upkeep.Upkeep(self._platform, listed, clock, self._rng, beats, self._config)
        self._draining: draining.Draining | None = None
        self._broken: str | None = None
        self._cut = 0
        self._problem = "none"
        self._is_listener_closed = False
        self._is_registered = False
        self._loops = (
            periodic.Periodic("ticks", TICK_S, self._tick, self._failed),
            periodic.Periodic("reports", REPORT_S, self._report, self._failed),
            periodic.Periodic(
                "instances", upkeep.LIST_S, self._upkeep.read_instances, self._failed
            ),
            periodic.Periodic("loads", LOAD_S, self._poller.poll, self._failed),
            periodic.Periodic("placement", PLACEMENT_S, self._place_models, self._failed),
            periodic.Periodic("sweeps", upkeep.SWEEP_S, self._upkeep.sweep_claims, self._failed),
        )

    @property
    def metrics(self) -> metrics.NodeMetrics:
        """The node's instruments."""
        return self._metrics

    @property
    def address(self) -> str:
        """Where callers are served, as ``ip:port``."""
        return self._server.address

    def start(self) -> None:
        """Begin to serve."""
        # The list comes first: placed without its peers, a node would take the whole
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
        logs.state_changed("node", "starting", "serving", node=self._told.name)

    def _register(self) -> None:
        """Write this node's row, so that the others find it."""
        if self._is_registered or self._draining is not None:
            return
        told = self._told
        exchange = str(self.peering.transport.endpoint)
        own = contract.Instance(
            told.name, told.failure_domain, self._server.address, exchange, False
        )
        self._is_registered = isinstance(self._registry.register(own), contract.Committed)

    def leave(self) -> None:
        """Begin a planned stop; a second call changes nothing."""
        if self._draining is not None:
            return
        view = self._parts.views.current()
        ttl_s = DEFAULT_ADDRESS_TTL_S
        if isinstance(view, siteview.SiteView):
            ttl_s = view.site.addresses.ttl_s
        self._draining = draining.Draining(ttl_s, hard_limit_s=self._told.hard_stop_s)
        self._draining.begin(self._clock.now())
        self.peering.heartbeats.leave()
        self._server.leave()
        self._placing.stop()
        logs.state_changed("node", "serving", "leaving", node=self._told.name)

    def await_end(self) -> int:
        """Wait until the planned stop is done, then stop; return the exit code."""
        while True:
            if self._broken is not None:
                self.leave()
            if self._draining is not None and self._has_drained():
                break
            self._clock.sleep(TICK_S)
        return self._stop()

    def _has_drained(self) -> bool:
        # Requests count from their first byte on: one that is being read, or whose
        # claim is being written, is in no team's limit yet.
        in_flight = max(self._parts.in_flight.count, self._server.busy)
        status = self._draining.step(self._clock.now(), in_flight)
        if status.phase is draining.Phase.CLOSING and not self._is_listener_closed:
            self._is_listener_closed = True
            self._server.close_listener()
            self._draining.listener_closed()
            return False
        self._cut = status.aborted_requests
        return status.phase is draining.Phase.DONE

    def _stop(self) -> int:
        logs.state_changed("node", "leaving", "stopped", count=self._cut)
        if self._cut:
            # The operator's hard limit: what still runs ends with the process.
            return EXIT_CUT
        self._server.stop()
        self._registry.deregister(self._told.name)
        for loop in self._loops:
            loop.stop()
        self._poller.stop()
        self._config.stop()
        self.peering.stop()
        return EXIT_OK if self._broken is None else EXIT_INVARIANT

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
        self._note_problem()
        self._metrics.config_revision.set(self._applier.revision)

    def _note_problem(self) -> None:
        """Log when something begins or ceases to keep the newest revision out."""
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
        """Count an unexpected error; a broken invariant ends the node, in order."""
        self._metrics.refusals.add(labels=("internal_error", ""))
        print(f"{where}: {error!r}", file=sys.stderr)
        if isinstance(error, codederrors.InvariantError):
            self._broken = error.code
            logs.state_changed("node", "serving", "broken", code=error.code)


def _log_stream(path: str | None) -> typing.TextIO:
    if path is None:
        return sys.stderr
    try:
        return open(path, "a", encoding="utf-8")
    except OSError as error:
        detail = f"log: cannot open {path}: {error.strerror}"
        raise codederrors.CodedError("settings_invalid", detail) from error


def run(told: settings.NodeSettings) -> int:
    """Run one node until its planned stop is done; return the exit code.

    :param told: its settings.
    """
    stream = _log_stream(told.log)
    node = EntryNode(told, clocks.SystemClock())
    writer = logs.LogWriter(
        stream, told.name, node.metrics.state_changes, node.metrics.log_lines_dropped
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
    if code == EXIT_CUT:
        # Threads that carry streams are waited for at an ordinary exit.
        os._exit(EXIT_CUT)
    return code
