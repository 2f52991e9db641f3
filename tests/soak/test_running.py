"""A short soak of real processes, with one seed."""

from hornbeamglade.soak import running, seeds

SECONDS = 4.0


def test_short_soak_keeps_every_promise(tmp_path):
    """Processes are killed, links cut and entries overwritten while callers go on."""
    verdict = running.run(seeds.SHORT_SEED, SECONDS, tmp_path)
    assert verdict.faults
    assert verdict.violations == ()
