"""Message exchange between entry instances: heartbeats, grants, migration slots, documents."""

import abc
import collections.abc
import random

from hornbeamglade.core import clocks
from hornbeamglade.entry import documentsync
from hornbeamglade.exchange import (
    asyncgrantclient,
    asyncudp,
    codec,
    grantserver,
    messages,
    transport,
)
from hornbeamglade.grants import (
    grantacquirer,
    migrationcoordinator,
    remotescheduler,
    schedulerset,
    sitefigures,
)
from hornbeamglade.membership import heartbeats, incarnations, membershiplog, ownership
from hornbeamglade.membership import view as membershipview
from hornbeamglade.node import digestcache
from hornbeamglade.replicas import evacuations as evacuationlib
from hornbeamglade.replicas import models as replicamodels
from hornbeamglade.routes import objectives
from hornbeamglade.speeds import enginespeeds

Engines = collections.abc.Callable[[], collections.abc.Iterable[replicamodels.Replica]]


class PeerEvents(abc.ABC):
    """Callbacks for events and messages of other instances."""

    @abc.abstractmethod
    def on_engine_leaving(self, replica_id: str) -> None:
        """Handle an engine that its owner reports as leaving."""

    @abc.abstractmethod
    def on_announcement(self, announcement: messages.VersionAnnouncement) -> None:
        """Process a version announcement of a follower."""

    @abc.abstractmethod
    def on_evacuations(self, state: evacuationlib.Evacuations) -> None:
        """Apply the evacuated failure domains that another instance reports."""

    @abc.abstractmethod
    def on_crash_report(self, sender: str, report: messages.CrashReport) -> None:
        """Process crashes that another instance has observed."""

    @abc.abstractmethod
    def on_quarantine_notice(self, notice: messages.QuarantineNotice) -> None:
        """Process a notice of requests that another instance has quarantined."""

    @abc.abstractmethod
    def on_quarantine_digest(self, sender: str, digest: int) -> None:
        """Process the digest of another instance's quarantined requests."""

    @abc.abstractmethod
    def on_origin_records(self, records: messages.OriginRecords) -> None:
        """Store origins of streams that another instance has sent."""

    @abc.abstractmethod
    def on_origin_query(self, sender: str, query: messages.OriginQuery) -> None:
        """Respond to another instance that asks for origins of streams."""

    @abc.abstractmethod
    def on_version_statement(self, sender: str, statement: messages.VersionStatement) -> None:
        """Process what another instance has seen of the versions of a service."""

    @abc.abstractmethod
    def on_part_crash_report(self, report: messages.PartCrashReport) -> None:
        """Process evidence against parts of prompts from another instance."""

    @abc.abstractmethod
    def on_part_inquiry(self, sender: str, inquiry: messages.PartInquiry) -> None:
        """Tell another instance which parts of prompts went well."""

    @abc.abstractmethod
    def on_part_successes(self, successes: messages.PartSuccesses) -> None:
        """Process parts of prompts that went well at another instance."""

    @abc.abstractmethod
    def on_message_error(self, error: Exception, where: str) -> None:
        """Handle an error raised while handling a message."""


