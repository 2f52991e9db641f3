"""Rows of requests in quarantine, in the table of the instances in the store."""

import dataclasses
import re

import pydantic

from hornbeamglade.membership import registry
from hornbeamglade.quarantine import fingerprints
from hornbeamglade.store import contract

_PREFIX = f"{registry.TABLE}/quarantine:"
# Messages carry fingerprints of 64 bits.
_KEY = re.compile(re.escape(_PREFIX) + "([0-9a-f]{16})", re.ASCII)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRequest:
    """A request in quarantine, as stored in a row.

    :param fingerprint: the fingerprint of the request.
    :param until: Unix seconds until which it is refused.
    :param is_part: whether it is a part of prompts.
    """

    fingerprint: int
    until: float
    is_part: bool = False


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    until: pydantic.FiniteFloat
    part: bool = False


def key(fingerprint: int) -> str:
    """Return the key of a request's row.

    Examples
    ========

    >>> key(255)
    'instances/quarantine:00000000000000ff'
    """
    return _PREFIX + fingerprints.to_hex(fingerprint)


def put(stored: StoredRequest) -> contract.Put:
    """Return the write of a request's row."""
    return contract.Put(key(stored.fingerprint), _body(stored))


def _body(stored: StoredRequest) -> str:
    body = _Body(until=stored.until, part=stored.is_part)
    return body.model_dump_json(exclude_defaults=True)


def decode(rows: tuple[contract.Row, ...]) -> tuple[StoredRequest, ...]:
    """Parse the rows of requests; other rows and malformed ones are skipped."""
    parsed = (_parse(row) for row in rows if row.key.startswith(_PREFIX))
    return tuple(stored for stored in parsed if stored is not None)


def _parse(row: contract.Row) -> StoredRequest | None:
    match = _KEY.fullmatch(row.key)
    if match is None:
        return None
    try:
        body = _Body.model_validate_json(row.value)
    except pydantic.ValidationError:
        return None
    return StoredRequest(int(match[1], 16), body.until, body.part)
