"""Seeds that have failed, kept as regression cases."""

CAUSE_BY_SEED: dict[int, str] = {}
"""Each with a line on its cause; played again with each soak."""

SHORT_SEED = 7
"""The seed of the short run that every test run has."""
