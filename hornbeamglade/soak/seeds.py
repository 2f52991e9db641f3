"""Seeds that have failed, kept as regression cases."""

CAUSE_BY_SEED: dict[int, str] = {}
"""The cause of each failure, by seed; ``--kept`` runs these seeds again."""

SHORT_SEED = 7
"""The seed of the short run that is part of the test suite."""
