"""Complete responses to callers: a replica's response, or a refusal as problem details."""

import dataclasses

from hornbeamglade.callers import problems
from hornbeamglade.core import outcomes
from hornbeamglade.http1 import exchanges, fields

RETRY_AFTER = "Retry-After"


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A replica's complete response, forwarded to the caller.

    :param status: HTTP status.
    :param fields: header fields to forward.
    :param body: the whole body, in segments.
    """

    status: int
    fields: fields.Fields
    body: tuple[bytes, ...]


async def refuse(exchange: exchanges.Exchange, refusal: outcomes.Refusal, request_id: str) -> None:
    """Respond to a request with a refusal."""
    response = problems.render(refusal, request_id)
    await exchange.answer(response.status, _fields(response, refusal), response.body)


def _fields(response: problems.Response, refusal: outcomes.Refusal) -> fields.Fields:
    kept = [(name, value) for name, value in response.headers if name != RETRY_AFTER]
    if refusal.retry_after_s is not None:
        # Callers of the routed path accept fractions of a second. Rounded up to a whole
        # second, the delay would often exceed the time that they wait in total.
        kept.append((RETRY_AFTER, f"{refusal.retry_after_s:.2f}"))
    return tuple((name.encode(), value.encode()) for name, value in kept)
