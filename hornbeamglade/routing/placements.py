"""A node's own placements that are not yet included in load reports."""

import collections
import collections.abc
import dataclasses

from hornbeamglade.routing import candidates as candidatelib


@dataclasses.dataclass(frozen=True, slots=True)
class _Placement:
    at: float
    tokens: int


class Placements:
    """Placements since the last report of each replica.

    Explanation
    ===========

    Load reports lag by seconds. Based on them alone, a node would send all requests
    between two reports to the replica that the report shows as emptiest: users see a
    burst of stalls there while other replicas idle, then the burst moves to the next
    replica. Adding the node's own placements made since the report takes each of them
    into account at once.

    :param settings: rates and costs of the routing choice.
    :param retention_s: placements older than this are assumed to be in the reports.

    Examples
    ========

    >>> placements = Placements(candidatelib.RoutingSettings())
    >>> placements.placed("a", tokens=400, now=10.0)
    >>> known = candidatelib.Candidate("a", "n1", False, 1000, 0, 0.0, 2.0, "z1")
    >>> placements.applied([known], now=10.5)[0].room_tokens
    600
    """

    def __init__(
        self, settings: candidatelib.RoutingSettings, *, retention_s: float = 10.0
    ) -> None:
        self._settings = settings
        self._retention_s = retention_s
        self._recent_by_replica: dict[str, collections.deque[_Placement]] = {}

    def placed(self, replica: str, tokens: int, now: float) -> None:
        """Record that a request of ``tokens`` expected tokens was sent to ``replica``."""
        recent = self._recent_by_replica.setdefault(replica, collections.deque())
        recent.append(_Placement(now, tokens))

    def applied(
        self, candidates: collections.abc.Iterable[candidatelib.Candidate], now: float
    ) -> list[candidatelib.Candidate]:
        """Return the candidates, adjusted for placements that their reports do not include."""
        self._drop_before(now - self._retention_s)
        return [self._with_unreported(candidate, now) for candidate in candidates]

    def _with_unreported(
        self, candidate: candidatelib.Candidate, now: float
    ) -> candidatelib.Candidate:
        reported_at = now - candidate.report_age_s
        recent = self._recent_by_replica.get(candidate.replica, ())
        unreported = [each for each in recent if each.at > reported_at]
        if not unreported:
            return candidate
        wait_s = len(unreported) * self._settings.placement_s
        return dataclasses.replace(
            candidate,
            room_tokens=candidate.room_tokens - sum(each.tokens for each in unreported),
            queued=candidate.queued + len(unreported),
            expected_wait_s=candidate.expected_wait_s + wait_s,
        )

    def _drop_before(self, oldest: float) -> None:
        for replica, recent in list(self._recent_by_replica.items()):
            while recent and recent[0].at < oldest:
                recent.popleft()
            if not recent:
                del self._recent_by_replica[replica]
