"""The newest digests that other owners sent of their replicas."""

import collections.abc
import dataclasses

from hornbeamglade.core import clocks
from hornbeamglade.exchange import messages

UNKNOWN_AGE_S = 60.0
MAX_DIGESTS = 4096
"""More than twice the replicas of the target size. Replicas that restart have new names, so the
digests of former ones would accumulate."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedDigest:
    """A digest of one replica with the time at which its owner made it.

    :param digest: the digest sent by the owner.
    :param owner: the owner's name; empty if another node passed the digest on.
    :param received_at: monotonic seconds; the age stated by the sender is subtracted.
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
        self._remove_oldest()

    def record_response(
        self, owner: str, digests: collections.abc.Iterable[messages.AgedDigest]
    ) -> None:
        """Record the digests of a grant response, except those older than the known ones.

        :param owner: the node that responded; it made the digests that have no age.
        """
        now = self._clock.now()
        for each in digests:
            made_at = now - each.age_ms / 1000
            known = self._digest_by_hash.get(each.digest.replica)
            if known is None or known.received_at <= made_at:
                self._digest_by_hash[each.digest.replica] = ReceivedDigest(
                    each.digest, "" if each.age_ms else owner, made_at
                )
        self._remove_oldest()

    def newest(self, replica: str) -> ReceivedDigest | None:
        """Return the newest digest of a replica, or None."""
        return self._digest_by_hash.get(messages.key_hash(replica))

    def age_s(self, received: ReceivedDigest | None) -> float:
        """Return the age of a digest in seconds; ``UNKNOWN_AGE_S`` if there is none."""
        return UNKNOWN_AGE_S if received is None else self._clock.now() - received.received_at

    def _remove_oldest(self) -> None:
        excess = len(self._digest_by_hash) - MAX_DIGESTS
        if excess > 0:
            by_age = sorted(self._digest_by_hash.items(), key=lambda item: item[1].received_at)
            for replica, _ in by_age[: excess + MAX_DIGESTS // 4]:
                del self._digest_by_hash[replica]
