"""Admission that knows every length: the upper end of the comparison."""

import collections.abc
import dataclasses

from hornbeamglade.admission import policies
from hornbeamglade.bench import policyworkload
from hornbeamglade.core import outcomes


@dataclasses.dataclass(slots=True)
class _StreamProjection:
    """The course of one stream: when it ends, and what it holds by then."""

    ends_at: float
    last_tokens: int


class Clairvoyant(policies.AdmissionPolicy):
    """Admits what fits until every running stream has ended.

    Explanation
    ===========

    Every stream grows by a token a step until its known end, so the use is
    highest just before one of the ends; only these moments are checked.

    :param capacity_tokens: the replica's memory.
    :param max_running: bound on requests at once.
    :param answer_tokens_by_id: the true lengths.
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
        """Tell whether no later moment overflows with ``work`` taken on too."""
        if self.is_at_limit():
            return False
        return (
            self._min_headroom([*self._projection_by_id.values(), self._project(work, now)], now)
            >= 0
        )

    def headroom(self, now: float) -> float:
        """Return the tokens left at the fullest later moment."""
        return self._min_headroom(list(self._projection_by_id.values()), now)

    def admit(self, work: outcomes.Work, now: float) -> None:
        """Count ``work`` in."""
        super().admit(work, now)
        self._projection_by_id[work.request_id] = self._project(work, now)

    def progress(self, request_id: str, produced: int, now: float) -> None:
        """Correct the end of a stream that was delayed."""
        super().progress(request_id, produced, now)
        projection = self._projection_by_id.get(request_id)
        if projection is not None:
            remaining = self._answer_tokens_by_id[request_id] - produced
            projection.ends_at = now + remaining * policyworkload.STEP_S

    def finish(self, request_id: str, now: float) -> None:
        """Count a request out."""
        super().finish(request_id, now)
        self._projection_by_id.pop(request_id, None)

    def _project(self, work: outcomes.Work, now: float) -> _StreamProjection:
        tokens = self._answer_tokens_by_id[work.request_id]
        last_tokens = work.prompt_tokens + tokens + policyworkload.BLOCK_TOKENS
        return _StreamProjection(now + (tokens + 1) * policyworkload.STEP_S, last_tokens)

    def _min_headroom(self, projections: list[_StreamProjection], now: float) -> float:
        """Return the least room over the ends, from the last backwards.

        At time t each stream that still runs holds its last tokens less one for
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
