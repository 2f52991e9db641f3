"""Removes claims that are older than their retention period.

Explanation
===========

A sweep covers the rows whose digests begin with one prefix, so that each scan is bounded
however many keys are kept. Every node may sweep, each with prefixes of its own choice: a row
is deleted only if it still has the version that was read. Answers in the object store are not
deleted here; that is left to the store's lifecycle rules.
"""

import random

from hornbeamglade.claims import claimrecords, claimsettings, claimvalues, groupcommit
from hornbeamglade.store import contract

PART_DIGITS = 3
SCAN_LIMIT = 1000
HEX_DIGITS = "0123456789abcdef"


def random_digest_prefix(rng: random.Random) -> str:
    """Return a random prefix of digests.

    Examples
    ========

    >>> len(random_digest_prefix(random.Random(1)))
    3
    """
    return "".join(rng.choices(HEX_DIGITS, k=PART_DIGITS))


def sweep(
    table: contract.Table,
    wall_s: float,
    settings: claimsettings.ClaimSettings,
    digest_prefix: str = "",
) -> int:
    """Delete the expired claims whose digest begins with ``digest_prefix``.

    :param table: the platform's table.
    :param wall_s: current time, in seconds since the epoch.
    :param settings: contains the retention period.
    :param digest_prefix: leading hex digits of the digests to sweep.
    :return: number of rows deleted.
    """
    rows = table.scan(claimvalues.ROW_PREFIX + digest_prefix, SCAN_LIMIT)
    if isinstance(rows, contract.Unavailable):
        return 0
    if len(rows) == SCAN_LIMIT:  # the scan may be incomplete
        return sum(sweep(table, wall_s, settings, digest_prefix + digit) for digit in HEX_DIGITS)
    oldest_kept = wall_s - settings.retention_s
    units = tuple(_deletion(row) for row in rows if _is_expired(row, oldest_kept))
    deleted = 0
    for start in range(0, len(units), groupcommit.DEFAULT_MAX_UNITS):
        batch = units[start : start + groupcommit.DEFAULT_MAX_UNITS]
        committed = groupcommit.commit_units(table, batch)
        deleted += sum(isinstance(outcome, contract.Committed) for outcome in committed)
    return deleted


def _is_expired(row: contract.Row, oldest_kept: float) -> bool:
    record = claimrecords.ClaimRecord.parse(row.value)
    return record is not None and record.wall_s < oldest_kept


def _deletion(row: contract.Row) -> groupcommit.Unit:
    return groupcommit.Unit(
        (contract.Condition(row.key, row.version),), (contract.Delete(row.key),)
    )
