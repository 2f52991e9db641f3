"""The newest digests that other owners sent of their replicas."""

import dataclasses

from hornbeamglade.core import clocks
from hornbeamglade.exchange import messages

UNKNOWN_AGE_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedDigest:
    """A digest of one replica with the time at which it was received.

    :param digest: the digest sent by the owner.
    :param owner: the owner's name.
    :param received_at: monotonic seconds.
    """

    digest: messages.ReplicaDigest
    owner: str
    received_at: float


class DigestCache:
    """The newest digest of each replica.

    :param clock: monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._digest_by_hash: dict[int, ReceivedDigest] = {}

    def record(self, owner: str, digests: tuple[messages.ReplicaDigest, ...]) -> None:
        """Record the digests of one heartbeat."""
        now = self._clock.now()
        for digest in digests:
            self._digest_by_hash[digest.replica] = ReceivedDigest(digest, owner, now)

    def newest(self, replica: str) -> ReceivedDigest | None:
        """Return the newest digest of a replica, or None."""
        return self._digest_by_hash.get(messages.key_hash(replica))

    def age_s(self, received: ReceivedDigest | None) -> float:
        """Return the age of a digest in seconds; ``UNKNOWN_AGE_S`` if there is none."""
        return UNKNOWN_AGE_S if received is None else self._clock.now() - received.received_at
