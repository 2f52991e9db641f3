"""Retry budgets: how many retries per service this node may send.

Explanation
===========

The operator bounds the retries in any sliding window, over all nodes together, by a ratio
of the window's requests plus a slack. Each node applies the ratio to its own requests and
takes an equal part of the slack, so the total bound holds without coordination. The
alternative, sharing the slack by demand, needs a message before each retry, although the
cause of the retry is often the network itself.

What a node has spent is not known to the process that replaces it, nor to the nodes that share the
slack after it has left. So no retry is made on the slack in the first window of a process, and
a part that becomes larger is used one window later: any two nodes that have spent in a window were
both counted at its start.
"""

import collections
import collections.abc
import dataclasses
import math

BUCKETS = 10

AttemptObserver = collections.abc.Callable[[str, str], None]
"""Called with a service and the outcome of a retry: ``made``, ``denied`` or, for a run that
continues at another engine, ``resumed``."""


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetSettings:
    """The bound on retries that the operator sets.

    :param ratio: retries allowed per request.
    :param slack: retries allowed beyond the ratio in a window, over all nodes.
    :param window_s: length of the sliding window in seconds.
    """

    ratio: float
    slack: float
    window_s: float


class _Window:
    """A count over a sliding window, kept in buckets."""

    def __init__(self, window_s: float) -> None:
        self._bucket_s = window_s / BUCKETS
        self._counts: collections.deque[tuple[int, float]] = collections.deque()

    def add(self, amount: float, now: float) -> None:
        bucket = int(now / self._bucket_s)
        if self._counts and self._counts[-1][0] == bucket:
            amount += self._counts.pop()[1]
        self._counts.append((bucket, amount))

    def total(self, now: float, buckets: int) -> float:
        """Return the sum over the newest ``buckets``, including the current one."""
        first = int(now / self._bucket_s) - buckets + 1
        while self._counts and self._counts[0][0] < first - 2 * BUCKETS:
            self._counts.popleft()
        return sum(count for bucket, count in self._counts if bucket >= first)


class RetryBudgets:
    """The retry budget of each service at one node.

    :param settings: the operator's bound.
    :param started_at: when the process started, in monotonic seconds.
    :param on_attempt: called for each retry that is made or denied, and for each resumed run.

    Examples
    ========

    >>> budgets = RetryBudgets(BudgetSettings(ratio=0.5, slack=2.0, window_s=10.0), started_at=0.0)
    >>> budgets.set_node_count(2, now=0.0)
    >>> budgets.spend("web", now=1.0)
    False
    >>> [budgets.spend("web", now=12.0) for _ in range(2)]
    [True, False]
    >>> budgets.record_request("web", now=13.0)
    >>> budgets.record_request("web", now=13.0)
    >>> budgets.spend("web", now=13.0)
    True
    """

    def __init__(
        self,
        settings: BudgetSettings,
        started_at: float,
        on_attempt: AttemptObserver = lambda _service, _outcome: None,
    ) -> None:
        self._on_attempt = on_attempt
        self._settings = settings
        self._unknown_before = started_at
        # The newest is last; each earlier one is larger and was the number until the time given.
        self._node_counts: collections.deque[tuple[int, float]] = collections.deque()
        self._node_counts.append((1, math.inf))
        self._requests_by_service: dict[str, _Window] = {}
        self._retries_by_service: dict[str, _Window] = {}

    def configure(self, settings: BudgetSettings, now: float) -> None:
        """Apply new settings; the counts are kept unless the window length changes."""
        if settings.window_s != self._settings.window_s:
            self._requests_by_service.clear()
            self._retries_by_service.clear()
            self._unknown_before = now
        self._settings = settings

    def set_node_count(self, node_count: int, now: float) -> None:
        """Set the number of nodes that share the slack."""
        node_count = max(1, node_count)
        if node_count == self._node_counts[-1][0]:
            return
        self._node_counts[-1] = (self._node_counts[-1][0], now)
        while self._node_counts and self._node_counts[-1][0] <= node_count:
            self._node_counts.pop()
        self._node_counts.append((node_count, math.inf))

    def record_request(self, service: str, now: float) -> None:
        """Count the first attempt of a request."""
        self._window(self._requests_by_service, service).add(1, now)

    def remaining(self, service: str, now: float) -> float:
        """Return the number of retries left; negative when the budget is overdrawn."""
        settings = self._settings
        retries = self._window(self._retries_by_service, service)
        requests = self._window(self._requests_by_service, service).total(now, BUCKETS)
        allowed = settings.ratio * requests + self._slack(now)
        # One more bucket, since the operator's window may begin anywhere in the oldest one.
        return allowed - retries.total(now, BUCKETS + 1)

    def _slack(self, now: float) -> float:
        """Return this node's part of the slack."""
        # The window of the counts may be longer by a bucket.
        known_s = self._settings.window_s * (1 + 1 / BUCKETS)
        if now < self._unknown_before + known_s:
            return 0.0
        while self._node_counts[0][1] <= now - known_s:
            self._node_counts.popleft()
        return self._settings.slack / self._node_counts[0][0]

    def spend(self, service: str, now: float) -> bool:
        """Take one retry from the budget; return whether one was left."""
        if self.remaining(service, now) < 1.0:
            self._on_attempt(service, "denied")
            return False
        self._on_attempt(service, "made")
        self._window(self._retries_by_service, service).add(1, now)
        return True

    def record_resumed(self, service: str, now: float) -> None:
        """Count an attempt that is made even if the budget is exhausted.

        Used when a run continues at another engine: without the attempt the run would be
        lost. Such attempts are few, and they reduce the budget left for retries.
        """
        self._on_attempt(service, "resumed")
        self._window(self._retries_by_service, service).add(1, now)

    def _window(self, by_service: dict[str, _Window], service: str) -> _Window:
        if service not in by_service:
            by_service[service] = _Window(self._settings.window_s)
        return by_service[service]
