"""Runs whose connection ended before their answer did, as immutable values."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LostRun:
    """One lost run.

    :param fingerprint: of its request.
    :param began_at: monotonic seconds at which it was sent to its replica.
    :param ended_at: monotonic seconds at which it was lost.
    """

    fingerprint: int
    began_at: float
    ended_at: float
