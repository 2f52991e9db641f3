"""Memory of each replica of an owner that is kept free for urgent requests in a surge.

Explanation
===========

In a surge, less urgent requests take freed memory as soon as it suffices for one of them, and
they hold it for seconds. An urgent request then waits although its own need is small and short.
While urgent requests have had to wait at any of an owner's replicas of a service, less urgent
ones therefore leave room for one urgent prompt at each of them. If only the replica at which one
waited kept room, the others would be filled meanwhile, and the next one would wait there.
"""

from hornbeamglade.core import outcomes

SMOOTHING = 0.25
"""Weight of a new prompt: the reserve follows about the last four, and not the largest alone."""

RESERVE_S = 3.0
"""How long memory is reserved after an urgent request had to wait: about as long as a surge of
urgent requests lasts (3.5 s)."""


class UrgentReserve:
    """The memory that is kept free for the most urgent requests that had to wait.

    Examples
    ========

    >>> reserve = UrgentReserve()
    >>> reserve.waited(outcomes.Work("r1", "tag", "", 3, prompt_tokens=2200), now=10.0)
    >>> long = outcomes.Work("r2", "draft", "", 1, prompt_tokens=3000)
    >>> reserve.tokens(long.priority, now=12.0), reserve.tokens(long.priority, now=13.5)
    (2200, 0)
    """

    def __init__(self) -> None:
        self._priority = 0
        self._tokens = 0
        self._ends_at = 0.0

    def waited(self, work: outcomes.Work, now: float) -> None:
        """Record that a request has to wait."""
        is_active = now < self._ends_at
        if is_active and work.priority < self._priority:
            return
        if is_active and work.priority == self._priority:
            self._tokens += round(SMOOTHING * (work.prompt_tokens - self._tokens))
        else:
            self._tokens = work.prompt_tokens
        self._priority = work.priority
        self._ends_at = now + RESERVE_S

    def reserved_tokens(self, now: float) -> int:
        """Return how many tokens are reserved at present."""
        return self.tokens(-1, now)

    def tokens(self, priority: int, now: float) -> int:
        """Return how many tokens a request of this priority must leave free."""
        return self._tokens if priority < self._priority and now < self._ends_at else 0
