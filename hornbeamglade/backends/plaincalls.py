"""One call of a plain service, passed through."""

import collections.abc
import dataclasses

import urllib3

from hornbeamglade.backends import links, outcomes
from hornbeamglade.core import outcomes as core_outcomes

DEFAULT_MAX_RESPONSE_BYTES = 8 << 20

Headers = tuple[tuple[str, str], ...]

#: Fields of one connection (RFC 9110, section 7.6.1), and those made anew for each.
_NOT_PASSED_ON = frozenset(
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

    :param path: quoted, from the service's root.
    :param query: quoted, without ``?``; empty for none.
    """

    method: str
    path: str
    query: str
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PlainResponse:
    """The service's whole answer, whatever its status."""

    status: int
    headers: Headers
    body: bytes


CallOutcome = PlainResponse | outcomes.NotRun | outcomes.Lost | outcomes.MismatchedResponse


def call(
    address: str,
    plain: PlainCall,
    request_id: str,
    timeouts: links.Timeouts,
    max_response_bytes: int = DEFAULT_MAX_RESPONSE_BYTES,
    cancellation: links.Cancellation | None = None,
) -> CallOutcome:
    """Pass one call to a service and wait for its whole answer.

    :param address: the backend server's ``ip:port``.
    :param request_id: unique for this attempt.
    """
    target = f"{plain.path}?{plain.query}" if plain.query else plain.path
    fields = urllib3.HTTPHeaderDict()
    for name, value in end_to_end(plain.headers):
        fields.add(name, value)
    offer = links.Offer(plain.method, target, fields, plain.body or None, request_id)
    link = links.offer(address, offer, timeouts, cancellation or links.Cancellation())
    if not isinstance(link, links.Link):
        return link
    try:
        return _answer(link, max_response_bytes)
    finally:
        link.close()


def end_to_end(headers: collections.abc.Iterable[tuple[str, str]]) -> Headers:
    """Leave out the fields that are one connection's own.

    Examples
    ========

    >>> end_to_end((("Connection", "close, X-Hop"), ("X-Hop", "1"), ("Accept", "*/*")))
    (('Accept', '*/*'),)
    """
    pairs = tuple(headers)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = _NOT_PASSED_ON | named
    return tuple((name, value) for name, value in pairs if name.lower() not in dropped)


def _answer(link: links.Link, limit: int) -> PlainResponse | outcomes.Lost:
    ran = core_outcomes.RunStatus.RAN
    try:
        body = links.read_body(link, limit)
    except links.ANSWER_ERRORS as error:
        return outcomes.Lost(f"the answer broke off: {error!r}", ran)
    if body is None:
        return outcomes.Lost(f"the answer is longer than {limit} bytes", ran)
    response = link.response
    return PlainResponse(response.status, end_to_end(response.headers.items()), body)
