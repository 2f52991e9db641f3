"""Scheduling of heartbeats and gossip of membership updates, without I/O.

Explanation
===========

Up to :data:`FULL_MESH_MAX_NODES` nodes, each node sends a heartbeat to every other node
each half second: the load of every owner is then known everywhere and half a second
old, at the cost of a few hundred bytes per second. With more nodes this traffic would
grow with the square of their number, so each node sends to :data:`FANOUT` sampled peers
per second and requests a heartbeat in return [1]_. The traffic of a node then does not
depend on the number of nodes. Only the owners of engines of one service, a handful of nodes,
send each other heartbeats more often, every :data:`OWNER_PERIOD_S`. A state change reaches
all nodes in a number of rounds that grows with the logarithm of their number, since each
membership update is sent in ``UPDATE_ROUNDS_FACTOR * log2(nodes)`` rounds. A peer that has
not replied is asked again in each round, so a single lost datagram does not make it suspect.

Alternatives considered: *a shared table of heartbeats* in the platform's store (360
writes per second, most of its capacity, and membership would fail with each outage of
the store); *full tables in every heartbeat* (360 entries of 12 bytes twice a second are
8 KB/s); *a ring of fixed observers* (no sampling, but two nodes with different views
expect heartbeats that nobody sends). SWIM's indirect probes are omitted: they
distinguish a lossy link from a dead node, and here a false suspicion only moves
ownership for a second and is refuted by the next heartbeat.

References
==========

.. [1] A. Das, I. Gupta, A. Motivala: SWIM: Scalable Weakly-consistent
   Infection-style Process Group Membership Protocol, DSN 2002.
"""

import collections.abc
import dataclasses
import math
import random

from hornbeamglade.exchange import messages
from hornbeamglade.membership import view as membership_view

FULL_MESH_MAX_NODES = 16
MESH_PERIOD_S = 0.5
SAMPLED_PERIOD_S = 1.0
UPDATE_PERIOD_S = 0.5
"""A node that has membership updates to spread sends heartbeats twice as often: callers get the
address of a dead instance until every instance that they may ask has learned of its failure."""

OWNER_PERIOD_S = 0.25
"""The interval of heartbeats between owners of engines of one service. Their figures are passed on
in responses to grant requests, and one owner grants several requests within the sampled period."""

MAX_CO_OWNERS = 8

FANOUT = 2
RETRIES_PER_ROUND = 2
SILENT_AFTER_S = 2.5 * MESH_PERIOD_S
UPDATE_ROUNDS_FACTOR = 3
GONE_PROBE_ROUNDS = 5

