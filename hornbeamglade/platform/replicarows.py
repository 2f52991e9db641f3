"""Entries of the platform's list of servers, decoded into replicas."""

import typing

import pydantic

from hornbeamglade.core import codederrors
from hornbeamglade.replicas import models
from hornbeamglade.store import contract

ENTRY_INVALID = "replica_entry_invalid"

_MS = 1000.0


class _Entry(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    service: str
    address: str
    zone: str
    slots: typing.Annotated[int, pydantic.Field(ge=0)]
    state: str
    version: str = ""
    cold_remaining_ms: float = 0.0


def replica_id(key: str) -> str:
    """Return the id of the replica whose entry a row's key names."""
    return key.rsplit("/", 1)[-1]


def decode(row: contract.Row) -> models.Replica:
    """Read one entry; its key is the replica's id.

    :raises CodedError: ``replica_entry_invalid``, naming the entry, field and value.
    """
    try:
        entry = _Entry.model_validate_json(row.value)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        where = ".".join(str(part) for part in first["loc"]) or "entry"
        detail = f"{row.key}: {where}: {first['msg']}, not {first['input']!r:.80}"
        raise codederrors.CodedError(ENTRY_INVALID, detail) from error
    return models.Replica(
        id=replica_id(row.key),
        service=entry.service,
        address=entry.address,
        failure_domain=entry.zone,
        slots=entry.slots,
        # Only "ready" takes new work; a state that is not known here does not.
        is_leaving=entry.state != "ready",
        version=entry.version,
        warm_in_s=entry.cold_remaining_ms / _MS,
    )
