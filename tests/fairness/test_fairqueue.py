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


def test_flood_does_not_delay_another_team():
    # A clerk's single request waits behind a hundred of a batch job of another
    # team, and the caller hangs up. The batch came first, and a queue in order of
    # arrival serves all of it first.
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
    # A team is quiet for an hour and then sends a burst. Everyone else's drafts stop
    # until its whole burst is done: its counter of served tokens stood still.
    target = queue(max_waiting=1000)
    fill(target, "late", 1)
    drain(target)
    fill(target, "a", 300)
    for _ in range(200):
        target.take(anything, 0.0)
    fill(target, "late", 50, now=1.0)
    taken = [target.take(anything, 1.0).team for _ in range(20)]
    assert 8 <= taken.count("a") <= 12


def test_higher_priority_goes_first():
    target = queue()
    fill(target, "a", 1, priority=0)
    fill(target, "b", 1, priority=2)
    assert drain(target) == ["b2-0", "a0-0"]


def test_low_priority_is_not_starved():
    # Tagging of incoming mail has the lowest priority. On a busy day urgent drafts
    # arrive faster than they are served; no tag is ever made and a court notice
    # stays buried. Strict priorities never come to the lowest class.
    target = queue(ageing_s=5.0)
    fill(target, "tags", 1, priority=0)
    for second in range(40):
        target.offer(work(f"u{second}", "urgent", 3), 1.0, second, FAR)
        target.offer(work(f"v{second}", "urgent", 3), 1.0, second, FAR)
        if target.take(anything, second).team == "tags":
            return
    pytest.fail("the low priority never started")


def test_ageing_does_not_favour_a_flooding_team():
    # A team floods the queue at the lowest priority. Its old backlog ages past the
    # fresh requests of the higher class, whose callers then wait for all of it.
    target = queue(max_waiting=400, ageing_s=10.0)
    fill(target, "flood", 100, priority=0)
    taken = []
    for second in range(20, 60):
        target.offer(work(f"u{second}", "urgent", 1), 1.0, second, FAR)
        taken.append(target.take(anything, second).team)
    assert taken.count("urgent") >= 30


def test_small_work_passes_a_large_head_a_bounded_number_of_times():
    # A long lease summary needs much memory. Short answers keep slipping in as soon
    # as a little is free, so there is never enough, and the summary expires
    # although the engine was busy with others all along.
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


def test_full_queue_makes_room_for_a_team_below_its_share():
    # Two teams flood the queue and fill it. A third team's only request of the day
    # is refused, although it has the best claim of all.
    target = queue(max_waiting=10, team_share=0.5)
    fill(target, "a", 5)
    fill(target, "b", 5)
    queued = target.offer(work("quiet", "c"), 1.0, 0.0, FAR)
    (gone,) = queued.displaced
    assert gone.work.request_id in ("a0-4", "b0-4")
    assert (gone.refusal.code, gone.refusal.run) == ("displaced", outcomes.RunStatus.NOT_RUN)
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
    (gone,) = target.expire(3.0)
    assert gone.refusal.code == "deadline_passed"
    assert target.next_deadline() is None


def test_never_starts_after_the_deadline():
    target = queue()
    fill(target, "a", 1, deadline=3.0)
    assert target.take(anything, 3.0) is None


def served_each_second(target, seconds):
    for second in range(1, seconds + 1):
        target.take(anything, float(second))


def test_hopeless_request_is_answered_long_before_its_deadline():
    # A caller waits its full half minute only to hear that it was in vain. The queue
    # was served one a second with fifty ahead all along: that the request could not
    # start in time was clear when it came.
    target = queue(max_waiting=200, team_share=1.0)
    fill(target, "a", 70)
    served_each_second(target, 10)
    refused = target.offer(work("late"), 1.0, 10.0, deadline=25.0)
    assert refused.code == "cannot_start_in_time"
    assert refused.retry_after_s >= 60
    assert target.offer(work("patient"), 1.0, 10.0, deadline=100.0) == fairqueue.Queued()


def test_quiet_time_does_not_count_as_slow_service():
    # After a quiet night the first requests of the morning are refused as hopeless:
    # the night was taken for a single very long interval of service.
    target = queue(max_waiting=200, team_share=1.0)
    fill(target, "a", 10)
    served_each_second(target, 10)
    fill(target, "b", 10, now=30000.0)
    assert target.take(anything, 30001.0) is not None
    assert target.expected_wait_s(30001.0) == pytest.approx(9.0)


def test_waiting_request_is_given_up_on_once_service_has_slowed():
    # Service slows down while requests wait. Those at the back can't start in time
    # any more, but hear so only at their deadlines, too late to go elsewhere.
    target = queue(max_waiting=200, team_share=1.0)
    fill(target, "a", 60, deadline=30.0)
    served_each_second(target, 10)
    gone = target.expire(10.0)
    assert gone
    assert {each.refusal.code for each in gone} == {"cannot_start_in_time"}
    assert len(target) + len(gone) == 50


def test_others_turns_count_in_the_forecast_only_as_far_as_they_come_first():
    # A team with one short request is refused as hopeless because another team has a
    # hundred waiting, although it would be next.
    target = queue(max_waiting=200)
    fill(target, "flood", 90)
    fill(target, "light", 10)
    served_each_second(target, 20)
    assert target.waiting("light") == 0
    assert target.offer(work("next", "light"), 1.0, 20.0, deadline=22.0) == fairqueue.Queued()


def test_callers_refused_together_come_back_apart():
    # An overloaded second refuses a hundred callers; all come back in the same second
    # and overload it again, for ever. All were told the same time.
    target = queue()
    delays = sorted(target.retry_after(0.0, f"r{number}") for number in range(100))
    assert delays[0] >= 1.0
    assert delays[75] - delays[25] > 0.3
    assert target.retry_after(0.0, "r1") == target.retry_after(5.0, "r1")


def test_removed_request_leaves_nothing_behind():
    target = queue()
    fill(target, "a", 1)
    assert target.remove("a0-0").request_id == "a0-0"
    assert target.remove("a0-0") is None
    assert (len(target), target.take(anything, 0.0), target.expire(FAR)) == (0, None, ())


def test_same_request_twice_breaks_an_invariant():
    target = queue()
    fill(target, "a", 1)
    with pytest.raises(codederrors.InvariantError, match="request_queued_twice"):
        target.offer(work("a0-0"), 1.0, 0.0, FAR)


def test_a_newcomer_passes_those_who_are_late_but_not_those_who_can_be_on_time():
    """Engines crash while twice the usual letters come; each queue fills with late ones.

    An engine with room turned away newcomers who could be on time, because late ones
    waited there, and each newcomer queued somewhere else until it was late as well.
    """
    line = queue()
    assert line.would_start_next(due=0.0, now=1.0)
    line.offer(work("late"), 1.0, 0.0, 60.0, due=1.0)
    assert (line.count_ahead(0.5), line.would_start_next(2.0, now=0.5)) == (1, False)
    assert (line.count_ahead(1.0), line.would_start_next(2.0, now=1.0)) == (0, True)
    assert not line.would_start_next(due=1.0, now=1.0)
    assert line.expected_wait_s(1.0) == 0.0
