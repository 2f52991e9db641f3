"""Value types of claims: keys, claims, answers and outcomes."""

import dataclasses
import hashlib
import json

from hornbeamglade.core import outcomes

ROW_PREFIX = "claims/"


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """Identifies requests that count as the same one.

    :param team: the caller's team; keys of different teams are independent.
    :param service: the service's name.
    :param idempotency_key: the caller's header value, as sent.

    Examples
    ========

    >>> ClaimKey("ab", "c", "k").row_key == ClaimKey("a", "bc", "k").row_key
    False
    """

    team: str
    service: str
    idempotency_key: str

    @property
    def row_key(self) -> str:
        """The row's key: a digest, so that its length and characters are bounded."""
        parts = json.dumps([self.team, self.service, self.idempotency_key])
        return ROW_PREFIX + hashlib.sha256(parts.encode()).hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The right of one attempt to dispatch the request of one key.

    :param row_key: the key of the claim's row in the table.
    :param fingerprint: a digest of the request.
    :param attempt: unique for each attempt.
    :param started_at: monotonic time, in seconds, before the claim's write was sent.
    :param version: the version of the claim's row.
    """

    row_key: str
    fingerprint: str
    attempt: str
    started_at: float
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """The backend server's answer, kept for a caller that repeats the request."""

    http_status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The attempt holds the claim; it may dispatch once ``may_dispatch`` allows it."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class Recorded:
    """The request has run, and this was its answer."""

    answer: RecordedAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class InProgress:
    """Another attempt with this key may be running."""

    retry_after_s: float

    @property
    def refusal(self) -> outcomes.Refusal:
        """The response to the caller."""
        return outcomes.Refusal(
            code="claim_in_progress",
            http_status=409,
            detail="a request with this idempotency key is in progress",
            run=outcomes.RunStatus.UNKNOWN,
            retry_after_s=self.retry_after_s,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """An attempt with this key was made, and its outcome will never be known."""

    @property
    def refusal(self) -> outcomes.Refusal:
        """The response to the caller."""
        return outcomes.Refusal(
            code="claim_outcome_unknown",
            http_status=409,
            detail="a request with this idempotency key was already tried; outcome unknown",
            run=outcomes.RunStatus.UNKNOWN,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class KeyReused:
    """The key belongs to a different request."""

    @property
    def refusal(self) -> outcomes.Refusal:
        """The response to the caller."""
        return outcomes.Refusal(
            code="idempotency_key_reused",
            http_status=422,
            detail="this idempotency key was used for a different request",
        )


ClaimOutcome = Granted | Recorded | InProgress | OutcomeUnknown | KeyReused | outcomes.Refusal


def claims_unavailable(retry_after_s: float) -> outcomes.Refusal:
    """Return the response to a request whose claim could not be written.

    The caller may be retrying after it lost the response of an earlier attempt. If it were
    told "not run" for a key that did run, it would send the same request again under another
    key.

    :param retry_after_s: seconds after which the caller may retry.
    """
    return outcomes.Refusal(
        code="claims_unavailable",
        http_status=503,
        detail="this attempt was not run: its claim cannot be written now; "
        "whether an earlier attempt with the same key ran cannot be read",
        run=outcomes.RunStatus.UNKNOWN,
        retry_after_s=retry_after_s,
        attempt_run=outcomes.RunStatus.NOT_RUN,
    )


def claim_unreadable(retry_after_s: float) -> outcomes.Refusal:
    """Return the response if the key was used before and its row cannot be read.

    :param retry_after_s: seconds after which the caller may retry.
    """
    return outcomes.Refusal(
        code="claim_unreadable",
        http_status=503,
        detail="a request with this idempotency key was made before; "
        "whether it has run cannot be read now",
        run=outcomes.RunStatus.UNKNOWN,
        retry_after_s=retry_after_s,
    )


def answer_unreadable(retry_after_s: float) -> outcomes.Refusal:
    """Return the response if the recorded answer cannot be read.

    :param retry_after_s: seconds after which the caller may retry.
    """
    return outcomes.Refusal(
        code="recorded_answer_unreadable",
        http_status=503,
        detail="the request has run; its recorded answer cannot be read now",
        run=outcomes.RunStatus.RAN,
        retry_after_s=retry_after_s,
    )
