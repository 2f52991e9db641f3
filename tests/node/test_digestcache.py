"""Which of several digests of a replica is used."""

from hornbeamglade.core import clocks
from hornbeamglade.exchange import messages
from hornbeamglade.node import digestcache


def digest(room, replica="e0"):
    return messages.ReplicaDigest(messages.key_hash(replica), room, 0, 0)


def test_a_digest_that_was_passed_on_replaces_only_older_ones():
    # An owner passes on a digest of another owner that this node has heard of since.
    clock = clocks.ManualClock(100.0)
    cache = digestcache.DigestCache(clock)
    cache.record("n1", (digest(1),))
    clock.advance(0.5)
    cache.record_response("n2", [messages.AgedDigest(digest(2), 600)])
    assert cache.newest("e0").digest.room_tokens == 1
    cache.record_response("n2", [messages.AgedDigest(digest(3), 400)])
    assert cache.newest("e0").digest.room_tokens == 3
    assert round(cache.age_s(cache.newest("e0")), 3) == 0.4


def test_digests_of_replicas_that_restart_under_new_names_are_bounded():
    cache = digestcache.DigestCache(clocks.ManualClock(100.0))
    for number in range(2 * digestcache.MAX_DIGESTS):
        cache.record("n1", (digest(1, f"e{number}"),))
    known = sum(
        cache.newest(f"e{number}") is not None for number in range(2 * digestcache.MAX_DIGESTS)
    )
    assert known <= digestcache.MAX_DIGESTS
