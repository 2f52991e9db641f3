import pytest

from hornbeamglade.core import codederrors, outcomes
from hornbeamglade.fairness import fairqueue, queuesettings

FAR = 1e6


def work(request_id, team="a", priority=0, prompt=10):
    return outcomes.Work(request_id, "chat", team, priority, prompt)


def queue(**settings):
    return fairqueue.FairQueue(queuesettings.QueueSettings(**settings))


def fill(target, team, count, *, priority=0, prompt=10, deadline=FAR, now=0.0):
    for number in range(count):
        item = work(f"{team}{priority}-{number}", team, priority, prompt)
        assert target.offer(item, 1.0, now, deadline) == fairqueue.Queued()


def anything(_work):
    return True


def drain(target, now=0.0):
    taken = []
    while (item := target.take(anything, now)) is not None:
        taken.append(item.request_id)
    return taken


def test_one_flow_is_first_in_first_out():
    target = queue()
    fill(target, "a", 3)
    assert drain(target) == ["a0-0", "a0-1", "a0-2"]


def test_burst_of_one_team_does_not_delay_another_team():
    # One request waits behind a hundred requests of another team's batch job, until its
    # caller disconnects: a queue in order of arrival serves the whole batch first.
    target = queue(max_waiting=200)
    fill(target, "batch", 100)
    fill(target, "clerk", 1)
    assert "clerk0-0" in [target.take(anything, 0.0).request_id for _ in range(2)]


def test_served_answer_tokens_count_against_the_team():
    target = queue()
    fill(target, "a", 3)
    fill(target, "b", 3)
    first = target.take(anything, 0.0)
    target.charge_output(first.team, 25)
    other = {"a": "b", "b": "a"}[first.team]
    assert [target.take(anything, 0.0).team for _ in range(3)] == [other] * 3


def test_idle_team_gets_no_credit():
    # A team is idle for an hour and then sends a burst. As its counter of served tokens did
    # not change meanwhile, all other teams would wait until the whole burst is served.
    target = queue(max_waiting=1000)
    fill(target, "late", 1)
    drain(target)
    fill(target, "a", 300)
    for _ in range(200):
        target.take(anything, 0.0)
    fill(target, "late", 50, now=1.0)
    taken = [target.take(anything, 1.0).team for _ in range(20)]
    assert 8 <= taken.count("a") <= 12


def test_higher_priority_starts_first():
    target = queue()
    fill(target, "a", 1, priority=0)
    fill(target, "b", 1, priority=2)
    assert drain(target) == ["b2-0", "a0-0"]


def test_low_priority_is_not_starved():
    # Urgent requests arrive faster than they are served. With strict priorities, the lowest
    # class is never served.
    target = queue(ageing_s=5.0)
    fill(target, "tags", 1, priority=0)
    for second in range(40):
        target.offer(work(f"u{second}", "urgent", 3), 1.0, second, FAR)
        target.offer(work(f"v{second}", "urgent", 3), 1.0, second, FAR)
        if target.take(anything, second).team == "tags":
            return
    pytest.fail("the low priority never started")


def test_ageing_does_not_favour_a_flooding_team():
    # A team floods the queue at the lowest priority. If its whole backlog aged past the new
    # requests of the higher class, their callers would wait for all of it.
    target = queue(max_waiting=400, ageing_s=10.0)
    fill(target, "flood", 100, priority=0)
    taken = []
    for second in range(20, 60):
        target.offer(work(f"u{second}", "urgent", 1), 1.0, second, FAR)
        taken.append(target.take(anything, second).team)
    assert taken.count("urgent") >= 30


def test_small_requests_pass_a_large_head_a_limited_number_of_times():
    # A long request needs much memory. If short requests start whenever a little memory is
    # free, there is never enough, and the long one expires while others are served all along.
    target = queue(max_passes=3, max_waiting=100)
    target.offer(work("large", "a", prompt=1000), 1.0, 0.0, FAR)
    fill(target, "b", 10)
    passed = 0
    while target.take(lambda item: item.prompt_tokens < 100, 0.0) is not None:
        passed += 1
    assert passed == 3
    assert "large" in drain(target)[:2]


def test_team_may_hold_only_its_share_of_the_queue():
    target = queue(max_waiting=10, team_share=0.5)
    fill(target, "a", 5)
    refused = target.offer(work("more"), 1.0, 0.0, FAR)
    assert (refused.code, refused.http_status) == ("team_queue_full", 429)


def test_full_queue_displaces_a_request_for_a_team_below_its_share():
    # Two teams fill the queue. Without displacement, the only request of a third team would
    # be refused although it has the strongest claim.
    target = queue(max_waiting=10, team_share=0.5)
    fill(target, "a", 5)
    fill(target, "b", 5)
    queued = target.offer(work("quiet", "c"), 1.0, 0.0, FAR)
    (removed,) = queued.displaced
    assert removed.work.request_id in ("a0-4", "b0-4")
    assert (removed.refusal.code, removed.refusal.run) == ("displaced", outcomes.RunStatus.NOT_RUN)
    assert len(target) == 10


def test_full_queue_displaces_no_higher_priority():
    target = queue(max_waiting=4, team_share=1.0)
    fill(target, "a", 4, priority=1)
    assert target.offer(work("low", "b", 0), 1.0, 0.0, FAR).code == "queue_full"


def test_expires_at_the_deadline():
    target = queue()
    fill(target, "a", 1, deadline=3.0)
    assert target.next_deadline() == 3.0
    assert target.expire(2.9) == ()
    (removed,) = target.expire(3.0)
    assert removed.refusal.code == "deadline_passed"
    assert target.next_deadline() is None


