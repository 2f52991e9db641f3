"""Requests in quarantine as rows of the instances' own table in the store."""

import dataclasses

import pydantic

from hornbeamglade.membership import registry
from hornbeamglade.quarantine import fingerprints
from hornbeamglade.store import contract

_PREFIX = f"{registry.TABLE}/quarantine:"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRequest:
    """A request that is not run any more, as the store keeps it.

    :param fingerprint: of the request.
    :param until: Unix seconds up to which it is refused.
    """

    fingerprint: int
    until: float


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    until: pydantic.FiniteFloat


def key(fingerprint: int) -> str:
    """Return the key of a request's row.

    Examples
    ========

    >>> key(255)
    'instances/quarantine:00000000000000ff'
    """
    return _PREFIX + fingerprints.to_hex(fingerprint)


def put(stored: StoredRequest) -> contract.Put:
    """Return what writes a request's row."""
    return contract.Put(key(stored.fingerprint), _Body(until=stored.until).model_dump_json())


def decode(rows: tuple[contract.Row, ...]) -> tuple[StoredRequest, ...]:
    """Read the rows of requests; others, and those that cannot be read, are left out."""
    found = (_stored(row) for row in rows if row.key.startswith(_PREFIX))
    return tuple(stored for stored in found if stored is not None)


def _stored(row: contract.Row) -> StoredRequest | None:
    try:
        fingerprint = int(row.key.removeprefix(_PREFIX), 16)
        return StoredRequest(fingerprint, _Body.model_validate_json(row.value).until)
    except ValueError:
        return None
