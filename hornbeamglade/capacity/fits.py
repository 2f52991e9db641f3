"""Least-squares fits of a cost as a function of a size, with their quality."""

import collections.abc
import dataclasses

LINEAR = 1
QUADRATIC = 2
MIN_SIZES = 4
_IMPROVEMENT_FACTOR = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """One measurement.

    :param size: size at which the cost was measured.
    :param value: the cost.
    """

    size: float
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """The function ``intercept + slope * size**power``.

    :param power: 1 for a linear cost, 2 for a quadratic one.
    :param r_squared: share of the variance that the fit explains; 1 for a constant cost.
    """

    intercept: float
    slope: float
    power: int
    r_squared: float

    def at(self, size: float) -> float:
        """Return the cost at a size; never negative."""
        return max(0.0, self.intercept + self.slope * size**self.power)


def fit(points: collections.abc.Sequence[Point]) -> Fit:
    """Return the better of a linear and a quadratic fit.

    Explanation
    ===========

    The quadratic fit is chosen only if it leaves less than a quarter of the variance that
    the linear fit leaves unexplained. Noise must not cause a quadratic fit, since the result
    is extrapolated to ten times the measured sizes.

    :param points: measurements at four or more sizes.
    :raises ValueError: for fewer sizes.

    Examples
    ========

    >>> fit([Point(x, 3 + 2 * x) for x in (1, 2, 4, 8)])
    Fit(intercept=3.0, slope=2.0, power=1, r_squared=1.0)
    >>> fit([Point(x, 5 * x * x) for x in (1, 2, 4, 8)]).power
    2
    """
    if len({point.size for point in points}) < MIN_SIZES:
        raise ValueError(f"a fit needs at least {MIN_SIZES} different sizes")
    linear = _fit_power(points, LINEAR)
    square = _fit_power(points, QUADRATIC)
    is_quadratic = (
        1 - square.r_squared < (1 - linear.r_squared) / _IMPROVEMENT_FACTOR and square.slope > 0
    )
    return square if is_quadratic else linear


def _fit_power(points: collections.abc.Sequence[Point], power: int) -> Fit:
    sizes = [point.size**power for point in points]
    values = [point.value for point in points]
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    size_variation = sum((size - mean_size) ** 2 for size in sizes)
    pairs = zip(sizes, values, strict=True)
    slope = (
        sum((size - mean_size) * (value - mean_value) for size, value in pairs) / size_variation
    )
    intercept = mean_value - slope * mean_size
    total_variation = sum((value - mean_value) ** 2 for value in values)
    residual = sum(
        (value - intercept - slope * size) ** 2 for size, value in zip(sizes, values, strict=True)
    )
    return Fit(intercept, slope, power, 1 - residual / total_variation if total_variation else 1.0)
