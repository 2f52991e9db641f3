"""What a replica's refusal proves about the request that was sent to it.

Explanation
===========

A replica may send bytes that belong to no request, also after a complete response and late, when
the connection already carries the next request. A refusal therefore proves that a request has not
run only if it is known to be the response to this very attempt. A refusal with the request's id is
one to an attempt of this request, and the first response on a connection is one to no earlier
attempt. A request that is sent again to an address gets a new connection, as a late copy of the
refusal before would carry its id too. Nor does a later request with the id of a refused one, as
some callers send it, use the connection of that refusal.

The refusal must also have been received to its end, since one that breaks off is evidence of a
fault, and it must not contradict itself: a refusal has a status of refusals and no proof of a
response.

Anything else proves nothing: the request may be running.
"""

import http

from hornbeamglade.core import outcomes
from hornbeamglade.routed import calls

REFUSAL_STATUSES = outcomes.NOT_RUN_STATUSES | {http.HTTPStatus.BAD_REQUEST}
"""Statuses with which a replica may state that it did not run a request."""


def run_status(
    head: calls.ResponseHead, request_id: str, *, is_first_response: bool
) -> outcomes.RunStatus:
    """Return whether a request has run, given a whole response that states that it has not.

    :param head: the head of the response.
    :param request_id: id of the request that was sent on the connection last.
    :param is_first_response: whether the connection carried no response before.

    Examples
    ========

    >>> refusal = calls.ResponseHead(503, (), None, is_sealed=False, is_not_run=True)
    >>> run_status(refusal, "r1", is_first_response=True).value
    'not_run'
    >>> run_status(refusal, "r1", is_first_response=False).value
    'unknown'
    """
    is_refusal = head.is_not_run and not head.is_sealed and head.status in REFUSAL_STATUSES
    if not is_refusal:
        return outcomes.RunStatus.UNKNOWN
    is_own = is_first_response if head.request_id is None else head.request_id == request_id
    return outcomes.RunStatus.NOT_RUN if is_own else outcomes.RunStatus.UNKNOWN
