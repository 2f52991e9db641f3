import hypothesis
from hypothesis import strategies as st

from hornbeamglade.routing import prefixes

STORED = prefixes.CacheEventKind.STORED
EVICTED = prefixes.CacheEventKind.EVICTED


def stored(sequence, block):
    return prefixes.CacheEvent(sequence, STORED, block)


def evicted(sequence, block):
    return prefixes.CacheEvent(sequence, EVICTED, block)


@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=50)
@hypothesis.given(common=st.text(max_size=200), left=st.text(), right=st.text())
def test_equal_hashes_mean_equal_prefixes(common, left, right):
    one, two = common + left, common + right
    for number, (a, b) in enumerate(
        zip(prefixes.prefix_hashes(one, 16), prefixes.prefix_hashes(two, 16), strict=False)
    ):
        end = 16 * (number + 1)
        assert (a == b) == (one[:end] == two[:end])
        assert 0 <= a < 2**53


def test_hash_covers_the_preceding_blocks():
    assert prefixes.prefix_hashes("ab", 1)[1] != prefixes.prefix_hashes("bb", 1)[1]


def test_hashes_are_the_same_in_every_process():
    # The built-in hash is salted per process: after a restart of the entry nodes no prompt
    # would match its cached prefix.
    assert prefixes.prefix_hashes("a" * 64) == (3801713314231446,)


def test_eviction_ends_the_cached_prefix():
    index = prefixes.PrefixIndex()
    index.apply([stored(1, 11), stored(2, 12), stored(3, 13), evicted(4, 12)], now=0.0)
    assert index.cached_blocks((11, 12, 13), now=0.0) == 1


def test_blocks_from_before_a_gap_expire():
    # A replica evicts a team's prefix and the event is lost. Without expiry, the team's
    # requests would still be sent there for their prefix, and each first token is late.
    index = prefixes.PrefixIndex(unconfirmed_ttl_s=5.0)
    index.apply([stored(1, 11), stored(2, 12)], now=0.0)
    index.apply([stored(4, 12)], now=1.0)
    assert index.cached_blocks((11,), now=5.9) == 1
    assert index.cached_blocks((11,), now=6.0) == 0
    assert index.cached_blocks((12,), now=100.0) == 1


def test_each_gap_expires_the_blocks_before_it():
    index = prefixes.PrefixIndex(unconfirmed_ttl_s=5.0)
    index.apply([stored(1, 11), stored(3, 13)], now=0.0)
    index.apply([stored(5, 15)], now=3.0)
    assert [index.cached_blocks((block,), now=6.0) for block in (11, 13, 15)] == [0, 1, 1]
    assert index.cached_blocks((13,), now=8.0) == 0


def test_repeated_events_change_nothing():
    index = prefixes.PrefixIndex()
    index.apply([stored(1, 11), evicted(2, 11), stored(3, 11)], now=0.0)
    index.apply([stored(1, 11), evicted(2, 11)], now=1.0)
    assert (index.cached_blocks((11,), now=100.0), index.sequence) == (1, 3)


def test_restarted_engine_has_an_empty_cache():
    index = prefixes.PrefixIndex()
    index.apply([stored(70, 11)], now=0.0)
    index.reset()
    index.apply([stored(1, 12)], now=1.0)
    assert (index.cached_blocks((11,), now=1.0), index.cached_blocks((12,), now=1.0)) == (0, 1)


def test_sent_prompt_counts_as_cached_until_events_are_due():
    index = prefixes.PrefixIndex(unconfirmed_ttl_s=5.0)
    index.expect((11, 12), now=0.0)
    assert (index.cached_blocks((11, 12), now=4.0), index.cached_blocks((11, 12), now=5.0)) == (
        2,
        0,
    )


def test_number_of_blocks_is_bounded():
    index = prefixes.PrefixIndex(max_blocks=3)
    index.apply([stored(number, number) for number in range(1, 100)], now=0.0)
    assert (
        len(index),
        index.cached_blocks((99,), now=0.0),
        index.cached_blocks((1,), now=0.0),
    ) == (3, 1, 0)
