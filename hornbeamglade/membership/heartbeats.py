"""Service that keeps a node's membership view up to date by exchanging heartbeats."""

import collections.abc
import dataclasses
import random
import threading

from hornbeamglade.core import clocks, codederrors
from hornbeamglade.exchange import codec, messages, transport
from hornbeamglade.membership import dissemination
from hornbeamglade.membership import view as membership_view
from hornbeamglade.replicas import evacuations as evacuationlib
from hornbeamglade.store import contract


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """The state of a node that each of its heartbeats contains.

    :param config_revision: the configuration revision in force.
    :param replicas: the replicas that it owns; the first :data:`messages.MAX_REPLICAS
        <hornbeamglade.exchange.messages.MAX_REPLICAS>` are sent.
    :param list_version: the version of the platform's list of replicas, or 0.
    :param evacuations: the evacuated failure domains.
    :param quarantine: digest of the requests that it refuses because they crash replicas.
    :param waiting: the requests that wait at it, by service and priority.
    """

    config_revision: int = 0
    replicas: tuple[messages.ReplicaDigest, ...] = ()
    list_version: int = 0
    evacuations: evacuationlib.Evacuations = evacuationlib.Evacuations()
    quarantine: int = 0
    waiting: tuple[messages.WaitingClass, ...] = ()


