"""The timeline of one request, from the log lines of several instances."""

import json

from hornbeamglade.observability import requesttimeline


def decided(at, node, request_id, decision, outcome, **fields):
    fields |= {"request_id": request_id, "decision": decision, "outcome": outcome}
    return _line(at, node, requesttimeline.DECISION_TYPE, fields)


def changed(at, node, subject, before, after, **fields):
    fields |= {"subject": subject, "before": before, "after": after}
    return _line(at, node, requesttimeline.STATE_TYPE, fields)


def _line(at, node, message_type, fields):
    return json.dumps(fields | {"timestamp": at, "logged_by": node, "message_type": message_type})


def find_timeline(request_id, *lines):
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


def test_timeline_has_the_lines_of_the_request_and_of_its_replica_in_order():
    timeline = find_timeline("r1", *reversed(BROKEN))
    events = [
        (line.at, line.fields.get("subject") or line.fields["decision"]) for line in timeline.lines
    ]
    assert events == [(10.0, "placed"), (13.0, "engine"), (14.5, "stream_lost"), (14.6, "answer")]
    assert timeline.gaps == ()


def test_states_replaced_before_the_request_arrived_are_left_out():
    timeline = find_timeline(
        "r1",
        changed(4.0, "n1", "store", "unknown", "reached", table="t"),
        changed(8.0, "n1", "store", "reached", "lost", table="t"),
        *BROKEN,
    )
    assert [line.fields["after"] for line in timeline.lines if "table" in line.fields] == ["lost"]


def test_forecast_of_the_service_explains_a_refusal():
    """The refusal was shown without the surge that the instance had recognized before."""
    timeline = find_timeline(
        "r1",
        changed(7.0, "n1", "forecast", "refuses", "admits", service="chat"),
        changed(8.0, "n1", "forecast", "admits", "refuses", service="chat"),
        changed(8.0, "n1", "forecast", "admits", "refuses", service="other"),
        changed(8.0, "n2", "forecast", "admits", "refuses", service="chat"),
        decided(10.0, "n1", "r1", "placed", "refused_by_forecast", service="chat"),
        decided(10.1, "n1", "r1", "answer", "refused_by_forecast", service="chat"),
    )
    assert [line.at for line in timeline.lines] == [8.0, 10.0, 10.1]


def test_killed_instance_is_recognized_by_its_missing_lines():
    """An instance is killed during a stream and writes nothing more.

    Its log has no end of the request; that the instance started again shows why.
    """
    timeline = find_timeline("r1", *BROKEN[:1], changed(15.0, "n1", "node", "starting", "serving"))
    assert timeline.gaps == ("n1 wrote no end of the request and started anew: it was killed",)


def test_dropped_lines_are_reported_as_a_gap():
    gap = changed(14.9, "n1", "log", "whole", "lines_missing", count=40)
    assert find_timeline("r1", *BROKEN, gap).gaps == ("n1 left out 40 lines up to 14.900",)


def test_unknown_request_is_reported_as_a_gap():
    timeline = find_timeline("r9", *BROKEN)
    assert timeline.lines == ()
    assert "n1, n2" in timeline.gaps[0]
    assert find_timeline("r9").gaps == ("the files hold no log lines",)


def test_refusal_of_a_prompt_part_is_explained_though_it_began_long_before():
    """The timeline ended with the refusal and did not tell since when, and for which part."""
    timeline = find_timeline(
        "r1",
        changed(100.0, "n1", "prompt_part", "allowed", "quarantined", fingerprint="aa"),
        changed(100.0, "n2", "prompt_part", "allowed", "quarantined", fingerprint="aa"),
        changed(101.0, "n1", "request", "allowed", "quarantined", fingerprint="bb"),
        decided(900.0, "n1", "r1", "answer", "prompt_part_quarantined"),
        decided(900.0, "n1", "r2", "answer", "answered"),
    )
    assert [line.at for line in timeline.lines] == [100.0, 900.0]
