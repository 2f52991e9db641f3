"""Admission that knows all response lengths: the upper bound of the comparison."""

import collections.abc
import dataclasses

from hornbeamglade.admission import policies
from hornbeamglade.bench import policyworkload
from hornbeamglade.core import outcomes


@dataclasses.dataclass(slots=True)
class _StreamProjection:
    """Projected end of one stream and the tokens it occupies by then."""

    ends_at: float
    last_tokens: int


class Clairvoyant(policies.AdmissionPolicy):
    """Admits a request if it fits until every running stream has ended.

    Explanation
    ===========

    Every stream grows by one token per step until its known end, so memory use peaks just
    before one of the ends; only these moments are checked.

    :param capacity_tokens: memory of the replica.
    :param max_running: limit on concurrent requests.
    :param answer_tokens_by_id: true response lengths.
    """

    def __init__(
        self,
        capacity_tokens: int,
        max_running: int,
        answer_tokens_by_id: collections.abc.Mapping[str, int],
    ) -> None:
        super().__init__(capacity_tokens, max_running)
        self._answer_tokens_by_id = answer_tokens_by_id
        self._projection_by_id: dict[str, _StreamProjection] = {}

    def fits(self, work: outcomes.Work, now: float) -> bool:
        """Return whether memory never overflows if ``work`` is admitted as well."""
        if self.is_at_limit():
            return False
        return (
            self._min_headroom([*self._projection_by_id.values(), self._project(work, now)], now)
            >= 0
        )

    def headroom(self, now: float) -> float:
        """Return the free tokens at the moment of the highest projected use."""
        return self._min_headroom(list(self._projection_by_id.values()), now)

    def admit(self, work: outcomes.Work, now: float) -> None:
        """Add ``work`` to the running requests."""
        super().admit(work, now)
        self._projection_by_id[work.request_id] = self._project(work, now)

    def progress(self, request_id: str, produced: int, now: float) -> None:
        """Correct the projected end of a delayed stream."""
        super().progress(request_id, produced, now)
        projection = self._projection_by_id.get(request_id)
        if projection is not None:
            remaining = self._answer_tokens_by_id[request_id] - produced
            projection.ends_at = now + remaining * policyworkload.STEP_S

    def finish(self, request_id: str, now: float) -> None:
        """Remove a request from the running ones."""
        super().finish(request_id, now)
        self._projection_by_id.pop(request_id, None)

    def _project(self, work: outcomes.Work, now: float) -> _StreamProjection:
        tokens = self._answer_tokens_by_id[work.request_id]
        last_tokens = work.prompt_tokens + tokens + policyworkload.BLOCK_TOKENS
        return _StreamProjection(now + (tokens + 1) * policyworkload.STEP_S, last_tokens)

    def _min_headroom(self, projections: list[_StreamProjection], now: float) -> float:
        """Return the minimum headroom over all ends, scanning from the last one backwards.

        At time t, each running stream occupies its final number of tokens minus one for
        each step from t to its end.
        """
        projections.sort(key=lambda projection: -projection.ends_at)
        minimum = float(self.ledger.capacity)
        last_tokens = 0
        end_sum = 0.0
        for count, projection in enumerate(projections, 1):
            last_tokens += projection.last_tokens
            end_sum += projection.ends_at
            moment = max(now, projection.ends_at)
            steps_left = (end_sum - count * moment) / policyworkload.STEP_S
            minimum = min(minimum, self.ledger.capacity - (last_tokens - max(0.0, steps_left)))
        return minimum
