"""Headers of requests and answers on the platform."""

import pytest

from hornbeamglade.core import outcomes
from hornbeamglade.http1 import clientside, serverside
from hornbeamglade.platform import requestdialect
from hornbeamglade.routed import calls

WORDS = requestdialect.PlatformDialect()
PLAIN = ((b"Host", b"a.example"), (b"Attempt-Id", b"r1"), (b"Deadline-Ms", b"1500"))
GENERATION = (
    (b"Model", b"m"),
    (b"Token-Usage", b"1460,80"),
    (b"Prompt-Prefix", b"5c:800,91:410, e4:250"),
    (b"Length-Hint", b"40"),
)


def request(*fields):
    return serverside.Request(b"POST", b"/x?y=1", (*PLAIN, *fields), b"body", 10.0)


def test_request_is_read():
    call = WORDS.parse_request(request((b"Authorization", b"Bearer k"), *GENERATION))
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
def test_what_is_not_the_callers_to_set_never_passes(name):
    """A caller names another tenant, or a copy of another caller's memory.

    Passed on, a replica would believe it.
    """
    passed = WORDS.parse_request(request((name, b"forged"))).fields
    assert b"forged" not in [value for _, value in passed]


def test_what_a_connection_field_names_never_passes():
    passed = WORDS.parse_request(
        request((b"Connection", b"X-Hop, close"), (b"X-Hop", b"1"))
    ).fields
    assert [name for name, _ in passed] == [b"Host", b"Attempt-Id"]


def test_other_fields_pass_as_they_are():
    passed = WORDS.parse_request(request((b"X-oDD", b"  v "), *GENERATION)).fields
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
def test_request_that_cannot_be_read_is_refused(fields):
    refusal = WORDS.parse_request(serverside.Request(b"GET", b"/", fields, b"", 0.0))
    assert isinstance(refusal, outcomes.Refusal)
    assert (refusal.http_status, refusal.run) == (400, outcomes.RunStatus.NOT_RUN)


def test_estimate_that_cannot_be_read_is_left_out():
    fields = (*GENERATION[:2], (b"Length-Hint", b"many"))
    assert WORDS.parse_request(request(*fields)).generation.expected_tokens is None


def test_dispatch_says_what_is_left_and_who_is_meant():
    call = WORDS.parse_request(request((b"Last-Event-Id", b"3")))
    copy = calls.KvCopy("10.0.0.1:80", "h1")
    dispatch = calls.Dispatch("i-1", "clinic", 1.2345, 2, "9", copy)
    value_by_name = dict(WORDS.dispatch_fields(call, dispatch))
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


def test_dispatch_keeps_the_callers_own_last_event():
    call = WORDS.parse_request(request((b"Last-Event-Id", b"3")))
    sent = WORDS.dispatch_fields(call, calls.Dispatch("i-1", None, 1.0))
    assert (b"Last-Event-Id", b"3") in sent


def head(status, *fields):
    return WORDS.parse_response_head(clientside.Head(status, fields))


def test_answer_is_read():
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


@pytest.mark.parametrize("told", [b"", b"1,2", b"a,b,c", b"-1,0,8"])
def test_load_that_cannot_be_read_is_none(told):
    assert head(200, (b"Replica-Load", told)).load is None


def test_not_run_is_believed_only_from_its_mark_or_a_misdirection():
    """A replica answers 503 to a request that it has run.

    Told "not run" on the status alone, the caller would send a reservation once more.
    """
    assert not head(503).is_not_run
    assert head(503, (b"Not-Executed", b"1")).is_not_run
    assert head(421).is_not_run


def test_encoded_body_is_not_the_replicas_own():
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
def test_named_limit_is_read_and_a_bad_one_stands_for_none_at_all(named, requests_per_s, problem):
    """Guards a server in need against a limit that is misread as a high one."""
    head = clientside.Head(200, tuple((b"Server-Limit", each) for each in named))
    limit = WORDS.parse_response_head(head).limit
    assert (limit.requests_per_s, limit.problem) == (requests_per_s, problem)


def test_answer_without_a_limit_names_none():
    assert WORDS.parse_response_head(clientside.Head(200, ())).limit is None
