"""Claims that precede the dispatch of requests that are not repeatable."""

import dataclasses
import hashlib

from hornbeamglade import claims
from hornbeamglade.callers import application, problems
from hornbeamglade.claims import claimstore, claimvalues
from hornbeamglade.configuration import models
from hornbeamglade.core import outcomes

KEY_HEADER = "idempotency-key"
MAX_KEY_LENGTH = 255
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
BARRED_RETRY_S = 1.0


class DispatchPermit:
    """Permission to dispatch one request, and the record of its outcome.

    Explanation
    ===========

    A repeatable request needs no claim, and neither does one without a key, as its
    caller cannot retry it under a key. A request without a key is still limited to a
    single dispatch by ``is_repeatable``.

    :param is_repeatable: whether the request may be dispatched more than once.
    :param store: the claims of this node.
    :param claim: the claim, or None if none is needed.
    """

    def __init__(
        self,
        is_repeatable: bool,
        store: claimstore.ClaimStore | None = None,
        claim: claimvalues.Claim | None = None,
    ) -> None:
        self.is_repeatable = is_repeatable
        self._store = store
        self._claim = claim
        self._may_have_run = False

    @property
    def is_recorded(self) -> bool:
        """Whether the response is recorded for a retry by the caller."""
        return self._claim is not None

    def may_dispatch(self) -> bool:
        """Return whether the request may be sent now; called right before each send."""
        if not self.is_repeatable and self._may_have_run:
            return False
        if self._claim is not None and not self._store.may_dispatch(self._claim):
            return False
        self._may_have_run = True
        return True

    def mark_not_run(self) -> None:
        """Record that the last dispatch was certainly not run."""
        self._may_have_run = False
        if self._claim is not None:
            self._store.note_not_run(self._claim)

    def record_response(self, answer: problems.Response) -> None:
        """Record the complete response."""
        if self._claim is None:
            return
        content_type = next(
            (value for name, value in answer.headers if name.lower() == "content-type"),
            "application/octet-stream",
        )
        recorded = claims.RecordedAnswer(answer.status, content_type, answer.body)
        self._store.finish(self._claim, recorded)

    def close(self) -> None:
        """Close the claim of a request without a recorded response; idempotent."""
        if self._claim is None:
            return
        if self._may_have_run:
            self._store.mark_unknown(self._claim)
        else:
            self._store.release(self._claim)


@dataclasses.dataclass(frozen=True, slots=True)
class OnceOnly:
    """Claims requests before they are dispatched.

    :param store: the claims of this node.
    """

    store: claimstore.ClaimStore

    def begin(
        self, team: str, name: str, service: models.Service, request: application.CallerRequest
    ) -> DispatchPermit | problems.Response | outcomes.Refusal:
        """Return a permit to dispatch, or the response that is already known.

        :param team: the caller's team.
        :param name: the service's name.
        :param service: determines whether its requests are repeatable.
        :param request: the request.
        """
        is_repeatable = service.repeatable or request.method in SAFE_METHODS
        key = request.header_by_name.get(KEY_HEADER, "")
        if len(key) > MAX_KEY_LENGTH:
            detail = f"the Idempotency-Key is longer than {MAX_KEY_LENGTH} characters"
            return outcomes.Refusal("idempotency_key_invalid", 400, detail)
        if is_repeatable:
            return DispatchPermit(is_repeatable=True)
        if not key:
            return _permit_without_key(name, service)
        outcome = self.store.claim(claims.ClaimKey(team, name, key), _fingerprint(request))
        if isinstance(outcome, claims.Granted):
            return DispatchPermit(False, self.store, outcome.claim)
        if isinstance(outcome, claims.Recorded):
            return _replayed(outcome.answer)
        if isinstance(outcome, outcomes.Refusal):
            return outcome
        return outcome.refusal


def before_claim(
    refusal: outcomes.Refusal, request: application.CallerRequest
) -> outcomes.Refusal:
    """Return a refusal that was made before the claim of the key was checked.

    Guards against "not run" for a key whose request has run: a retry may reach a node
    without a configuration, or with a configuration that refuses the request.
    """
    if KEY_HEADER not in request.header_by_name:
        return refusal
    attempt_run = refusal.run
    unknown = outcomes.RunStatus.UNKNOWN
    return dataclasses.replace(refusal, run=unknown, attempt_run=attempt_run)


def dispatch_barred_refusal() -> outcomes.Refusal:
    """Return the refusal of a request that may no longer be dispatched; it was not run."""
    detail = "the request could not be dispatched in time and will not be"
    return outcomes.Refusal("dispatch_barred", 503, detail, retry_after_s=BARRED_RETRY_S)


def _permit_without_key(name: str, service: models.Service) -> DispatchPermit | outcomes.Refusal:
    if service.idempotency_key == "required":
        detail = f"requests to {name} must carry an Idempotency-Key"
        return outcomes.Refusal("idempotency_key_required", 400, detail)
    return DispatchPermit(is_repeatable=False)


def _fingerprint(request: application.CallerRequest) -> str:
    digest = hashlib.sha256()
    for part in (request.method, request.path, request.query):
        digest.update(part.encode("utf-8", "surrogatepass") + b"\0")
    digest.update(request.body)
    return digest.hexdigest()


def _replayed(answer: claimvalues.RecordedAnswer) -> problems.Response:
    headers = (("Content-Type", answer.content_type), ("Idempotent-Replayed", "true"))
    return problems.Response(answer.http_status, headers, answer.body)
