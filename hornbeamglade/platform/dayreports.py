"""Decodes day reports of the operators' bench program, and builds its command line."""

import collections.abc
import dataclasses

import pydantic

from hornbeamglade.core import codederrors

REPORT_INVALID = "day_report_invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class KindOutcome:
    """What callers got for one kind of request.

    :param owed: requests that were owed an answer.
    :param late: requests answered after their goal.
    :param lost: requests refused for good or failed.
    """

    owed: int
    late: int
    lost: int


@dataclasses.dataclass(frozen=True, slots=True)
class DayOutcome:
    """The outcome of a simulated day.

    :param worth: share of the owed benefit that callers got, less prices.
    :param by_kind: what callers got, by kind of request.
    :param broken: rules that were violated, or the fault that ended the day.
    :param unserved_by_end: requests that were never served, by the end of their last attempt.
    """

    worth: float
    by_kind: dict[str, KindOutcome]
    broken: tuple[str, ...]
    unserved_by_end: dict[str, int]

    @property
    def late(self) -> int:
        """Requests that were answered too late."""
        return sum(each.late for each in self.by_kind.values())

    @property
    def lost(self) -> int:
        """Requests that were never served."""
        return sum(each.lost for each in self.by_kind.values())


class _Kind(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    name: str
    n: int
    not_owed: int
    late: int
    refused: int
    failed: int


class _Report(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    worth: float = pydantic.Field(alias="G")
    classes: tuple[_Kind, ...]
    breaks: dict[str, object] = {}
    fault: object = None
    unserved_by: tuple[tuple[str, int, object], ...] = ()


def decode(document: bytes) -> DayOutcome:
    """Decode a report.

    :raises CodedError: ``day_report_invalid``, naming the first offending field.
    """
    try:
        report = _Report.model_validate_json(document)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        where = ".".join(str(part) for part in first["loc"]) or "document"
        raise codederrors.CodedError(REPORT_INVALID, f"{where}: {first['msg']}") from error
    broken = tuple(sorted(report.breaks))
    if report.fault:
        broken += (f"fault: {report.fault}",)
    kinds = {
        each.name: KindOutcome(each.n - each.not_owed, each.late, each.refused + each.failed)
        for each in report.classes
    }
    ends = {end: count for end, count, _ in report.unserved_by}
    return DayOutcome(report.worth, kinds, broken, ends)


def command(
    program: str,
    site: str,
    day: str,
    seed: int,
    report: str,
    why: str,
    options: collections.abc.Sequence[str] = (),
) -> tuple[str, ...]:
    """Return the command line that makes the bench program simulate one day.

    :param options: further options of the program, such as ``--no-cpu``.
    """
    arguments = ("--seed", str(seed), "--report", report, "--why", why, "--jobs", "1")
    return (program, "run", site, day, *arguments, *options)
