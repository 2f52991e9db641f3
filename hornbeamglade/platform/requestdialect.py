"""Decodes the platform's request and response headers, and encodes those of dispatches."""

import re

from hornbeamglade.core import outcomes
from hornbeamglade.http1 import callerrequests, clientside, fields
from hornbeamglade.replicas import advisories, ratelimits, refusals
from hornbeamglade.routed import calls, dialect

REQUEST_INVALID = "request_invalid"
DEFAULT_DEADLINE_S = 60.0
"""For callers that do not state a deadline; the route's own timeout is shorter."""

_MS = 1000

_REQUEST_ID = b"attempt-id"
_TIME_LEFT = b"deadline-ms"
_KEY = b"authorization"
_LAST_EVENT = b"last-event-id"
# The id of the attempt that brought the first event of the stream that a caller takes up.
_RESUMED = b"resumes"
_MODEL = b"model"
# Two numbers: tokens of the prompt, and the maximum number of tokens of the answer.
_TOKENS = b"token-usage"
# The parts of the prompt in order, as ID:TOKENS.
_PARTS = b"prompt-prefix"
# The caller's estimate of the answer's length in tokens.
_LENGTH_ESTIMATE = b"length-hint"

_SEAL = b"response-seal"
_NOT_RUN = b"not-executed"
# Requests running, requests waiting and slots; a fourth figure may state how long work currently
# takes on the machine, in percent of the normal time.
_LOAD = b"replica-load"
# Requests per second from all instances together, as a decimal number.
_LIMIT = b"server-limit"
# Requests that may be turned away for want of room in one second, as a decimal number.
_BRITTLE = b"server-brittle"
_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
_MISDIRECTED = 421
_UNAVAILABLE = 503

# Set only by this system; values sent by callers are discarded.
_RESERVED = frozenset(
    (
        b"authorization",
        b"content-length",
        b"deadline-ms",
        b"expect",
        b"expect-instance",
        b"expect-version",
        b"hold",
        b"pin-ms",
        b"request-priority",
        b"tenant",
    )
)
_RESERVED_BEGINNING = b"kv-"

LOAD_INVALID = "replica_load_invalid"
LOADS_SEVERAL = "replica_load_several"
SLOWDOWN_INVALID = "replica_slowdown_invalid"
MAX_LOAD_COUNT = 100_000
"""No server holds more requests. A replica with a larger figure would get no requests as long as
it reports it, so the figure is not used."""

MAX_SLOWDOWN_PERCENT = 10_000

LIMIT_INVALID = "server_limit_invalid"
TOLERANCE_INVALID = "server_brittle_invalid"
TOLERANCES_SEVERAL = "server_brittle_several"
LIMITS_SEVERAL = "server_limits_several"
RETRY_AFTER_INVALID = "retry_after_invalid"
RETRY_AFTER_SEVERAL = "retry_after_several"
RETRY_AFTER_TOO_LONG = "retry_after_too_long"
DEFAULT_BACKOFF_S = 1.0
"""Replaces a malformed time, as the replica wants some pause."""

MAX_BACKOFF_S = 3600.0
"""Replaces a longer time, which would remove the replica for good."""

_DECIMAL = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{0,9})?", re.ASCII)
_DIGITS = re.compile(rb"[0-9]{1,12}", re.ASCII)


