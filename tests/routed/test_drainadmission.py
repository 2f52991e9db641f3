"""A stopping instance admits only requests that complete before its process ends."""

import hypothesis
import pytest
from hypothesis import strategies

from hornbeamglade.core import outcomes
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.replicas import models
from hornbeamglade.routed import attemptlog, drainadmission, requestsinprogress, tokentimes
from hornbeamglade.routes import models as routemodels
from tests.routed import fakes

STOP_REQUESTED_AT = 100.0
ENDS_AT = 108.0
LATE_AT = STOP_REQUESTED_AT + drainadmission.EARLY_PERIOD_S + 0.1


def streaming_request(max_tokens=4000, arrived_at=STOP_REQUESTED_AT, **changes):
    return fakes.streaming_request(max_tokens, arrived_at, **changes)


def plain_request(arrived_at=STOP_REQUESTED_AT, **changes):
    return fakes.plain_request(arrived_at, **changes)


def admission(*lengths, ends_at=ENDS_AT, is_other_ready=True, answer_times=()):
    """Return the admission of an instance that has observed answers of some lengths."""
    model = lengthmodel.LengthModel()
    for tokens in lengths:
        model.observe("draft", "clinic", tokens)
    token_times = tokentimes.TokenTimes()
    return drainadmission.DrainAdmission(
        token_times,
        lambda route, team, tokens: model.table(route, team).survival(tokens),
        lambda: is_other_ready,
        lambda service: answer_times,
        ends_at,
        STOP_REQUESTED_AT,
    )


def test_serving_instance_admits_every_request():
    assert admission(ends_at=None).refusal(streaming_request(), 100.0) is None


def test_stream_that_would_be_truncated_is_refused():
    """A caller with a cached address sends a streaming request six seconds after the signal.

    Its stream takes ten seconds and the process ends in two; the caller got a third of the
    answer before the connection closed.
    """
    refusal = admission(*[900] * 200).refusal(streaming_request(), 106.0)
    assert (refusal.code, refusal.http_status) == ("node_leaving", 503)
    assert refusal.retry_after_s == drainadmission.OTHER_INSTANCE_RETRY_S


@pytest.mark.parametrize(("now", "is_admitted"), [(100.0, True), (107.5, False)])
def test_short_answer_is_admitted_while_there_is_time(now, is_admitted):
    refusal = admission(*[30] * 200).refusal(streaming_request(), now)
    assert (refusal is None) is is_admitted


def test_callers_token_limit_is_taken_into_account():
    drain = admission(*[900] * 200, is_other_ready=False)
    assert drain.refusal(streaming_request(max_tokens=40), 104.0) is None


@pytest.mark.parametrize(("now", "is_admitted"), [(107.0, True), (107.9, False)])
def test_plain_request_is_admitted_until_its_response_would_be_late(now, is_admitted):
    refusal = admission(is_other_ready=False).refusal(plain_request(goal_s=0.3), now)
    assert (refusal is None) is is_admitted


@pytest.mark.parametrize(("now", "is_admitted"), [(101.0, True), (105.0, False)])
def test_without_another_instance_a_likely_truncation_is_accepted_at_first(now, is_admitted):
    """Six instances are stopped one second apart; for four seconds all of them are leaving.

    When all of them refused, every streaming request of those seconds was lost: its caller
    retries once, at another leaving instance.
    """
    lengths = [200, 400, 900, 900] * 50
    refusal = admission(*lengths, is_other_ready=False).refusal(streaming_request(), now)
    assert (refusal is None) is is_admitted
    assert is_admitted or refusal.retry_after_s == drainadmission.ALL_LEAVING_RETRY_S
    assert admission(*lengths).refusal(streaming_request(), now) is not None


def test_long_after_the_signal_only_near_certain_requests_are_admitted():
    """Two rounds of planned stops overlap, and for seconds every instance of a site is leaving.

    Four seconds after the signal each admitted streams that had a chance of two in five of
    completing; three of five were truncated, although they could have been refused.
    """
    lengths = [200] * 95 + [900] * 5
    for is_other_ready in (False, True):
        early, late = (
            admission(*lengths, is_other_ready=is_other_ready).refusal(streaming_request(), now)
            for now in (STOP_REQUESTED_AT + 2.0, STOP_REQUESTED_AT + 3.5)
        )
        assert early is None
        assert late.http_status == 503
    sure = admission(*[30] * 200, is_other_ready=False)
    assert sure.refusal(streaming_request(max_tokens=40), STOP_REQUESTED_AT + 3.5) is None


def test_requests_in_flight_are_truncated_only_at_the_stop_limit():
    assert not admission(ends_at=None).is_over(200.0)
    assert (admission().is_over(ENDS_AT - 0.1), admission().is_over(ENDS_AT)) == (False, True)


SLOW, PENDING = (requestsinprogress.AnswerTime(0.0, 3.0, begun) for begun in (True, False))
QUICK = requestsinprogress.AnswerTime(0.0, 0.3)
QUEUED = requestsinprogress.AnswerTime(3.0, 0.3)


