"""What a node exchanges with its peers: heartbeats, grants, configuration."""

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
PEERS_AFTER_S = 1.5
FOLLOW_S = 0.5
MOST_ROOM_TOKENS = 2**31 - 1
DIGEST_PREFIX = "sha256-"


class Peering(grantacquirer.ReplicaOwners):
    """One node's side of the exchange.

    :param told: the node's settings.
    :param address: where callers are served, as bound.
    :param incarnation: this run of the node; grows with each start.
    :param clock: the node's clock.
    :param schedulers: this node's schedulers.
    :param digests: takes what owners say.
    :param catalog: what is known of replicas.
    :param config: the configuration's follower.
    :param in_flight: what teams have in flight, and their shares of limits.
    :param closed: replicas that placement on this node is about to change.
    :param changed: told of each change of a node's state.
    :param failed: told of an error that a message caused here.
    """

    def __init__(
        self,
        told: settings.NodeSettings,
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
        self._name = told.name
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
        self._follow_due_at = clock.now()
        self._owners_seen: tuple[membershipview.Identity, ...] | None = None
        self._replicas_seen: dict[str, replicacatalog.Known] | None = None
        self._failed = failed
        self.quarantine = requestquarantine.RequestQuarantine(
            told.name, self._live_names, self._present_names, self._send, clock
        )
        self._ownership = ownership.Ownership()
        self._assembly: configchunks.ChunkAssembler | None = None
        self._assembled_revision = 0
        self.codec = codec.Codec(told.name, incarnation, _ring(told), clock)
        endpoint = transport.Endpoint.parse(told.exchange)
        self.transport = transport.UdpTransport(endpoint, self.codec, self._handle)
        self.grants = grantclient.GrantClient(incarnation, self.transport, clock)
        self._names = remotescheduler.ConfiguredNames()
        self._named_revision = 0
        scheduler = remotescheduler.RemoteScheduler(schedulers, clock, self._names)
        self._server = grantserver.GrantServer(scheduler, self.transport, clock)
        scheduler.set_push(self._server.push)
        identity = membershipview.Identity(
            told.name, told.failure_domain, address, str(self.transport.endpoint)
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
        """Return the owner of a replica, or None when it is this node."""
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
        """Begin to receive."""
        self.transport.start()

    def stop(self) -> None:
        """Stop receiving."""
        self.transport.stop()

    def tick(self) -> None:
        """Send what is due and take note of what changed; several times a second."""
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
        if now >= self._follow_due_at:
            self._follow_due_at = now + FOLLOW_S
            self._follow_peers()

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
        if owners == self._owners_seen and known_by_name is self._replicas_seen:
            return
        self._owners_seen = owners
        self._replicas_seen = known_by_name
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
        """Note that an owner left an ask unanswered."""
        self.heartbeats.record_no_reply(owner)

    def _handle(
        self, message: messages.Message, sender: codec.Sender, source: transport.Endpoint
    ) -> None:
        try:
            self._dispatch(message, sender, source)
        except Exception as error:  # noqa: BLE001
            # The receiver goes on: a node that no longer hears looks dead to all.
            self._failed(error, type(message).__name__)

    def _dispatch(
        self, message: messages.Message, sender: codec.Sender, source: transport.Endpoint
    ) -> None:
        if isinstance(message, messages.Heartbeat):
            self._config.on_version_announcement(message.config_revision, sender.name)
            # A heartbeat that was overtaken must not put older figures back.
            if self.heartbeats.receive(message, sender, source):
                self._digests.hear(sender.name, message.replicas)
                self._hear_closings(message.replicas)
                self._hear_demands(sender.name, message.demands)
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
            self._take_chunk(message, transport.Peer(sender.name, source))

    def _offer_chunk(self, ask: messages.ChunkRequest, peer: transport.Peer) -> None:
        revision = self._config.revision_for_peers()
        if revision is None or revision.number != ask.revision:
            return
        offers = configchunks.split(revision.number, revision.document.encode())
        if ask.chunk < len(offers):
            self.transport.send(peer, offers[ask.chunk])

    def _hear_closings(self, digests: tuple[messages.ReplicaDigest, ...]) -> None:
        """Close replicas that this node owns and another node is about to change.

        Only a holder of a pool's lease speaks of replicas that it does not own.
        """
        for digest in digests:
            name = self._names.replicas.find(digest.replica) if digest.leaving else None
            if name is not None and name in self.owned():
                self.close(name)

    def close(self, replica: str) -> None:
        """Keep new work from a replica that this node owns."""
        self._catalog.close(replica)
        self._schedulers.drain(replica)

    def _demands(self) -> tuple[messages.TeamDemand, ...]:
        told = self._in_flight.tell_shares(messages.MAX_DEMANDS)
        return tuple(teamdemands.to_message(share) for share in told)

    def _hear_demands(self, node: str, demands: tuple[messages.TeamDemand, ...]) -> None:
        for demand in demands:
            team = self._names.teams.find(demand.team)
            if team is not None:
                self._in_flight.hear_share(node, teamdemands.from_message(team, demand))

    def _follow_peers(self) -> None:
        """Ask a peer for the newest revision heard of, when the store did not give it."""
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
        # While the store answers, the follower reads the change there within a second.
        if now - self._behind_since < PEERS_AFTER_S:
            return
        if self._assembly is None or self._assembled_revision != newest:
            self._assembly = configchunks.ChunkAssembler(newest)
            self._assembled_revision = newest
        ask = self._assembly.next_request()
        peer = self.heartbeats.peer(name_by_revision[newest])
        if ask is not None and peer is not None:
            self.transport.send(peer, ask)

    def _take_chunk(self, offer: messages.DocumentChunk, peer: transport.Peer) -> None:
        assembly = self._assembly
        if assembly is None:
            return
        document = assembly.add(offer)
        if document is not None:
            digest = DIGEST_PREFIX + offer.digest.hex()
            self._config.consider(
                documents.Revision(offer.revision, digest, "", document.decode())
            )
            return
        ask = assembly.next_request()
        if ask is not None:
            self.transport.send(peer, ask)


def _ring(told: settings.NodeSettings) -> codec.KeyRing:
    secret_by_id = {key.id: key.secret.encode() for key in told.exchange_keys}
    return codec.KeyRing(told.exchange_keys[0].id, secret_by_id)


def _replica_digest(
    state: schedulerset.SchedulerState, catalog: replicacatalog.ReplicaCatalog
) -> messages.ReplicaDigest:
    return messages.ReplicaDigest(
        replica=messages.key_hash(state.replica),
        room_tokens=max(0, min(MOST_ROOM_TOKENS, int(state.headroom_tokens))),
        queued=state.waiting,
        expected_wait_ms=int(state.expected_wait_s * MILLISECONDS),
        leaving=state.leaving or not catalog.takes_new_work(state.replica),
        ejected=catalog.is_ejected(state.replica),
    )