class PlatformDialect(dialect.Dialect):
    """The platform's header format."""

    def parse_request(self, request: callerrequests.Request) -> calls.Call | outcomes.Refusal:
        """Parse a caller's request."""
        request_ids = fields.values(request.fields, _REQUEST_ID)
        if len(request_ids) != 1 or not request_ids[0]:
            return _invalid("the request has no single id")
        time_left = fields.value(request.fields, _TIME_LEFT)
        if time_left is not None and not _DIGITS.fullmatch(time_left):
            return _invalid("the time left is not a number of milliseconds")
        resumed_ids = fields.values(request.fields, _RESUMED)
        if len(resumed_ids) > 1 or b"" in resumed_ids:
            return _invalid("the attempt whose stream is taken up is not named once")
        remaining_s = DEFAULT_DEADLINE_S if time_left is None else int(time_left) / _MS
        try:
            generation = _generation(request.fields)
        except ValueError as error:
            return _invalid(str(error))
        return calls.Call(
            request_id=_text(request_ids[0]),
            host=_text(fields.value(request.fields, b"host") or b""),
            method=request.method,
            target=request.target,
            fields=_passed_on(request.fields),
            body=request.body,
            arrived_at=request.arrived_at,
            deadline=request.arrived_at + remaining_s,
            authorization=_optional_text(request.fields, _KEY),
            generation=generation,
            last_event_id=_optional_text(request.fields, _LAST_EVENT),
            resumed_id=_text(resumed_ids[0]) if resumed_ids else None,
        )

    def dispatch_fields(self, call: calls.Call, dispatch: calls.Dispatch) -> fields.Fields:
        """Return the header fields of a request that is dispatched to a replica."""
        sent = [(b"Deadline-Ms", b"%d" % max(1, int(dispatch.remaining_s * _MS)))]
        sent.append((b"Expect-Instance", dispatch.replica_name.encode()))
        if dispatch.team is not None:
            sent.append((b"Tenant", dispatch.team.encode()))
        if dispatch.urgency is not None:
            sent.append((b"Request-Priority", b"%d" % dispatch.urgency))
        if dispatch.copy is not None:
            source = f"{dispatch.copy.source_address}/{dispatch.copy.name}"
            sent.append((b"Kv-From", source.encode()))
        if dispatch.last_event_id is None:
            return (*call.fields, *sent)
        sent.append((b"Last-Event-Id", dispatch.last_event_id.encode()))
        return (*fields.without(call.fields, (_LAST_EVENT,)), *sent)

    def parse_response_head(self, head: clientside.ResponseHead) -> calls.ResponseHead:
        """Parse the head of a replica's response."""
        is_marked = fields.value(head.fields, _NOT_RUN) is not None
        encoding = fields.value(head.fields, b"content-encoding")
        reported_load, load_problem = _load(fields.values(head.fields, _LOAD))
        return calls.ResponseHead(
            status=head.status,
            fields=fields.without(fields.end_to_end(head.fields), (b"content-length",)),
            request_id=_answered_id(head.fields),
            is_sealed=fields.value(head.fields, _SEAL) is not None,
            is_not_run=is_marked or head.status == _MISDIRECTED,
            is_encoded=encoding not in (None, b"identity"),
            load=reported_load,
            advisory=advisory(head),
            is_misdirected=head.status == _MISDIRECTED,
            load_problem=load_problem,
        )


def _passed_on(request_fields: fields.Fields) -> fields.Fields:
    return tuple(
        field
        for field in fields.without(fields.end_to_end(request_fields), _RESERVED)
        if not field[0].lower().startswith(_RESERVED_BEGINNING)
    )


def _generation(request_fields: fields.Fields) -> calls.Generation | None:
    usage = fields.value(request_fields, _TOKENS)
    if usage is None:
        return None
    counts = usage.split(b",")
    if len(counts) != 2 or not all(_DIGITS.fullmatch(each.strip()) for each in counts):
        raise ValueError("the numbers of tokens cannot be read")
    estimate = fields.value(request_fields, _LENGTH_ESTIMATE)
    is_number = estimate is not None and _DIGITS.fullmatch(estimate)
    return calls.Generation(
        model=_text(fields.value(request_fields, _MODEL) or b""),
        prompt_tokens=int(counts[0]),
        max_tokens=int(counts[1]),
        parts=_parts(fields.value(request_fields, _PARTS)),
        # Only an estimate, so a malformed one is ignored.
        expected_tokens=int(estimate) if is_number else None,
    )


def _parts(listed: bytes | None) -> tuple[calls.PromptPart, ...]:
    if not listed:
        return ()
    parts = []
    for entry in listed.split(b","):
        name, _, tokens = entry.strip().partition(b":")
        if not _DIGITS.fullmatch(tokens):
            raise ValueError("the parts of the prompt cannot be read")
        parts.append(calls.PromptPart(_text(name), int(tokens)))
    return tuple(parts)


def _load(values: tuple[bytes, ...]) -> tuple[calls.Load | None, str | None]:
    """Return the load that a replica reports, and the code of a problem; None for neither."""
    if not values:
        return None, None
    if len(values) > 1:
        return None, LOADS_SEVERAL
    figures = [each.strip() for each in values[0].split(b",")]
    if len(figures) not in (3, 4) or not all(_DIGITS.fullmatch(each) for each in figures[:3]):
        return None, LOAD_INVALID
    counts = [int(each) for each in figures[:3]]
    if max(counts) > MAX_LOAD_COUNT:
        return None, LOAD_INVALID
    if len(figures) == 3:
        return calls.Load(*counts), None
    percent = float(figures[3]) if _DECIMAL.fullmatch(figures[3]) else 0.0
    if not 0.0 < percent <= MAX_SLOWDOWN_PERCENT:
        return calls.Load(*counts), SLOWDOWN_INVALID
    return calls.Load(*counts, percent / 100.0), None


