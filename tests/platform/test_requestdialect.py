"""Headers of requests and responses on the platform."""

import pytest

from hornbeamglade.core import outcomes
from hornbeamglade.http1 import callerrequests, clientside
from hornbeamglade.platform import requestdialect
from hornbeamglade.routed import calls

DIALECT = requestdialect.PlatformDialect()
PLAIN = ((b"Host", b"a.example"), (b"Attempt-Id", b"r1"), (b"Deadline-Ms", b"1500"))
GENERATION = (
    (b"Model", b"m"),
    (b"Token-Usage", b"1460,80"),
    (b"Prompt-Prefix", b"5c:800,91:410, e4:250"),
    (b"Length-Hint", b"40"),
)


def request(*fields):
    return callerrequests.Request(b"POST", b"/x?y=1", (*PLAIN, *fields), b"body", 10.0)


def test_request_is_parsed():
    call = DIALECT.parse_request(request((b"Authorization", b"Bearer k"), *GENERATION))
    assert (call.request_id, call.host, call.deadline) == ("r1", "a.example", 11.5)
    assert call.authorization == "Bearer k"
    parts = tuple(calls.PromptPart(*part) for part in (("5c", 800), ("91", 410), ("e4", 250)))
    assert call.generation == calls.Generation("m", 1460, 80, parts, 40)


@pytest.mark.parametrize(
    "name",
    [
        b"Authorization",
        b"Tenant",
        b"tenant",
        b"Hold",
        b"Pin-Ms",
        b"Kv-From",
        b"KV-BACKUP",
        b"Kv-Fetch",
        b"Expect-Instance",
        b"Expect-Version",
        b"Request-Priority",
        b"Deadline-Ms",
        b"Connection",
        b"Keep-Alive",
        b"Transfer-Encoding",
        b"Content-Length",
        b"TE",
    ],
)
def test_reserved_headers_of_callers_are_dropped(name):
    """A caller sends the name of another tenant, or of another caller's KV cache copy.

    If the header were forwarded, a replica would trust it.
    """
    passed = DIALECT.parse_request(request((name, b"forged"))).fields
    assert b"forged" not in [value for _, value in passed]


def test_headers_listed_in_connection_are_dropped():
    passed = DIALECT.parse_request(
        request((b"Connection", b"X-Hop, close"), (b"X-Hop", b"1"))
    ).fields
    assert [name for name, _ in passed] == [b"Host", b"Attempt-Id"]


def test_other_headers_are_forwarded_unchanged():
    passed = DIALECT.parse_request(request((b"X-oDD", b"  v "), *GENERATION)).fields
    assert (b"X-oDD", b"  v ") in passed
    assert set(GENERATION) <= set(passed)


@pytest.mark.parametrize(
    "fields",
    [
        ((b"Host", b"a"),),
        ((b"Host", b"a"), (b"Attempt-Id", b"")),
        ((b"Host", b"a"), (b"Attempt-Id", b"r1"), (b"Attempt-Id", b"r2")),
        (*PLAIN[:2], (b"Deadline-Ms", b"soon")),
        (*PLAIN[:2], (b"Deadline-Ms", b"-5")),
        (*PLAIN, (b"Token-Usage", b"12")),
        (*PLAIN, (b"Token-Usage", b"12,x")),
        (*PLAIN, (b"Token-Usage", b"1,2"), (b"Prompt-Prefix", b"5c")),
    ],
)
def test_malformed_request_is_refused(fields):
    refusal = DIALECT.parse_request(callerrequests.Request(b"GET", b"/", fields, b"", 0.0))
    assert isinstance(refusal, outcomes.Refusal)
    assert (refusal.http_status, refusal.run) == (400, outcomes.RunStatus.NOT_RUN)


def test_malformed_estimate_is_ignored():
    fields = (*GENERATION[:2], (b"Length-Hint", b"many"))
    assert DIALECT.parse_request(request(*fields)).generation.expected_tokens is None


