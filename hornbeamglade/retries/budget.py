"""How many retries a service may cause, as a share of its requests."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RetrySettings:
    """Bounds of a retry budget.

    :param share: retries that each first attempt earns.
    :param burst: retries that may be saved up, so that a quiet service can retry too.
    """

    share: float = 0.1
    burst: float = 10.0


class RetryBudget:
    """Retries of one service, bounded to a share of its requests.

    Explanation
    ===========

    Guard: when a pool fails, each request that is retried r times puts r + 1 times
    the load on what is left of it, which then fails too, and callers see an outage
    long after its cause is gone. With the budget the extra load is at most
    ``share`` of the first attempts, beside one burst.

    What was weighed: *a fixed number of retries per request* multiplies the load
    just when there is least room for it; *a circuit breaker per service* stops all
    work for the fault of a few replicas, which outlier detection handles.

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
        self._saved = settings.burst

    def record_request(self) -> None:
        """Note the first attempt of a request."""
        self._saved = min(self._saved + self._settings.share, self._settings.burst)

    def spend(self, *, repeatable: bool) -> bool:
        """Return whether a request may be tried again, and take that from the budget.

        :param repeatable: whether the request is idempotent, or was refused as not
            run by the backend server. Anything else is never tried again: the first
            attempt may have run, and a second one would run it twice.
        """
        if not repeatable or self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
