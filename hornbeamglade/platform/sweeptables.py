"""The table that the operators' bench prints of one day at several sizes, decoded."""

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
    """A quantity at one size.

    :param median: of the middle machine, or the middle one of its times.
    :param maximum: of the busiest machine, or the longest of its times.
    """

    median: float
    maximum: float


@dataclasses.dataclass(frozen=True, slots=True)
class Quantity:
    """How one quantity grows with the number of machines.

    :param name: what it is, with its unit.
    :param by_size: its figures, by the number of machines.
    :param power: the power of the number of machines to which its most grows.
    :param extrapolated: its most at the size of the target, by that power.
    """

    name: str
    by_size: dict[int, Figures]
    power: float
    extrapolated: float


@dataclasses.dataclass(frozen=True, slots=True)
class Sweep:
    """One day at several sizes.

    :param target: the number of machines that the quantities are carried to.
    :param quantities: in the order of the table.
    """

    target: int
    quantities: tuple[Quantity, ...]


def decode(text: str) -> Sweep:
    """Read what the bench printed of a sweep.

    :raises CodedError: ``sweep_invalid`` when there is no such table, or a row of it cannot
        be read.
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
