"""Ensures that each non-repeatable request runs at most once."""

from hornbeamglade.claims.claimsettings import ClaimSettings
from hornbeamglade.claims.claimstore import ClaimStore
from hornbeamglade.claims.claimsweep import random_digest_prefix, sweep
from hornbeamglade.claims.claimvalues import (
    Claim,
    ClaimKey,
    ClaimOutcome,
    Granted,
    InProgress,
    KeyReused,
    OutcomeUnknown,
    Recorded,
    RecordedAnswer,
)

__all__ = [
    "Claim",
    "ClaimKey",
    "ClaimOutcome",
    "ClaimSettings",
    "ClaimStore",
    "Granted",
    "InProgress",
    "KeyReused",
    "OutcomeUnknown",
    "Recorded",
    "RecordedAnswer",
    "random_digest_prefix",
    "sweep",
]
