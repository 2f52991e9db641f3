"""What a sweep holds against a case."""

import dataclasses

import pytest

from hornbeamglade.standins import disturbances, operatordocuments, recordingcaller
from hornbeamglade.sweep import cases

CASE = cases.Case(disturbances.Disturbance(disturbances.Action.CLOSE, 7), is_first_use=True)
ANSWER = recordingcaller.Received(200, "s0.r1", b"s0:r1", is_whole=True)
STREAM = recordingcaller.Received(
    200, "s0.r1", b"id: 1\ndata: r1.1..\n\nid: 2\ndata: r1.2..\n\n", is_whole=True
)
NEXT = recordingcaller.Received(200, is_whole=True)


def broken(received, ran_at=("s0",), route="hold", overlap_s=0.0, following=NEXT, case=CASE):
    expected = cases.Expected(operatordocuments.SETTINGS_BY_ROUTE[route], 1, 2, deadline_s=0.4)
    seen = cases.Seen("r1", received, following, ran_at, overlap_s)
    return list(cases.broken(case, seen, expected))


def changed(received, **changes):
    return dataclasses.replace(received, **changes)


@pytest.mark.parametrize(("received", "route"), [(ANSWER, "hold"), (STREAM, "draft")])
def test_sound_exchange_breaks_nothing(received, route):
    assert broken(received, route=route) == []


def test_failure_that_promises_nothing_breaks_nothing():
    assert broken(recordingcaller.Received(502, body=b"{}", is_whole=True)) == []


@pytest.mark.parametrize(
    ("name", "received", "more"),
    [
        ("ran_again", ANSWER, {"ran_at": ("s0", "s1")}),
        ("two_engines", STREAM, {"route": "draft", "overlap_s": 0.42}),
        ("refused_though_run", recordingcaller.Received(503, is_whole=True), {}),
        ("unproved", changed(ANSWER, seal="s0.r"), {}),
        ("part_as_whole", changed(ANSWER, body=b"s0:"), {}),
        ("foreign_bytes", changed(ANSWER, body=b"s0:xx"), {}),
        ("part_as_whole", changed(STREAM, body=STREAM.body[:20]), {"route": "draft"}),
        ("out_of_order", changed(STREAM, body=STREAM.body[20:]), {"route": "draft"}),
        (
            "foreign_bytes",
            changed(STREAM, body=STREAM.body.replace(b"r1.2..", b"r9.2..")),
            {"route": "draft"},
        ),
        (
            "foreign_bytes",
            changed(STREAM, body=STREAM.body + b"id: 3\ndHTTP/1.1 503\r\n\r\n"),
            {"route": "draft"},
        ),
        ("unanswered", recordingcaller.Received(), {}),
        ("late", changed(ANSWER, seconds=0.95), {}),
        ("next_unserved", ANSWER, {"following": recordingcaller.Received(503, is_whole=True)}),
    ],
)
def test_each_rule_is_seen_to_break(name, received, more):
    assert name in broken(received, **more)


def test_repeatable_request_may_run_as_often_as_its_route_allows():
    assert broken(ANSWER, ran_at=("s1", "s0"), route="list") == []
    assert broken(ANSWER, ran_at=("s0",) * 3, route="list") == ["ran_again"]


def test_caller_that_left_need_not_be_answered():
    left = disturbances.Disturbance(disturbances.Action.CALLER_LEAVES, 7)
    assert broken(recordingcaller.Received(), case=cases.Case(left, is_first_use=True)) == []


def test_statement_of_the_replica_itself_is_no_case():
    def is_own(at, stray, is_first_use):
        disturbance = disturbances.Disturbance(disturbances.Action.INSERT, at, stray)
        return cases.Case(disturbance, is_first_use).is_own_statement

    refusal, own = disturbances.Stray.REFUSAL, disturbances.Stray.REFUSAL_OWN
    assert is_own(0, refusal, True) and is_own(0, own, False)
    assert not is_own(0, refusal, False) and not is_own(1, own, True)
    second_copy = disturbances.Disturbance(disturbances.Action.INSERT, 0, own)
    assert not cases.Case(second_copy, True, is_sent_again=True).is_own_statement