class Heartbeats:
    """Sends and receives heartbeats; thread-safe.

    Explanation
    ===========

    Call :meth:`tick` several times a second and :meth:`receive` for each heartbeat from the
    transport. The lock is not held while the transport or ``digest`` is called. Reading is
    cheap, since it is done for every request: it returns the members as of the last tick,
    list or :meth:`leave`.
    """

    def __init__(
        self,
        own: membership_view.Identity,
        incarnation: int,
        sender: transport.Transport,
        clock: clocks.Clock,
        rng: random.Random,
        digest: collections.abc.Callable[[], Digest],
        demands: collections.abc.Callable[[], tuple[messages.TeamDemand, ...]] = tuple,
    ) -> None:
        """Start with this node as the only member of its view.

        :param own: this node.
        :param incarnation: this node's incarnation, as in its codec.
        :param sender: the transport that sends the heartbeats.
        :param clock: the source of monotonic time.
        :param rng: source of randomness for sampling peers.
        :param digest: returns the state that the heartbeats of a round contain.
        :param demands: called once in each beat that announces demands, since the shares of
            a limit may be adjusted once for each announcement; the first
            :data:`messages.MAX_DEMANDS <hornbeamglade.exchange.messages.MAX_DEMANDS>`
            are sent, so the share of any other team must not be adjusted.
        """
        self._own = own
        self._view = membership_view.MembershipView(own, incarnation)
        self._dissemination = dissemination.Dissemination(rng)
        self._transport = sender
        self._clock = clock
        self._digest = digest
        self._demands = demands
        self._announced_demands: tuple[messages.TeamDemand, ...] = ()
        self._lock = threading.Lock()
        self._members = self._view.members(clock.now())
        # The members and the live ones among them are kept in one tuple, since several threads
        # may replace both.
        self._live = (self._members, membership_view.live(self._members))

    def apply_list(self, instances: tuple[contract.Instance, ...]) -> None:
        """Apply the platform's list."""
        with self._lock:
            self._view.apply_list(instances)
            self._members = self._view.members(self._clock.now())

    def set_co_owners(self, names: collections.abc.Iterable[str]) -> None:
        """Set the nodes to which heartbeats go in each round between owners."""
        with self._lock:
            self._dissemination.set_co_owners(names)

    def receive(
        self,
        heartbeat: messages.Heartbeat,
        origin: codec.Sender,
        source: transport.Endpoint,
    ) -> bool:
        """Process a heartbeat from the transport, and reply if it asks for a heartbeat.

        :returns: whether it is newer, by (incarnation, beat), than all received from its
            sender before. Only then may its content be used: a heartbeat that arrives after
            a newer one would restore older load figures and shares.
        """
        with self._lock:
            is_new = self._view.record_heartbeat(origin, heartbeat, self._clock.now())
        if heartbeat.wants_answer:
            self._send(transport.Peer(origin.name, source), self._heartbeat(False))
        return is_new

    def record_no_reply(self, name: str) -> None:
        """Record that a node did not respond to a grant request."""
        with self._lock:
            self._view.miss_grant(name, self._clock.now())
            self._members = self._view.members(self._clock.now())

    def raise_incarnation(self, incarnation: int) -> None:
        """Continue with another incarnation, and announce it to all nodes."""
        with self._lock:
            self._view.raise_incarnation(incarnation)
            self._members = self._view.members(self._clock.now())
        self.announce()

    def leave(self) -> None:
        """Announce that this node is leaving, now and in all later heartbeats."""
        with self._lock:
            self._view.leave()
            self._members = self._view.members(self._clock.now())
        # All nodes are informed at once, also in large clusters: planned stops are rare, and a
        # node that does not know of this one sends further callers or grant requests here.
        self.announce()

    def announce(self) -> None:
        """Send a heartbeat to all nodes now, without waiting for the next round."""
        with self._lock:
            # Recipients ignore the content of a second heartbeat with the same beat.
            self._view.begin_round()
        self._announced_demands = ()
        heartbeat = self._heartbeat(False)
        for member in self._members:
            self._send_to(member, heartbeat)

    def tick(self) -> tuple[membership_view.StateChange, ...]:
        """Send a round of heartbeats if one is due.

        :returns: the state changes since the last call, for logging and ownership.
        """
        now = self._clock.now()
        with self._lock:
            changes = self._view.changes(now)
            self._members = self._view.members(now)
            for change in changes:
                self._dissemination.add_change(change, len(self._members))
            is_round_due = self._dissemination.is_due(now)
            targets = self._begin_round(now)
            announces_demands = (
                is_round_due and self._view.own_beat % messages.DEMANDS_INTERVAL_BEATS == 0
            )
        if announces_demands:
            self._announced_demands = self._demands()[: messages.MAX_DEMANDS]
        if targets:
            full = self._heartbeat(False)
            requesting = dataclasses.replace(full, wants_answer=True)
            compact = (
                _without_identity(full)
                if full.beat % messages.IDENTITY_INTERVAL_BEATS != 1
                else full
            )
            for target in targets:
                self._send_to(target.member, requesting if target.wants_answer else compact)
        self._send_to_co_owners(now, {target.member.identity.name for target in targets})
        return changes

    def members(self) -> tuple[membership_view.Member, ...]:
        """Return all known nodes, sorted by name."""
        return self._members

    def live(self) -> tuple[membership_view.Member, ...]:
        """Return the live nodes, including this one unless it is leaving.

        The same tuple is returned again if there is no new information.
        """
        members = self._members
        known, live = self._live
        if known is not members:
            live = membership_view.live(members)
            self._live = (members, live)
        return live

    def owner_candidates(self) -> tuple[membership_view.Member, ...]:
        """Return the candidates for owning replicas."""
        return membership_view.owner_candidates(self._members)

    def peer(self, name: str) -> transport.Peer | None:
        """Return the peer with the address for messages to a node, or None if unknown."""
        with self._lock:
            member = self._view.member(name, self._clock.now())
        return None if member is None else _peer(member)

    def _send_to_co_owners(self, now: float, already_sent: collections.abc.Set[str]) -> None:
        with self._lock:
            targets = self._dissemination.plan_owner_round(self._others(), now)
            if not targets:
                return
            # Recipients ignore the content of a second heartbeat with the same beat.
            self._view.begin_round()
            self._announced_demands = ()
        heartbeat = self._heartbeat(False)
        for target in targets:
            if target.member.identity.name not in already_sent:
                self._send_to(target.member, heartbeat)

    def _others(self) -> list[membership_view.Member]:
        return [each for each in self._members if each.identity.name != self._own.name]

    def _begin_round(self, now: float) -> tuple[dissemination.Target, ...]:
        if not self._dissemination.is_due(now):
            return ()
        self._view.begin_round()
        # Otherwise a reply from another thread could announce the demands of an earlier beat
        # with the number of this one: peers would count one announcement of a share twice, and
        # raise their own shares based on a view that is too old.
        self._announced_demands = ()
        targets = self._dissemination.plan(self._others(), now)
        for target in targets:
            if target.wants_answer:
                self._view.expect_reply(target.member.identity.name, now)
        return targets

    def _heartbeat(self, wants_answer: bool) -> messages.Heartbeat:
        digest = self._digest()
        waiting = digest.waiting[: messages.MAX_WAITING_CLASSES]
        with self._lock:
            own = self._view.member(self._own.name, self._clock.now())
            updates = self._dissemination.updates()
        return messages.Heartbeat(
            state=own.state,
            beat=own.beat,
            refutation=own.refutation,
            config_revision=digest.config_revision,
            failure_domain=self._own.failure_domain,
            address=self._own.address,
            exchange=self._own.exchange,
            wants_answer=wants_answer,
            replicas=digest.replicas[: messages.max_digests(len(waiting))],
            waiting=waiting,
            demands=self._announced_demands,
            updates=updates,
            list_version=digest.list_version,
            evacuations=digest.evacuations,
            quarantine_digest=digest.quarantine,
        )

    def _send_to(self, member: membership_view.Member, heartbeat: messages.Heartbeat) -> None:
        peer = _peer(member)
        if peer is not None and peer.name != self._own.name:
            self._send(peer, heartbeat)

    def _send(self, peer: transport.Peer, heartbeat: messages.Heartbeat) -> None:
        self._transport.send(peer, heartbeat)


def _without_identity(heartbeat: messages.Heartbeat) -> messages.Heartbeat:
    # This is sent only to nodes that receive every beat and from which heartbeats have been
    # received; a node not seen lately is sent a request for a reply, with the identity.
    return dataclasses.replace(heartbeat, failure_domain="", address="", exchange="")


def _peer(member: membership_view.Member) -> transport.Peer | None:
    try:
        endpoint = transport.Endpoint.parse(member.identity.exchange)
    # The platform's list may contain an invalid address. That node cannot be reached, but
    # heartbeats to the others must still be sent.
    except codederrors.CodedError:
        return None
    return transport.Peer(member.identity.name, endpoint)
