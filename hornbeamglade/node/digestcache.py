"""What other owners said of their replicas, newest first."""

import dataclasses

from hornbeamglade.core import clocks
from hornbeamglade.exchange import messages

UNKNOWN_AGE_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class HeardDigest:
    """A digest of one replica with the time it was heard.

    :param digest: what the owner said.
    :param owner: the owner's name.
    :param heard_at: monotonic seconds.
    """

    digest: messages.ReplicaDigest
    owner: str
    heard_at: float


class DigestCache:
    """The newest digest of each replica.

    :param clock: monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._heard_by_hash: dict[int, HeardDigest] = {}

    def hear(self, owner: str, digests: tuple[messages.ReplicaDigest, ...]) -> None:
        """Take the digests of one heartbeat."""
        now = self._clock.now()
        for digest in digests:
            self._heard_by_hash[digest.replica] = HeardDigest(digest, owner, now)

    def newest(self, replica: str) -> HeardDigest | None:
        """Return the newest digest of a replica, or None."""
        return self._heard_by_hash.get(messages.key_hash(replica))

    def age_s(self, heard: HeardDigest | None) -> float:
        """Return seconds since a digest was heard; long for none."""
        return UNKNOWN_AGE_S if heard is None else self._clock.now() - heard.heard_at
