"""Retry budget of a service, as a share of its requests."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RetrySettings:
    """Bounds of a retry budget.

    :param share: retries that each first attempt adds to the budget.
    :param burst: largest budget, and the initial one, so that a service with few requests
        can also retry.
    """

    share: float = 0.1
    burst: float = 10.0


class RetryBudget:
    """Retries of one service, limited to a share of its requests.

    Explanation
    ===========

    When a pool fails partially and each request is retried r times, the remaining
    replicas get r + 1 times the load and fail too, so the outage lasts long after its
    cause is gone. With the budget the extra load is at most ``share`` of the first
    attempts, plus one burst.

    Rejected alternatives: *a fixed number of retries per request* multiplies the load
    when capacity is lowest; *a circuit breaker per service* stops all requests because
    of a few failing replicas, which outlier detection handles.

    Examples
    ========

    >>> budget = RetryBudget(RetrySettings(share=0.5, burst=1.0))
    >>> budget.spend(repeatable=True), budget.spend(repeatable=True)
    (True, False)
    >>> budget.record_request()
    >>> budget.record_request()
    >>> budget.spend(repeatable=False), budget.spend(repeatable=True)
    (False, True)
    """

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._balance = settings.burst

    def record_request(self) -> None:
        """Record the first attempt of a request."""
        self._balance = min(self._balance + self._settings.share, self._settings.burst)

    def spend(self, *, repeatable: bool) -> bool:
        """Return whether a request may be retried; if so, take the retry from the budget.

        :param repeatable: whether the request is idempotent, or was refused by the
            backend server without being run. Any other request is never retried: its
            first attempt may have run, and a second one would run it twice.
        """
        if not repeatable or self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