def test_never_starts_after_the_deadline():
    target = queue()
    fill(target, "a", 1, deadline=3.0)
    assert target.take(anything, 3.0) is None


def served_each_second(target, seconds):
    for second in range(1, seconds + 1):
        target.take(anything, float(second))


def test_request_that_cannot_start_in_time_is_refused_at_once():
    # The queue is served at one request a second and sixty are ahead. It is clear on arrival
    # that the request cannot start in time, so its caller must not wait until the deadline.
    target = queue(max_waiting=200, team_share=1.0)
    fill(target, "a", 70)
    served_each_second(target, 10)
    refused = target.offer(work("late"), 1.0, 10.0, deadline=25.0)
    assert refused.code == "cannot_start_in_time"
    assert refused.retry_after_s >= 60
    assert target.offer(work("patient"), 1.0, 10.0, deadline=100.0) == fairqueue.Queued()


def test_idle_time_does_not_count_as_slow_service():
    # After an idle night, the first requests of the morning would be refused if the night
    # were counted as one very long service interval.
    target = queue(max_waiting=200, team_share=1.0)
    fill(target, "a", 10)
    served_each_second(target, 10)
    fill(target, "b", 10, now=30000.0)
    assert target.take(anything, 30001.0) is not None
    assert target.expected_wait_s(30001.0) == pytest.approx(9.0)


def test_queued_request_is_refused_once_service_has_slowed_down():
    # Service slows down while requests are queued. The last ones can no longer start in time
    # and must be refused early enough for their callers to try elsewhere.
    target = queue(max_waiting=200, team_share=1.0)
    fill(target, "a", 60, deadline=30.0)
    served_each_second(target, 10)
    removed = target.expire(10.0)
    assert removed
    assert {each.refusal.code for each in removed} == {"cannot_start_in_time"}
    assert len(target) + len(removed) == 50


def test_forecast_counts_only_the_requests_of_other_teams_that_start_first():
    # A team's only request must not be refused because another team has ninety queued, as
    # it would be the next to start.
    target = queue(max_waiting=200)
    fill(target, "flood", 90)
    fill(target, "light", 10)
    served_each_second(target, 20)
    assert target.queued_count("light") == 0
    assert target.offer(work("next", "light"), 1.0, 20.0, deadline=22.0) == fairqueue.Queued()


def test_retries_of_callers_refused_together_are_spread():
    # A hundred callers are refused within one second of overload. With equal retry times they
    # would all return within one second and overload the queue again and again.
    target = queue()
    delays = sorted(target.retry_after(0.0, f"r{number}") for number in range(100))
    assert delays[0] >= 1.0
    assert delays[75] - delays[25] > 0.3
    assert target.retry_after(0.0, "r1") == target.retry_after(5.0, "r1")


def test_removed_request_leaves_the_queue_empty():
    target = queue()
    fill(target, "a", 1)
    assert target.remove("a0-0").request_id == "a0-0"
    assert target.remove("a0-0") is None
    assert (len(target), target.take(anything, 0.0), target.expire(FAR)) == (0, None, ())


def test_queueing_the_same_request_twice_violates_an_invariant():
    target = queue()
    fill(target, "a", 1)
    with pytest.raises(codederrors.InvariantError, match="request_queued_twice"):
        target.offer(work("a0-0"), 1.0, 0.0, FAR)


def test_a_new_request_passes_late_requests_but_not_those_that_can_be_on_time():
    """Engines crash while the load is twice the usual, and the queues fill with late requests.

    An engine with headroom refused new requests that could be on time because late ones were
    queued there. Each new request then waited in another queue until it was late as well.
    """
    target = queue()
    assert target.would_start_next(due=0.0, now=1.0)
    target.offer(work("late"), 1.0, 0.0, 60.0, due=1.0)
    assert (target.count_ahead(0.5), target.would_start_next(2.0, now=0.5)) == (1, False)
    assert (target.count_ahead(1.0), target.would_start_next(2.0, now=1.0)) == (0, True)
    assert not target.would_start_next(due=1.0, now=1.0)
    assert target.expected_wait_s(1.0) == 0.0


def test_requests_passed_for_their_slack_do_not_block_urgent_ones():
    """A request with slack would count as passed, and then nothing could start before it."""
    target = queue(max_passes=2, has_mixed_objectives=True)
    slack = outcomes.Work("slack", "chat", "a", 2, 10)
    target.offer(slack, 1.0, 0.0, FAR, due=5.0)
    fill(target, "b", 6)
    taken = [
        target.take(anything, 0.0, lambda _priority, due: due == 5.0).request_id for _ in range(6)
    ]
    assert taken == [f"b0-{number}" for number in range(6)]
    assert target.take(anything, 0.0, lambda _priority, due: due == 5.0) is None
    assert target.take(anything, 0.0).request_id == "slack"


def test_a_less_urgent_request_rises_at_once_when_it_is_due_or_starved():
    """It would wait 5 s for each priority that it is lower, longer than its caller does."""
    for due, now in ((4.0, 3.0), (FAR, 6.0)):
        target = queue(has_mixed_objectives=True)
        target.offer(work("low", "a", 0), 1.0, 0.0, FAR, due)
        target.offer(work("high", "b", 9), 1.0, now, FAR, now + 1.0)
        target.charge_output("b", 1000)
        assert target.take(anything, now).request_id == "low"
        # It also holds back an urgent request that arrives while it waits.
        target.offer(work("low2", "a", 0), 1.0, now - 6.0, FAR, due)
        assert not target.would_start_first(work("new", "b", 9), now + 1.0, now, None)
