"""Requests a second that replicas in need take from all instances together."""

import collections.abc
import dataclasses

from hornbeamglade.observability import logs

TOLD_AGAIN_S = 1.0
"""A replica may name another limit in each answer; a line is written this often."""


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """What a replica's answer names.

    :param requests_per_s: from all instances together.
    :param problem: code of what could not be read, or None; the limit is 0 then.
    """

    requests_per_s: float
    problem: str | None = None


@dataclasses.dataclass(slots=True)
class _Named:
    limit: RateLimit
    since: float
    told_at: float


class RateLimits:
    """The limits that replicas have named in answers to this instance."""

    def __init__(self) -> None:
        self._named_by_replica: dict[str, _Named] = {}

    def named(self, replica_id: str, limit: RateLimit | None, now: float) -> None:
        """Take what a replica's answer names; None lifts its limit."""
        known = self._named_by_replica.get(replica_id)
        if limit is None:
            if known is not None:
                del self._named_by_replica[replica_id]
                _tell(replica_id, known.limit, None, now - known.since)
            return
        if known is None:
            self._named_by_replica[replica_id] = _Named(limit, now, now)
            _tell(replica_id, None, limit, 0.0)
            return
        before, known.limit = known.limit, limit
        if before != limit and now - known.told_at >= TOLD_AGAIN_S:
            known.told_at = now
            _tell(replica_id, before, limit, now - known.since)

    def limit(self, replica_id: str) -> RateLimit | None:
        """Return the limit that a replica named last, or None."""
        known = self._named_by_replica.get(replica_id)
        return None if known is None else known.limit

    def forget(self, present: collections.abc.Container[str]) -> None:
        """Forget replicas that are gone."""
        for replica_id in tuple(self._named_by_replica):
            if replica_id not in present:
                del self._named_by_replica[replica_id]

    @property
    def count(self) -> int:
        """How many replicas have a limit."""
        return len(self._named_by_replica)


def _tell(
    replica_id: str, before: RateLimit | None, after: RateLimit | None, since_s: float
) -> None:
    """Write the line on a limit that was named, changed or lifted."""
    logs.state_changed(
        "replica_limit",
        _text(before),
        _text(after),
        replica=replica_id,
        code="-" if after is None or after.problem is None else after.problem,
        age_s=round(since_s, 3),
    )


def _text(limit: RateLimit | None) -> str:
    return "none" if limit is None else f"{limit.requests_per_s:g}"
