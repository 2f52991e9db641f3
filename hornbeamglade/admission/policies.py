"""The contract of admission to one replica, and the plain policies."""

import abc

from hornbeamglade.admission import tokenledger
from hornbeamglade.core import outcomes


class AdmissionPolicy(abc.ABC):
    """Decides whether one replica takes on a request.

    Explanation
    ===========

    The owner calls ``admit`` after ``fits``, ``progress`` as tokens arrive,
    ``finish`` whichever way the request ended, and ``report`` for each load
    report. All but ``fits`` and ``headroom`` are the same for the plain policies.

    :param capacity_tokens: the replica's memory, until a report tells it.
    :param max_running: bound on requests at once, or None.
    :param settings: how own knowledge and reports are put together.
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
        """Return the tokens that may still be taken on; below 0 when overfull."""

    def fits(self, work: outcomes.Work, now: float) -> bool:
        """Tell whether the replica should take on ``work`` now."""
        if self.is_idle():
            return self.can_ever_fit(work)
        if self.is_at_limit():
            return False
        return self.ledger.footprint(work.prompt_tokens) <= self.headroom(now)

    def admit(self, work: outcomes.Work, now: float) -> None:
        """Count ``work`` in."""
        self.ledger.admit(work, now)

    def progress(self, request_id: str, produced: int, now: float) -> None:
        """Note that a request has ``produced`` tokens so far."""
        self.ledger.progress(request_id, produced, now)

    def finish(self, request_id: str, now: float) -> None:
        """Count a request out."""
        self.ledger.finish(request_id, now)

    def report(self, view: tokenledger.LoadView, now: float) -> None:
        """Take in a load report."""
        self.ledger.report(view, now)

    def can_ever_fit(self, work: outcomes.Work) -> bool:
        """Tell whether the prompt fits an empty replica."""
        return self.ledger.footprint(work.prompt_tokens) < self.ledger.capacity

    def is_idle(self) -> bool:
        """Tell whether nothing is known to run; a margin must not starve an idle replica."""
        return not self.ledger.stream_by_id and not self.ledger.others

    def is_at_limit(self) -> bool:
        """Tell whether as many requests run as may."""
        if self._max_running is None:
            return False
        return len(self.ledger.stream_by_id) >= self._max_running


class PresentMemory(AdmissionPolicy):
    """Admits while the present use leaves room for the prompt.

    Examples
    ========

    >>> policy = PresentMemory(1000)
    >>> policy.admit(outcomes.Work("r1", "drafts", "clinic", 0, prompt_tokens=900), 0.0)
    >>> policy.fits(outcomes.Work("r2", "drafts", "clinic", 0, prompt_tokens=200), 0.0)
    False
    """

    def headroom(self, now: float) -> float:
        """Return capacity less present use."""
        return self.ledger.capacity - self.ledger.own - self.ledger.others


class FixedReserve(AdmissionPolicy):
    """Keeps a fixed number of tokens free for each running request's growth.

    :param reserve_tokens: tokens kept free for each request, beyond what it holds.
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
        """Return capacity less present use and the reserves, the next request's too."""
        running = len(self.ledger.stream_by_id) + 1
        used = self.ledger.own + self.ledger.others
        return self.ledger.capacity - used - running * self._reserve_tokens


class LeastOutstanding(AdmissionPolicy):
    """Admits everything; its room only ranks replicas by how little they run.

    The common baseline without admission control, kept to be compared with.

    Examples
    ========

    >>> policy = LeastOutstanding(1000)
    >>> policy.admit(outcomes.Work("r1", "drafts", "clinic", 0, prompt_tokens=900), 0.0)
    >>> policy.fits(outcomes.Work("r2", "drafts", "clinic", 0, prompt_tokens=900), 0.0)
    True
    """

    def fits(self, work: outcomes.Work, now: float) -> bool:
        """Take on whatever an empty replica could hold."""
        return self.can_ever_fit(work)

    def headroom(self, now: float) -> float:
        """Return the capacity, shared among what runs and one more."""
        return self.ledger.capacity / (1 + len(self.ledger.stream_by_id))