def test_dispatch_states_the_remaining_time_and_the_replica():
    call = DIALECT.parse_request(request((b"Last-Event-Id", b"3")))
    copy = calls.KvCopy("10.0.0.1:80", "h1")
    dispatch = calls.Dispatch("i-1", "clinic", 1.2345, 2, "9", copy)
    value_by_name = dict(DIALECT.dispatch_fields(call, dispatch))
    assert value_by_name == {
        b"Host": b"a.example",
        b"Attempt-Id": b"r1",
        b"Deadline-Ms": b"1234",
        b"Expect-Instance": b"i-1",
        b"Tenant": b"clinic",
        b"Request-Priority": b"2",
        b"Kv-From": b"10.0.0.1:80/h1",
        b"Last-Event-Id": b"9",
    }


def test_dispatch_keeps_the_callers_last_event_id():
    call = DIALECT.parse_request(request((b"Last-Event-Id", b"3")))
    sent = DIALECT.dispatch_fields(call, calls.Dispatch("i-1", None, 1.0))
    assert (b"Last-Event-Id", b"3") in sent


def head(status, *fields):
    return DIALECT.parse_response_head(clientside.ResponseHead(status, fields))


def test_response_head_is_parsed():
    answer = head(
        200,
        (b"Attempt-Id", b"r1"),
        (b"Response-Seal", b"s"),
        (b"Replica-Load", b"3, 1,8"),
        (b"Content-Length", b"5"),
        (b"Keep-Alive", b"timeout=5"),
    )
    assert (answer.request_id, answer.is_sealed, answer.is_not_run) == ("r1", True, False)
    assert answer.load == calls.Load(3, 1, 8)
    names = [name for name, _ in answer.fields]
    assert names == [b"Attempt-Id", b"Response-Seal", b"Replica-Load"]


@pytest.mark.parametrize(
    "values",
    [
        *((each,) for each in (b"", b"1,2", b"a,b,c", b"-1,0,8", b"1,2,3,100,5", b"1,2,3,4,5")),
        *((each,) for each in (b"1000000000,0,8", b"1,0,8" + b"9" * 400, b"x,1,8,100")),
        (b"1,0,8", b"2,0,8"),
    ],
)
def test_malformed_load_is_ignored_and_named(values):
    """A replica that reports 10^9 requests would get none for as long as it does."""
    answer = head(200, *((b"Replica-Load", each) for each in values))
    assert answer.load is None
    assert answer.load_problem is not None


@pytest.mark.parametrize(
    ("figure", "slowdown"),
    [(b"100", 1.0), (b" 250", 2.5), (b"70", 0.7), (b"112.5", 1.125), (b"10000", 100.0)],
)
def test_fourth_figure_of_the_load_is_the_slowdown(figure, slowdown):
    """All load headers with four figures were dropped."""
    answer = head(200, (b"Replica-Load", b"3,1,8," + figure))
    assert (answer.load, answer.load_problem) == (calls.Load(3, 1, 8, slowdown), None)


@pytest.mark.parametrize(
    "figure",
    [b"", b"0", b"0.0", b"-5", b"nan", b"inf", b"1e3", b"10001", b"1000000000", b"7" * 300, b"%"],
)
def test_unusable_slowdown_leaves_the_other_figures(figure):
    answer = head(200, (b"Replica-Load", b"3,1,8," + figure))
    assert answer.load == calls.Load(3, 1, 8)
    assert answer.load_problem == requestdialect.SLOWDOWN_INVALID


def test_response_without_a_load_has_no_problem():
    assert (head(200).load, head(200).load_problem) == (None, None)


def test_not_run_requires_its_header_or_a_misdirected_status():
    """A replica responds 503 to a request that it has run.

    If the status alone meant "not run", the caller would repeat a non-repeatable request.
    """
    assert not head(503).is_not_run
    assert head(503, (b"Not-Executed", b"1")).is_not_run
    assert head(421).is_not_run


