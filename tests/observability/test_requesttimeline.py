"""The story of one request, found in the lines of several instances."""

import json

from hornbeamglade.observability import requesttimeline


def decided(at, node, request_id, decision, outcome, **fields):
    fields |= {"request_id": request_id, "decision": decision, "outcome": outcome}
    return _line(at, node, requesttimeline.DECISION_TYPE, fields)


def changed(at, node, subject, before, after, **fields):
    fields |= {"subject": subject, "before": before, "after": after}
    return _line(at, node, requesttimeline.STATE_TYPE, fields)


def _line(at, node, kind, fields):
    return json.dumps(fields | {"timestamp": at, "logged_by": node, "message_type": kind})


def story(request_id, *lines):
    return requesttimeline.find(request_id, requesttimeline.parse(lines))


BROKEN = (
    decided(10.0, "n1", "r1", "placed", "granted", replica="e1"),
    changed(13.0, "n1", "engine", "serving", "leaving", replica="e1", source="list"),
    changed(13.0, "n2", "engine", "serving", "leaving", replica="e1", source="list"),
    changed(13.1, "n1", "engine", "serving", "leaving", replica="e7", source="list"),
    decided(14.5, "n1", "r1", "stream_lost", "closed", replica="e1"),
    decided(14.5, "n1", "r2", "answer", "streamed", replica="e7"),
    decided(14.6, "n1", "r1", "answer", "broken_off", replica="e1"),
)


def test_lines_of_the_request_and_of_its_replica_are_told_in_order():
    fields = story("r1", *reversed(BROKEN))
    kept = [
        (line.at, line.fields.get("subject") or line.fields["decision"]) for line in fields.lines
    ]
    assert kept == [(10.0, "placed"), (13.0, "engine"), (14.5, "stream_lost"), (14.6, "answer")]
    assert fields.gaps == ()


def test_what_was_overtaken_before_the_request_came_is_left_out():
    fields = story(
        "r1",
        changed(4.0, "n1", "store", "unknown", "reached", table="t"),
        changed(8.0, "n1", "store", "reached", "lost", table="t"),
        *BROKEN,
    )
    assert [line.fields["after"] for line in fields.lines if "table" in line.fields] == ["lost"]


def test_an_instance_that_was_killed_is_told_by_what_is_missing():
    """An instance is killed in the middle of a stream and writes nothing more.

    Its log ends without a word on the request; what began anew there tells why.
    """
    fields = story("r1", *BROKEN[:1], changed(15.0, "n1", "node", "starting", "serving"))
    assert fields.gaps == ("n1 wrote no end of the request and started anew: it was killed",)


def test_lines_that_were_left_out_are_said_to_be_missing():
    gap = changed(14.9, "n1", "log", "whole", "lines_missing", count=40)
    assert story("r1", *BROKEN, gap).gaps == ("n1 left out 40 lines up to 14.900",)


def test_a_request_that_no_line_names_is_said_to_be_unknown():
    fields = story("r9", *BROKEN)
    assert fields.lines == ()
    assert "n1, n2" in fields.gaps[0]
    assert story("r9").gaps == ("the files hold no log lines",)
