"""One entry instance: its components and how they are connected."""

import asyncio
import collections.abc
import json
import random

from hornbeamglade.core import clocks
from hornbeamglade.engines import models as enginemodels
from hornbeamglade.engines import reportpoller
from hornbeamglade.entry import (
    callershandler,
    clusterstate,
    componentsettings,
    connectionshares,
    controlhandler,
    directory,
    documentsync,
    enginemonitor,
    enginepaces,
    followerrole,
    gauges,
    listreading,
    peering,
    reservedmemory,
    settings,
    startupgate,
    tunneling,
)
from hornbeamglade.exchange import messages
from hornbeamglade.grants import asyncgrantacquirer, schedulerset
from hornbeamglade.http1 import buffermemory, clientpool
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.membership import discovery, draining
from hornbeamglade.membership import view as membershipview
from hornbeamglade.node import digestcache
from hornbeamglade.observability import logs, metrics
from hornbeamglade.origins import streamorigins
from hornbeamglade.platform import enginecalls, requestdialect, tables
from hornbeamglade.quarantine import (
    crashdetector,
    lostruns,
    partquarantine,
    requestquarantine,
)
from hornbeamglade.replicas import (
    advisories,
    availability,
    backoffs,
    departures,
    loadproblems,
    ratelimits,
    refusals,
    replicalist,
    sharedmachines,
    slowstart,
)
from hornbeamglade.replicas import evacuations as evacuationlib
from hornbeamglade.replicas import models as replicamodels
from hornbeamglade.routed import (
    bufferedexchange,
    calls,
    drainadmission,
    endinquiry,
    enginecatalog,
    migration,
    ratelimitqueue,
    replicaload,
    requestsinprogress,
    retrybudget,
    rundependencies,
    runregistry,
    sending,
    tokentimes,
    views,
)
from hornbeamglade.routes import objectives
from hornbeamglade.speeds import enginespeeds
from hornbeamglade.store import contract, positions

TICK_S = 0.05
IDLE_TICK_S = 0.25
"""Pause between ticks while idle, a divisor of the heartbeat intervals. At a large site nearly
all instances are idle, and ticks are most of what an idle instance costs."""

ANNOUNCE_STOP_S = 2.0
"""How long a planned stop is announced before the listener closes: as long as callers
cache the addresses."""

STOP_MARGIN_S = 0.4
DEPARTED_RETENTION_S = 12.0
"""Longer than a replica keeps serving after it was removed from the list without notice."""


