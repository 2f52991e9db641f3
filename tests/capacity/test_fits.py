import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hornbeamglade.capacity import fits

numbers = st.floats(0.01, 1000)


@given(numbers, numbers)
@settings(derandomize=True, database=None, deadline=None, max_examples=50)
def test_a_straight_line_is_found_and_extrapolated(intercept, slope):
    fit = fits.fit([fits.Point(size, intercept + slope * size) for size in (1, 2, 4, 8)])
    assert fit.power == fits.LINEAR
    assert fit.at(80) == pytest.approx(intercept + 80 * slope, rel=1e-6)
    assert fit.r_squared == pytest.approx(1.0)


def test_a_quadratic_cost_is_not_extrapolated_linearly():
    # Guards against a cost that grows quadratically, is measured at small sizes and is
    # extrapolated linearly: the page would claim that a node supports the target number
    # of teams, although it would stall at that size.
    fit = fits.fit([fits.Point(size, 5 + 0.1 * size**2) for size in (10, 20, 40, 80)])
    assert fit.at(800) == pytest.approx(5 + 0.1 * 800**2)


def test_noise_does_not_cause_a_quadratic_fit():
    values = (10.2, 19.8, 41.0, 78.9)
    fit = fits.fit([fits.Point(x, y) for x, y in zip((10, 20, 40, 80), values, strict=True)])
    assert fit.power == fits.LINEAR


def test_fewer_than_four_sizes_are_refused():
    with pytest.raises(ValueError):
        fits.fit([fits.Point(1, 1), fits.Point(2, 2), fits.Point(3, 3), fits.Point(3, 4)])


def test_a_cost_is_never_negative():
    fit = fits.fit([fits.Point(size, 2 * size - 10) for size in (10, 20, 40, 80)])
    assert fit.at(1) == 0.0
