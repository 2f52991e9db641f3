"""The records of the fault model, validated where they are read.

Explanation
===========

A *freedom* is something that a party may do by the operators' pages. Each names what plays it, the
modules that hold against it, and the promise to callers that is at stake. A *crossing* says what
plays a freedom of a replica at one of the moments at which most faults were found.
"""

import enum
import importlib.resources
import typing

import pydantic
import yaml

from hornbeamglade.core import codederrors

FREEDOMS = "freedoms.yaml"
CROSSINGS = "crossings.yaml"

_Text = typing.Annotated[str, pydantic.Field(min_length=1, max_length=200)]
_References = tuple[_Text, ...]


class Party(enum.StrEnum):
    """Who may do something."""

    REPLICA = "replica"
    CALLER = "caller"
    STORE = "store"
    NETWORK = "network"
    MACHINE = "machine"
    OPERATOR = "operator"


class Promise(enum.StrEnum):
    """What callers or operators are promised; the gravest first."""

    ANSWERED = "answered"
    ONCE = "once"
    OWN_ANSWER = "own_answer"
    LEAVING = "leaving"
    ORDER = "order"
    NOT_RUN = "not_run"
    ASKED_ONLY = "asked_only"
    ROUTE = "route"
    IN_FORCE = "in_force"
    EVACUATED = "evacuated"
    STAYS_UP = "stays_up"
    READY = "ready"
    GONE = "gone"
    TIME = "time"
    CAPACITY = "capacity"


class Moment(enum.StrEnum):
    """A moment at which what a replica does has cost most."""

    STOP = "stop"
    MOVE = "move"
    OUT_OF_STEP = "out_of_step"
    STORE_AWAY = "store_away"


class Freedom(pydantic.BaseModel):
    """Something that a party may do.

    :param id: its identifier.
    :param may: what it may do, after "it may".
    :param bound: the bound that the pages state.
    :param played_by: references to what plays it, see
        :mod:`hornbeamglade.faultmodel.references`; none if nothing does.
    :param held_by: the modules that hold against it, below ``hornbeamglade``.
    :param promise: the promise that is at stake.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    id: typing.Annotated[str, pydantic.Field(pattern="[a-z]+(-[a-z]+)+")]
    may: _Text
    bound: _Text
    played_by: _References
    held_by: typing.Annotated[_References, pydantic.Field(min_length=1)]
    promise: Promise


_Freedoms = pydantic.TypeAdapter(dict[Party, tuple[Freedom, ...]])
_Crossings = pydantic.TypeAdapter(dict[str, dict[Moment, _References]])


class FaultModel(typing.NamedTuple):
    """The whole model.

    :param freedoms_by_party: what each party may do.
    :param played_by_crossing: what plays a freedom of a replica at a moment, by both.
    """

    freedoms_by_party: dict[Party, tuple[Freedom, ...]]
    played_by_crossing: dict[tuple[str, Moment], tuple[str, ...]]

    def gaps(self) -> list[tuple[Freedom, Moment]]:
        """Return the crossings that nothing plays, those of the gravest promises first."""
        gravity = list(Promise)
        unplayed = [
            (freedom, moment)
            for freedom in self.freedoms_by_party[Party.REPLICA]
            for moment in Moment
            if not self.played_by_crossing.get((freedom.id, moment))
        ]
        return sorted(unplayed, key=lambda each: gravity.index(each[0].promise))


def load() -> FaultModel:
    """Read and check the records.

    :raises CodedError: ``fault_model_invalid``, if a record is malformed or named twice, or a
        crossing names no freedom of a replica.
    """
    try:
        freedoms = _Freedoms.validate_python(_read(FREEDOMS))
        crossings = _Crossings.validate_python(_read(CROSSINGS))
    except pydantic.ValidationError as error:
        raise codederrors.CodedError("fault_model_invalid", str(error)) from error
    ids = [each.id for listed in freedoms.values() for each in listed]
    doubled = sorted({each for each in ids if ids.count(each) > 1})
    of_replicas = {each.id for each in freedoms.get(Party.REPLICA, ())}
    unknown = sorted(crossings.keys() - of_replicas)
    missing = sorted(set(Party) - freedoms.keys())
    if doubled or unknown or missing:
        detail = f"named twice: {doubled}; of no replica: {unknown}; without rows: {missing}"
        raise codederrors.CodedError("fault_model_invalid", detail)
    played = {
        (freedom, moment): references
        for freedom, by_moment in crossings.items()
        for moment, references in by_moment.items()
    }
    return FaultModel(freedoms, played)


def _read(name: str) -> typing.Any:
    source = importlib.resources.files("hornbeamglade.faultmodel") / name
    return yaml.safe_load(source.read_text(encoding="utf-8"))
