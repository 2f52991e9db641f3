"""Admission that knows every length: the upper end of the comparison."""

import collections.abc
import dataclasses

from hornbeamglade.admission import policies
from hornbeamglade.bench import policyworkload
from hornbeamglade.core import outcomes


@dataclasses.dataclass(slots=True)
class _Course:
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
        self._course_by_id: dict[str, _Course] = {}

    def fits(self, work: outcomes.Work, now: float) -> bool:
        """Tell whether no later moment overflows with ``work`` taken on too."""
        if self.is_at_limit():
            return False
        return self._least_room([*self._course_by_id.values(), self._course(work, now)], now) >= 0

    def headroom(self, now: float) -> float:
        """Return the tokens left at the fullest later moment."""
        return self._least_room(list(self._course_by_id.values()), now)

    def admit(self, work: outcomes.Work, now: float) -> None:
        """Count ``work`` in."""
        super().admit(work, now)
        self._course_by_id[work.request_id] = self._course(work, now)

    def progress(self, request_id: str, produced: int, now: float) -> None:
        """Correct the end of a stream that was delayed."""
        super().progress(request_id, produced, now)
        course = self._course_by_id.get(request_id)
        if course is not None:
            left = self._answer_tokens_by_id[request_id] - produced
            course.ends_at = now + left * policyworkload.STEP_S

    def finish(self, request_id: str, now: float) -> None:
        """Count a request out."""
        super().finish(request_id, now)
        self._course_by_id.pop(request_id, None)

    def _course(self, work: outcomes.Work, now: float) -> _Course:
        tokens = self._answer_tokens_by_id[work.request_id]
        last_tokens = work.prompt_tokens + tokens + policyworkload.BLOCK_TOKENS
        return _Course(now + (tokens + 1) * policyworkload.STEP_S, last_tokens)

    def _least_room(self, courses: list[_Course], now: float) -> float:
        """Return the least room over the ends, from the last backwards.

        At time t each stream that still runs holds its last tokens less one for
        each step from t to its end.
        """
        courses.sort(key=lambda course: -course.ends_at)
        least = float(self.ledger.capacity)
        last_tokens = 0
        ends = 0.0
        for count, course in enumerate(courses, 1):
            last_tokens += course.last_tokens
            ends += course.ends_at
            at = max(now, course.ends_at)
            steps_left = (ends - count * at) / policyworkload.STEP_S
            least = min(least, self.ledger.capacity - (last_tokens - max(0.0, steps_left)))
        return least
