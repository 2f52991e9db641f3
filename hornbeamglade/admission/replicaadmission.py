"""Admission to one replica by a bounded probability that its memory overflows.

Explanation
===========

At each of several horizons the memory held then is a sum over streams that
still run by then: each holds its prompt, its tokens so far and the horizon,
with the probability that it outlasts the horizon, else nothing. Mean and
variance of the sum are kept as running totals, so that a decision costs a few
operations for each horizon however many streams run. A request fits when mean
plus so many deviations stay under the capacity at every horizon. How many
deviations is corrected by the preemptions seen
(:mod:`hornbeamglade.admission.margincontrol`).

With few long streams the sum is far from normal: mean plus deviations passes
what is held when none of them ends, which no course of events can pass. That
worst case bounds the demand at each horizon.
"""

import dataclasses
import math

from hornbeamglade.admission import margincontrol, policies, tokenledger
from hornbeamglade.core import outcomes
from hornbeamglade.lengths import lengthmodel

# Float totals pick up rounding errors with each change; summed anew now and then.
_RESUM_EVERY = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Settings of probabilistic admission.

    :param horizons: tokens ahead at which the memory must suffice, ascending.
    :param max_running: bound on requests at once, or None.
    :param stride: tokens of progress after which a stream's share is computed anew.
    :param margin: the control of the margin.
    :param ledger: how own knowledge and reports are put together.
    """

    horizons: tuple[int, ...] = (0, 50, 100)
    max_running: int | None = 64
    stride: int = 40
    margin: margincontrol.MarginSettings = margincontrol.MarginSettings()
    ledger: tokenledger.LedgerSettings = tokenledger.LedgerSettings()


@dataclasses.dataclass(frozen=True, slots=True)
class _Share:
    """What one stream adds to the totals, by horizon; taken out again as it was."""

    due: int
    means: tuple[float, ...]
    variances: tuple[float, ...]
    worst: tuple[float, ...]


class ReplicaAdmission(policies.AdmissionPolicy):
    """Probabilistic admission to one replica.

    :param capacity_tokens: the replica's memory, until a report tells it.
    :param lengths: what was learned of the lengths of answers.
    :param settings: horizons, bounds and margins.

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
        self._share_by_id: dict[str, _Share] = {}
        self._means = [0.0] * len(self._settings.horizons)
        self._variances = [0.0] * len(self._settings.horizons)
        self._worst = [0.0] * len(self._settings.horizons)
        self._changes = 0
        self._preemptions: int | None = None
        self._held_back = False

    def fits(self, work: outcomes.Work, now: float) -> bool:
        """Tell whether memory suffices at every horizon with ``work`` taken on too."""
        if self.is_idle():
            return self.can_ever_fit(work)
        if self.is_at_limit():
            return False
        share = self._share(work, 0)
        does_fit = self._least_room(share, now) >= 0.0
        self._held_back = self._held_back or not does_fit
        return does_fit

    def headroom(self, now: float) -> float:
        """Return the tokens left at the fullest horizon, margin taken off."""
        nothing = (0.0,) * len(self._means)
        return self._least_room(_Share(0, nothing, nothing, nothing), now)

    def admit(self, work: outcomes.Work, now: float) -> None:
        """Count ``work`` in."""
        if self.ledger.admit(work, now):
            self._set_share(work, 0)

    def progress(self, request_id: str, produced: int, now: float) -> None:
        """Note progress; cheap for most tokens, the share is redone each stride."""
        stream = self.ledger.progress(request_id, produced, now)
        if stream is not None and produced >= self._share_by_id[request_id].due:
            self._set_share(stream.work, produced)

    def finish(self, request_id: str, now: float) -> None:
        """Count a request out; narrow the margin a little if it held anyone back."""
        if self.ledger.finish(request_id, now) is None:
            return
        self._drop_share(request_id)
        # While nobody is held back, the margin is not tried: a quiet hour must not
        # narrow it to nothing before the next crowd.
        if self._held_back:
            self.margin.finished()
            self._held_back = False

    def report(self, view: tokenledger.LoadView, now: float) -> None:
        """Take in a load report, and widen the margin by the preemptions in it."""
        if not self.ledger.report(view, now):
            return
        before = self._preemptions
        self._preemptions = view.preemptions
        # A smaller count than before is that of an engine that started anew.
        if before is not None and view.preemptions > before:
            self.margin.preempted(view.preemptions - before)

    def _least_room(self, more: _Share, now: float) -> float:
        deviations = self.margin.deviations
        others_deviation = self.ledger.deviation(now)
        free = self.ledger.capacity - self.ledger.others - deviations * others_deviation
        least = math.inf
        for i, mean in enumerate(self._means):
            variance = max(0.0, self._variances[i]) + more.variances[i]
            likely = mean + more.means[i] + deviations * math.sqrt(variance)
            worst = self._worst[i] + more.worst[i]
            least = min(least, free - min(likely, worst))
        return least

    def _share(self, work: outcomes.Work, produced: int) -> _Share:
        """Return a stream's mean and variance of held tokens at each horizon.

        The share stays for a stride of tokens, so it is taken at the middle of it.
        """
        settings = self._settings
        middle = produced + settings.stride // 2
        held = self.ledger.footprint(work.prompt_tokens) + middle
        table = self._lengths.table(work.service, work.team)
        present = table.survival(produced)
        bound = math.inf if work.max_tokens is None else work.max_tokens
        means = []
        variances = []
        worst = []
        for horizon in settings.horizons:
            outlasts = table.survival(produced + horizon) / present
            if horizon and produced + horizon >= bound:
                outlasts = 0.0
            then = held + horizon
            mean = outlasts * then
            means.append(mean)
            variances.append(mean * (then - mean))
            worst.append(then if outlasts else 0.0)
        return _Share(produced + settings.stride, tuple(means), tuple(variances), tuple(worst))

    def _set_share(self, work: outcomes.Work, produced: int) -> None:
        self._drop_share(work.request_id)
        share = self._share(work, produced)
        self._share_by_id[work.request_id] = share
        for i, mean in enumerate(share.means):
            self._means[i] += mean
            self._variances[i] += share.variances[i]
            self._worst[i] += share.worst[i]
        self._changes += 1
        if self._changes % _RESUM_EVERY == 0:
            self._resum()

    def _drop_share(self, request_id: str) -> None:
        share = self._share_by_id.pop(request_id, None)
        if share is None:
            return
        for i, mean in enumerate(share.means):
            self._means[i] -= mean
            self._variances[i] -= share.variances[i]
            self._worst[i] -= share.worst[i]

    def _resum(self) -> None:
        shares = self._share_by_id.values()
        for i in range(len(self._means)):
            self._means[i] = math.fsum(share.means[i] for share in shares)
            self._variances[i] = math.fsum(share.variances[i] for share in shares)
            self._worst[i] = math.fsum(share.worst[i] for share in shares)