class Peering(grantacquirer.ReplicaOwners):
    """One instance's side of the message exchange; for its event loop only.

    :param identity: this instance's identity for the others.
    :param incarnation: this instance's incarnation; grows with each start.
    :param keys: sign and verify messages.
    :param clock: monotonic and wall time.
    :param schedulers: this instance's schedulers.
    :param digests: stores the replica states that owners report.
    :param engines: returns the engines of the platform's list.
    :param document_sync: fetches documents from other instances and serves them.
    :param evacuations: returns the evacuated failure domains known here.
    :param quarantine_digest: returns the digest of the requests that this instance refuses
        because they crash replicas.
    :param events: receives events and messages of the other instances.
    :param speeds: the paces of this instance's engines.
    :param coordinated: the services whose engines' states are passed on to other instances.
    """

    def __init__(
        self,
        identity: membershipview.Identity,
        incarnation: int,
        keys: codec.KeyRing,
        clock: clocks.Clock,
        schedulers: schedulerset.SchedulerSet,
        digests: digestcache.DigestCache,
        engines: Engines,
        document_sync: documentsync.DocumentSync,
        evacuations: collections.abc.Callable[[], evacuationlib.Evacuations],
        quarantine_digest: collections.abc.Callable[[], int],
        events: PeerEvents,
        speeds: enginespeeds.EngineSpeeds,
        coordinated: objectives.CoordinatedServices,
    ) -> None:
        self._identity = identity
        self._clock = clock
        self._schedulers = schedulers
        self._digests = digests
        self._engines = engines
        self._document_sync = document_sync
        self._evacuations = evacuations
        self._quarantine_digest = quarantine_digest
        self._events = events
        self._coordinated = coordinated
        self.figures = sitefigures.SiteFigures(
            identity.name, schedulers, digests, coordinated, clock, speeds
        )
        self._service_by_engine: dict[str, str] = {}
        self._ownership = ownership.Ownership()
        self._ownership_inputs: tuple[list[ownership.Participant], dict[str, str]] | None = None
        self.codec = codec.Codec(identity.name, incarnation, keys, clock)
        self.transport = asyncudp.AsyncUdpTransport(
            self.codec, self._handle, events.on_message_error
        )
        self.grants = asyncgrantclient.AsyncGrantClient(incarnation, self.transport, clock)
        self.names = remotescheduler.ConfiguredNames()
        self._speeds = speeds
        self._scheduler = remotescheduler.RemoteScheduler(schedulers, clock, self.names, speeds)
        self._server = grantserver.GrantServer(self._scheduler, self.transport, clock)
        self._scheduler.set_push(self._server.push)
        self._server.set_figures(
            lambda replica: self.figures.known(self.names.replicas.find(replica))
        )
        self.migration_slots = migrationcoordinator.MigrationCoordinator(
            identity.name, self, self.transport, clock
        )
        self.heartbeats = heartbeats.Heartbeats(
            identity,
            incarnation,
            self.transport,
            clock,
            random.Random(incarnation),
            self._digest,
        )

    async def listen(self) -> None:
        """Start receiving messages."""
        await self.transport.listen(transport.Endpoint.parse(self._identity.exchange))

    def set_alternatives(
        self, others: remotescheduler.Alternatives, must_avoid: remotescheduler.MustAvoid
    ) -> None:
        """Set how alternatives are found for grant requests that accept any engine.

        :param must_avoid: tells which engines do not keep the pace that a request needs.
        """
        self._scheduler.set_alternatives(others, must_avoid)

    def owner(self, replica: str) -> transport.Peer | None:
        """Return the owner of a replica, or None if it is this instance."""
        name = self._ownership.owner(replica)
        if name is None or name == self._identity.name:
            return None
        return self.heartbeats.peer(name)

    def owned(self) -> frozenset[str]:
        """Return the replicas that this instance currently owns."""
        return self._ownership.owned_by(self._identity.name)

    def record_no_response(self, owner: str) -> None:
        """Record that an owner left a grant request unanswered."""
        self.heartbeats.record_no_reply(owner)
        if not self.heartbeats.live():
            self.update_owners()

    @property
    def is_idle(self) -> bool:
        """Whether nothing in progress here has a step due within a tick."""
        return self.migration_slots.is_idle and not self._document_sync.is_fetching

    def tick(self) -> None:
        """Send what is due and process changes; called several times a second."""
        changes = self.heartbeats.tick()
        for change in changes:
            membershiplog.log_member_change(change)
            if change.member.state is messages.NodeState.GONE:
                self._server.expire_holder(change.member.identity.name)
        self._server.tick()
        self.grants.tick()
        self.migration_slots.tick()
        if changes:
            self.update_owners()
        request = self._document_sync.next_request(self.heartbeats.live(), self._identity.name)
        if request is not None:
            self.send(request.node, request.message)

    def known_names(self) -> tuple[str, ...]:
        """Return the names of the instances not known to be gone."""
        return tuple(
            each.identity.name
            for each in self.heartbeats.members()
            if each.state is not messages.NodeState.GONE
        )

    def send(self, node: str, message: messages.Message) -> None:
        """Send a message to an instance if its address is known."""
        peer = self.heartbeats.peer(node)
        if peer is not None:
            self.transport.send(peer, message)

    def update_owners(self) -> None:
        """Distribute the ownership of the listed engines over the live instances."""
        members = self.heartbeats.owner_candidates()
        nodes = [
            ownership.Participant(each.identity.name, each.identity.failure_domain)
            for each in members
        ]
        service_by_id = {each.id: each.service for each in self._engines()}
        if (nodes, service_by_id) == self._ownership_inputs:
            self._update_co_owners()
            return
        self._ownership_inputs = (nodes, service_by_id)
        self._service_by_engine = service_by_id
        engines = ownership.assign_groups(
            (ownership.Participant(each.id, each.failure_domain) for each in self._engines()),
            service_by_id.__getitem__,
        )
        reassignments = self._ownership.update(engines, nodes)
        self._update_co_owners()
        if not reassignments:
            return
        self._schedulers.set_owned(self.owned())
        for reassignment in reassignments:
            peer = None if reassignment.after is None else self.heartbeats.peer(reassignment.after)
            if peer is not None and reassignment.after != self._identity.name:
                self.grants.redirect(reassignment.replica, peer)

    def _update_co_owners(self) -> None:
        """Set the other owners of engines of the coordinated services that this one owns."""
        self.figures.set_replicas(self._service_by_engine, self.owned())
        owned_services = {self._service_by_engine[each] for each in self.owned()}
        shared = {each for each in owned_services if self._coordinated.includes(each)}
        owners = {
            self._ownership.owner(engine)
            for engine, service in self._service_by_engine.items()
            if service in shared
        }
        self.heartbeats.set_co_owners(
            name for name in owners if name is not None and name != self._identity.name
        )

    def _digest(self) -> heartbeats.Digest:
        owned = self.owned()
        states = self._schedulers.states()
        replicas = tuple(
            sitefigures.replica_digest(state, self._speeds.pace(name))
            for name, state in sorted(states.items())
            if name in owned
        )
        versions = self._document_sync.versions()
        return heartbeats.Digest(
            versions.configuration,
            replicas,
            versions.replicas,
            self._evacuations(),
            self._quarantine_digest(),
            self.figures.own_waiting(),
        )

    def _handle(
        self, message: messages.Message, sender: codec.Sender, source: transport.Endpoint
    ) -> None:
        peer = transport.Peer(sender.name, source)
        if isinstance(message, messages.Heartbeat):
            # A heartbeat that arrives out of order must not restore older values.
            if self.heartbeats.receive(message, sender, source):
                self._digests.record(sender.name, message.replicas)
                self.figures.record_heartbeat(sender.name, message.waiting)
                self._note_leaving_engines(message.replicas)
                self._events.on_evacuations(message.evacuations)
                self._events.on_quarantine_digest(sender.name, message.quarantine_digest)
        elif isinstance(message, messages.GrantRequest):
            self._server.on_request(message, sender, source)
        elif isinstance(message, messages.GrantResponse):
            # The figures are recorded first: the request that gets this response may look for
            # another owner at once.
            self.figures.record_response(sender.name, message)
            self._note_leaving_engines(tuple(each.digest for each in message.digests))
            self.grants.on_response(message, sender, source)
        elif isinstance(message, messages.Progress):
            self._server.on_progress(message, sender, source)
        elif isinstance(message, messages.MigrationSlot):
            self.migration_slots.handle_message(message, sender, source)
        elif isinstance(message, messages.VersionAnnouncement):
            self._events.on_announcement(message)
            for due in self._document_sync.on_announcement(sender.name, message):
                self.transport.send(peer, due.message)
        elif isinstance(message, messages.SupersededIncarnation):
            incarnations.raise_above(message.incarnation, self.codec, self.grants, self.heartbeats)
        elif isinstance(message, messages.ChunkRequest):
            chunk = self._document_sync.on_chunk_request(message)
            if chunk is not None:
                self.transport.send(peer, chunk)
        elif isinstance(message, messages.CrashReport):
            self._events.on_crash_report(sender.name, message)
        elif isinstance(message, messages.QuarantineNotice):
            self._events.on_quarantine_notice(message)
        elif isinstance(message, messages.OriginRecords):
            self._events.on_origin_records(message)
        elif isinstance(message, messages.OriginQuery):
            self._events.on_origin_query(sender.name, message)
        elif isinstance(message, messages.VersionStatement):
            self._events.on_version_statement(sender.name, message)
            for due in self._document_sync.on_newer_list(sender.name, message.list_version):
                self.transport.send(peer, due.message)
        elif isinstance(message, messages.PartCrashReport):
            self._events.on_part_crash_report(message)
        elif isinstance(message, messages.PartInquiry):
            self._events.on_part_inquiry(sender.name, message)
        elif isinstance(message, messages.PartSuccesses):
            self._events.on_part_successes(message)
        elif isinstance(message, messages.DocumentChunk):
            request = self._document_sync.on_chunk(message)
            if request is not None:
                self.transport.send(peer, request)

    def _note_leaving_engines(self, digests: tuple[messages.ReplicaDigest, ...]) -> None:
        for digest in digests:
            name = self.names.replicas.find(digest.replica) if digest.leaving else None
            if name is not None:
                self._events.on_engine_leaving(name)
