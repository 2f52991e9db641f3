"""A node's share of one team's limit, adjusted by demand without a write per request.

Explanation
===========

Every node of the team's shard announces in its heartbeat its share of the limit and the
share that it would use. Based on the announcements of the other nodes, a node

- *lowers* its share at once to its target. The target is its demand with a margin, plus an
  equal part of the limit that no node demands; or, if the demands exceed the limit, a part
  in proportion to its demand;
- *raises* its share slowly: by at most 1/k of the part of the limit that no node has
  claimed in an announcement (where k is the number of nodes in the shard), and only if it
  has recently received an announcement of every other node, and two since its last raise.
  The raises of several nodes at the same time therefore fit into the unclaimed part
  together.

Each node may always use a floor, ``floor_share / k`` of the limit, so that no node of the
shard must refuse all requests. The floors of the other nodes are reserved whether or not
their announcements were received. A node outside the shard, which callers with an outdated
address list still use, has the floor only.

Bound: as long as heartbeats take less than one interval, and however many are lost, the
shares sum to at most the limit; the state machine in the tests searches for violations.
The bound does not hold in these cases: if heartbeats are late by several intervals, two
nodes may claim the same part (with delays of up to three intervals, out of order, the shares
have summed to 1.19 of the limit); a node that joins the shard adds its floor until the others
have lowered their shares, and so does each node outside it that callers with an outdated
address list still use; a node that was removed from the list by mistake adds its share; and
a node without requests in flight accepts one in any case.

Alternatives considered:

- *A counter in the platform's table*: needs thousands of writes per second, while the table
  can take several hundred.
- *Leased blocks of the limit from the table*: fewer writes, but an outage of the store would
  stop all teams.
- *One counting node per team*: exact, but every request takes another hop, and the team
  stops when that node does.
- *An even split*: callers use the first address of their list, so one node would refuse
  requests while the other nodes' parts are unused.
- *Shares in proportion to demand, computed by each node alone*: views differ while messages
  are in transit, and nothing bounds the sum of shares under message loss.
"""

import collections.abc
import dataclasses

from hornbeamglade.teams import teamlimits

_DEMAND_MARGIN = 1.25
_MIN_STEP = 0.001
_RECENT_ROUNDS = 2
_ANNOUNCEMENTS_BETWEEN_RAISES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class ShareSettings:
    """Settings for the adjustment of shares of a limit.

    :param floor_share: the part of the limit that is always split evenly, 0 to 1.
    """

    floor_share: float = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerShare:
    share: float
    demand: float
    round_number: int
    count_since_raise: int


class ShareController:
    """The share of one team's limit that one node may use, as an aggregate.

    :param team: the team's name.
    :param node: this node's name.
    :param settings: settings for the adjustment of the share.

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
        self._peer_by_name: dict[str, _PeerShare] = {}
        self._round = 0
        self._has_shard = False
        self._is_member = False
        self._share = 0.0

    @property
    def share(self) -> float:
        """Return the part of the limit that this node may use, 0 to 1."""
        return self._share

    def set_shard(self, members: collections.abc.Collection[str]) -> None:
        """Set the team's shard; a node outside it gets the floor, for callers that use it late."""
        others = frozenset(members) - {self._node}
        is_member = self._node in members
        if self._has_shard and others == self._others and is_member == self._is_member:
            return
        self._has_shard = True
        self._is_member = is_member
        self._others = others
        for gone in self._peer_by_name.keys() - others:
            del self._peer_by_name[gone]
        if not is_member:
            self._share = self._floor()
        elif others:
            self._share = max(self._share, self._floor())
        else:
            self._share = 1.0
        self._reset_announcement_counts()

    def record_peer_share(self, node: str, announced: teamlimits.TeamShare) -> None:
        """Record the share that another node of the shard announced.

        The caller must ignore a heartbeat that is older than the last one of the same node.
        """
        if node not in self._others:
            return
        before = self._peer_by_name.get(node)
        count_since_raise = 1 if before is None else before.count_since_raise + 1
        self._peer_by_name[node] = _PeerShare(
            announced.share, announced.demand, self._round, count_since_raise
        )

    def adjust(self, demand: float, used: float) -> teamlimits.TeamShare:
        """Adjust the share and return what to announce; call this once per heartbeat.

        :param demand: the part of the limit that this node would use without a limit.
        :param used: the part that it uses now.
        """
        self._round += 1
        if self._is_member:
            self._adjust(demand)
        # Requests in flight are not aborted when the share is lowered. If only the share were
        # announced, other nodes would claim a part that is still in use, and the team would
        # exceed its limit until the requests end.
        return teamlimits.TeamShare(self._team, max(self._share, used), demand)

    def _adjust(self, demand: float) -> None:
        target = self._target_share(demand)
        if target < self._share:
            self._share = target
        elif target > self._share and self._may_raise():
            self._raise_towards(target)

    def _shard_size(self) -> int:
        return len(self._others) + 1

    def _floor(self) -> float:
        return self._settings.floor_share / self._shard_size()

    def _target_share(self, demand: float) -> float:
        own = self._demand_above_floor(demand)
        others = sum(self._demand_above_floor(peer.demand) for peer in self._peer_by_name.values())
        distributable = 1.0 - self._settings.floor_share
        spare = distributable - own - others
        if spare >= 0:
            return self._floor() + own + spare / self._shard_size()
        return self._floor() + distributable * own / (own + others)

    def _demand_above_floor(self, demand: float) -> float:
        return max(demand * _DEMAND_MARGIN - self._floor(), 0.0)

    def _may_raise(self) -> bool:
        # A raise based on an old view would claim a part that other nodes have claimed since.
        # The team would exceed its limit, and other teams would be delayed. A view is recent if
        # an announcement of each node was received within the last rounds. It includes the
        # reactions to this node's last raise if two announcements of each node were received
        # after it. Each other node then has at most one raise that is not in the view, for
        # which the division of the unclaimed part is sufficient.
        peers = self._peer_by_name.values()
        is_complete = len(peers) == len(self._others)
        is_recent = all(self._round - each.round_number <= _RECENT_ROUNDS for each in peers)
        is_answered = all(
            each.count_since_raise >= _ANNOUNCEMENTS_BETWEEN_RAISES for each in peers
        )
        return is_complete and is_recent and is_answered

    def _raise_towards(self, target: float) -> None:
        floor = self._floor()
        claimed = sum(max(peer.share, floor) for peer in self._peer_by_name.values())
        unclaimed = 1.0 - claimed - self._share
        step = min(target - self._share, unclaimed / self._shard_size())
        if step < _MIN_STEP:
            return
        self._share += step
        self._reset_announcement_counts()

    def _reset_announcement_counts(self) -> None:
        for node, peer in self._peer_by_name.items():
            self._peer_by_name[node] = dataclasses.replace(peer, count_since_raise=0)
