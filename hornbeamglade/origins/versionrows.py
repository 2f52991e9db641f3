"""Rows of the listed versions of each service, in the table of the instances in the store."""

import pydantic

from hornbeamglade.exchange import messages
from hornbeamglade.membership import registry
from hornbeamglade.origins import versionhistory
from hornbeamglade.store import contract

_PREFIX = f"{registry.TABLE}/versions:"


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    service: str
    version: str | None
    since: pydantic.FiniteFloat


def put(service: str, stored: versionhistory.StoredHistory) -> contract.Put:
    """Return the write of a service's row.

    Examples
    ========

    >>> put("llm", versionhistory.StoredHistory(None, 0.0)).value
    '{"service":"llm","version":null,"since":0.0}'
    """
    version = None if stored.version is None else f"{stored.version:016x}"
    body = _Body(service=service, version=version, since=stored.since)
    # A service's name may be longer than a key allows.
    return contract.Put(f"{_PREFIX}{messages.key_hash(service):016x}", body.model_dump_json())


def decode(rows: tuple[contract.Row, ...]) -> dict[str, versionhistory.StoredHistory]:
    """Parse the rows of services; other rows and malformed ones are skipped."""
    parsed = (_parse(row) for row in rows if row.key.startswith(_PREFIX))
    return dict(each for each in parsed if each is not None)


def _parse(row: contract.Row) -> tuple[str, versionhistory.StoredHistory] | None:
    try:
        body = _Body.model_validate_json(row.value)
        version = None if body.version is None else int(body.version, 16)
    except ValueError:
        return None
    return body.service, versionhistory.StoredHistory(version, body.since)
