"""A short soak of real processes, with one seed."""

from hornbeamglade.soak import running, seeds

SECONDS = 4.0


def test_short_soak_violates_no_guarantee(tmp_path):
    """Processes are killed, connections reset and entries overwritten under load."""
    verdict = running.run(seeds.SHORT_SEED, SECONDS, tmp_path)
    assert verdict.faults
    assert verdict.violations == ()
