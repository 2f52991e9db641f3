"""The rows of the configuration's head and of its audit trail."""

import dataclasses
import json
import typing

import pydantic

from hornbeamglade.core import codederrors

HEAD_KEY = "config/head"
AUDIT_PREFIX = "config/audit/"
REVISION_DIGITS = 12

_Positive = typing.Annotated[int, pydantic.Field(ge=1)]


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The newest accepted revision.

    :param revision: its number.
    :param digest: the key of its content in the object store.
    :param change_id: of the change that created it.
    """

    revision: _Positive
    digest: str
    change_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AuditRecord:
    """Who created a revision, when and why; written once and never changed.

    :param revision: its number.
    :param digest: the key of its content in the object store.
    :param change_id: unique id of the change.
    :param based_on: the revision that the change was based on; 0 for the first.
    :param who: the operator.
    :param why: the operator's reason.
    :param at_s: wall-clock seconds since the Unix epoch, by the operator's clock.
    :param differed: the first of the differences, as lines.
    :param differed_count: the number of differences.
    """

    revision: _Positive
    digest: str
    change_id: str
    based_on: int
    who: str
    why: str
    at_s: float
    differed: tuple[str, ...]
    differed_count: int


_HEAD_ADAPTER = pydantic.TypeAdapter(Head)
_AUDIT_ADAPTER = pydantic.TypeAdapter(AuditRecord)


def audit_key(revision: int) -> str:
    """Return the key of a revision's audit row; keys sort in the order of revisions.

    Examples
    ========

    >>> audit_key(42)
    'config/audit/000000000042'
    """
    return f"{AUDIT_PREFIX}{revision:0{REVISION_DIGITS}d}"


def content_key(digest: str) -> str:
    """Return the key of a document in the object store."""
    return f"config/{digest}"


def delta_key(digest: str) -> str:
    """Return the key of the delta that results in a document."""
    return f"config/delta/{digest}"


def encode(record: Head | AuditRecord) -> str:
    """Return the value of a record's row."""
    return json.dumps(dataclasses.asdict(record), sort_keys=True)


def read_head(value: str) -> Head:
    """Return the head that a row contains.

    :param value: the row's value.
    :raises CodedError: when the row is malformed.

    Examples
    ========

    >>> read_head(encode(Head(3, "sha256-00", "c1")))
    Head(revision=3, digest='sha256-00', change_id='c1')
    """
    try:
        return _HEAD_ADAPTER.validate_json(value)
    except pydantic.ValidationError:
        raise codederrors.CodedError(
            "config_head_malformed", "the head row is malformed"
        ) from None


def read_audit(value: str) -> AuditRecord:
    """Return the record that an audit row contains.

    :param value: the row's value.
    :raises CodedError: when the row is malformed.
    """
    try:
        return _AUDIT_ADAPTER.validate_json(value)
    except pydantic.ValidationError:
        detail = "an audit row is malformed"
        raise codederrors.CodedError("config_audit_malformed", detail) from None
