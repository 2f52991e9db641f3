"""Refusals of requests that leave the queue without being run."""

from hornbeamglade.core import outcomes

_DETAIL_BY_CODE = {
    "cannot_start_in_time": "the queue is too long for the request to start in time",
    "deadline_passed": "the request did not start before its deadline",
    "displaced": "the queue is full and other teams are below their share",
    "queue_full": "as many requests wait as may wait",
    "team_queue_full": "as many requests of this team wait as may wait",
}
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503


def refusal(code: str, retry_after_s: float) -> outcomes.Refusal:
    """Return the refusal for ``code``.

    A request that is still in the queue was never sent to a backend server, so it is known
    that it was not run.

    Examples
    ========

    >>> refusal("queue_full", 2.0).http_status, refusal("team_queue_full", 2.0).http_status
    (503, 429)
    """
    status = _TOO_MANY_REQUESTS if code == "team_queue_full" else _UNAVAILABLE
    detail = _DETAIL_BY_CODE[code]
    return outcomes.Refusal(code, status, detail, outcomes.RunStatus.NOT_RUN, retry_after_s)
