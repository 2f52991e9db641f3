"""Requests that a node is answering, against its own bound and the teams' limits."""

import threading

from hornbeamglade.core import outcomes
from hornbeamglade.teams import limits, teamlimits

FULL_RETRY_S = 1.0
RESERVED_PART = 8
DEFAULT_THREADS = 448


class InFlight:
    """Requests that this node is answering, against its own bound and the teams'.

    :param team_limits: the teams' limits; guarded by this object's lock.
    :param threads: connections that the node serves at once. Some of them are kept free
        for refusals: with every thread carrying a stream, the next caller would not
        be refused at once but stand in a queue that nobody sees.
    """

    def __init__(self, team_limits: limits.TeamLimits, threads: int = DEFAULT_THREADS) -> None:
        self._most = threads - max(1, threads // RESERVED_PART)
        self.lock = threading.Lock()
        self.team_limits = team_limits
        self._count = 0

    @property
    def count(self) -> int:
        """How many requests are in flight."""
        return self._count

    def enter(
        self, team: str, tokens: int, max_streams: int
    ) -> limits.Admission | outcomes.Refusal:
        """Count a request in, or refuse it.

        :param team: the team's name.
        :param tokens: its expected tokens.
        :param max_streams: this node's bound.
        """
        with self.lock:
            most = min(max_streams, self._most)
            if self._count >= most:
                detail = f"this node has {most} requests in flight"
                return outcomes.Refusal("node_full", 503, detail, retry_after_s=FULL_RETRY_S)
            entered = self.team_limits.admit(team, tokens)
            if isinstance(entered, limits.Admission):
                self._count += 1
            return entered

    def leave(self, entered: limits.Admission) -> None:
        """Count a request off."""
        with self.lock:
            self._count -= 1
            self.team_limits.release(entered)

    def tell_shares(self, most: int) -> tuple[teamlimits.TeamShare, ...]:
        """Move the shares of teams by demand and return what to tell the other nodes.

        :param most: teams that a heartbeat can tell; the shares of others stay.
        """
        with self.lock:
            return self.team_limits.heartbeat(most)

    def share_by_team(self, most: int) -> dict[str, float]:
        """Return this node's part of the limits of the teams that it announces."""
        with self.lock:
            return self.team_limits.share_by_team(most)

    def hear_share(self, node: str, said: teamlimits.TeamShare) -> None:
        """Take what another node told of one team."""
        with self.lock:
            self.team_limits.record_peer_share(node, said)