_State = messages.NodeState


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One heartbeat to send.

    :param member: the recipient.
    :param wants_answer: whether to request a heartbeat in return.
    """

    member: membership_view.Member
    wants_answer: bool


@dataclasses.dataclass(slots=True)
class _Pending:
    update: messages.MembershipUpdate
    rounds_left: int


class Dissemination:
    """Schedules the heartbeat rounds of one node; not thread-safe."""

    def __init__(self, rng: random.Random) -> None:
        """Start without membership updates.

        :param rng: source of randomness for sampling peers.
        """
        self._rng = rng
        self._pending_by_node: dict[int, _Pending] = {}
        self._unsampled: list[str] = []
        self._round = 0
        self._next_round_at = 0.0
        self._is_sampled = False
        self._co_owners: frozenset[str] = frozenset()
        self._next_owner_round_at = 0.0

    def set_co_owners(self, names: collections.abc.Iterable[str]) -> None:
        """Set the nodes that own engines of the services of which this node owns engines."""
        self._co_owners = frozenset(names)

    def plan_owner_round(
        self, others: collections.abc.Sequence[membership_view.Member], now: float
    ) -> tuple[Target, ...]:
        """Start a round between owners if one is due, and return its recipients.

        Empty while heartbeats go to all nodes, since the owners are among them.

        :param others: all known nodes except this one.
        """
        if not self._is_sampled or not self._co_owners or now < self._next_owner_round_at:
            return ()
        self._next_owner_round_at = now + OWNER_PERIOD_S
        present = [
            member
            for member in others
            if member.identity.name in self._co_owners and member.state is not _State.GONE
        ]
        if len(present) > MAX_CO_OWNERS:
            present = self._rng.sample(present, MAX_CO_OWNERS)
        return tuple(Target(member, False) for member in present)

    def add_change(self, change: membership_view.StateChange, nodes: int) -> None:
        """Spread a state change; a newer one of the same node replaces it."""
        member = change.member
        if member.incarnation == 0:
            # The node is known from the platform's list only, which all nodes read.
            return
        update = messages.MembershipUpdate(
            messages.key_hash(member.identity.name),
            member.incarnation,
            member.refutation,
            member.state,
        )
        rounds = UPDATE_ROUNDS_FACTOR * math.ceil(math.log2(nodes + 1))
        self._pending_by_node[update.node] = _Pending(update, rounds)

    def is_due(self, now: float) -> bool:
        """Return whether the next round should start."""
        has_updates = self._is_sampled and bool(self._pending_by_node)
        early_s = SAMPLED_PERIOD_S - UPDATE_PERIOD_S if has_updates else 0.0
        return now >= self._next_round_at - early_s

    def plan(
        self, others: collections.abc.Sequence[membership_view.Member], now: float
    ) -> tuple[Target, ...]:
        """Start a round: choose its recipients and count down the updates.

        :param others: all known nodes except this one.
        :param now: monotonic seconds.
        """
        self._round += 1
        self._count_down_updates()
        present = [member for member in others if member.state is not _State.GONE]
        self._is_sampled = len(present) >= FULL_MESH_MAX_NODES
        if not self._is_sampled:
            self._next_round_at = now + MESH_PERIOD_S
            targets = [Target(member, _is_silent(member, now)) for member in present]
        else:
            self._next_round_at = now + SAMPLED_PERIOD_S
            chosen = {member.identity.name: member for member in self._sample(present)}
            # A peer that has not replied is asked again: otherwise a single lost datagram
            # makes a node suspect, and at this cluster size it may take minutes until the
            # node is sampled again.
            unanswered = [member for member in present if member.owes_reply]
            chosen |= {member.identity.name: member for member in unanswered[:RETRIES_PER_ROUND]}
            targets = [Target(member, True) for member in chosen.values()]
        return (*targets, *self._probe_gone(others))

    def updates(self) -> tuple[messages.MembershipUpdate, ...]:
        """Return the updates for this round's heartbeats, those sent least often first."""
        pending = sorted(
            self._pending_by_node.values(), key=lambda entry: entry.rounds_left, reverse=True
        )
        return tuple(entry.update for entry in pending[: messages.MAX_MEMBERSHIP_UPDATES])

    def _count_down_updates(self) -> None:
        for update in self.updates():
            pending = self._pending_by_node[update.node]
            pending.rounds_left -= 1
            if pending.rounds_left <= 0:
                del self._pending_by_node[update.node]

    def _sample(self, present: list[membership_view.Member]) -> list[membership_view.Member]:
        # Peers are taken from a shuffled list that is exhausted before it is shuffled
        # again, so every dead node is probed within a bounded time.
        member_by_name = {member.identity.name: member for member in present}
        chosen: dict[str, membership_view.Member] = {}
        while len(chosen) < FANOUT:
            if not self._unsampled:
                self._unsampled = sorted(member_by_name)
                self._rng.shuffle(self._unsampled)
            name = self._unsampled.pop()
            if name in member_by_name:
                chosen[name] = member_by_name[name]
        return list(chosen.values())

    def _probe_gone(
        self, others: collections.abc.Sequence[membership_view.Member]
    ) -> tuple[Target, ...]:
        # Detects that a network partition has healed: each side considers the nodes of
        # the other side gone, and without these probes neither would contact the other.
        gone = [member for member in others if member.state is _State.GONE]
        if not gone or self._round % GONE_PROBE_ROUNDS:
            return ()
        return (Target(self._rng.choice(gone), True),)


def heartbeats_per_second(nodes: int) -> float:
    """Return the heartbeats that one node sends per second, replies included.

    Examples
    ========

    >>> heartbeats_per_second(6)
    10.0
    >>> heartbeats_per_second(360)
    4.0
    """
    if nodes <= FULL_MESH_MAX_NODES:
        return (nodes - 1) / MESH_PERIOD_S
    return 2 * FANOUT / SAMPLED_PERIOD_S


def _is_silent(member: membership_view.Member, now: float) -> bool:
    return member.last_seen_at is None or now - member.last_seen_at > SILENT_AFTER_S
