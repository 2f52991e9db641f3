"""Limits and timeouts of claims."""

import dataclasses

from hornbeamglade.core import codederrors


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Limits and timeouts of claims.

    :param dispatch_within_s: seconds from the claim's start in which the
        request may be sent to a backend server.
    :param in_progress_s: seconds for which a claim that has not ended counts as
        in progress; after that its outcome counts as unknown.
    :param retry_after_s: retry delay for refused callers, seconds.
    :param retention_s: seconds for which a key is remembered. It must exceed
        the other times by more than the maximum clock skew between nodes.
    :param inline_bytes: larger answers are stored in the object store.
    :param pending_write_limit: maximum number of terminal writes kept during an outage
        of the table.
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
