"""What is known of one node's life, and the rules by which it changes.

Explanation
===========

The rules are those of :mod:`hornbeamglade.membership.view`, for a single node: a
heartbeat is its own word, silence counts from an unanswered question, a rumour
counts unless something newer is known here, and a mark of leaving lasts for the
incarnation.
"""

import dataclasses
import math

from hornbeamglade.exchange import messages

SUSPECT_AFTER_S = 2.0
# Longer than a suspicion and its refutation take to reach hundreds of nodes.
GONE_AFTER_S = 20.0
RECENT_HEARTBEAT_S = 1.0

_State = messages.NodeState


@dataclasses.dataclass(slots=True)
class Liveness:
    """One node's life as one other node knows it; an entity of the view.

    :param incarnation: the newest known, 0 when it was never heard of.
    :param beat: the newest beat heard of that incarnation.
    :param refutation: the newest refutation known of that incarnation.
    :param left_incarnation: the incarnation that is known to leave, or None.
    :param heard_at: monotonic seconds of the last heartbeat, or None.
    :param unanswered_since: since when it is held for silent, or None.
    :param is_asked: whether a question of this node is unanswered.

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

    def state(self, now: float) -> messages.NodeState:
        """Return what the node is held for."""
        silent_s = 0.0 if self.unanswered_since is None else now - self.unanswered_since
        if silent_s >= GONE_AFTER_S:
            return _State.GONE
        if self.leaving_incarnation == self.incarnation:
            return _State.LEAVING
        if silent_s >= SUSPECT_AFTER_S:
            return _State.SUSPECT
        return _State.LIVE

    def next_change_at(self, now: float) -> float:
        """Return when silence alone may next change the state; infinite without silence."""
        if self.unanswered_since is None:
            return math.inf
        silent_s = now - self.unanswered_since
        bounds = (bound for bound in (SUSPECT_AFTER_S, GONE_AFTER_S) if silent_s < bound)
        return self.unanswered_since + min(bounds, default=math.inf)

    def expect_reply(self, now: float) -> None:
        """Note a question; only the first since the last sign counts."""
        self.owes_reply = True
        if self.unanswered_since is None:
            self.unanswered_since = now

    def mark_leaving(self) -> None:
        """Mark the present incarnation as leaving."""
        self.leaving_incarnation = self.incarnation

    def accepts(self, incarnation: int, now: float) -> bool:
        """Return whether a heartbeat of ``incarnation`` counts.

        Explanation
        ===========

        The codec lets a lower incarnation through only after a long silence; then
        it is a replaced node whose clock is behind, not an old heartbeat.
        """
        return incarnation >= self.incarnation or self.state(now) is _State.GONE

    def record_heartbeat(
        self, incarnation: int, beat: int, refutation: int, leaving: bool, now: float
    ) -> bool:
        """Take a heartbeat that counts.

        :returns: whether it is the newest one, so that its content counts too.
        """
        if incarnation != self.incarnation:
            self._reset(incarnation)
        if leaving:
            self.mark_leaving()
        self.last_seen_at = now
        self.unanswered_since = None
        self.owes_reply = False
        self.refutation = max(self.refutation, refutation)
        if beat < self.beat:
            return False
        self.beat = beat
        return True

    def apply_update(self, update: messages.MembershipUpdate, now: float) -> None:
        """Take what another node says of this one."""
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
        """Raise the refutation number if a rumour holds this node itself for dead.

        :returns: whether there is something new to spread.
        """
        doubted = update.state in (_State.SUSPECT, _State.GONE)
        if not doubted or update.incarnation != self.incarnation:
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
        self.owes_reply = False

    def _apply_refutation(self, update: messages.MembershipUpdate) -> None:
        if update.refutation <= self.refutation:
            return
        self.refutation = update.refutation
        # Guards against a node that others reach and this one does not: asked for a
        # grant it would cost each request a time-out, and be live again by hearsay.
        if not self.owes_reply:
            self.unanswered_since = None

    def _apply_suspicion(self, update: messages.MembershipUpdate, now: float) -> None:
        # Guards against a healthy node that flaps: the suspicion is an echo of one
        # that was refuted, or the node was heard here after its accuser asked it.
        recent = self.last_seen_at is not None and now - self.last_seen_at < RECENT_HEARTBEAT_S
        if update.refutation < self.refutation or recent:
            return
        self.refutation = update.refutation
        silent_s = SUSPECT_AFTER_S if update.state is _State.SUSPECT else GONE_AFTER_S
        since = now - silent_s
        if self.unanswered_since is None or since < self.unanswered_since:
            self.unanswered_since = since
