"""Decodes the table that the operators' bench prints for one day at several site sizes."""

import dataclasses
import re

from hornbeamglade.core import codederrors

SWEEP_INVALID = "sweep_invalid"

_HEAD = "middle / busiest or longest, by own machines"
_COLUMNS = re.compile(r"\s{2,}")
_PAIR = re.compile(r"([\d.]+) / ([\d.]+)")
_LAST = re.compile(r"power\s+at (\d+)")


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """The values of a quantity at one size.

    :param median: the value of the median machine, or the median of the times.
    :param maximum: the value of the busiest machine, or the longest of the times.
    """

    median: float
    maximum: float


@dataclasses.dataclass(frozen=True, slots=True)
class Quantity:
    """How one quantity grows with the number of machines.

    :param name: the quantity's name, with its unit.
    :param by_size: its values, by the number of machines.
    :param power: exponent of the number of machines with which its maximum grows.
    :param extrapolated: its maximum extrapolated to the target size with that exponent.
    """

    name: str
    by_size: dict[int, Figures]
    power: float
    extrapolated: float


@dataclasses.dataclass(frozen=True, slots=True)
class Sweep:
    """One day at several sizes.

    :param target: number of machines to which the quantities are extrapolated.
    :param quantities: in the order of the table.
    """

    target: int
    quantities: tuple[Quantity, ...]


def decode(text: str) -> Sweep:
    """Decode the output of a sweep.

    :raises CodedError: ``sweep_invalid`` if there is no such table, or a row of it cannot
        be parsed.
    """
    lines = iter(text.splitlines())
    if not any(line.strip() == _HEAD for line in lines):
        raise codederrors.CodedError(SWEEP_INVALID, f"no table under {_HEAD!r}")
    head = next(lines, "")
    last = _LAST.search(head)
    sizes = [int(word) for word in head[: last.start()].split()] if last else []
    if not sizes:
        raise codederrors.CodedError(SWEEP_INVALID, f"no sizes in {head!r:.80}")
    quantities = []
    for line in lines:
        if line.startswith("power:") or not line.strip():
            break
        quantities.append(_quantity(line, sizes))
    return Sweep(int(last[1]), tuple(quantities))


def _quantity(line: str, sizes: list[int]) -> Quantity:
    name, *columns = _COLUMNS.split(line.strip())
    pairs = [_PAIR.fullmatch(column) for column in columns[:-2]]
    if len(pairs) != len(sizes) or None in pairs:
        raise codederrors.CodedError(SWEEP_INVALID, f"row {line.strip()!r:.80}")
    try:
        power, extrapolated = float(columns[-2]), float(columns[-1])
    except ValueError as error:
        raise codederrors.CodedError(SWEEP_INVALID, f"row {line.strip()!r:.80}") from error
    figures = (Figures(float(pair[1]), float(pair[2])) for pair in pairs)
    return Quantity(name, dict(zip(sizes, figures, strict=True)), power, extrapolated)
