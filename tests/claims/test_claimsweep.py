"""The sweep removes expired claims and nothing else."""

from hornbeamglade import claims
from hornbeamglade.claims import claimsweep
from hornbeamglade.core import clocks
from hornbeamglade.store import memory

SETTINGS = claims.ClaimSettings()


def test_only_expired_claims_are_removed_even_beyond_one_scan(monkeypatch):
    monkeypatch.setattr(claimsweep, "SCAN_LIMIT", 10)
    clock = clocks.ManualClock()
    platform = memory.MemoryPlatform(clock)
    node = claims.ClaimStore(platform, platform, clock, "n1", SETTINGS)
    for number in range(50):
        node.claim(claims.ClaimKey("t", "s", str(number)), "f")
    clock.advance(SETTINGS.retention_s + 1)
    node.claim(claims.ClaimKey("t", "s", "new"), "f")
    assert claims.sweep(platform, clock.wall(), SETTINGS) == 50
    assert [row.key for row in platform.scan("")] == [claims.ClaimKey("t", "s", "new").row_key]


def test_sweep_deletes_nothing_while_the_table_is_down():
    platform = memory.MemoryPlatform(clocks.ManualClock())
    platform.set_faults(memory.Faults(down=True))
    assert claims.sweep(platform, 1e9, SETTINGS) == 0
