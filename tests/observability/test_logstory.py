"""The story of one request, found in the lines of several instances."""

import json

from hornbeamglade.observability import logstory


def decided(at, node, request_id, decision, outcome, **told):
    told |= {"request_id": request_id, "decision": decision, "outcome": outcome}
    return _line(at, node, logstory.DECISION_TYPE, told)


def changed(at, node, subject, before, after, **told):
    told |= {"subject": subject, "before": before, "after": after}
    return _line(at, node, logstory.STATE_TYPE, told)


def _line(at, node, kind, told):
    return json.dumps(told | {"timestamp": at, "logged_by": node, "message_type": kind})


def story(request_id, *lines):
    return logstory.find(request_id, logstory.parse(lines))


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
    told = story("r1", *reversed(BROKEN))
    kept = [(line.at, line.told.get("subject") or line.told["decision"]) for line in told.lines]
    assert kept == [(10.0, "placed"), (13.0, "engine"), (14.5, "stream_lost"), (14.6, "answer")]
    assert told.gaps == ()


def test_what_was_overtaken_before_the_request_came_is_left_out():
    told = story(
        "r1",
        changed(4.0, "n1", "store", "unknown", "reached", table="t"),
        changed(8.0, "n1", "store", "reached", "lost", table="t"),
        *BROKEN,
    )
    assert [line.told["after"] for line in told.lines if "table" in line.told] == ["lost"]


def test_an_instance_that_was_killed_is_told_by_what_is_missing():
    """An instance is killed in the middle of a stream and writes nothing more.

    Its log ends without a word on the request; what began anew there tells why.
    """
    told = story("r1", *BROKEN[:1], changed(15.0, "n1", "node", "starting", "serving"))
    assert told.gaps == ("n1 wrote no end of the request and started anew: it was killed",)


def test_lines_that_were_left_out_are_said_to_be_missing():
    gap = changed(14.9, "n1", "log", "whole", "lines_missing", count=40)
    assert story("r1", *BROKEN, gap).gaps == ("n1 left out 40 lines up to 14.900",)


def test_a_request_that_no_line_names_is_said_to_be_unknown():
    told = story("r9", *BROKEN)
    assert told.lines == ()
    assert "n1, n2" in told.gaps[0]
    assert story("r9").gaps == ("the files hold no log lines",)
