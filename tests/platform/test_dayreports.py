"""Decoding of day reports."""

import json

import pytest

from hornbeamglade.core import codederrors
from hornbeamglade.platform import dayreports


def report(**changes):
    kind = {"name": "draft", "n": 50, "not_owed": 5, "late": 3, "refused": 1, "failed": 4}
    fields = {
        "G": 0.5,
        "classes": [kind],
        "breaks": {},
        "fault": None,
        "unserved_by": [["503", 5, ["a line"]]],
    }
    return json.dumps(fields | changes).encode()


def test_report_is_decoded():
    outcome = dayreports.decode(report())
    assert outcome.worth == 0.5
    assert outcome.by_kind == {"draft": dayreports.KindOutcome(45, 3, 5)}
    assert (outcome.late, outcome.lost, outcome.broken) == (3, 5, ())
    assert outcome.unserved_by_end == {"503": 5}


def test_violated_rules_and_faults_are_reported():
    outcome = dayreports.decode(report(breaks={"TWICE": [1]}, fault="memory"))
    assert outcome.broken == ("TWICE", "fault: memory")


@pytest.mark.parametrize("document", [b"", b"[]", b"{}", report(G="much"), report(classes=3)])
def test_malformed_report_is_rejected_with_its_code(document):
    with pytest.raises(codederrors.CodedError) as raised:
        dayreports.decode(document)
    assert raised.value.code == dayreports.REPORT_INVALID
