"""Admission to one replica that limits the probability of a memory overflow.

Explanation
===========

The memory that will be held at each of several horizons is a sum over the streams
that are still running then. With the probability that it outlasts the horizon, a
stream holds its prompt, its tokens so far and the tokens up to the horizon;
otherwise it holds nothing. The mean and variance of the sum are kept as running
totals, so a decision costs a few operations per horizon, however many streams run.
A request fits if the mean plus a margin stays below the capacity at every horizon.
The margin is a number of standard deviations, which is corrected by the observed
preemptions (:mod:`hornbeamglade.admission.margincontrol`).

With few long streams, the sum is far from normally distributed: the mean plus the
margin may exceed the memory that is held if none of the streams ends, which is an
upper bound. This worst case limits the demand at each horizon.
"""

import dataclasses
import math

from hornbeamglade.admission import margincontrol, policies, tokenledger
from hornbeamglade.core import outcomes
from hornbeamglade.lengths import lengthmodel

# Running totals accumulate rounding errors with each change, so they are recomputed regularly.
_RECOMPUTE_EVERY = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Settings of probabilistic admission.

    :param horizons: tokens ahead of now at which the memory must suffice, ascending.
    :param max_running: limit on concurrent requests, or None.
    :param stride: tokens of progress after which a stream's demand is recomputed.
    :param margin: parameters of the margin control.
    :param ledger: how local accounting and load reports are combined.
    """

    horizons: tuple[int, ...] = (0, 50, 100)
    max_running: int | None = 64
    stride: int = 40
    margin: margincontrol.MarginSettings = margincontrol.MarginSettings()
    ledger: tokenledger.LedgerSettings = tokenledger.LedgerSettings()


@dataclasses.dataclass(frozen=True, slots=True)
class _Demand:
    """The contribution of one stream to the totals at each horizon.

    It is subtracted unchanged when the stream ends or its demand is recomputed.
    """

    valid_until: int
    means: tuple[float, ...]
    variances: tuple[float, ...]
    worst: tuple[float, ...]


class ReplicaAdmission(policies.AdmissionPolicy):
    """Probabilistic admission to one replica.

    :param capacity_tokens: the replica's memory, until a load report contains it.
    :param lengths: the learned distribution of answer lengths.
    :param settings: horizons, limits and margins.

    Examples
    ========

    >>> admission = ReplicaAdmission(4000, lengthmodel.LengthModel())
    >>> work = outcomes.Work("r1", "drafts", "clinic", 0, prompt_tokens=100)
    >>> admission.fits(work, 0.0)
    True
    >>> admission.admit(work, 0.0)
    >>> admission.progress("r1", 40, 1.0)
    >>> admission.finish("r1", 2.0)
    """

    def __init__(
        self,
        capacity_tokens: int,
        lengths: lengthmodel.LengthModel,
        settings: AdmissionSettings | None = None,
    ) -> None:
        self._settings = settings or AdmissionSettings()
        super().__init__(capacity_tokens, self._settings.max_running, self._settings.ledger)
        self.margin = margincontrol.MarginController(self._settings.margin)
        self._lengths = lengths
        self._demand_by_id: dict[str, _Demand] = {}
        self._means = [0.0] * len(self._settings.horizons)
        self._variances = [0.0] * len(self._settings.horizons)
        self._worst = [0.0] * len(self._settings.horizons)
        self._changes = 0
        self._preemptions: int | None = None
        self._held_back = False

    def fits(self, work: outcomes.Work, now: float) -> bool:
        """Return whether memory suffices at every horizon with ``work`` included."""
        if self.is_idle():
            return self.can_ever_fit(work)
        if self.is_at_limit():
            return False
        demand = self._demand(work, 0)
        does_fit = self._min_headroom(demand, now) >= 0.0
        self._held_back = self._held_back or not does_fit
        return does_fit

    def headroom(self, now: float) -> float:
        """Return the tokens that are free at the fullest horizon after subtracting the margin."""
        zeros = (0.0,) * len(self._means)
        return self._min_headroom(_Demand(0, zeros, zeros, zeros), now)

    def admit(self, work: outcomes.Work, now: float) -> None:
        """Account for an admitted request."""
        if self.ledger.admit(work, now):
            self._set_demand(work, 0)

    def progress(self, request_id: str, produced: int, now: float) -> None:
        """Record progress; the demand is recomputed only once per stride."""
        stream = self.ledger.progress(request_id, produced, now)
        if stream is not None and produced >= self._demand_by_id[request_id].valid_until:
            self._set_demand(stream.work, produced)

    def finish(self, request_id: str, now: float) -> None:
        """Remove a request that has ended; narrow the margin if it held back a request."""
        if self.ledger.finish(request_id, now) is None:
            return
        self._drop_demand(request_id)
        # The margin has an effect only while requests are held back. An hour of low load must
        # not narrow it to the minimum before the next overload.
        if self._held_back:
            self.margin.finished()
            self._held_back = False

    def report(self, view: tokenledger.LoadView, now: float) -> None:
        """Apply a load report, and widen the margin for the preemptions in it."""
        if not self.ledger.report(view, now):
            return
        previous = self._preemptions
        self._preemptions = view.preemptions
        # A lower count than before comes from an engine that has restarted.
        if previous is not None and view.preemptions > previous:
            self.margin.preempted(view.preemptions - previous)

    def survival(self, work: outcomes.Work, tokens: int) -> float:
        """Return the probability that an answer is longer than some tokens."""
        return self._lengths.table(work.service, work.team).survival(tokens)

    def _min_headroom(self, extra: _Demand, now: float) -> float:
        deviations = self.margin.deviations
        others_deviation = self.ledger.deviation(now)
        free = self.ledger.capacity - self.ledger.other_tokens - deviations * others_deviation
        lowest = math.inf
        for i, mean in enumerate(self._means):
            variance = max(0.0, self._variances[i]) + extra.variances[i]
            likely = mean + extra.means[i] + deviations * math.sqrt(variance)
            worst = self._worst[i] + extra.worst[i]
            lowest = min(lowest, free - min(likely, worst))
        return lowest

    def _demand(self, work: outcomes.Work, produced: int) -> _Demand:
        """Return the mean and variance of the tokens that a stream holds at each horizon.

        The demand is used for a stride of tokens, so it is computed for the middle of it.
        """
        settings = self._settings
        middle = produced + settings.stride // 2
        held = self.ledger.footprint(work.prompt_tokens) + middle
        table = self._lengths.table(work.service, work.team)
        survival_now = table.survival(produced)
        bound = math.inf if work.max_tokens is None else work.max_tokens
        means = []
        variances = []
        worst = []
        for horizon in settings.horizons:
            outlasts = table.survival(produced + horizon) / survival_now
            if horizon and produced + horizon >= bound:
                outlasts = 0.0
            then = held + horizon
            mean = outlasts * then
            means.append(mean)
            variances.append(mean * (then - mean))
            worst.append(then if outlasts else 0.0)
        return _Demand(produced + settings.stride, tuple(means), tuple(variances), tuple(worst))

    def _set_demand(self, work: outcomes.Work, produced: int) -> None:
        self._drop_demand(work.request_id)
        demand = self._demand(work, produced)
        self._demand_by_id[work.request_id] = demand
        for i, mean in enumerate(demand.means):
            self._means[i] += mean
            self._variances[i] += demand.variances[i]
            self._worst[i] += demand.worst[i]
        self._changes += 1
        if self._changes % _RECOMPUTE_EVERY == 0:
            self._recompute_totals()

    def _drop_demand(self, request_id: str) -> None:
        demand = self._demand_by_id.pop(request_id, None)
        if demand is None:
            return
        for i, mean in enumerate(demand.means):
            self._means[i] -= mean
            self._variances[i] -= demand.variances[i]
            self._worst[i] -= demand.worst[i]

    def _recompute_totals(self) -> None:
        demands = self._demand_by_id.values()
        for i in range(len(self._means)):
            self._means[i] = math.fsum(demand.means[i] for demand in demands)
            self._variances[i] = math.fsum(demand.variances[i] for demand in demands)
            self._worst[i] = math.fsum(demand.worst[i] for demand in demands)
