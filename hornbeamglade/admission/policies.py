"""The interface of admission policies for one replica, and the simple policies."""

import abc

from hornbeamglade.admission import tokenledger
from hornbeamglade.core import outcomes


class AdmissionPolicy(abc.ABC):
    """Decides whether one replica admits a request.

    Explanation
    ===========

    The owner calls ``admit`` after ``fits``, ``progress`` as tokens arrive,
    ``finish`` when the request ends for any reason, and ``report`` for each load
    report. The simple policies differ only in ``fits`` and ``headroom``.

    :param capacity_tokens: the replica's memory, until a load report contains it.
    :param max_running: limit on concurrent requests, or None.
    :param settings: how local accounting and load reports are combined.
    """

    def __init__(
        self,
        capacity_tokens: int,
        max_running: int | None = None,
        settings: tokenledger.LedgerSettings | None = None,
    ) -> None:
        self.ledger = tokenledger.Ledger(capacity_tokens, settings)
        self._max_running = max_running

    @abc.abstractmethod
    def headroom(self, now: float) -> float:
        """Return the tokens that may still be admitted; negative if memory is overcommitted."""

    def fits(self, work: outcomes.Work, now: float) -> bool:
        """Return whether the replica should admit ``work`` now."""
        if self.is_idle():
            return self.can_ever_fit(work)
        if self.is_at_limit():
            return False
        return self.ledger.footprint(work.prompt_tokens) <= self.headroom(now)

    def admit(self, work: outcomes.Work, now: float) -> None:
        """Account for an admitted request."""
        self.ledger.admit(work, now)

    def progress(self, request_id: str, produced: int, now: float) -> None:
        """Record that a request has ``produced`` tokens so far."""
        self.ledger.progress(request_id, produced, now)

    def finish(self, request_id: str, now: float) -> None:
        """Remove a request that has ended."""
        self.ledger.finish(request_id, now)

    def report(self, view: tokenledger.LoadView, now: float) -> None:
        """Apply a load report."""
        self.ledger.report(view, now)

    def can_ever_fit(self, work: outcomes.Work) -> bool:
        """Return whether the prompt fits an empty replica."""
        return self.ledger.footprint(work.prompt_tokens) < self.ledger.capacity

    def survival(self, _work: outcomes.Work, _tokens: int) -> float:
        """Return the probability that an answer is longer than some tokens; 1 if not learned."""
        return 1.0

    def is_idle(self) -> bool:
        """Return whether no request is known to run; a margin must not starve an idle replica."""
        return not self.ledger.stream_by_id and not self.ledger.other_tokens

    def is_at_limit(self) -> bool:
        """Return whether the limit on concurrent requests is reached."""
        if self._max_running is None:
            return False
        return len(self.ledger.stream_by_id) >= self._max_running


class PresentMemory(AdmissionPolicy):
    """Admits a request if its prompt fits into the memory that is free now.

    Examples
    ========

    >>> policy = PresentMemory(1000)
    >>> policy.admit(outcomes.Work("r1", "drafts", "clinic", 0, prompt_tokens=900), 0.0)
    >>> policy.fits(outcomes.Work("r2", "drafts", "clinic", 0, prompt_tokens=200), 0.0)
    False
    """

    def headroom(self, now: float) -> float:
        """Return the capacity minus the memory that is used now."""
        return self.ledger.capacity - self.ledger.own_tokens - self.ledger.other_tokens


class FixedReserve(AdmissionPolicy):
    """Reserves a fixed number of tokens for the growth of each running request.

    :param reserve_tokens: tokens reserved for each request in addition to those that it holds.
    """

    def __init__(
        self,
        capacity_tokens: int,
        reserve_tokens: int,
        max_running: int | None = None,
        settings: tokenledger.LedgerSettings | None = None,
    ) -> None:
        super().__init__(capacity_tokens, max_running, settings)
        self._reserve_tokens = reserve_tokens

    def headroom(self, now: float) -> float:
        """Return the capacity minus the usage and all reserves, including a new request's."""
        running = len(self.ledger.stream_by_id) + 1
        used = self.ledger.own_tokens + self.ledger.other_tokens
        return self.ledger.capacity - used - running * self._reserve_tokens


class LeastOutstanding(AdmissionPolicy):
    """Admits everything; its headroom only ranks replicas by their number of running requests.

    The common baseline without admission control, kept for comparison.

    Examples
    ========

    >>> policy = LeastOutstanding(1000)
    >>> policy.admit(outcomes.Work("r1", "drafts", "clinic", 0, prompt_tokens=900), 0.0)
    >>> policy.fits(outcomes.Work("r2", "drafts", "clinic", 0, prompt_tokens=900), 0.0)
    True
    """

    def fits(self, work: outcomes.Work, now: float) -> bool:
        """Admit every request whose prompt an empty replica could hold."""
        return self.can_ever_fit(work)

    def headroom(self, now: float) -> float:
        """Return the capacity divided by the number of running requests plus one."""
        return self.ledger.capacity / (1 + len(self.ledger.stream_by_id))
