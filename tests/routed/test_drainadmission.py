"""What a stopping instance takes: only what ends before its process does."""

import pytest

from hornbeamglade.lengths import lengthmodel
from hornbeamglade.routed import drainadmission, tokentimes
from tests.routed import fakes

BEGUN_AT = 100.0
ENDS_AT = 108.0


def work(*lengths, ends_at=ENDS_AT, others_ready=True):
    """Return the decision of an instance that has seen answers of some lengths."""
    model = lengthmodel.LengthModel()
    for tokens in lengths:
        model.observe("draft", "clinic", tokens)
    pace = tokentimes.TokenTimes()
    return drainadmission.DrainAdmission(
        pace,
        lambda route, team, tokens: model.table(route, team).survival(tokens),
        lambda: others_ready,
        ends_at,
        BEGUN_AT,
    )


def test_an_instance_that_serves_takes_everything():
    assert work(ends_at=None).refusal(fakes.routed_draft(), 100.0) is None


def test_a_draft_that_would_be_cut_is_refused_at_once():
    """A caller with an old address asks for a draft six seconds after the signal.

    Drafts take ten seconds and the process ends in two: its caller got a third of the
    draft, and a connection that closed.
    """
    refusal = work(*[900] * 200).refusal(fakes.routed_draft(), 106.0)
    assert (refusal.code, refusal.http_status) == ("node_leaving", 503)
    assert refusal.retry_after_s == drainadmission.OTHER_INSTANCE_RETRY_S


@pytest.mark.parametrize(("now", "is_taken"), [(100.0, True), (107.5, False)])
def test_a_short_answer_is_taken_while_there_is_time(now, is_taken):
    refusal = work(*[30] * 200).refusal(fakes.routed_draft(), now)
    assert (refusal is None) is is_taken


def test_the_callers_bound_on_an_answer_counts():
    assert work(*[900] * 200).refusal(fakes.routed_draft(max_tokens=40), 104.0) is None


@pytest.mark.parametrize(("now", "is_taken"), [(107.0, True), (107.9, False)])
def test_a_plain_request_is_taken_until_its_answer_would_be_late(now, is_taken):
    refusal = work().refusal(fakes.routed_call(goal_s=0.3), now)
    assert (refusal is None) is is_taken


@pytest.mark.parametrize(("now", "is_taken"), [(101.0, True), (105.0, False)])
def test_with_nowhere_else_to_go_a_draft_is_taken_that_may_well_end(now, is_taken):
    """Six instances are stopped one second after the other; for four seconds all leave.

    Refused by all of them, every draft of those seconds was lost: its caller comes back
    once, to another instance that leaves.
    """
    lengths = [200, 400, 900, 900] * 50
    refusal = work(*lengths, others_ready=False).refusal(fakes.routed_draft(), now)
    assert (refusal is None) is is_taken
    assert is_taken or refusal.retry_after_s == drainadmission.ALL_LEAVING_RETRY_S
    assert work(*lengths).refusal(fakes.routed_draft(), now) is not None


def test_long_after_the_signal_nothing_is_taken_that_may_well_be_cut():
    """Two rounds of planned stops overlap, and for seconds every instance of a site leaves.

    Each took drafts that would end in time with two chances in five, four seconds after its
    signal: three of five were cut in the middle, though each could have been refused.
    """
    lengths = [200] * 95 + [900] * 5
    for others_ready in (False, True):
        early, late = (
            work(*lengths, others_ready=others_ready).refusal(fakes.routed_draft(), now)
            for now in (BEGUN_AT + 2.0, BEGUN_AT + 3.5)
        )
        assert early is None
        assert late.http_status == 503
    sure = work(*[30] * 200, others_ready=False)
    assert sure.refusal(fakes.routed_draft(max_tokens=40), BEGUN_AT + 3.5) is None


def test_what_is_under_way_is_cut_by_the_stop_only_at_its_limit():
    assert not work(ends_at=None).is_over(200.0)
    assert (work().is_over(ENDS_AT - 0.1), work().is_over(ENDS_AT)) == (False, True)
