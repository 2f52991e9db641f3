"""How long recent answers took to begin, and the end of requests without an answer."""

import asyncio

import pytest

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.replicas import models
from hornbeamglade.routed import attemptlog, requestsinprogress
from tests.routed import fakes

REFUSAL = outcomes.Refusal("node_leaving", 503, "-", retry_after_s=1.0)
REPLICA = models.Replica("i-1", "s", "10.0.0.1:1", "a", 8)
AnswerTime = requestsinprogress.AnswerTime


class Requests:
    """Requests in progress on a manual clock."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.in_progress = requestsinprogress.RequestsInProgress(self.clock)

    def add(self, service="s"):
        routed = fakes.routed_request(
            self.clock, fakes.route(), fakes.models.Service(service, "/healthz", 100, None)
        )
        request = requestsinprogress.RequestInProgress(
            routed, attemptlog.AttemptLog(), asyncio.Timeout(None)
        )
        self.in_progress.add(request)
        return request

    def send(self, request, after_s=0.0):
        self.clock.advance(after_s)
        request.log.start(REPLICA, None, self.clock.now())

    def answer(self, request, after_s=0.0):
        self.clock.advance(after_s)
        request.log.record_answer_started(self.clock.now())

    def times(self, service="s"):
        return [
            AnswerTime(round(each.wait_s, 3), round(each.response_s, 3), each.has_begun)
            for each in self.in_progress.answer_times(service)
        ]


def test_times_of_requests_in_every_state():
    requests = Requests()
    ended, answered, sent, _waiting = (requests.add() for _ in range(4))
    requests.send(ended, 0.5)
    requests.answer(ended, 0.25)
    requests.in_progress.remove(ended)
    requests.send(answered, 0.25)
    requests.answer(answered, 1.0)
    requests.send(sent, 0.5)
    requests.clock.advance(2.0)
    assert set(requests.times()) == {
        AnswerTime(0.5, 0.25),
        AnswerTime(1.0, 1.0),
        AnswerTime(2.5, 2.0, False),
        AnswerTime(4.5, 0.0, False),
    }
    assert requests.times("other") == []


def test_old_answers_and_callers_that_left_do_not_count():
    requests = Requests()
    answered, left = requests.add(), requests.add()
    requests.send(answered)
    requests.answer(answered, 0.5)
    requests.in_progress.remove(answered)
    requests.in_progress.remove(left)
    assert requests.times() == [AnswerTime(0.0, 0.5)]
    requests.clock.advance(requestsinprogress.WINDOW_S + 0.1)
    assert requests.times() == []


def test_number_of_times_is_bounded():
    requests = Requests()
    for _ in range(requestsinprogress.MAX_ANSWER_TIMES + 10):
        request = requests.add()
        requests.send(request)
        requests.answer(request, 0.01)
    assert len(requests.times()) == requestsinprogress.MAX_ANSWER_TIMES


def test_answers_of_services_that_are_gone_are_forgotten():
    requests = Requests()
    for service in ("s", "t"):
        request = requests.add(service)
        requests.send(request)
        requests.answer(request, 0.5)
        requests.in_progress.remove(request)
    requests.in_progress.keep_services(frozenset(("t",)))
    assert (requests.times("s"), len(requests.times("t"))) == ([], 1)


def test_requests_that_are_judged_together_read_the_times_once():
    requests = Requests()
    requests.add()
    first = requests.in_progress.answer_times("s")
    requests.clock.advance(requestsinprogress.REUSE_S / 2)
    assert requests.in_progress.answer_times("s") is first
    requests.clock.advance(requestsinprogress.REUSE_S)
    assert requests.in_progress.answer_times("s") is not first


def test_only_a_request_at_no_replica_is_waiting():
    requests = Requests()
    request = requests.add()
    assert request.is_waiting
    requests.send(request)
    assert not request.is_waiting
    request.log.record_end("i-1", outcomes.RunStatus.NOT_RUN, True, 0.0)
    assert request.is_waiting
    requests.answer(request)
    assert not request.is_waiting
    assert requests.in_progress.unanswered() == ()


def request_with_timeout(seconds):
    timeout = asyncio.timeout(seconds)
    log = attemptlog.AttemptLog()
    return requestsinprogress.RequestInProgress(fakes.plain_request(), log, timeout), timeout


async def test_request_that_is_ended_times_out_with_the_first_refusal():
    request, timeout = request_with_timeout(30.0)
    with pytest.raises(TimeoutError):
        async with timeout:
            request.end(REFUSAL)
            request.end(outcomes.Refusal("other", 503, "-"))
            await asyncio.sleep(30.0)
    assert request.refusal is REFUSAL


async def test_request_whose_time_is_over_is_not_ended_again():
    request, timeout = request_with_timeout(0.0)
    with pytest.raises(TimeoutError):
        async with timeout:
            await asyncio.sleep(30.0)
    request.end(REFUSAL)
    assert request.refusal is None


def test_request_whose_answer_is_withheld_waits_for_nothing_between_two_replicas():
    """A planned stop refused a run that was moving to another replica, as if it had not begun."""
    requests = Requests()
    waiting, withheld = requests.add(), requests.add()
    for request in (waiting, withheld):
        requests.send(request)
        request.log.record_end("i-1", outcomes.RunStatus.RAN, True, requests.clock.now())
    withheld.log.record_answer_withheld()
    assert (waiting.is_waiting, withheld.is_waiting) == (True, False)
    assert withheld in requests.in_progress.unanswered()