@pytest.mark.parametrize(
    ("answer_times", "is_admitted"),
    [([QUICK] * 20, True), ([SLOW], False), ([PENDING], False), ([QUEUED], False)],
)
def test_late_request_is_refused_if_answers_begin_too_late(answer_times, is_admitted):
    """A stopping instance admitted requests that engines then queued until the process ended."""
    request = streaming_request(max_tokens=40)
    drain = admission(answer_times=answer_times, is_other_ready=False)
    refusal = drain.refusal(request, ENDS_AT - 3.0)
    assert (refusal is None) is is_admitted


def test_request_that_has_waited_is_judged_by_the_time_of_replicas_alone():
    request = streaming_request(max_tokens=40)
    drain = admission(answer_times=[QUEUED], is_other_ready=False)
    assert drain.refusal(request, ENDS_AT - 3.0, has_waited=True) is None
    assert drain.refusal(request, ENDS_AT - 1.2, has_waited=True).code == "node_leaving"


@pytest.mark.parametrize(("slow_count", "is_admitted"), [(1, True), (4, False)])
def test_few_late_answers_do_not_refuse_an_early_request(slow_count, is_admitted):
    request = streaming_request(max_tokens=40)
    times = [SLOW] * slow_count + [QUICK] * (20 - slow_count)
    refusal = admission(answer_times=times, ends_at=STOP_REQUESTED_AT + 3.0).refusal(
        request, STOP_REQUESTED_AT + 1.0
    )
    assert (refusal is None) is is_admitted


def test_request_without_an_answer_at_the_limit_is_refused_truthfully():
    """At the limit of a stop the process ended, and its callers got no answer at all."""
    waiting, sent = attemptlog.AttemptLog(), attemptlog.AttemptLog()
    sent.start(models.Replica("i-1", "s", "10.0.0.1:1", "a", 8), None, ENDS_AT - 1.0)
    for is_other_ready, retry_s in (
        (True, drainadmission.OTHER_INSTANCE_RETRY_S),
        (False, drainadmission.ALL_LEAVING_RETRY_S),
    ):
        refusal = admission(is_other_ready=is_other_ready).final_refusal(waiting)
        assert (refusal.code, refusal.http_status) == ("node_leaving", 503)
        assert refusal.retry_after_s == retry_s
    refusal = admission().final_refusal(sent)
    assert (refusal.code, refusal.http_status) == ("stopped_before_answer", 502)
    assert refusal.run is outcomes.RunStatus.UNKNOWN


@pytest.mark.parametrize(
    ("sent_s", "begins_s", "late_start"),
    [
        (2.0, 7.5, "in_time"),
        (2.9, 7.5, "withheld"),
        (4.0, 7.5, "withheld"),
        (4.0, 6.0, "withheld"),
        (3.1, 3.2, "withheld"),
    ],
)
def test_answer_to_a_late_request_is_withheld(sent_s, begins_s, late_start):
    """An engine preempted a stream that it had begun in time, and the limit truncated it."""
    request = streaming_request(max_tokens=100)
    sent_at, now = STOP_REQUESTED_AT + sent_s, STOP_REQUESTED_AT + begins_s
    for is_other_ready in (False, True):
        drain = admission(is_other_ready=is_other_ready)
        assert drain.late_start(request, sent_at, now).value == late_start


LATE_TIMES = strategies.floats(LATE_AT, ENDS_AT - 0.01)
REQUESTS = strategies.builds(
    lambda kind, is_resumable, max_tokens, arrived_at, timeout_s: (
        plain_request(arrived_at, kind=kind, timeout_s=timeout_s, goal_s=0.1)
        if kind is not routemodels.RouteKind.STREAM
        else streaming_request(
            max_tokens, arrived_at, is_resumable=is_resumable, timeout_s=timeout_s
        )
    ),
    strategies.sampled_from(routemodels.RouteKind),
    strategies.booleans(),
    strategies.integers(1, 5000),
    LATE_TIMES,
    strategies.floats(0.05, 30.0),
)


@hypothesis.given(REQUESTS, strategies.lists(strategies.integers(1, 900), max_size=20))
def test_no_late_answer_can_be_truncated_whatever_engines_do(request, lengths):
    """Estimates of what an engine would do let late answers begin, and the limit cut them."""
    arrived_at = request.call.arrived_at
    outlasts = request.ends_at > ENDS_AT
    refusal = admission(*lengths).refusal(request, arrived_at)
    assert (refusal is not None) is outlasts
    alone = admission(*lengths, is_other_ready=False)
    starts = {
        drain.late_start(request, arrived_at, now)
        for drain in (alone, admission(*lengths))
        for now in (arrived_at, ENDS_AT - 0.001)
    }
    assert (drainadmission.LateStart.IN_TIME not in starts) is outlasts


def test_request_that_has_waited_into_the_late_period_is_late():
    request = streaming_request(max_tokens=4)
    early_at = STOP_REQUESTED_AT + 1.0
    assert admission().refusal(request, early_at) is None
    assert admission().refusal(request, LATE_AT, has_waited=True).code == "node_leaving"
