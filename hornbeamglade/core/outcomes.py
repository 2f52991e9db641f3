"""Outcomes of requests, as immutable values."""

import dataclasses
import enum


class RunStatus(enum.Enum):
    """What is known of whether a backend server ran a request.

    ``NOT_RUN`` is a statement of fact: no byte of the request was offered to
    any backend server, or every server it was offered to refused it as not run.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The final answer to a request that gets no result.

    :param code: a stable lower-case identifier, such as ``queue_full``.
    :param http_status: the status for HTTP callers.
    :param detail: one sentence for a person.
    :param run: whether the request was run; never said without knowledge.
    :param retry_after_s: seconds until the caller may come back, or None.
    :param attempt_run: what is known of this attempt alone, where ``run`` speaks of
        all attempts with the same ``Idempotency-Key``; else None.
    :param is_lasting: whether ``retry_after_s`` may lie beyond what the caller waits for: to
        come back sooner is of no use.
    """

    code: str
    http_status: int
    detail: str
    run: RunStatus = RunStatus.NOT_RUN
    retry_after_s: float | None = None
    attempt_run: RunStatus | None = None
    is_lasting: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What the decisions know of one request before it starts.

    :param request_id: unique for each request, made by the entry node.
    :param service: the service's name in the configuration.
    :param team: the team's name in the configuration.
    :param priority: larger is more urgent; 0 is the lowest.
    :param prompt_tokens: tokens of the prompt (estimated at the border).
    :param max_tokens: the caller's bound on the answer, or None.
    :param prefix: hashes of the prompt's leading blocks, outermost first.
    """

    request_id: str
    service: str
    team: str
    priority: int
    prompt_tokens: int
    max_tokens: int | None = None
    prefix: tuple[int, ...] = ()