def rate_limit(answer_fields: fields.Fields) -> ratelimits.RateLimit | None:
    """Return the rate limit in a response head, or None.

    Of several limits the lowest applies. A malformed one counts as 0, since only an overloaded
    replica sends any.

    Examples
    ========

    >>> rate_limit(((b"Server-Limit", b"2.2"),))
    RateLimit(requests_per_s=2.2, problem=None)
    >>> rate_limit(((b"Server-Limit", b"-1"),))
    RateLimit(requests_per_s=0.0, problem='server_limit_invalid')
    >>> rate_limit(()) is None
    True
    """
    limits = [each.strip() for each in fields.values(answer_fields, _LIMIT)]
    if not limits:
        return None
    if not all(_DECIMAL.fullmatch(each) for each in limits):
        return ratelimits.RateLimit(0.0, LIMIT_INVALID)
    problem = LIMITS_SEVERAL if len(limits) > 1 else None
    return ratelimits.RateLimit(min(map(float, limits)), problem)


def tolerance(answer_fields: fields.Fields) -> refusals.Tolerance | None:
    """Return the tolerated refusals in a response head, or None.

    Of several numbers the lowest applies. A malformed one counts as 0, since only a replica that
    may crash sends any.

    Examples
    ========

    >>> tolerance(((b"Server-Brittle", b"5"),))
    Tolerance(refusals_per_s=5.0, problem=None)
    >>> tolerance(((b"Server-Brittle", b"few"),))
    Tolerance(refusals_per_s=0.0, problem='server_brittle_invalid')
    """
    numbers = [each.strip() for each in fields.values(answer_fields, _BRITTLE)]
    if not numbers:
        return None
    if not all(_DECIMAL.fullmatch(each) for each in numbers):
        return refusals.Tolerance(0.0, TOLERANCE_INVALID)
    problem = TOLERANCES_SEVERAL if len(numbers) > 1 else None
    return refusals.Tolerance(min(map(float, numbers)), problem)


def advisory(head: clientside.ResponseHead) -> advisories.Advisory:
    """Return what a replica states about itself in a response head."""
    return advisories.Advisory(
        is_leaving=any(each.strip() != b"0" for each in fields.values(head.fields, _LEAVING)),
        backoff=_backoff(head),
        limit=rate_limit(head.fields),
        tolerance=tolerance(head.fields),
        is_refusal=head.status == _UNAVAILABLE and fields.value(head.fields, _NOT_RUN) is not None,
    )


def _backoff(head: clientside.ResponseHead) -> advisories.Backoff | None:
    """Return the time that a refusal asks for; of several times the longest applies."""
    times = [each.strip() for each in fields.values(head.fields, _RETRY_AFTER)]
    if head.status != _UNAVAILABLE or not times:
        return None
    if not all(_DECIMAL.fullmatch(each) for each in times):
        return advisories.Backoff(DEFAULT_BACKOFF_S, RETRY_AFTER_INVALID)
    seconds = max(map(float, times))
    if seconds > MAX_BACKOFF_S:
        return advisories.Backoff(MAX_BACKOFF_S, RETRY_AFTER_TOO_LONG)
    if not seconds:
        return None
    return advisories.Backoff(seconds, RETRY_AFTER_SEVERAL if len(times) > 1 else None)


def _answered_id(all_fields: fields.Fields) -> str | None:
    """Return the id of the answered request; empty if a head states several."""
    stated = fields.values(all_fields, _REQUEST_ID)
    if len(stated) > 1:
        return ""
    return _text(stated[0]) if stated else None


def _invalid(detail: str) -> outcomes.Refusal:
    return outcomes.Refusal(REQUEST_INVALID, 400, detail)


def _text(value: bytes) -> str:
    return value.decode("latin-1")


def _optional_text(all_fields: fields.Fields, name: bytes) -> str | None:
    value = fields.value(all_fields, name)
    return None if value is None else _text(value)
