"""Measured slopes and the file that stores them."""

import collections.abc
import dataclasses
import json
import os
import pathlib
import platform

import pydantic

from hornbeamglade.capacity import fits
from hornbeamglade.core import codederrors


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """One cost, measured at several sizes.

    :param key: name of the slope in computations.
    :param group: measurement group of the slope.
    :param cost: what was measured, with its unit.
    :param over: what the size counts.
    :param mechanism: module that causes the cost.
    :param points: measurements at four or more sizes.
    """

    key: str
    group: str
    cost: str
    over: str
    mechanism: str
    points: tuple[fits.Point, ...]

    @property
    def fit(self) -> fits.Fit:
        """The fit of the points."""
        return fits.fit(self.points)


@dataclasses.dataclass(frozen=True, slots=True)
class SlopeSet:
    """All slopes of a page and the machine on which they were measured.

    :param machine: processor and interpreter.
    :param slope_by_key: slopes in the order of measurement.
    """

    machine: str
    slope_by_key: dict[str, Slope]

    def at(self, key: str, size: float) -> float:
        """Return a cost at a size.

        :raises CodedError: ``capacity_slope_missing`` when the cost was not measured.
        """
        return self._slope(key).fit.at(size)

    def per(self, key: str) -> float:
        """Return the cost per unit of size, without the constant part."""
        return max(0.0, self._slope(key).fit.slope)

    def base(self, key: str) -> float:
        """Return the constant part of a cost."""
        return max(0.0, self._slope(key).fit.intercept)

    def merged(self, others: collections.abc.Iterable[Slope]) -> "SlopeSet":
        """Return the set with some slopes added or replaced."""
        newer = {slope.key: slope for slope in others}
        return SlopeSet(machine(), self.slope_by_key | newer)

    def _slope(self, key: str) -> Slope:
        slope = self.slope_by_key.get(key)
        if slope is None:
            raise codederrors.CodedError("capacity_slope_missing", key)
        return slope


_ADAPTER = pydantic.TypeAdapter(SlopeSet)


def machine() -> str:
    """Describe the processor and the interpreter in use."""
    model = platform.machine()
    try:
        lines = pathlib.Path("/proc/cpuinfo").read_text(encoding="utf-8").splitlines()
    except OSError:
        lines = []
    for line in lines:
        name, _, value = line.partition(":")
        if name.strip() == "model name":
            model = value.strip()
            break
    return f"{model}, {os.cpu_count()} cores, Python {platform.python_version()}"


def read(path: pathlib.Path) -> SlopeSet:
    """Read a file of slopes.

    :raises CodedError: ``capacity_slopes_unreadable`` when it cannot be read or is invalid.
    """
    try:
        return _ADAPTER.validate_json(path.read_bytes())
    except (OSError, pydantic.ValidationError) as error:
        raise codederrors.CodedError("capacity_slopes_unreadable", str(error)) from error


def write(path: pathlib.Path, measured: SlopeSet) -> None:
    """Write a file of slopes."""
    document = dataclasses.asdict(measured)
    path.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")
