"""Names of the platform's tables and rows."""

import collections.abc

from hornbeamglade.store import contract

CONFIGURATION = "op"
CONFIGURATION_KEY = "op/config"
REPLICAS = "servers"
_EVACUATION_PREFIX = "op/evacuate/"
_MAX_NAME_BYTES = 64


def configuration_row(rows: tuple[contract.Row, ...]) -> contract.Row | None:
    """Return the newest row with the configuration, or None."""
    found = [row for row in rows if row.key == CONFIGURATION_KEY]
    return found[-1] if found else None


def evacuation_key(domain: str) -> str:
    """Return the key of the row by which the operator evacuates a failure domain."""
    return _EVACUATION_PREFIX + domain


def evacuated_domain(key: str) -> str | None:
    """Return the failure domain that a row's key marks as evacuated, or None for other rows.

    A name that is empty or too long does not denote a failure domain.

    Examples
    ========

    >>> evacuated_domain("op/evacuate/d1"), evacuated_domain("op/config")
    ('d1', None)
    """
    if not key.startswith(_EVACUATION_PREFIX):
        return None
    name = key.removeprefix(_EVACUATION_PREFIX)
    return name if 0 < len(name.encode()) <= _MAX_NAME_BYTES else None


def evacuated_domains(keys: collections.abc.Iterable[str]) -> frozenset[str]:
    """Return the failure domains that the keys mark as evacuated."""
    return frozenset(filter(None, map(evacuated_domain, keys)))
