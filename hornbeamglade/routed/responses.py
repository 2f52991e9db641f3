"""Whole answers to callers: a replica's, or the node's own refusal as problem details."""

import dataclasses

from hornbeamglade.callers import problems
from hornbeamglade.core import outcomes
from hornbeamglade.http1 import fields, serverside

RETRY_AFTER = "Retry-After"


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A replica's whole answer, to be passed on.

    :param status: its status.
    :param fields: what is passed on to the caller.
    :param body: its whole body.
    """

    status: int
    fields: fields.Fields
    body: bytes


async def refuse(
    exchange: serverside.Exchange, refusal: outcomes.Refusal, request_id: str
) -> None:
    """Answer a request with a refusal."""
    response = problems.render(refusal, request_id)
    await exchange.answer(response.status, _fields(response, refusal), response.body)


def _fields(response: problems.Response, refusal: outcomes.Refusal) -> fields.Fields:
    kept = [(name, value) for name, value in response.headers if name != RETRY_AFTER]
    if refusal.retry_after_s is not None:
        # Callers of the routed path take fractions of a second; rounded up to a whole one
        # the time to come back would often lie beyond what they wait for at all.
        kept.append((RETRY_AFTER, f"{refusal.retry_after_s:.2f}"))
    return tuple((name.encode(), value.encode()) for name, value in kept)
