from hypothesis import given, strategies

from hornbeamglade.store import positions

PARTS = strategies.tuples(strategies.integers(0, positions.MAX_ERA), strategies.integers(0, 2**39))


@given(PARTS, PARTS)
def test_positions_compare_as_eras_and_then_versions_do(one, other):
    at, other_at = positions.position(*one), positions.position(*other)
    assert (at < other_at) is (one < other)
    assert (positions.era(at), positions.version(at)) == one
    assert at < 2**63
