"""The attempts of one request, one after the other, and what is known of them all."""

import abc
import dataclasses
import itertools

from hornbeamglade.callers import application, problems
from hornbeamglade.core import outcomes
from hornbeamglade.node import requestscope
from hornbeamglade.quarantine import fingerprints

FAILED_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """One attempt gave no answer.

    :param refusal: what the caller hears if no other attempt follows.
    :param may_repeat: whether another attempt is safe.
    """

    refusal: outcomes.Refusal
    may_repeat: bool


class Attempts(abc.ABC):
    """Tries a request until there is an answer, or no other attempt may follow.

    :param scope: what the request holds.
    :param most: attempts at the most, whatever the retry budget allows.
    """

    def __init__(self, scope: requestscope.RequestScope, most: int) -> None:
        self._scope = scope
        self._parts = scope.parts
        self._most = most
        self._run = outcomes.RunStatus.NOT_RUN

    def run(self) -> application.Answer:
        """Return the answer, or the refusal that is true of all attempts together."""
        service = self._scope.service_name
        self._parts.budgets.requested(service)
        for number in itertools.count(1):
            refusal = self._parts.quarantine.refusal(self._scope.fingerprint)
            if refusal is not None:
                return self._truthful(refusal)
            answer = self._attempt(number)
            if isinstance(answer, outcomes.Refusal):
                return self._truthful(answer)
            if not isinstance(answer, Failed):
                if isinstance(answer, problems.Response) and answer.status < 500:
                    self._parts.quarantine.completed(self._scope.fingerprint)
                return answer
            is_last = not answer.may_repeat or number >= self._most
            if is_last or not self._parts.budgets.spend(service, repeatable=True):
                return self._truthful(answer.refusal)
        raise AssertionError("unreachable")

    @abc.abstractmethod
    def _attempt(self, number: int) -> application.Answer | Failed:
        """Try once; a refusal ends the request.

        :param number: counts from 1.
        """

    def _maybe_ran(self, code: str, detail: str) -> Failed:
        """Return the failure of an attempt that a backend server may have run."""
        self._note_run(outcomes.RunStatus.UNKNOWN)
        return Failed(
            unanswered_refusal(code, detail), may_repeat=self._scope.dispatch.is_repeatable
        )

    def _note_run(self, run: outcomes.RunStatus) -> None:
        """Note what is known of one attempt; what is known to have run stays so."""
        if self._run is not outcomes.RunStatus.RAN:
            self._run = run

    def _truthful(self, refusal: outcomes.Refusal) -> outcomes.Refusal:
        """Say of the whole request what is known over all its attempts.

        Guards against "not run" from the last attempt's refusal when an earlier
        attempt was offered to a backend server.
        """
        return dataclasses.replace(refusal, run=self._run)


def fingerprint(team: str, request: application.CallerRequest) -> int:
    """Return what a request is known by when it comes again.

    :param team: its caller's.
    """
    target = f"{request.path}?{request.query}".encode()
    return fingerprints.fingerprint(request.method.encode(), "", target, team, request.body)


def unanswered_refusal(code: str, detail: str) -> outcomes.Refusal:
    """Return the refusal of a request that its backend server did not answer.

    What is known of its run is filled in by :class:`Attempts`.
    """
    return outcomes.Refusal(code, 502, detail, retry_after_s=FAILED_RETRY_S)
