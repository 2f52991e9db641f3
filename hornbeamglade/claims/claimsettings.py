"""Bounds of the claims."""

import dataclasses

from hornbeamglade.core import codederrors


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSettings:
    """How long claims count for what, and what is kept.

    :param dispatch_within_s: seconds from the claim's start in which the
        request may be sent to a backend server.
    :param in_progress_s: seconds for which a claim without an end counts as
        in progress; later its outcome counts as unknown.
    :param retry_after_s: seconds after which a refused caller may come back.
    :param retention_s: seconds for which a key is remembered. It must exceed
        the other times by more than the nodes' wall clocks may differ.
    :param inline_bytes: larger answers go to the object store.
    :param pending_write_limit: the most endings kept while the table is down.
    """

    dispatch_within_s: float = 5.0
    in_progress_s: float = 1800.0
    retry_after_s: float = 2.0
    retention_s: float = 86400.0
    inline_bytes: int = 4096
    pending_write_limit: int = 1000

    def __post_init__(self) -> None:
        if self.retention_s <= self.in_progress_s + self.dispatch_within_s:
            detail = f"retention_s {self.retention_s} must exceed the time in progress"
            raise codederrors.CodedError("claims_retention_short", detail)
