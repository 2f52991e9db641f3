"""Requests in flight at a node, bounded by the node's limit and the teams' limits."""

import threading

from hornbeamglade.core import outcomes
from hornbeamglade.teams import limits, teamlimits

FULL_RETRY_S = 1.0
RESERVED_DIVISOR = 8
DEFAULT_THREADS = 448


class InFlight:
    """Requests in flight at this node, bounded by its own limit and those of the teams.

    :param team_limits: the teams' limits; guarded by this object's lock.
    :param threads: connections that the node serves at once. Some of them are reserved
        for refusals: if every thread carried a stream, the next caller would not
        be refused at once but would wait in an unobserved queue.
    """

    def __init__(self, team_limits: limits.TeamLimits, threads: int = DEFAULT_THREADS) -> None:
        self._limit = threads - max(1, threads // RESERVED_DIVISOR)
        self.lock = threading.Lock()
        self.team_limits = team_limits
        self._count = 0

    @property
    def count(self) -> int:
        """The number of requests in flight."""
        return self._count

    def enter(
        self, team: str, tokens: int, max_streams: int
    ) -> limits.Admission | outcomes.Refusal:
        """Add a request, or refuse it.

        :param team: the team's name.
        :param tokens: its expected tokens.
        :param max_streams: this node's limit.
        """
        with self.lock:
            limit = min(max_streams, self._limit)
            if self._count >= limit:
                detail = f"this node has {limit} requests in flight"
                return outcomes.Refusal("node_full", 503, detail, retry_after_s=FULL_RETRY_S)
            admission = self.team_limits.admit(team, tokens)
            if isinstance(admission, limits.Admission):
                self._count += 1
            return admission

    def leave(self, admission: limits.Admission) -> None:
        """Remove a request."""
        with self.lock:
            self._count -= 1
            self.team_limits.release(admission)

    def announce_shares(self, limit: int) -> tuple[teamlimits.TeamShare, ...]:
        """Adjust the shares of teams by demand and return those to announce to other nodes.

        :param limit: the number of teams that fit a heartbeat; shares of others do not change.
        """
        with self.lock:
            return self.team_limits.heartbeat(limit)

    def share_by_team(self, limit: int) -> dict[str, float]:
        """Return this node's share of the limits of the teams that it announces."""
        with self.lock:
            return self.team_limits.share_by_team(limit)

    def record_peer_share(self, node: str, share: teamlimits.TeamShare) -> None:
        """Record the share of one team that another node announced."""
        with self.lock:
            self.team_limits.record_peer_share(node, share)
