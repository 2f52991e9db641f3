"""Forwards one call to a plain service."""

import collections.abc
import dataclasses

import urllib3

from hornbeamglade.backends import httpexchange, outcomes
from hornbeamglade.core import outcomes as core_outcomes

DEFAULT_MAX_RESPONSE_BYTES = 8 << 20

Headers = tuple[tuple[str, str], ...]

#: Connection-specific fields (RFC 9110, section 7.6.1), and fields set per connection.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class PlainCall:
    """A call as the caller made it.

    :param method: the HTTP method.
    :param path: percent-encoded, from the service's root.
    :param query: percent-encoded, without ``?``; empty for none.
    :param headers: the header fields.
    :param body: the body; may be empty.
    """

    method: str
    path: str
    query: str
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PlainResponse:
    """The service's complete response, with any status.

    :param is_end_stated: whether the response itself states its end; otherwise it is complete only
        if the service closed the connection for no other cause.
    """

    status: int
    headers: Headers
    body: bytes
    is_end_stated: bool = True


CallOutcome = PlainResponse | outcomes.NotRun | outcomes.Lost | outcomes.MismatchedResponse


def call(
    address: str,
    plain: PlainCall,
    request_id: str,
    timeouts: httpexchange.Timeouts,
    max_response_bytes: int = DEFAULT_MAX_RESPONSE_BYTES,
    cancellation: httpexchange.Cancellation | None = None,
) -> CallOutcome:
    """Forward one call to a service and wait for its complete response.

    :param address: the backend server's ``ip:port``.
    :param plain: the call.
    :param request_id: unique for this attempt.
    :param timeouts: of the connection and the response.
    :param max_response_bytes: the longest response body that is accepted.
    :param cancellation: lets another thread cancel the call at any time.
    """
    target = f"{plain.path}?{plain.query}" if plain.query else plain.path
    fields = urllib3.HTTPHeaderDict()
    for name, value in end_to_end_fields(plain.headers):
        fields.add(name, value)
    request = httpexchange.OutgoingRequest(
        plain.method, target, fields, plain.body or None, request_id
    )
    exchange = httpexchange.send_request(
        address, request, timeouts, cancellation or httpexchange.Cancellation()
    )
    if not isinstance(exchange, httpexchange.HttpExchange):
        return exchange
    try:
        return _read_response(exchange, max_response_bytes)
    finally:
        exchange.close()


def end_to_end_fields(headers: collections.abc.Iterable[tuple[str, str]]) -> Headers:
    """Return the header fields without the hop-by-hop ones.

    Examples
    ========

    >>> end_to_end_fields((("Connection", "close, X-Hop"), ("X-Hop", "1"), ("Accept", "*/*")))
    (('Accept', '*/*'),)
    """
    pairs = tuple(headers)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = _HOP_BY_HOP | named
    return tuple((name, value) for name, value in pairs if name.lower() not in dropped)


def _read_response(
    exchange: httpexchange.HttpExchange, limit: int
) -> PlainResponse | outcomes.Lost:
    ran = core_outcomes.RunStatus.RAN
    try:
        body = httpexchange.read_body(exchange, limit)
    except httpexchange.RESPONSE_ERRORS as error:
        return outcomes.Lost(f"the answer broke off: {error!r}", ran)
    if body is None:
        return outcomes.Lost(f"the answer is longer than {limit} bytes", ran)
    if exchange.cancellation.cancelled and not exchange.is_end_stated:
        # The cancellation ended the connection, which looks like the end of the answer.
        return outcomes.Lost("the call was cancelled within its answer", ran)
    response = exchange.response
    fields = end_to_end_fields(response.headers.items())
    return PlainResponse(response.status, fields, body, exchange.is_end_stated)
