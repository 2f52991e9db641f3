"""A node's share of one team's limit, moved by demand without a write per request.

Explanation
===========

Every node of the team's shard announces in its heartbeat the share that it
holds and the share that it would use. From what it has heard of the others a
node

- *gives* at once: it goes down to what it wants, which is its demand, with a
  margin and an even part of what nobody demands, or its part in proportion to
  demand when the demands exceed the limit;
- *takes* slowly: at most the k-th part of the room that nobody has announced
  (k nodes in the shard), and only when it has heard every other node lately,
  and twice since its last raise. Two that raise at the same time fit into the
  room together.

Each node may always use a floor, ``floor_share / k`` of the limit, so that no
node of the shard has to refuse everything; the floors of the others are kept
free whether they were heard or not. A node outside the shard, which callers
with an old answer still reach, uses a floor and no more.

Bound: while heartbeats take less than one interval, however many are lost, the
shares held sum to at most the limit; the state machine in the tests looks for
more. Beyond that: heartbeats that are late by several intervals can let two
nodes take the same room (a trial with delays of up to three intervals, out of
order, saw 1.19 of the limit); a newcomer adds its floor until the others give,
and so does each node that is still reached by an old answer; a node that was
wrongly taken off the list adds its share; a node with nothing in flight takes
one request in any case.

What was weighed:

- *A counter in the platform's table*: thousands of writes a second of several
  hundred.
- *Leased blocks of the limit from the table*: fewer writes, but an outage of
  the store would stop all teams.
- *One node per team that counts*: exact, but every request takes another hop,
  and the team stops when that node does.
- *An even split*: callers use the first address they were given, so one node
  would refuse while the others' parts lie idle.
- *Shares in proportion to demand, each computed alone*: views differ while
  messages travel, and nothing bounds their sum under loss.
"""

import collections.abc
import dataclasses

from hornbeamglade.teams import teamlimits

_DEMAND_MARGIN = 1.25
_MIN_STEP = 0.001
_RECENT_BEATS = 2
_HEARD_BETWEEN_RAISES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class ShareSettings:
    """How shares of a limit move between nodes.

    :param floor_share: the part of the limit that is split evenly for good, 0 to 1.
    """

    floor_share: float = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    share: float
    demand: float
    beat: int
    since_raise: int


class ShareController:
    """The share of one team's limit that one node may use, as an aggregate.

    :param team: the team's name.
    :param node: this node's name.
    :param settings: how shares move.

    Examples
    ========

    >>> controller = ShareController("clerks", "n1", ShareSettings())
    >>> controller.set_shard(("n1", "n2"))
    >>> controller.share
    0.125
    >>> idle = teamlimits.TeamShare("clerks", share=0.125, demand=0.0)
    >>> for _ in range(2):
    ...     controller.record_peer_share("n2", idle)
    >>> controller.adjust(demand=0.7, used=0.1)
    TeamShare(team='clerks', share=0.5, demand=0.7)
    """

    def __init__(self, team: str, node: str, settings: ShareSettings) -> None:
        self._team = team
        self._node = node
        self._settings = settings
        self._others: frozenset[str] = frozenset()
        self._heard_by_node: dict[str, _Heard] = {}
        self._beat = 0
        self._is_placed = False
        self._is_member = False
        self._share = 0.0

    @property
    def share(self) -> float:
        """Return the part of the limit that this node may use, 0 to 1."""
        return self._share

    def set_shard(self, members: collections.abc.Collection[str]) -> None:
        """Take over the team's shard; a node outside it uses a floor for late callers."""
        others = frozenset(members) - {self._node}
        is_member = self._node in members
        if self._is_placed and others == self._others and is_member == self._is_member:
            return
        self._is_placed = True
        self._is_member = is_member
        self._others = others
        for gone in self._heard_by_node.keys() - others:
            del self._heard_by_node[gone]
        if not is_member:
            self._share = self._floor()
        elif others:
            self._share = max(self._share, self._floor())
        else:
            self._share = 1.0
        self._await_answers()

    def record_peer_share(self, node: str, said: teamlimits.TeamShare) -> None:
        """Take over what another node of the shard announced.

        The caller drops a heartbeat that is older than the last of the same node.
        """
        if node not in self._others:
            return
        before = self._heard_by_node.get(node)
        since_raise = 1 if before is None else before.since_raise + 1
        self._heard_by_node[node] = _Heard(said.share, said.demand, self._beat, since_raise)

    def adjust(self, demand: float, used: float) -> teamlimits.TeamShare:
        """Move the share and return what to announce; call it once per heartbeat.

        :param demand: the part of the limit that this node would use if it could.
        :param used: the part that it uses now.
        """
        self._beat += 1
        if self._is_member:
            self._move(demand)
        # Guard: requests in flight are not cut off when the share goes down. Were only
        # the share announced, others would raise into room that is still used, and the
        # team would have more in flight than its limit for as long as answers last.
        return teamlimits.TeamShare(self._team, max(self._share, used), demand)

    def _move(self, demand: float) -> None:
        wanted = self._wanted(demand)
        if wanted < self._share:
            self._share = wanted
        elif wanted > self._share and self._has_heard_all():
            self._raise_towards(wanted)

    def _nodes(self) -> int:
        return len(self._others) + 1

    def _floor(self) -> float:
        return self._settings.floor_share / self._nodes()

    def _wanted(self, demand: float) -> float:
        mine = self._excess(demand)
        theirs = sum(self._excess(heard.demand) for heard in self._heard_by_node.values())
        movable = 1.0 - self._settings.floor_share
        spare = movable - mine - theirs
        if spare >= 0:
            return self._floor() + mine + spare / self._nodes()
        return self._floor() + movable * mine / (mine + theirs)

    def _excess(self, demand: float) -> float:
        return max(demand * _DEMAND_MARGIN - self._floor(), 0.0)

    def _has_heard_all(self) -> bool:
        # Guard: a raise on an old view counts room that others have taken since; the
        # team has more in flight than its limit, and other teams stall for it. A view is
        # recent when each node was heard within the last beats, and shows what the others
        # made of the last raise when each was heard twice after it. So each other node has
        # at most one raise that is not in the view, and the room is split for just that.
        heard = self._heard_by_node.values()
        is_complete = len(heard) == len(self._others)
        is_recent = all(self._beat - each.beat <= _RECENT_BEATS for each in heard)
        is_answered = all(each.since_raise >= _HEARD_BETWEEN_RAISES for each in heard)
        return is_complete and is_recent and is_answered

    def _raise_towards(self, wanted: float) -> None:
        floor = self._floor()
        taken = sum(max(heard.share, floor) for heard in self._heard_by_node.values())
        room = 1.0 - taken - self._share
        step = min(wanted - self._share, room / self._nodes())
        if step < _MIN_STEP:
            return
        self._share += step
        self._await_answers()

    def _await_answers(self) -> None:
        for node, heard in self._heard_by_node.items():
            self._heard_by_node[node] = dataclasses.replace(heard, since_raise=0)
