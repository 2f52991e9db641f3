"""Exchange of a node with its peers: heartbeats, grants, configuration."""

import random
from collections.abc import Callable

from hornbeamglade.configuration import documents, follower
from hornbeamglade.core import clocks
from hornbeamglade.exchange import (
    codec,
    configchunks,
    grantclient,
    grantserver,
    messages,
    transport,
)
from hornbeamglade.grants import grantacquirer, remotescheduler, schedulerset
from hornbeamglade.membership import heartbeats, incarnations, ownership, teamdemands
from hornbeamglade.membership import view as membershipview
from hornbeamglade.node import digestcache, inflight, replicacatalog, settings
from hornbeamglade.quarantine import requestquarantine

MILLISECONDS = 1000
PEER_FETCH_DELAY_S = 1.5
FETCH_INTERVAL_S = 0.5
MAX_ROOM_TOKENS = 2**31 - 1
DIGEST_PREFIX = "sha256-"


class Peering(grantacquirer.ReplicaOwners):
    """One node's side of the exchange.

    :param node_settings: the node's settings.
    :param address: the bound address for callers.
    :param incarnation: this incarnation of the node; increases with each start.
    :param clock: the node's clock.
    :param schedulers: this node's schedulers.
    :param digests: receives the digests of other owners.
    :param catalog: the state of the known replicas.
    :param config: the configuration's follower.
    :param in_flight: the teams' requests in flight and their shares of limits.
    :param closed: replicas that placement on this node is about to change.
    :param changed: called with each change of a node's state.
    :param failed: called with each error that handling a message raised.
    """

    def __init__(
        self,
        node_settings: settings.NodeSettings,
        address: str,
        incarnation: int,
        clock: clocks.Clock,
        schedulers: schedulerset.SchedulerSet,
        digests: digestcache.DigestCache,
        catalog: replicacatalog.ReplicaCatalog,
        config: follower.Follower,
        in_flight: inflight.InFlight,
        closed: Callable[[], frozenset[str]],
        changed: Callable[[membershipview.StateChange], None],
        failed: Callable[[Exception, str], None],
    ) -> None:
        self._name = node_settings.name
        self._schedulers = schedulers
        self._digests = digests
        self._catalog = catalog
        self._config = config
        self._changed = changed
        self._closed = closed
        self._in_flight = in_flight
        self._clock = clock
        self._rng = random.Random(incarnation)
        self._behind_since: float | None = None
        self._fetch_due_at = clock.now()
        self._last_owners: tuple[membershipview.Identity, ...] | None = None
        self._last_replicas: dict[str, replicacatalog.KnownReplica] | None = None
        self._failed = failed
        self.quarantine = requestquarantine.RequestQuarantine(
            node_settings.name, self._live_names, self._present_names, self._send, clock
        )
        self._ownership = ownership.Ownership()
        self._assembler: configchunks.ChunkAssembler | None = None
        self._assembled_revision = 0
        self.codec = codec.Codec(node_settings.name, incarnation, _key_ring(node_settings), clock)
        endpoint = transport.Endpoint.parse(node_settings.exchange)
        self.transport = transport.UdpTransport(endpoint, self.codec, self._handle)
        self.grants = grantclient.GrantClient(incarnation, self.transport, clock)
        self._names = remotescheduler.ConfiguredNames()
        self._named_revision = 0
        scheduler = remotescheduler.RemoteScheduler(schedulers, clock, self._names)
        self._server = grantserver.GrantServer(scheduler, self.transport, clock)
        scheduler.set_push(self._server.push)
        identity = membershipview.Identity(
            node_settings.name, node_settings.failure_domain, address, str(self.transport.endpoint)
        )
        self.heartbeats = heartbeats.Heartbeats(
            identity,
            incarnation,
            self.transport,
            clock,
            random.Random(incarnation),
            self._digest,
            self._demands,
        )

    def owner(self, replica: str) -> transport.Peer | None:
        """Return the owner of a replica, or None if it is this node."""
        name = self._ownership.owner(replica)
        if name is None or name == self._name:
            return None
        return self.heartbeats.peer(name)

    def owner_name(self, replica: str) -> str | None:
        """Return the name of a replica's owner."""
        return self._ownership.owner(replica)

    def owned(self) -> frozenset[str]:
        """Return the replicas that this node owns now."""
        return self._ownership.owned_by(self._name)

    def start(self) -> None:
        """Start receiving."""
        self.transport.start()

    def stop(self) -> None:
        """Stop receiving."""
        self.transport.stop()

    def tick(self) -> None:
        """Send due messages and apply changes of membership; called several times a second."""
        for change in self.heartbeats.tick():
            self._changed(change)
            if change.member.state is messages.NodeState.GONE:
                self._server.expire_holder(change.member.identity.name)
        self._server.tick()
        self.grants.tick()
        self.quarantine.tick()
        self._update_names()
        self._update_owners()
        now = self._clock.now()
        if now >= self._fetch_due_at:
            self._fetch_due_at = now + FETCH_INTERVAL_S
            self._fetch_from_peers()

    def _live_names(self) -> list[str]:
        return [member.identity.name for member in self.heartbeats.live()]

    def _present_names(self) -> list[str]:
        return [
            member.identity.name
            for member in self.heartbeats.members()
            if member.state is not messages.NodeState.GONE
        ]

    def _send(self, node: str, message: messages.Message) -> None:
        peer = self.heartbeats.peer(node)
        if peer is not None:
            self.transport.send(peer, message)

    def _update_names(self) -> None:
        in_force = self._config.active()
        if in_force is None or in_force.revision.number == self._named_revision:
            return
        self._named_revision = in_force.revision.number
        site = in_force.site
        pools = site.pool_by_name.values()
        self._names.replicas.replace(name for pool in pools for name in pool.replica_by_name)
        self._names.services.replace(site.service_by_name)
        self._names.teams.replace(site.team_by_name)

    def _update_owners(self) -> None:
        owners = tuple(member.identity for member in self.heartbeats.owner_candidates())
        known_by_name = self._catalog.known_by_name
        if owners == self._last_owners and known_by_name is self._last_replicas:
            return
        self._last_owners = owners
        self._last_replicas = known_by_name
        nodes = [ownership.Participant(each.name, each.failure_domain) for each in owners]
        replicas = [
            ownership.Participant(known.name, known.replica.failure_domain)
            for known in known_by_name.values()
        ]
        moves = self._ownership.update(replicas, nodes)
        self._schedulers.set_owned(self.owned())
        for move in moves:
            peer = None if move.after is None else self.heartbeats.peer(move.after)
            if peer is not None and move.after != self._name:
                self.grants.redirect(move.replica, peer)

    def _digest(self) -> heartbeats.Digest:
        owned = self.owned()
        states = self._schedulers.states()
        replicas = tuple(
            _replica_digest(state, self._catalog)
            for name, state in sorted(states.items())
            if name in owned
        )
        plain = tuple(
            messages.ReplicaDigest(
                messages.key_hash(name), 0, 0, 0, not self._catalog.takes_new_work(name)
            )
            for name in sorted(owned - states.keys())
        )
        closed = self._closed()
        for name in closed & owned:
            self.close(name)
        closings = tuple(
            messages.ReplicaDigest(messages.key_hash(name), 0, 0, 0, leaving=True)
            for name in sorted(closed - owned)
        )
        revision = self._config.current()
        number = 0 if revision is None else revision.number
        quarantine = self.quarantine.digest
        return heartbeats.Digest(number, closings + replicas + plain, quarantine=quarantine)

    def record_no_response(self, owner: str) -> None:
        """Record that an owner did not respond to a grant request."""
        self.heartbeats.record_no_reply(owner)

    def _handle(
        self, message: messages.Message, sender: codec.Sender, source: transport.Endpoint
    ) -> None:
        try:
            self._dispatch(message, sender, source)
        except Exception as error:  # noqa: BLE001
            # The receiver continues: a node that handles no messages appears failed to all peers.
            self._failed(error, type(message).__name__)

    def _dispatch(
        self, message: messages.Message, sender: codec.Sender, source: transport.Endpoint
    ) -> None:
        if isinstance(message, messages.Heartbeat):
            self._config.on_version_announcement(message.config_revision, sender.name)
            # A reordered heartbeat must not restore older figures.
            if self.heartbeats.receive(message, sender, source):
                self._digests.record(sender.name, message.replicas)
                self._apply_closings(message.replicas)
                self._record_demands(sender.name, message.demands)
                self.quarantine.on_digest(sender.name, message.quarantine_digest)
        elif isinstance(message, messages.GrantRequest):
            self._server.on_request(message, sender, source)
        elif isinstance(message, messages.GrantResponse):
            self.grants.on_response(message, sender, source)
        elif isinstance(message, messages.Progress):
            self._server.on_progress(message, sender, source)
        elif isinstance(message, messages.CrashReport):
            self.quarantine.on_report(sender.name, message)
        elif isinstance(message, messages.QuarantineNotice):
            self.quarantine.on_notice(message)
        elif isinstance(message, messages.VersionAnnouncement):
            self._config.on_version_announcement(message.revision, sender.name)
        elif isinstance(message, messages.SupersededIncarnation):
            incarnations.raise_above(message.incarnation, self.codec, self.grants, self.heartbeats)
        elif isinstance(message, messages.ChunkRequest):
            self._offer_chunk(message, transport.Peer(sender.name, source))
        elif isinstance(message, messages.DocumentChunk):
            self._add_chunk(message, transport.Peer(sender.name, source))

    def _offer_chunk(self, request: messages.ChunkRequest, peer: transport.Peer) -> None:
        revision = self._config.revision_for_peers()
        if revision is None or revision.number != request.revision:
            return
        chunks = configchunks.split(revision.number, revision.document.encode())
        if request.chunk < len(chunks):
            self.transport.send(peer, chunks[request.chunk])

    def _apply_closings(self, digests: tuple[messages.ReplicaDigest, ...]) -> None:
        """Close replicas that this node owns and another node is about to change.

        Only the holder of a pool's lease sends digests of replicas that it does not own.
        """
        for digest in digests:
            name = self._names.replicas.find(digest.replica) if digest.leaving else None
            if name is not None and name in self.owned():
                self.close(name)

    def close(self, replica: str) -> None:
        """Send no new work to a replica that this node owns."""
        self._catalog.close(replica)
        self._schedulers.drain(replica)

    def _demands(self) -> tuple[messages.TeamDemand, ...]:
        shares = self._in_flight.announce_shares(messages.MAX_DEMANDS)
        return tuple(teamdemands.to_message(share) for share in shares)

    def _record_demands(self, node: str, demands: tuple[messages.TeamDemand, ...]) -> None:
        for demand in demands:
            team = self._names.teams.find(demand.team)
            if team is not None:
                self._in_flight.record_peer_share(node, teamdemands.from_message(team, demand))

    def _fetch_from_peers(self) -> None:
        """Fetch the newest announced revision from a peer if the store did not provide it."""
        live = self.heartbeats.live()
        name_by_revision = {
            member.heartbeat.config_revision: member.identity.name
            for member in self._rng.sample(live, len(live))
            if member.heartbeat is not None
        }
        newest = max(name_by_revision, default=0)
        current = self._config.current()
        now = self._clock.now()
        if newest <= (0 if current is None else current.number):
            self._behind_since = None
            return
        if self._behind_since is None:
            self._behind_since = now
        # While the store is available, the follower reads the change from it within a second.
        if now - self._behind_since < PEER_FETCH_DELAY_S:
            return
        if self._assembler is None or self._assembled_revision != newest:
            self._assembler = configchunks.ChunkAssembler(newest)
            self._assembled_revision = newest
        request = self._assembler.next_request()
        peer = self.heartbeats.peer(name_by_revision[newest])
        if request is not None and peer is not None:
            self.transport.send(peer, request)

    def _add_chunk(self, chunk: messages.DocumentChunk, peer: transport.Peer) -> None:
        assembler = self._assembler
        if assembler is None:
            return
        document = assembler.add(chunk)
        if document is not None:
            digest = DIGEST_PREFIX + chunk.digest.hex()
            self._config.consider(
                documents.Revision(chunk.revision, digest, "", document.decode())
            )
            return
        request = assembler.next_request()
        if request is not None:
            self.transport.send(peer, request)


def _key_ring(node_settings: settings.NodeSettings) -> codec.KeyRing:
    secret_by_id = {key.id: key.secret.encode() for key in node_settings.exchange_keys}
    return codec.KeyRing(node_settings.exchange_keys[0].id, secret_by_id)


def _replica_digest(
    state: schedulerset.SchedulerState, catalog: replicacatalog.ReplicaCatalog
) -> messages.ReplicaDigest:
    return messages.ReplicaDigest(
        replica=messages.key_hash(state.replica),
        room_tokens=max(0, min(MAX_ROOM_TOKENS, int(state.headroom_tokens))),
        queued=state.waiting,
        expected_wait_ms=int(state.expected_wait_s * MILLISECONDS),
        leaving=state.leaving or not catalog.takes_new_work(state.replica),
        ejected=catalog.is_ejected(state.replica),
    )