def test_content_encoding_marks_the_body_as_encoded():
    assert head(200, (b"Content-Encoding", b"gzip")).is_encoded
    assert not head(200, (b"Content-Encoding", b"identity")).is_encoded


@pytest.mark.parametrize(
    ("named", "requests_per_s", "problem"),
    [
        ((b"2.2",), 2.2, None),
        ((b" 12 ",), 12.0, None),
        ((b"0",), 0.0, None),
        ((b"3.", b"1.5"), 1.5, requestdialect.LIMITS_SEVERAL),
        ((b"-1",), 0.0, requestdialect.LIMIT_INVALID),
        ((b"",), 0.0, requestdialect.LIMIT_INVALID),
        ((b"many",), 0.0, requestdialect.LIMIT_INVALID),
        ((b"1e9",), 0.0, requestdialect.LIMIT_INVALID),
        ((b"inf",), 0.0, requestdialect.LIMIT_INVALID),
        ((b"nan",), 0.0, requestdialect.LIMIT_INVALID),
        ((b"1,5",), 0.0, requestdialect.LIMIT_INVALID),
        ((b"2", b"x"), 0.0, requestdialect.LIMIT_INVALID),
        ((b"\xd9\xa3",), 0.0, requestdialect.LIMIT_INVALID),
    ],
)
def test_limit_is_parsed_and_a_malformed_one_counts_as_zero(named, requests_per_s, problem):
    """A malformed limit of an overloaded server must not be misread as a high one."""
    head = clientside.ResponseHead(200, tuple((b"Server-Limit", each) for each in named))
    limit = DIALECT.parse_response_head(head).advisory.limit
    assert (limit.requests_per_s, limit.problem) == (requests_per_s, problem)


def test_response_without_a_limit_has_none():
    assert DIALECT.parse_response_head(clientside.ResponseHead(200, ())).advisory.limit is None


def advisory(status, *head_fields):
    return requestdialect.advisory(clientside.ResponseHead(status, head_fields))


@pytest.mark.parametrize(
    ("named", "seconds", "problem"),
    [
        ([b"3"], 3.0, None),
        ([b"0.5"], 0.5, None),
        ([b"1", b"4"], 4.0, requestdialect.RETRY_AFTER_SEVERAL),
        ([b"-1"], requestdialect.DEFAULT_BACKOFF_S, requestdialect.RETRY_AFTER_INVALID),
        ([b"soon"], requestdialect.DEFAULT_BACKOFF_S, requestdialect.RETRY_AFTER_INVALID),
        ([b""], requestdialect.DEFAULT_BACKOFF_S, requestdialect.RETRY_AFTER_INVALID),
        (
            [b"Wed, 21 Oct 2026 07:28:00 GMT"],
            requestdialect.DEFAULT_BACKOFF_S,
            requestdialect.RETRY_AFTER_INVALID,
        ),
        ([b"999999999"], requestdialect.MAX_BACKOFF_S, requestdialect.RETRY_AFTER_TOO_LONG),
    ],
)
def test_time_of_a_refusal_is_parsed_and_a_malformed_one_is_replaced(named, seconds, problem):
    head_fields = tuple((b"Retry-After", each) for each in named)
    backoff = advisory(503, *head_fields).backoff
    assert (backoff.seconds, backoff.problem) == (seconds, problem)


def test_only_a_refusal_with_a_time_asks_for_a_pause():
    assert advisory(503).backoff is None
    assert advisory(503, (b"Retry-After", b"0")).backoff is None
    assert advisory(429, (b"Retry-After", b"3")).backoff is None
    assert advisory(200, (b"Retry-After", b"3")).backoff is None


@pytest.mark.parametrize("status", [200, 421, 500, 503])
def test_leaving_is_parsed_in_responses_of_any_status(status):
    assert advisory(status, (b"server-leaving", b"1")).is_leaving
    assert not advisory(status, (b"Server-Leaving", b"0")).is_leaving
    assert not advisory(status).is_leaving
