"""How many attempts beyond the first a service may get from this node.

Explanation
===========

The operator bounds the attempts beyond the first of each request, in any window, by a
share of the window's requests and a slack, over all nodes together. Each node keeps to
the share of its own requests and to an equal part of the slack, so that the sum holds
without a word between them. Weighed against sharing the slack by demand: that takes a
message before a retry, when the cause of the retry is often the network itself.
"""

import collections
import collections.abc
import dataclasses

BUCKETS = 10

AttemptObserver = collections.abc.Callable[[str, str], None]
"""Called with a service and what became of one more attempt: ``made``, ``denied`` or, for a
run that goes on elsewhere, ``resumed``."""


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetSettings:
    """The operator's bound.

    :param ratio: attempts beyond the first, for each request.
    :param slack: attempts beyond that in a window, over all nodes.
    :param window_s: the window's length.
    """

    ratio: float
    slack: float
    window_s: float


class _Window:
    """Counts over a sliding window, kept in buckets."""

    def __init__(self, window_s: float) -> None:
        self._bucket_s = window_s / BUCKETS
        self._counts: collections.deque[tuple[int, float]] = collections.deque()

    def add(self, amount: float, now: float) -> None:
        bucket = int(now / self._bucket_s)
        if self._counts and self._counts[-1][0] == bucket:
            amount += self._counts.pop()[1]
        self._counts.append((bucket, amount))

    def total(self, now: float, buckets: int) -> float:
        """Return the sum over the newest ``buckets``, the one under way included."""
        first = int(now / self._bucket_s) - buckets + 1
        while self._counts and self._counts[0][0] < first - 2 * BUCKETS:
            self._counts.popleft()
        return sum(count for bucket, count in self._counts if bucket >= first)


class RetryBudgets:
    """The budget of each service, at one node.

    :param settings: the operator's bound.
    :param told: hears of each attempt beyond a first one.

    Examples
    ========

    >>> budgets = RetryBudgets(BudgetSettings(ratio=0.5, slack=2.0, window_s=10.0))
    >>> budgets.set_node_count(2)
    >>> [budgets.spend("web", now=1.0) for _ in range(2)]
    [True, False]
    >>> budgets.record_request("web", now=2.0)
    >>> budgets.record_request("web", now=2.0)
    >>> budgets.spend("web", now=2.0)
    True
    """

    def __init__(
        self,
        settings: BudgetSettings,
        on_attempt: AttemptObserver = lambda _service, _outcome: None,
    ) -> None:
        self._on_attempt = on_attempt
        self._settings = settings
        self._node_count = 1
        self._requests_by_service: dict[str, _Window] = {}
        self._retries_by_service: dict[str, _Window] = {}

    def configure(self, settings: BudgetSettings) -> None:
        """Take another bound; what was counted stays."""
        if settings.window_s != self._settings.window_s:
            self._requests_by_service.clear()
            self._retries_by_service.clear()
        self._settings = settings

    def set_node_count(self, node_count: int) -> None:
        """Note how many nodes there may be."""
        self._node_count = max(1, node_count)

    def record_request(self, service: str, now: float) -> None:
        """Count a request's first attempt."""
        self._window(self._requests_by_service, service).add(1, now)

    def remaining(self, service: str, now: float) -> float:
        """Return how many more attempts the budget allows; below 0 when it is overdrawn."""
        settings = self._settings
        retries = self._window(self._retries_by_service, service)
        requests = self._window(self._requests_by_service, service).total(now, BUCKETS)
        allowed = settings.ratio * requests + settings.slack / self._node_count
        # One bucket more: the operator's window may begin anywhere in the oldest one.
        return allowed - retries.total(now, BUCKETS + 1)

    def spend(self, service: str, now: float) -> bool:
        """Take one more attempt from the budget; return whether there was one."""
        if self.remaining(service, now) < 1.0:
            self._on_attempt(service, "denied")
            return False
        self._on_attempt(service, "made")
        self._window(self._retries_by_service, service).add(1, now)
        return True

    def record_resumed(self, service: str, now: float) -> None:
        """Count an attempt that is made whether or not the budget allows it.

        A run that goes on at another engine is lost otherwise; such attempts are few, and
        what they take is missing for others.
        """
        self._on_attempt(service, "resumed")
        self._window(self._retries_by_service, service).add(1, now)

    def _window(self, by_service: dict[str, _Window], service: str) -> _Window:
        if service not in by_service:
            by_service[service] = _Window(self._settings.window_s)
        return by_service[service]
