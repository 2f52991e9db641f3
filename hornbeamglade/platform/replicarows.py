"""Decodes entries of the platform's server list into replicas.

Explanation
===========

Other programs may write to the list, so an entry is validated strictly: one that lacks a
field, has a field of another type, or has a state unknown to the platform does not yield a
replica. The same holds for numbers given as strings, and for strings that would break a header
or an address.
"""

import ipaddress
import re
import typing

import pydantic

from hornbeamglade.core import codederrors
from hornbeamglade.replicas import models
from hornbeamglade.store import contract

ENTRY_INVALID = "replica_entry_invalid"

_MS = 1000.0
_ADDRESS = re.compile(r"([0-9.]+):([1-9][0-9]{0,4})", re.ASCII)
_MAX_PORT = 65_535
# As long as the platform allows for a name.
_MAX_TEXT_BYTES = 200
# Leaves room for the models and adapters that an entry names. Instances pass all entries on to
# one another in one document of limited size.
_MAX_ENTRY_BYTES = 16_384
_MAX_SEQUENCE = 2**63 - 1
# A server with more slots would appear idle under any load and get all requests of its service.
_MAX_SLOTS = 100_000
# Later than any start time in milliseconds, and short enough for the id that it is a part of.
_MAX_BORN = 10**15
# A longer time would keep a replica cold for good.
_MAX_COLD_S = 3600.0
# Sent as a header value, which must not contain spaces or line breaks.
_NAME = re.compile(r"[!-.0-~]{1,200}", re.ASCII)
# Such a name may equal the id of an incarnation of another server.
_INCARNATION = re.compile(r".*@[0-9]+", re.ASCII)


def _checked_address(address: str) -> str:
    """Return the address if it has the form ``ip:port``.

    :raises ValueError: for any other string.
    """
    match = _ADDRESS.fullmatch(address)
    if match is None or int(match[2]) > _MAX_PORT:
        raise ValueError("not an address with a valid port")
    ipaddress.IPv4Address(match[1])
    return address


def _checked_length(text: str) -> str:
    """Return the text if it is not too long.

    :raises ValueError: if it is.
    """
    if len(text.encode()) > _MAX_TEXT_BYTES:
        raise ValueError("text too long")
    return text


_Text = typing.Annotated[str, pydantic.AfterValidator(_checked_length)]
_Name = typing.Annotated[_Text, pydantic.Field(min_length=1)]


class _Entry(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True, strict=True)

    service: _Name
    address: typing.Annotated[str, pydantic.AfterValidator(_checked_address)]
    zone: _Name
    version: _Text
    slots: typing.Annotated[int, pydantic.Field(ge=1, le=_MAX_SLOTS)]
    state: typing.Literal["ready", "draining"]
    cold_remaining_ms: typing.Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]
    sequence: typing.Annotated[int, pydantic.Field(ge=0, le=_MAX_SEQUENCE)]
    # Start time of the server that wrote the entry, in Unix milliseconds; not every platform
    # provides it.
    born: typing.Annotated[int, pydantic.Field(gt=0, le=_MAX_BORN)] | None = None

    @pydantic.field_validator("born", mode="before")
    @classmethod
    def _reject_null(cls, born: object) -> object:
        if born is None:
            raise ValueError("null is not a time")
        return born


def server_name(key: str) -> str:
    """Return the name of the server whose entry has this row key."""
    return key.partition("/")[2]


def decode(row: contract.Row) -> models.Replica:
    """Decode one entry; its key contains the server's name.

    :raises CodedError: ``replica_entry_invalid``, naming the entry, field and value.
    """
    name = server_name(row.key)
    if not _NAME.fullmatch(name) or _INCARNATION.fullmatch(name):
        raise codederrors.CodedError(ENTRY_INVALID, f"{row.key!r:.80}: key: not a server name")
    if row.problem is not None:
        raise codederrors.CodedError(ENTRY_INVALID, f"{row.key}: value: {row.problem}")
    if len(row.value.encode()) > _MAX_ENTRY_BYTES:
        raise codederrors.CodedError(ENTRY_INVALID, f"{row.key}: value: too long")
    try:
        entry = _Entry.model_validate_json(row.value)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        where = ".".join(str(part) for part in first["loc"]) or "entry"
        detail = f"{row.key}: {where}: {first['msg']}, not {first['input']!r:.80}"
        raise codederrors.CodedError(ENTRY_INVALID, detail) from error
    started_ms = entry.born or 0
    return models.Replica(
        id=models.replica_id(name, started_ms),
        service=entry.service,
        address=entry.address,
        failure_domain=entry.zone,
        slots=entry.slots,
        is_leaving=entry.state != "ready",
        version=entry.version,
        warm_in_s=min(entry.cold_remaining_ms / _MS, _MAX_COLD_S),
        started_ms=started_ms,
        name=name,
    )
