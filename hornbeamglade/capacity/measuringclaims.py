"""Measures the cost of claims, leases and the audit trail at the platform's table."""

import collections.abc

from hornbeamglade.capacity import fits, profiling, samplesite, slopes
from hornbeamglade.claims import claimsettings, claimstore, claimvalues
from hornbeamglade.configuration import head
from hornbeamglade.core import clocks, codederrors
from hornbeamglade.leases import leaseholder, leasevalues
from hornbeamglade.platform import storebodies
from hornbeamglade.store import memory

GROUP = "claims"
_REQUEST_COUNTS = (10, 20, 40, 80)
_POOL_COUNTS = (1, 2, 4, 8)
_CHANGE_COUNTS = (2, 4, 8, 16)
_TERM_S = 10.0
_ANSWER = claimvalues.RecordedAnswer(200, "application/json", b'{"hold": "unit 17"}')


def measure() -> collections.abc.Iterator[slopes.Slope]:
    """Measure the group."""
    claims = "claims/claimstore.py, claims/groupcommit.py"
    yield _slope(
        "claims.writes",
        "transactions, one request at a time",
        "requests that may not be repeated",
        claims,
        [fits.Point(size, _claim_writes(size)) for size in _REQUEST_COUNTS],
    )
    yield _slope(
        "claims.us",
        "processor us at the node, the table in memory",
        "requests that may not be repeated",
        claims,
        [fits.Point(size, _claim_us(size)) for size in _REQUEST_COUNTS],
    )
    yield _slope(
        "claims.row_bytes",
        "bytes of the answer to a scan, as each sweep reads it",
        "claims kept",
        "claims/claimsweep.py",
        [fits.Point(size, _scan_bytes(size)) for size in _REQUEST_COUNTS],
    )
    yield _slope(
        "leases.writes",
        "transactions to renew once",
        "leases held, one a pool",
        "leases/leaseholder.py",
        [fits.Point(size, _renewals(size)) for size in _POOL_COUNTS],
    )
    yield _slope(
        "audit.writes",
        "transactions; each writes the head and an audit row",
        "changes of configuration",
        "configuration/head.py",
        [fits.Point(size, _change_writes(size)) for size in _CHANGE_COUNTS],
    )


def _slope(key, cost, over, mechanism, points) -> slopes.Slope:
    return slopes.Slope(key, GROUP, cost, over, mechanism, tuple(points))


def _serve(platform: memory.MemoryPlatform, requests: int) -> None:
    store = claimstore.ClaimStore(
        platform, platform, clocks.SystemClock(), "n1", claimsettings.ClaimSettings()
    )
    for number in range(requests):
        key = claimvalues.ClaimKey("team-00001", "counter", f"hold-{number}")
        granted = store.claim(key, "fingerprint")
        if not (store.may_dispatch(granted.claim) and store.finish(granted.claim, _ANSWER)):
            raise codederrors.InvariantError("capacity_not_claimed", str(key))


def _claim_writes(requests: int) -> float:
    platform = memory.MemoryPlatform()
    _serve(platform, requests)
    return float(platform.transaction_count)


def _claim_us(requests: int) -> float:
    return profiling.cpu_us(lambda: _serve(memory.MemoryPlatform(), requests))


def _scan_bytes(requests: int) -> float:
    platform = memory.MemoryPlatform()
    _serve(platform, requests)
    rows = tuple(map(storebodies.Row.from_row, platform.scan(claimvalues.ROW_PREFIX)))
    return float(len(storebodies.Rows(rows=rows, ver=requests).model_dump_json()))


def _renewals(pools: int) -> float:
    platform = memory.MemoryPlatform()
    holders = [
        leaseholder.LeaseHolder(platform, clocks.SystemClock(), f"pool-{n}", "n1", _TERM_S)
        for n in range(pools)
    ]
    for holder in holders:
        holder.acquire()
    before = platform.transaction_count
    held = [holder.renew() for holder in holders]
    if not all(isinstance(outcome, leasevalues.Held) for outcome in held):
        raise codederrors.InvariantError("capacity_not_held", repr(held))
    return float(platform.transaction_count - before)


def _change_writes(changes: int) -> float:
    platform = memory.MemoryPlatform()
    source = head.ConfigurationHead(platform, platform, clocks.SystemClock())
    for number in range(changes):
        document = samplesite.document(samplesite.Counts(teams=number + 1))
        outcome = source.apply(head.Change(document, number, f"c{number}", "ops", "a team"))
        if not isinstance(outcome, head.Applied):
            raise codederrors.InvariantError("capacity_not_applied", repr(outcome))
    return float(platform.transaction_count)
