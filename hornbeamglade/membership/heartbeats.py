"""The service that keeps a node's view up to date over a transport."""

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
    """What a node tells of itself in each heartbeat.

    :param config_revision: the configuration revision in force.
    :param replicas: the replicas it owns; the first :data:`messages.MAX_REPLICAS
        <hornbeamglade.exchange.messages.MAX_REPLICAS>` are sent.
    :param list_version: the version of the platform's list of replicas, or 0.
    :param evacuations: the evacuated failure domains.
    :param quarantine: digest of the requests that it refuses since they crash replicas.
    """

    config_revision: int = 0
    replicas: tuple[messages.ReplicaDigest, ...] = ()
    list_version: int = 0
    evacuations: evacuationlib.Evacuations = evacuationlib.Evacuations()
    quarantine: int = 0


class Heartbeats:
    """Sends and takes heartbeats; safe to use from several threads.

    Explanation
    ===========

    Call :meth:`tick` several times a second and :meth:`receive` for each heartbeat from the
    transport. The lock is not held while the transport or ``digest`` is called.
    Reading is cheap, for the path of every request: it returns what the last tick,
    list or :meth:`leave` saw.
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
        """Begin with this node alone in its view.

        :param own: this node.
        :param incarnation: this node's incarnation, as in its codec.
        :param sender: carries the heartbeats.
        :param clock: for periods and silences.
        :param rng: samples peers.
        :param digest: called for what each round's heartbeats tell.
        :param demands: called once in each beat that tells demands, as shares of a
            limit may move once for each time they are told; the first
            :data:`messages.MAX_DEMANDS <hornbeamglade.exchange.messages.MAX_DEMANDS>`
            are sent, so no share of another team may move.
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
        # Members and the live ones among them, in one place: threads may replace both.
        self._live = (self._members, membership_view.live(self._members))

    def apply_list(self, instances: tuple[contract.Instance, ...]) -> None:
        """Take the platform's list."""
        with self._lock:
            self._view.apply_list(instances)
            self._members = self._view.members(self._clock.now())

    def receive(
        self,
        heartbeat: messages.Heartbeat,
        origin: codec.Sender,
        source: transport.Endpoint,
    ) -> bool:
        """Take a heartbeat from the transport, and answer it if it asks for that.

        :returns: whether it is newer, by (incarnation, beat), than all heard of its
            sender before. Only then may what it tells be taken over: a heartbeat that
            was overtaken would put older load figures and shares back.
        """
        with self._lock:
            is_new = self._view.record_heartbeat(origin, heartbeat, self._clock.now())
        if heartbeat.wants_answer:
            self._send(transport.Peer(origin.name, source), self._heartbeat(False))
        return is_new

    def record_no_reply(self, name: str) -> None:
        """Note that a node left an ask for a grant unanswered."""
        with self._lock:
            self._view.expect_reply(name, self._clock.now())

    def raise_incarnation(self, incarnation: int) -> None:
        """Go on under another incarnation, and tell everyone."""
        with self._lock:
            self._view.raise_incarnation(incarnation)
            self._members = self._view.members(self._clock.now())
        self.announce()

    def leave(self) -> None:
        """Announce that this node leaves, now and in all later heartbeats."""
        with self._lock:
            self._view.leave()
            self._members = self._view.members(self._clock.now())
        # Everyone is told at once, also at large sizes: a planned stop is rare, and
        # each node that does not know of it sends one more caller or ask here.
        self.announce()

    def announce(self) -> None:
        """Send a heartbeat to all now, since what it tells cannot wait for its turn."""
        with self._lock:
            # What a second heartbeat of one beat tells is not taken.
            self._view.begin_round()
        self._announced_demands = ()
        heartbeat = self._heartbeat(False)
        for member in self._members:
            self._send_to(member, heartbeat)

    def tick(self) -> tuple[membership_view.StateChange, ...]:
        """Send a round of heartbeats when one is due.

        :returns: the changes of state since the last call, for logs and ownership.
        """
        now = self._clock.now()
        with self._lock:
            changes = self._view.changes(now)
            self._members = self._view.members(now)
            for change in changes:
                self._dissemination.add_change(change, len(self._members))
            begins = self._dissemination.is_due(now)
            targets = self._begin_round(now)
            tells = begins and self._view.own_beat % messages.DEMANDS_EVERY == 0
        if tells:
            self._announced_demands = self._demands()[: messages.MAX_DEMANDS]
        if targets:
            whole = self._heartbeat(False)
            asking = dataclasses.replace(whole, wants_answer=True)
            plain = (
                _without_identity(whole) if whole.beat % messages.IDENTITY_EVERY != 1 else whole
            )
            for target in targets:
                self._send_to(target.member, asking if target.wants_answer else plain)
        return changes

    def members(self) -> tuple[membership_view.Member, ...]:
        """Return all known nodes, in order of name."""
        return self._members

    def live(self) -> tuple[membership_view.Member, ...]:
        """Return the live nodes, this one included unless it leaves.

        The same tuple as before while nothing came in.
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
        """Return where a node receives messages, or None when that is unknown."""
        with self._lock:
            member = self._view.member(name, self._clock.now())
        return None if member is None else _peer(member)

    def _begin_round(self, now: float) -> tuple[dissemination.Target, ...]:
        if not self._dissemination.is_due(now):
            return ()
        self._view.begin_round()
        # Guards against an answer on another thread that tells the demands of a former
        # beat under this one's number: peers would count one telling of a share as two,
        # and raise theirs on a view that is too old.
        self._announced_demands = ()
        others = [one for one in self._members if one.identity.name != self._own.name]
        targets = self._dissemination.plan(others, now)
        for target in targets:
            if target.wants_answer:
                self._view.expect_reply(target.member.identity.name, now)
        return targets

    def _heartbeat(self, wants_answer: bool) -> messages.Heartbeat:
        digest = self._digest()
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
            replicas=digest.replicas[: messages.MAX_REPLICAS],
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
    # Only those who hear each beat, and have been heard themselves, are sent this: a
    # node that was not heard lately is asked for an answer, and told all.
    return dataclasses.replace(heartbeat, failure_domain="", address="", exchange="")


def _peer(member: membership_view.Member) -> transport.Peer | None:
    try:
        endpoint = transport.Endpoint.parse(member.identity.exchange)
    # The platform's list may hold an address that is none; that node is not
    # reached, and the others must be.
    except codederrors.CodedError:
        return None
    return transport.Peer(member.identity.name, endpoint)
