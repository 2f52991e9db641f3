from hypothesis import given, strategies

from hornbeamglade.store import positions

ERA_AND_VERSION = strategies.tuples(
    strategies.integers(0, positions.MAX_ERA), strategies.integers(0, 2**39)
)


@given(ERA_AND_VERSION, ERA_AND_VERSION)
def test_positions_compare_by_era_and_then_by_version(one, other):
    encoded, other_encoded = positions.position(*one), positions.position(*other)
    assert (encoded < other_encoded) is (one < other)
    assert (positions.era(encoded), positions.version(encoded)) == one
    assert encoded < 2**63
