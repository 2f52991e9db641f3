import json

import pytest

from hornbeamglade import claims
from hornbeamglade.backends import eventparser
from hornbeamglade.callers import generationcalls, problems
from hornbeamglade.core import outcomes
from hornbeamglade.node import delivery
from tests.node import fakeparts
from tests.node.fakeparts import KeepAlive, finished, token

KEY = claims.ClaimKey("clerks", "holds", "k1")
FAILED = eventparser.Failed("engine_oom", "no memory")


class Case:
    def __init__(self, *events, dispatch=None, parts=None):
        self.parts = parts or fakeparts.Parts()
        self.scope = self.parts.scope(dispatch)
        self.connection = fakeparts.FakeConnection(*events)
        source, state = fakeparts.make_source(self.parts.clock, self.connection, resumable=False)
        self.delivery = delivery.Delivery(
            self.scope, source, iter(events), state, generationcalls.COMPLETIONS_PATH
        )

    def text(self):
        return b"".join(self.delivery).decode()


def error_of(text):
    (line,) = [each for each in text.split("\n\n") if '"error"' in each]
    return json.loads(line.removeprefix("data: "))["error"]


def test_each_token_is_delivered_once_and_the_end_is_signalled():
    case = Case(token(0), token(0), KeepAlive(), token(1), finished(2))
    text = case.text()
    case.delivery.close()
    case.delivery.close()
    assert [text.count(word) for word in ("t0", "t1", "keep-alive", "[DONE]")] == [1, 1, 1, 1]
    assert case.parts.calls == [
        ("observe_length", 2, False),
        ("succeeded", "e1"),
        "release",
        "leave",
    ]


@pytest.mark.parametrize(
    ("events", "code", "run"),
    [
        ((token(0), token(2), finished(1)), "tokens_missing", "ran"),
        ((token(0), finished(2)), "tokens_missing", "ran"),
        ((token(0), finished(0)), "tokens_missing", "ran"),
        ((token(0), FAILED), "engine_failed", "ran"),
        ((token(0), eventparser.Stalled(5.0)), "link_stalled", "ran"),
        ((token(0), fakeparts.Lost("reset")), "link_lost", "ran"),
        ((token(0),), "link_lost", "ran"),
        ((finished(1),), "tokens_missing", "unknown"),
    ],
)
def test_an_incomplete_response_ends_with_one_error_and_without_done(events, code, run):
    """A response ends early, or its last tokens are lost, which no later offset reveals.

    With a [DONE] the caller would take the truncated text for the complete one.
    """
    case = Case(*events)
    text = case.text()
    case.delivery.close()
    assert (error_of(text)["code"], error_of(text)["run"]) == (code, run)
    assert "[DONE]" not in text
    assert case.connection.cancels == 1
    assert case.parts.calls.count("release") == case.parts.calls.count("leave") == 1


def test_a_request_ends_at_its_deadline():
    case = Case(token(0), KeepAlive(), token(1), finished(2))
    pieces = iter(case.delivery)
    next(pieces)
    case.parts.clock.advance(61.0)
    rest = b"".join(pieces).decode()
    assert error_of(rest)["code"] == "time_limit"
    assert "t1" not in rest


def test_response_of_a_claimed_request_is_recorded_after_its_caller_disconnected():
    """The caller of a request that runs at most once disconnects after the first token.

    Its retry must get the response, and must not run the request again.
    """
    parts = fakeparts.Parts()
    dispatch = parts.begin()
    assert dispatch.may_dispatch()
    case = Case(token(0), token(1), finished(2), dispatch=dispatch, parts=parts)
    next(iter(case.delivery))
    case.delivery.close()
    replayed = parts.begin()
    assert isinstance(replayed, problems.Response)
    assert [replayed.body.count(word) for word in (b"t0", b"t1", b"[DONE]")] == [1, 1, 1]


def test_claimed_request_with_an_incomplete_response_is_not_run_again():
    parts = fakeparts.Parts()
    dispatch = parts.begin()
    assert dispatch.may_dispatch()
    case = Case(token(0), fakeparts.Lost("reset"), dispatch=dispatch, parts=parts)
    next(iter(case.delivery))
    case.delivery.close()
    retried = parts.begin()
    assert (retried.code, retried.run) == ("claim_outcome_unknown", outcomes.RunStatus.UNKNOWN)


def test_a_repeatable_generation_is_cancelled_when_its_caller_disconnects():
    case = Case(token(0), token(1), finished(2))
    next(iter(case.delivery))
    case.delivery.close()
    assert case.connection.cancels == 1
    assert case.parts.calls == [("observe_length", 1, True), "release", "leave"]


def test_a_complete_response_is_one_json_document():
    case = Case(token(0), KeepAlive(), token(1), finished(2))
    answer = case.delivery.read_whole(lambda: False)
    assert json.loads(answer.body)["choices"][0]["text"] == "t0t1"


def test_an_incomplete_generation_is_returned_as_a_refusal():
    incomplete = Case(token(0), fakeparts.Lost("reset")).delivery.read_whole(lambda: False)
    assert (incomplete.refusal.code, incomplete.refusal.run) == (
        "link_lost",
        outcomes.RunStatus.RAN,
    )


def test_an_abandoned_generation_releases_only_its_grant():
    case = Case(token(0), fakeparts.Lost("reset"))
    case.delivery.read_whole(lambda: False)
    case.delivery.abandon()
    case.delivery.close()
    assert case.parts.calls == [("observe_length", 1, True), "release"]


def test_a_lost_connection_is_checked_for_a_crash_and_a_complete_response_clears_its_request():
    """Guards engines against prompts that crash them, and harmless requests against quarantine."""
    incomplete = Case(token(0), fakeparts.Lost("reset"))
    complete = Case(token(0), finished(1))
    for case in (incomplete, complete):
        list(case.delivery)
        case.delivery.close()
    assert (incomplete.parts.lost_runs, incomplete.parts.completions) == (
        [(fakeparts.FINGERPRINT, "e1")],
        [],
    )
    assert (complete.parts.lost_runs, complete.parts.completions) == (
        [],
        [fakeparts.FINGERPRINT],
    )
