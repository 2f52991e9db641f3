"""A stopping instance admits only requests that complete before its process ends."""

import pytest

from hornbeamglade.lengths import lengthmodel
from hornbeamglade.routed import drainadmission, tokentimes
from tests.routed import fakes

STOP_REQUESTED_AT = 100.0
ENDS_AT = 108.0


def admission(*lengths, ends_at=ENDS_AT, others_ready=True):
    """Return the admission of an instance that has observed answers of some lengths."""
    model = lengthmodel.LengthModel()
    for tokens in lengths:
        model.observe("draft", "clinic", tokens)
    pace = tokentimes.TokenTimes()
    return drainadmission.DrainAdmission(
        pace,
        lambda route, team, tokens: model.table(route, team).survival(tokens),
        lambda: others_ready,
        ends_at,
        STOP_REQUESTED_AT,
    )


def test_serving_instance_admits_every_request():
    assert admission(ends_at=None).refusal(fakes.routed_draft(), 100.0) is None


def test_stream_that_would_be_truncated_is_refused():
    """A caller with a cached address sends a streaming request six seconds after the signal.

    Its stream takes ten seconds and the process ends in two; the caller got a third of the
    answer before the connection closed.
    """
    refusal = admission(*[900] * 200).refusal(fakes.routed_draft(), 106.0)
    assert (refusal.code, refusal.http_status) == ("node_leaving", 503)
    assert refusal.retry_after_s == drainadmission.OTHER_INSTANCE_RETRY_S


@pytest.mark.parametrize(("now", "is_taken"), [(100.0, True), (107.5, False)])
def test_short_answer_is_admitted_while_there_is_time(now, is_taken):
    refusal = admission(*[30] * 200).refusal(fakes.routed_draft(), now)
    assert (refusal is None) is is_taken


def test_callers_token_limit_is_taken_into_account():
    assert admission(*[900] * 200).refusal(fakes.routed_draft(max_tokens=40), 104.0) is None


@pytest.mark.parametrize(("now", "is_taken"), [(107.0, True), (107.9, False)])
def test_plain_request_is_admitted_until_its_response_would_be_late(now, is_taken):
    refusal = admission().refusal(fakes.routed_call(goal_s=0.3), now)
    assert (refusal is None) is is_taken


@pytest.mark.parametrize(("now", "is_taken"), [(101.0, True), (105.0, False)])
def test_without_another_instance_a_likely_truncation_is_accepted_at_first(now, is_taken):
    """Six instances are stopped one second apart; for four seconds all of them are leaving.

    When all of them refused, every streaming request of those seconds was lost: its caller
    retries once, at another leaving instance.
    """
    lengths = [200, 400, 900, 900] * 50
    refusal = admission(*lengths, others_ready=False).refusal(fakes.routed_draft(), now)
    assert (refusal is None) is is_taken
    assert is_taken or refusal.retry_after_s == drainadmission.ALL_LEAVING_RETRY_S
    assert admission(*lengths).refusal(fakes.routed_draft(), now) is not None


def test_long_after_the_signal_only_near_certain_requests_are_admitted():
    """Two rounds of planned stops overlap, and for seconds every instance of a site is leaving.

    Four seconds after the signal each admitted streams that had a chance of two in five of
    completing; three of five were truncated, although they could have been refused.
    """
    lengths = [200] * 95 + [900] * 5
    for others_ready in (False, True):
        early, late = (
            admission(*lengths, others_ready=others_ready).refusal(fakes.routed_draft(), now)
            for now in (STOP_REQUESTED_AT + 2.0, STOP_REQUESTED_AT + 3.5)
        )
        assert early is None
        assert late.http_status == 503
    sure = admission(*[30] * 200, others_ready=False)
    assert sure.refusal(fakes.routed_draft(max_tokens=40), STOP_REQUESTED_AT + 3.5) is None


def test_requests_in_flight_are_truncated_only_at_the_stop_limit():
    assert not admission(ends_at=None).is_over(200.0)
    assert (admission().is_over(ENDS_AT - 0.1), admission().is_over(ENDS_AT)) == (False, True)
