"""Failure detection state of a single node, and the rules by which it changes.

Explanation
===========

The rules are those of :mod:`hornbeamglade.membership.view`, for a single node: a
heartbeat is authoritative, silence is measured from the first unanswered request, a
membership update is applied unless something newer is known here, and a node marked
as leaving remains so until its incarnation ends.
"""

import dataclasses
import math

from hornbeamglade.exchange import messages

SUSPECT_AFTER_S = 2.0
# Longer than a suspicion and its refutation take to spread to hundreds of nodes.
GONE_AFTER_S = 20.0
RECENT_HEARTBEAT_S = 1.0

_State = messages.NodeState


@dataclasses.dataclass(slots=True)
class Liveness:
    """The state of one node as another node sees it; an entity of the view.

    :param incarnation: the highest known incarnation, 0 if none is known.
    :param beat: the highest beat received from that incarnation.
    :param refutation: the highest known refutation number of that incarnation.
    :param leaving_incarnation: the incarnation that is known to be leaving, or None.
    :param last_seen_at: monotonic seconds of the last heartbeat received, or None.
    :param unanswered_since: monotonic seconds since which it counts as silent, or None.
    :param owes_reply: whether a request of this node is unanswered.
    :param missed_grant: whether a grant request of this node was left unanswered.

    Examples
    ========

    >>> liveness = Liveness()
    >>> liveness.expect_reply(now=10.0)
    >>> liveness.state(now=11.0), liveness.state(now=12.0)
    (<NodeState.LIVE: 0>, <NodeState.SUSPECT: 1>)
    >>> liveness.record_heartbeat(1, beat=1, refutation=0, leaving=False, now=13.0)
    True
    >>> liveness.state(now=13.0)
    <NodeState.LIVE: 0>
    """

    incarnation: int = 0
    beat: int = 0
    refutation: int = 0
    leaving_incarnation: int | None = None
    last_seen_at: float | None = None
    unanswered_since: float | None = None
    owes_reply: bool = False
    missed_grant: bool = False

    def state(self, now: float) -> messages.NodeState:
        """Return the state of the node."""
        silent_s = 0.0 if self.unanswered_since is None else now - self.unanswered_since
        if silent_s >= GONE_AFTER_S:
            return _State.GONE
        if self.leaving_incarnation == self.incarnation:
            return _State.LEAVING
        if silent_s >= SUSPECT_AFTER_S:
            return _State.SUSPECT
        return _State.LIVE

    def next_change_at(self, now: float) -> float:
        """Return when silence alone may next change the state; infinite if it is not silent."""
        if self.unanswered_since is None:
            return math.inf
        silent_s = now - self.unanswered_since
        timeouts = (each for each in (SUSPECT_AFTER_S, GONE_AFTER_S) if silent_s < each)
        return self.unanswered_since + min(timeouts, default=math.inf)

    def expect_reply(self, now: float) -> None:
        """Record a request; only the first one since the last heartbeat counts."""
        self.owes_reply = True
        if self.unanswered_since is None:
            self.unanswered_since = now

    def mark_leaving(self) -> None:
        """Mark the current incarnation as leaving."""
        self.leaving_incarnation = self.incarnation

    def accepts(self, incarnation: int, now: float) -> bool:
        """Return whether a heartbeat of ``incarnation`` is accepted.

        Explanation
        ===========

        The codec accepts a lower incarnation only after a long silence. The sender is then a
        replaced node whose clock is behind, and the heartbeat is not an old one.
        """
        return incarnation >= self.incarnation or self.state(now) is _State.GONE

    def record_heartbeat(
        self, incarnation: int, beat: int, refutation: int, leaving: bool, now: float
    ) -> bool:
        """Record an accepted heartbeat.

        :returns: whether it is the newest one, so that its content is to be used.
        """
        if incarnation != self.incarnation:
            self._reset(incarnation)
        if leaving:
            self.mark_leaving()
        self.last_seen_at = now
        self.unanswered_since = None
        self.owes_reply = self.missed_grant = False
        self.refutation = max(self.refutation, refutation)
        if beat < self.beat:
            return False
        self.beat = beat
        return True

    def apply_update(self, update: messages.MembershipUpdate, now: float) -> None:
        """Apply an update about this node that another node has sent."""
        if update.incarnation < self.incarnation:
            return
        if update.incarnation > self.incarnation:
            self._reset(update.incarnation)
        if update.state is _State.LEAVING:
            self.mark_leaving()
        if update.state in (_State.LIVE, _State.LEAVING):
            self._apply_refutation(update)
        else:
            self._apply_suspicion(update, now)

    def refute(self, update: messages.MembershipUpdate) -> bool:
        """Raise the refutation number if an update calls this node suspect or gone.

        :returns: whether there is a refutation to spread.
        """
        is_suspicion = update.state in (_State.SUSPECT, _State.GONE)
        if not is_suspicion or update.incarnation != self.incarnation:
            return False
        if update.refutation < self.refutation:
            return False
        self.refutation = update.refutation + 1
        return True

    def _reset(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.beat = 0
        self.refutation = 0
        self.leaving_incarnation = None
        self.unanswered_since = None
        self.owes_reply = self.missed_grant = False

    def _apply_refutation(self, update: messages.MembershipUpdate) -> None:
        if update.refutation <= self.refutation:
            return
        self.refutation = update.refutation
        # A node that other nodes reach and this one does not stays suspect: each grant request
        # to it would time out, and the updates of others would make it live again.
        if not self.owes_reply:
            self.unanswered_since = None

    def _apply_suspicion(self, update: messages.MembershipUpdate, now: float) -> None:
        # Prevents flapping of a healthy node: the suspicion is a late copy of one that was
        # refuted, or the node was seen here after the suspecting node sent its request.
        is_recent = self.last_seen_at is not None and now - self.last_seen_at < RECENT_HEARTBEAT_S
        if update.refutation < self.refutation or is_recent:
            return
        self.refutation = update.refutation
        silent_s = SUSPECT_AFTER_S if update.state is _State.SUSPECT else GONE_AFTER_S
        since = now - silent_s
        if self.unanswered_since is None or since < self.unanswered_since:
            self.unanswered_since = since