class EntryInstance(controlhandler.InstanceInterface, peering.PeerEvents):
    """The components of one entry instance, on one event loop.

    :param instance_settings: its settings.
    :param clock: monotonic and wall time.
    """

    def __init__(self, instance_settings: settings.Settings, clock: clocks.Clock) -> None:
        self._settings = instance_settings
        self._clock = clock
        self.incarnation = int(clock.wall() * 1000)
        self.instruments = metrics.NodeMetrics()
        rng = random.Random(self.incarnation ^ hash(instance_settings.name))
        self.memory = buffermemory.BufferMemory(
            clock, componentsettings.buffer_bound(instance_settings)
        )
        self.connection_shares = connectionshares.divide(
            instance_settings, connectionshares.process_descriptors()
        )
        self._current_view = views.CurrentView()
        self._startup = startupgate.StartupGate()
        self._replicas = replicalist.ReplicaList()
        self._available = availability.Availability(
            self._replicas,
            slowstart.SlowStarts(rng),
            ratelimits.RateLimits(clock, instance_settings.name),
            backoffs.Backoffs(clock, rng),
            refusals.RefusalGuards(clock, rng),
            componentsettings.slow_start_bound(instance_settings),
            instance_settings.region_by_failure_domain,
        )
        self.shared_machines = sharedmachines.SharedMachines(clock)
        self._load_problems = loadproblems.LoadProblems()
        self._lengths = lengthmodel.LengthModel()
        self._schedulers = schedulerset.SchedulerSet(clock, self._lengths, self._available)
        self._departures = departures.Departures()
        self._mixed_services: frozenset[str] = frozenset()
        if instance_settings.policy.keeps_headroom:
            self._schedulers.set_departing_share(self._departing_share)
        digests = digestcache.DigestCache(clock)
        self._speeds = enginespeeds.EngineSpeeds(clock, self.shared_machines.shares_machines)
        self._coordinated = objectives.CoordinatedServices(self.shared_machines.shares_machines)
        self.cluster_state = clusterstate.ClusterState(
            self._current_view,
            self._available,
            clock,
            self._on_list_changed,
            self._on_configured,
            self._on_evacuations_changed,
        )
        self.follower_role = followerrole.FollowerRole(
            instance_settings.name,
            self._held_versions,
            lambda: self._available.evacuations,
            self.cluster_state.is_reached,
            clock,
        )
        document_sync = documentsync.DocumentSync(
            self.cluster_state.versions,
            self.cluster_state.read_document,
            self.cluster_state.apply_document,
            clock,
        )
        exchange = f"{instance_settings.host}:{instance_settings.exchange_ports[0]}"
        self.identity = membershipview.Identity(
            instance_settings.name,
            instance_settings.failure_domain,
            instance_settings.listen.callers,
            exchange,
        )
        self.peering = peering.Peering(
            self.identity,
            self.incarnation,
            componentsettings.exchange_keys(instance_settings.store),
            clock,
            self._schedulers,
            digests,
            self._engines_with_owners,
            document_sync,
            lambda: self._available.evacuations,
            lambda: self.quarantine.digest,
            self,
            self._speeds,
            self._coordinated,
        )
        self.quarantine = requestquarantine.RequestQuarantine(
            instance_settings.name,
            lambda: tuple(each.identity.name for each in self.peering.heartbeats.live()),
            self.peering.known_names,
            self.peering.send,
            clock,
        )
        self._prompt_parts = partquarantine.PartQuarantine(
            instance_settings.name,
            lambda: tuple(each.identity.name for each in self.peering.heartbeats.live()),
            self.peering.known_names,
            self.peering.send,
            self.quarantine,
            clock,
        )
        self.origins = streamorigins.StreamOrigins(
            instance_settings.name,
            instance_settings.failure_domain,
            self.peering.heartbeats.live,
            self.peering.known_names,
            self.peering.send,
            lambda: self._replicas.version,
            instance_settings.is_first_start,
            clock,
        )
        self.tunneling = tunneling.Tunneling(
            self.identity,
            self._replicas,
            self.peering,
            instance_settings.region_by_failure_domain,
            rng,
            clock,
            self.connection_shares.tunnels,
            self.memory,
        )
        self._pool = clientpool.ClientPool(
            clock,
            connector=self.tunneling.connector,
            on_unasked=_log_unasked,
            max_connections=self.connection_shares.replicas,
        )
        self._dialect = requestdialect.PlatformDialect()
        engine_calls = enginecalls.EngineCalls(self._pool)
        ends = endinquiry.EndInquiry(
            self._available,
            engine_calls,
            self._pool.accepts_another,
            self._pool.stays_open,
            lambda: self.cluster_state.replica_list_staleness().age_s,
            clock,
        )
        self._sender = sending.Sender(
            self._pool,
            self._dialect,
            self._available.still_accepts,
            self._on_advisory,
            clock,
            self._on_load,
            self.memory,
            lambda service, code: self.instruments.routed.failed_attempts.add(
                labels=(service, code)
            ),
            ends,
            lambda replica, accepted_at: self._available.may_continue(
                replica, accepted_at, clock.now()
            ),
        )
        self._loads = replicaload.ReplicaLoads(clock, rng, self.shared_machines)
        self._budgets = retrybudget.RetryBudgets(
            componentsettings.retry_budget(instance_settings),
            clock.now(),
            lambda service, outcome: self.instruments.routed.retries.add(
                labels=(service, outcome)
            ),
        )
        self._registry = runregistry.RunRegistry()
        self._engine_monitor = enginemonitor.EngineMonitor(
            self._replicas,
            self._schedulers,
            self._registry,
            self._pool,
            self.peering.heartbeats.announce,
            instance_settings.policy.moves_runs,
        )
        self._crashes = crashdetector.CrashDetector(
            self._replicas,
            self._pool.is_listening,
            self._engine_monitor.has_reported_stop,
            self._on_crash,
            clock,
        )
        routing_settings = componentsettings.routing(instance_settings)
        self.catalog = enginecatalog.EngineCatalog(
            self._available,
            self._schedulers,
            digests,
            self.peering.owned,
            routing_settings,
            self._speeds,
            clock,
            self._coordinated.includes,
        )
        self.peering.set_alternatives(self.catalog.owned_alternatives, self.catalog.must_avoid)
        self._paces = enginepaces.EnginePaces(self._owned_engines, self.catalog, self._schedulers)
        self._reserved = reservedmemory.ReservedMemory(
            self._owned_engines,
            self._schedulers,
            lambda service: self._departures.share(service, clock.now()),
        )
        self.acquirer = asyncgrantacquirer.AsyncGrantAcquirer(
            clock,
            self._schedulers,
            self.peering.grants,
            self.peering,
            rng,
            routing_settings,
            self._speeds,
            self.peering.figures,
        )
        migrations = migration.MigrationDependencies(
            engine_calls,
            self.acquirer,
            self.peering.migration_slots,
            self.catalog,
            clock,
            instance_settings.policy.arrivals_in_turn,
            lambda service: service in self._mixed_services,
        )
        token_times = tokentimes.TokenTimes()
        self._in_progress = requestsinprogress.RequestsInProgress(clock)
        self._drain_admission = drainadmission.DrainAdmission(
            token_times,
            self._survival,
            self._are_others_ready,
            self._in_progress.answer_times,
        )
        rate_limit_queue = ratelimitqueue.RateLimitQueue(self._available, clock)
        runs = rundependencies.RunDependencies(
            self._sender,
            self.acquirer,
            self.catalog,
            migrations,
            self._registry,
            self._budgets,
            self._crashes,
            self.quarantine,
            self._prompt_parts,
            self._record_length,
            token_times,
            self.instruments,
            rate_limit_queue,
            clock,
            self._speeds,
            self._learned_length,
            self.origins,
            self._drain_admission,
            ends,
        )
        buffered = bufferedexchange.BufferedExchange(
            self._available,
            self._sender,
            self._loads,
            self._budgets,
            self._crashes,
            self.quarantine,
            rate_limit_queue,
            clock,
        )
        self.callers = callershandler.CallersHandler(
            callershandler.HandlerDependencies(
                self._dialect,
                self._startup,
                self._current_view,
                buffered,
                runs,
                self.quarantine,
                self._budgets,
                self._drain_admission,
                self._in_progress,
                self.cluster_state.replica_list_staleness,
                self.instruments,
                clock,
            )
        )
        self.poller = reportpoller.ReportPoller(
            engine_calls, self._owned_engines, self._on_engine_report, clock
        )
        self.draining: draining.Draining | None = None
        self._departed_at_by_replica: dict[str, float] = {}
        self._has_instance_list = False
        self._gauges = gauges.Gauges(
            self.instruments,
            self._current_view,
            self._available,
            self.cluster_state,
            self.quarantine,
            self._budgets,
            clock,
            lambda: self.acquirer.active_count,
            self.tunneling,
            self._paces.slow_count,
            self.peering.figures.waiting_by_class,
            self._reserved.by_service,
            self.memory,
        )

    def follow_on_demand(self, feed: contract.Feed) -> None:
        """Read the replica list anew from the store whenever a decision depends on it."""
        reading = listreading.ListReading(
            feed,
            lambda: self._replicas.version,
            lambda outcome: self.on_store_outcome(tables.REPLICAS, outcome),
        )
        self.origins.set_list_reader(reading.read)

    async def listen(self) -> None:
        """Start to receive messages and requests for tunnels of other instances."""
        self._schedulers.set_call_later(asyncio.get_running_loop().call_later)
        await self.peering.listen()
        await self.tunneling.listen()

    def close(self) -> None:
        """Stop receiving from other instances."""
        self.peering.transport.close()
        self.tunneling.close()

    def is_ready(self) -> bool:
        """Return whether the instance accepts callers."""
        return self._has_complete_state and not self.is_leaving

    @property
    def _has_complete_state(self) -> bool:
        # Without a replica list every request would be refused for want of replicas; without
        # the evacuations some would be sent to evacuated failure domains.
        has_list = self._replicas.version > 0 and self._available.evacuations.is_known
        return self._current_view.routes is not None and has_list

    def _open_gate_when_ready(self) -> None:
        if self._has_complete_state:
            self._startup.open()

    @property
    def is_leaving(self) -> bool:
        """Whether a planned stop has begun."""
        return self.draining is not None

    def leave(self) -> draining.Draining:
        """Begin a planned stop and announce it; return the state machine that tracks it."""
        limit_s = self._settings.bounds.stop_s - STOP_MARGIN_S
        now = self._clock.now()
        self.draining = draining.Draining(ANNOUNCE_STOP_S, propagation_s=0.0, hard_limit_s=limit_s)
        self.draining.begin(now)
        self._drain_admission.begin(now, limit_s)
        self.tunneling.leave()
        self.peering.heartbeats.leave()
        return self.draining

    def apply_settings(self, instance_settings: settings.Settings) -> None:
        """Apply settings that changed at run time.

        The name and the listening addresses keep their values until the next start.
        """
        self._settings = instance_settings
        self._budgets.configure(
            componentsettings.retry_budget(instance_settings), self._clock.now()
        )
        self._available.set_bound(componentsettings.slow_start_bound(instance_settings))
        self.memory.bound_bytes = componentsettings.buffer_bound(instance_settings)

    def addresses(self, failure_domain: str, region: str) -> tuple[str, ...]:
        """Return the addresses that a caller should connect to."""
        return directory.addresses(
            self.peering.heartbeats.members(),
            self._settings.name,
            self.is_ready(),
            failure_domain,
            region,
            self._settings.region_by_failure_domain,
        )

    def metrics(self) -> bytes:
        """Return the metrics in text exposition format."""
        self._gauges.update()
        return self.instruments.exposition()

    def set_connection_counter(self, count: collections.abc.Callable[[], int]) -> None:
        """Set the function that counts open caller connections."""
        self._gauges.count_connections = count

    def members(self) -> bytes:
        """Return the known instances, for an instance that is starting."""
        return discovery.members_page(self.peering.heartbeats.members())

    def status(self) -> bytes:
        """Return the status page as JSON."""
        versions = self.cluster_state.versions()
        page = {
            "name": self._settings.name,
            "failure_domain": self._settings.failure_domain,
            "state": "ready" if self.is_ready() else "unready",
            "config_revision": versions.configuration,
            "config_problem": self.cluster_state.problem,
            "list_version": positions.version(versions.replicas),
            "store_era": positions.era(versions.replicas),
            "evacuated": sorted(self._available.evacuations.domains),
            "quarantined": self.quarantine.quarantined_count,
            "quarantined_parts": self.quarantine.quarantined_part_count,
            "stream_origins": self.origins.count,
            "tunneled_replicas": self.tunneling.paths.detoured_count,
            "slow_factors": {
                replica: round(factor, 2) for replica, factor in self._paces.factors.items()
            },
            "waiting_by_class": self.peering.figures.waiting_by_class(),
        }
        return json.dumps(page).encode()

    @property
    def tick_s(self) -> float:
        """Seconds until the next tick is due."""
        is_silent = not self.follower_role.has_pending_announcements and self.quarantine.is_idle
        is_silent = is_silent and self.origins.is_idle and self._prompt_parts.is_idle
        is_idle = self.peering.is_idle and is_silent and self._startup.is_open
        return IDLE_TICK_S if is_idle and not self._schedulers.has_waiting_requests else TICK_S

    def tick(self) -> None:
        """Do all periodic work that is due; called several times a second."""
        self._open_gate_when_ready()
        self.peering.tick()
        self.poller.tick()
        self._schedulers.process_queues()
        self.quarantine.tick()
        self._prompt_parts.tick()
        self.origins.tick()
        if self.is_leaving:
            self.callers.refuse_late_requests()
        self.send_announcements()

    def on_store_outcome(self, table: str, outcome: clusterstate.TableOutcome) -> None:
        """Process the outcome of polling a table of the store."""
        if table == tables.CONFIGURATION:
            self.cluster_state.on_configuration(outcome)
        else:
            self.cluster_state.on_replicas(outcome)
        self.send_announcements()

    def send_announcements(self) -> None:
        """Send the version announcements that this instance's role requires."""
        live = tuple(each.identity.name for each in self.peering.heartbeats.live())
        for announcement in self.follower_role.tick(live):
            self.peering.send(announcement.node, announcement.message)

    def on_engine_leaving(self, replica_id: str) -> None:
        """Handle an engine that its owner reports as leaving."""
        self._engine_monitor.on_leaving(replica_id, enginemonitor.PEER)

    def on_announcement(self, announcement: messages.VersionAnnouncement) -> None:
        """Process a version announcement of a follower."""
        self.follower_role.on_announcement(announcement)
        self.cluster_state.on_announcement(announcement)

    def on_evacuations(self, state: evacuationlib.Evacuations) -> None:
        """Apply the evacuated failure domains that another instance reports."""
        self.cluster_state.apply_evacuations(state, clusterstate.PEER)

    def on_crash_report(self, sender: str, report: messages.CrashReport) -> None:
        """Process crashes that another instance has observed."""
        self.quarantine.on_report(sender, report)

    def on_quarantine_notice(self, notice: messages.QuarantineNotice) -> None:
        """Process a notice of requests that another instance has quarantined."""
        self.quarantine.on_notice(notice)

    def on_quarantine_digest(self, sender: str, digest: int) -> None:
        """Process the digest of another instance's quarantined requests."""
        self.quarantine.on_digest(sender, digest)

    def on_origin_records(self, records: messages.OriginRecords) -> None:
        """Store origins of streams that another instance has sent."""
        self.origins.on_records(records)

    def on_origin_query(self, sender: str, query: messages.OriginQuery) -> None:
        """Respond to another instance that asks for origins of streams."""
        self.origins.on_query(sender, query)

    def on_version_statement(self, sender: str, statement: messages.VersionStatement) -> None:
        """Process what another instance has seen of the versions of a service."""
        self.origins.on_statement(sender, statement)

    def on_part_crash_report(self, report: messages.PartCrashReport) -> None:
        """Process evidence against parts of prompts from another instance."""
        self._prompt_parts.on_report(report)

    def on_part_inquiry(self, sender: str, inquiry: messages.PartInquiry) -> None:
        """Tell another instance which parts of prompts went well."""
        self._prompt_parts.on_inquiry(sender, inquiry)

    def on_part_successes(self, successes: messages.PartSuccesses) -> None:
        """Process parts of prompts that went well at another instance."""
        self._prompt_parts.on_successes(successes)

    def on_message_error(self, error: Exception, where: str) -> None:
        """Log an error raised while handling a message."""
        logs.log_internal_error(where, error)

    def clean_up(self) -> None:
        """Remove obsolete state; called about once a second."""
        self.memory.refresh()
        present = self._replicas.by_id
        self._pool.prune(frozenset(each.address for each in present.values()))
        self._loads.forget_absent(present)
        self._load_problems.forget_absent(present)
        self.shared_machines.forget_old()
        self._available.forget_ended(self._clock.now())
        self._crashes.forget_old()
        self.quarantine.expire()
        self._prompt_parts.forget_old()
        self.origins.expire()
        self._remove_departed()
        self.tunneling.paths.forget_unused()
        self._engine_monitor.remove_absent()
        self._speeds.retain(self.peering.owned())
        self._paces.update()
        self._reserved.update()
        # An instance may have returned under its name in another failure domain.
        self.peering.update_owners()
        # Killed instances return under their names, so their share is not redistributed.
        names = [each.identity.name for each in self.peering.heartbeats.members()]
        self._budgets.set_node_count(len(names), self._clock.now())
        self._available.set_position(names.index(self._settings.name), len(names))

    def _remove_departed(self) -> None:
        now = self._clock.now()
        for replica_id in tuple(self._replicas.departed_by_id):
            since = self._departed_at_by_replica.setdefault(replica_id, now)
            if now - since > DEPARTED_RETENTION_S:
                self._replicas.forget_departed(replica_id)
                del self._departed_at_by_replica[replica_id]

    def on_rows(self, rows: tuple[contract.Row, ...]) -> None:
        """Process the rows that instances share in the store."""
        self.quarantine.on_rows(rows)
        self.origins.on_rows(rows)

    def on_instance_list(self, listed: tuple[contract.Instance, ...]) -> None:
        """Process the list of instances read from the store or a seed."""
        self.peering.heartbeats.apply_list(listed)
        if not self._has_instance_list:
            # At large sites, gossip alone would take minutes to introduce this instance.
            self._has_instance_list = True
            self.peering.heartbeats.announce()
        self.follower_role.on_instance_list()
        self.send_announcements()

    def _on_crash(
        self, replica: replicamodels.Replica, lost: tuple[lostruns.LostRun, ...]
    ) -> None:
        self.quarantine.crashed(replica.id, lost)
        self._prompt_parts.crashed(replica.id, lost)

    def _held_versions(self) -> tuple[int, int]:
        versions = self.cluster_state.versions()
        return versions.configuration, versions.replicas

    def _engines(self) -> collections.abc.Iterator[replicamodels.Replica]:
        view = self._current_view.routes
        if view is None:
            return
        for name, service in view.configuration.service_by_name.items():
            if service.engine is not None:
                yield from self._replicas.of_service(name)

    def _engines_with_owners(self) -> collections.abc.Iterator[replicamodels.Replica]:
        """Return all engines that have owners; a delisted one still needs migration slots."""
        yield from self._engines()
        yield from self._replicas.departed_by_id.values()

    def _on_advisory(self, replica: replicamodels.Replica, advisory: advisories.Advisory) -> None:
        self._available.apply_advisory(replica.id, advisory)
        if advisory.is_leaving:
            self._on_leaving_stated(replica)

    def _on_load(
        self, replica: replicamodels.Replica, load: calls.Load | None, problem: str | None
    ) -> None:
        if load is not None:
            self.shared_machines.observe(replica.service, load)
        if problem is not None:
            self._load_problems.record(replica.id, problem)

    def _on_leaving_stated(self, replica: replicamodels.Replica) -> None:
        """Stop using a replica, and inform the other instances if this one owns it."""
        was_usable = self._replicas.is_usable(replica.id)
        self._engine_monitor.on_leaving(replica.id, clusterstate.RESPONSE)
        self.cluster_state.record_leaving(replica.id)
        if was_usable and replica.id in self.peering.owned():
            self.peering.heartbeats.announce()

    def _on_engine_report(
        self,
        replica: replicamodels.Replica,
        report: enginemodels.EngineReport | reportpoller.EngineLost | None,
    ) -> None:
        # The platform does not say whether reports carry limits, so a report without one
        # lifts none.
        if isinstance(report, enginemodels.EngineReport) and report.advisory.limit is not None:
            self._available.limit_reported(replica.id, report.advisory.limit)
        if isinstance(report, enginemodels.EngineReport) and report.advisory.is_leaving:
            self._on_leaving_stated(replica)
        self._engine_monitor.on_report(replica, report)

    def _owned_engines(self) -> list[replicamodels.Replica]:
        owned = self.peering.owned()
        return [replica for replica in self._engines() if replica.id in owned]

    def _on_configured(self) -> None:
        view = self._current_view.routes
        configuration = view.configuration
        self.instruments.config_revision.set(configuration.revision)
        self._available.configure(configuration.service_by_name)
        self.shared_machines.configure(configuration.service_by_name)
        self._speeds.configure(
            {
                name: service.engine.tokens_per_event
                for name, service in configuration.service_by_name.items()
                if service.engine is not None
            }
        )
        self._coordinated.configure(configuration.routes)
        services = frozenset(configuration.service_by_name)
        self._departures.keep_services(services)
        self._in_progress.keep_services(services)
        self.peering.names.services.replace(route.name for route in configuration.routes)
        self.peering.names.teams.replace(["", *(team.name for team in configuration.teams)])
        self._update_engines()

    def _on_evacuations_changed(self) -> None:
        # Requests queued at an evacuated engine are refused and retried elsewhere at once.
        self._schedulers.process_queues()
        self._open_gate_when_ready()
        self.send_announcements()

    def _on_list_changed(self, changes: tuple[replicalist.ListChange, ...]) -> None:
        self.tunneling.update_replicas()
        self._available.list_changed(changes, self._clock.now())
        self._crashes.list_changed(changes)
        for service in {change.replica.service for change in changes}:
            listed = self._replicas.of_service(service)
            self.origins.observe(service, (each.version for each in listed))
        self._record_departures(changes)
        self._update_engines()
        for change in changes:
            if change.kind in ("leaving", "gone"):
                self._engine_monitor.on_leaving(change.replica.id, enginemonitor.LIST)
            elif change.kind == "restarted":
                self._engine_monitor.on_restarted(change.replica)
            elif change.kind == "added":
                self._engine_monitor.on_added(change.replica.id)

    def _departing_share(self, replica: str, now: float) -> float:
        engine = self._replicas.by_id.get(replica)
        return 0.0 if engine is None else self._departures.share(engine.service, now)

    def _record_departures(self, changes: tuple[replicalist.ListChange, ...]) -> None:
        now = self._clock.now()
        view = self._current_view.routes
        services = {} if view is None else view.configuration.service_by_name
        departed = [
            each.replica
            for each in changes
            if each.kind in ("leaving", "gone") and each.replica.service in services
        ]
        for replica in departed:
            service = replica.service
            present = {each.id for each in self._replicas.of_service(service)}
            present |= {each.id for each in departed if each.service == service}
            self._departures.record(service, replica.id, len(present), now)

    def _update_engines(self) -> None:
        self._open_gate_when_ready()
        view = self._current_view.routes
        if view is None:
            return
        engines = list(self._engines())
        self.peering.names.replicas.replace(engine.id for engine in engines)
        service_by_name = view.configuration.service_by_name
        self._mixed_services = objectives.mixed_services(view.configuration.routes)
        self._schedulers.configure(
            {
                engine.id: componentsettings.scheduler(
                    service_by_name[engine.service].engine,
                    self._settings.policy,
                    service=engine.service,
                    has_mixed_objectives=engine.service in self._mixed_services,
                )
                for engine in engines
            }
        )
        self.peering.update_owners()

    def _are_others_ready(self) -> bool:
        return directory.has_others_ready(self.peering.heartbeats.members(), self._settings.name)

    def _survival(self, service: str, team: str, tokens: float) -> float:
        return self._lengths.table(service, team).survival(tokens)

    def _learned_length(self, service: str, team: str) -> float:
        return self._lengths.remaining(service, team, 0).mean

    def _record_length(self, service: str, team: str, tokens: int, is_cut: bool) -> None:
        self._schedulers.observe_length(service, team, tokens, censored=is_cut)


def _log_unasked(address: str, byte_count: int) -> None:
    """Log that bytes which belong to no request have ended an idle connection to a replica."""
    logs.decided("-", "connection", "unasked_bytes", address=address, bytes=byte_count)
