"""Accounting of one replica's memory, from local knowledge and delayed load reports."""

import collections
import dataclasses

from hornbeamglade.core import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class LoadView:
    """One load report of an engine.

    :param sequence: increases with each report.
    :param age_s: age of the state when the report arrived, in seconds.
    :param capacity_tokens: memory of the engine, in tokens.
    :param used_tokens: tokens that are held.
    :param preemptions: number of preemptions since the engine's start.
    """

    sequence: int
    age_s: float
    capacity_tokens: int
    used_tokens: int
    preemptions: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerSettings:
    """How local accounting and load reports are combined.

    :param block_tokens: tokens of an engine's memory block.
    :param unreported_tokens: mean number of tokens of a stream since its last progress report.
    :param sample_interval_s: interval between samples of the own usage, in seconds.
    :param history_s: how long samples of the own usage are kept, in seconds.
    :param decrease_share: part of a decrease of the usage of others that a report applies.
    :param drift_per_s: relative deviation of the usage of others, per second of report age.
    :param max_drift: upper limit of that deviation.
    :param unreported_share: share of the capacity that is kept free before the first report.
    """

    block_tokens: int = 16
    unreported_tokens: int = 20
    sample_interval_s: float = 0.1
    history_s: float = 15.0
    decrease_share: float = 0.3
    drift_per_s: float = 0.05
    max_drift: float = 0.5
    unreported_share: float = 0.05


@dataclasses.dataclass(slots=True, eq=False)
class Stream:
    """One admitted request and the tokens that it holds."""

    work: outcomes.Work
    produced: int = 0


class Ledger:
    """The streams admitted to one replica, and the memory that others use there.

    Explanation
    ===========

    The usage of the own streams is known token by token. Load reports only serve to find
    the usage of others (a second admitting node, an operator's test): the reported usage
    minus the own usage at the time of the reported state. A late or lost report may show an
    empty engine, and without protection many requests would be admitted into memory that
    is already full. Therefore own streams are always counted in full, an increase of the
    others' usage applies at once and a decrease only by a share, and the uncertainty
    of the others' usage grows with the age of the newest report.

    :param capacity_tokens: the replica's memory, until a load report contains it.
    :param settings: how local accounting and load reports are combined.

    Examples
    ========

    >>> ledger = Ledger(10_000)
    >>> ledger.admit(outcomes.Work("r1", "drafts", "clinic", 0, prompt_tokens=100), 0.0)
    True
    >>> ledger.report(LoadView(1, 0.0, 10_000, 600), 1.0)
    True
    >>> ledger.held_tokens, ledger.own_tokens, ledger.other_tokens
    (108, 128, 472)
    """

    def __init__(self, capacity_tokens: int, settings: LedgerSettings | None = None) -> None:
        self.capacity = capacity_tokens
        self.held_tokens = 0
        self.other_tokens = 0.0
        self.stream_by_id: dict[str, Stream] = {}
        self._settings = settings or LedgerSettings()
        self._rounding = self._settings.block_tokens // 2
        self._sequence = -1
        self._reported_at: float | None = None
        self._samples: collections.deque[tuple[float, int]] = collections.deque()

    @property
    def own_tokens(self) -> int:
        """The tokens that own streams hold, including the mean of the unreported progress."""
        return self.held_tokens + len(self.stream_by_id) * self._settings.unreported_tokens

    def footprint(self, prompt_tokens: int) -> int:
        """Return the tokens that a prompt holds, including the mean of the rounding to blocks."""
        return prompt_tokens + self._rounding

    def admit(self, work: outcomes.Work, now: float) -> bool:
        """Account for an admitted request.

        :returns: False if the request is already known, which changes nothing.
        """
        if work.request_id in self.stream_by_id:
            return False
        self.stream_by_id[work.request_id] = Stream(work)
        self.held_tokens += self.footprint(work.prompt_tokens)
        self._sample(now)
        return True

    def progress(self, request_id: str, produced: int, now: float) -> Stream | None:
        """Record the tokens produced so far; an unknown request or a late call changes nothing."""
        stream = self.stream_by_id.get(request_id)
        if stream is None or produced <= stream.produced:
            return None
        self.held_tokens += produced - stream.produced
        stream.produced = produced
        self._sample(now)
        return stream

    def finish(self, request_id: str, now: float) -> Stream | None:
        """Remove a request that has ended for any reason."""
        stream = self.stream_by_id.pop(request_id, None)
        if stream is None:
            return None
        self.held_tokens -= self.footprint(stream.work.prompt_tokens) + stream.produced
        self._sample(now)
        return stream

    def report(self, view: LoadView, now: float) -> bool:
        """Apply a load report.

        :returns: False for a report older than the newest one, which changes nothing.
        """
        taken_at = now - view.age_s
        if view.sequence <= self._sequence and not self._restarted(taken_at):
            return False
        self._sequence = view.sequence
        self._reported_at = taken_at
        if view.capacity_tokens > 0:
            self.capacity = view.capacity_tokens
        others = max(0.0, view.used_tokens - self._own_tokens_at(taken_at))
        if others < self.other_tokens:
            others = self.other_tokens + self._settings.decrease_share * (
                others - self.other_tokens
            )
        self.other_tokens = others
        return True

    def deviation(self, now: float) -> float:
        """Return the standard deviation of the tokens that others hold now."""
        settings = self._settings
        if self._reported_at is None:
            return settings.unreported_share * self.capacity
        age_s = now - self._reported_at
        return self.other_tokens * min(settings.max_drift, settings.drift_per_s * age_s)

    def _restarted(self, taken_at: float) -> bool:
        # A restarted engine numbers its reports from the beginning. Without this check,
        # all its reports would be rejected as late although they are newer.
        reported_at = self._reported_at
        return reported_at is not None and taken_at > reported_at + self._settings.history_s

    def _sample(self, now: float) -> None:
        samples = self._samples
        if samples and now - samples[-1][0] < self._settings.sample_interval_s:
            # The newest value represents the whole interval. If the first one were kept, a
            # burst of admissions would be mistaken for usage of others.
            samples[-1] = (samples[-1][0], self.own_tokens)
            return
        samples.append((now, self.own_tokens))
        while now - samples[0][0] > self._settings.history_s:
            samples.popleft()

    def _own_tokens_at(self, time: float) -> int:
        for at, own in reversed(self._samples):
            if at <= time:
                return own
        return self._samples[0][1] if self._samples else 0
