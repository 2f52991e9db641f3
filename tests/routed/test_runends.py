"""Which ends of connections are ends of responses."""

import itertools

import pytest

from hornbeamglade.engines import models
from hornbeamglade.replicas import models as replicamodels
from hornbeamglade.routed import runends

ENGINE = replicamodels.Replica("e0@5", "llm", "10.0.0.1:1", "a", 8, started_ms=5)
SERVING = runends.Inquiry(True, "reported")


def report(leaves_in_s=None, started_ms=5):
    return models.EngineReport(100, 0, 0, (), leaves_in_s is not None, leaves_in_s, started_ms)


@pytest.mark.parametrize(
    ("state", "order", "remaining_s", "expected"),
    [
        ({}, runends.StopOrder.NONE, 5.0, ()),
        ({}, runends.StopOrder.REFUSED, 5.0, ()),
        ({}, runends.StopOrder.UNANSWERED, 5.0, (runends.Cause.STOP_ORDERED,)),
        ({}, runends.StopOrder.OBEYED, 5.0, (runends.Cause.STOP_ORDERED,)),
        ({"is_usable": False}, runends.StopOrder.NONE, 5.0, (runends.Cause.LEAVING,)),
        ({"is_evacuated": True}, runends.StopOrder.NONE, 5.0, (runends.Cause.EVACUATED,)),
        ({"list_age_s": 3.1}, runends.StopOrder.NONE, 5.0, (runends.Cause.LIST_STALE,)),
        ({"list_age_s": None}, runends.StopOrder.NONE, 5.0, (runends.Cause.LIST_STALE,)),
        ({"is_replaced": True}, runends.StopOrder.NONE, 5.0, (runends.Cause.REPLACED,)),
        ({}, runends.StopOrder.NONE, 0.005, (runends.Cause.TIME_OVER,)),
    ],
)
def test_each_fact_that_gives_a_server_cause_to_close_is_one(state, order, remaining_s, expected):
    known = runends.causes(runends.ServerState(**{"is_usable": True} | state), remaining_s, order)
    assert known == expected


@pytest.mark.parametrize("count", range(len(runends.Cause) + 1))
def test_connection_ends_a_response_only_without_a_cause_that_stands(count):
    """An end that the response states stands; a serving server excludes only its own exit."""
    excluded = {runends.Cause.LEAVING, runends.Cause.EVACUATED, runends.Cause.LIST_STALE}
    for known in itertools.combinations(runends.Cause, count):
        assert runends.is_complete(known, is_stated=True)
        assert runends.is_complete(known) == (not known)
        assert runends.is_complete(known, runends.Inquiry(False, "no_report")) == (not known)
        assert runends.is_complete(known, SERVING) == (set(known) <= excluded)


@pytest.mark.parametrize(
    ("answer", "is_serving"),
    [
        (report(), None),
        (report(leaves_in_s=1.5), True),
        (report(leaves_in_s=0.5), None),
        (report(started_ms=6), False),
        (models.ReportFailed(is_refused=True), False),
        (models.ReportFailed(is_refused=False), None),
    ],
)
def test_report_shows_whether_a_notice_has_run_out_only_if_it_states_a_time(answer, is_serving):
    inquiry = runends.from_report(ENGINE, answer)
    assert (inquiry and inquiry.is_serving) is is_serving


@pytest.mark.parametrize(
    ("stayed_open", "expected"), [(True, True), (False, False), (None, False)]
)
def test_server_serves_only_if_a_new_connection_stays_open(stayed_open, expected):
    assert runends.from_connection(stayed_open).is_serving == expected
