"""The consecutive attempts of one request, and the run status over all of them."""

import abc
import dataclasses
import itertools

from hornbeamglade.callers import application, problems
from hornbeamglade.core import outcomes
from hornbeamglade.node import requestscope
from hornbeamglade.quarantine import fingerprints

FAILED_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt that produced no answer.

    :param refusal: the response to the caller if no other attempt follows.
    :param may_retry: whether another attempt is safe.
    """

    refusal: outcomes.Refusal
    may_retry: bool


class Attempts(abc.ABC):
    """Repeats a request until it is answered or may not be retried.

    :param scope: the resources that the request holds.
    :param limit: the maximum number of attempts, whatever the retry budget allows.
    """

    def __init__(self, scope: requestscope.RequestScope, limit: int) -> None:
        self._scope = scope
        self._parts = scope.parts
        self._limit = limit
        self._run = outcomes.RunStatus.NOT_RUN

    def run(self) -> application.Answer:
        """Return the answer, or a refusal whose run status covers all attempts."""
        service = self._scope.service_name
        self._parts.budgets.requested(service)
        for number in itertools.count(1):
            refusal = self._parts.quarantine.refusal(self._scope.fingerprint)
            if refusal is not None:
                return self._with_run_status(refusal)
            answer = self._attempt(number)
            if isinstance(answer, outcomes.Refusal):
                return self._with_run_status(answer)
            if not isinstance(answer, FailedAttempt):
                if isinstance(answer, problems.Response) and answer.status < 500:
                    self._parts.quarantine.completed(self._scope.fingerprint)
                return answer
            is_last = not answer.may_retry or number >= self._limit
            if is_last or not self._parts.budgets.spend(service, repeatable=True):
                return self._with_run_status(answer.refusal)
        raise AssertionError("unreachable")

    @abc.abstractmethod
    def _attempt(self, number: int) -> application.Answer | FailedAttempt:
        """Make one attempt; a refusal ends the request.

        :param number: the number of the attempt, from 1.
        """

    def _outcome_unknown(self, code: str, detail: str) -> FailedAttempt:
        """Return the failure of an attempt that a backend server may have run."""
        self._record_run(outcomes.RunStatus.UNKNOWN)
        return FailedAttempt(
            failed_attempt_refusal(code, detail), may_retry=self._scope.dispatch.is_repeatable
        )

    def _record_run(self, run: outcomes.RunStatus) -> None:
        """Record the run status of one attempt; ``RAN`` is never replaced."""
        if self._run is not outcomes.RunStatus.RAN:
            self._run = run

    def _with_run_status(self, refusal: outcomes.Refusal) -> outcomes.Refusal:
        """Return the refusal with the run status of all attempts of the request.

        Guards against "not run" in the refusal of the last attempt if an earlier
        attempt was sent to a backend server.
        """
        return dataclasses.replace(refusal, run=self._run)


def fingerprint(team: str, request: application.CallerRequest) -> int:
    """Return the fingerprint by which a repetition of a request is recognized.

    :param team: the caller's team.
    """
    target = f"{request.path}?{request.query}".encode()
    return fingerprints.fingerprint(request.method.encode(), "", target, team, request.body)


def failed_attempt_refusal(code: str, detail: str) -> outcomes.Refusal:
    """Return the refusal of a request that its backend server did not answer.

    The run status is filled in by :class:`Attempts`.
    """
    return outcomes.Refusal(code, 502, detail, retry_after_s=FAILED_RETRY_S)
