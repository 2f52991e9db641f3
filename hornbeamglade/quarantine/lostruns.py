"""Runs whose connection ended before their response did, as immutable values."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LostRun:
    """One lost run.

    :param fingerprint: the fingerprint of its request.
    :param sent_at: monotonic seconds at which it was sent to its replica.
    :param ended_at: monotonic seconds at which it was lost.
    """

    fingerprint: int
    sent_at: float
    ended_at: float
