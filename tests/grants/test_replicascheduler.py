import math

import pytest

from hornbeamglade.admission import replicaadmission, tokenledger
from hornbeamglade.core import outcomes
from hornbeamglade.fairness import fairqueue, queuesettings
from hornbeamglade.grants import replicascheduler
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.replicas import startgate

MEMORY = 2000
SMALL = 20
HUGE = 1700


def make_scheduler(max_waiting=8, is_reported=True, has_mixed_objectives=False, memory=MEMORY):
    scheduler = replicascheduler.ReplicaScheduler(
        "e1",
        replicaadmission.ReplicaAdmission(memory, lengthmodel.LengthModel()),
        fairqueue.FairQueue(
            queuesettings.QueueSettings(
                max_waiting, team_share=1.0, has_mixed_objectives=has_mixed_objectives
            )
        ),
    )
    if is_reported:
        report(scheduler, 0.0, memory=memory)
    return scheduler


def report(scheduler, now, leaving=False, age_s=0.0, memory=MEMORY):
    view = tokenledger.LoadView(int(now * 10) + 1, age_s, memory, 0)
    scheduler.apply_report(view, leaving, now)


def work(request_id, prompt=SMALL, team="clerks"):
    return outcomes.Work(request_id, "chat", team, 0, prompt)


def request(
    scheduler, request_id, now=0.0, prompt=SMALL, team="clerks", weight=1.0, deadline=60.0
):
    return scheduler.request_grant(work(request_id, prompt, team), weight, now, deadline)


def answers(decided):
    return {each.request_id: each.answer for each in decided}


def make_with_a_queue():
    """Return a scheduler with a huge request that runs, ``r1``, and one that waits, ``r2``."""
    scheduler = make_scheduler()
    request(scheduler, "r1", prompt=HUGE)
    request(scheduler, "r2", prompt=HUGE)
    return scheduler


def test_a_repeated_request_gets_the_same_answer():
    scheduler = make_scheduler()
    for _ in range(2):
        assert request(scheduler, "r1", prompt=HUGE) == replicascheduler.Granted("r1", "e1")
        assert request(scheduler, "r2", prompt=HUGE) == replicascheduler.Queued("r2", "e1")
    assert (scheduler.running_count, scheduler.queued_count) == (1, 1)


def test_the_end_of_a_request_lets_the_next_one_start():
    scheduler = make_with_a_queue()
    assert scheduler.process_queue(0.1) == ()
    scheduler.finish("r1", 0.2)
    scheduler.finish("r1", 0.2)
    assert answers(scheduler.process_queue(0.2)) == {"r2": replicascheduler.Granted("r2", "e1")}


def test_no_new_request_overtakes_the_queued_ones():
    scheduler = make_with_a_queue()
    scheduler.finish("r1", 0.1)
    assert isinstance(request(scheduler, "r3", now=0.1), replicascheduler.Queued)
    assert next(iter(answers(scheduler.process_queue(0.1)))) == "r2"


def test_a_request_that_gives_up_frees_its_queue_position():
    scheduler = make_with_a_queue()
    scheduler.finish("r2", 0.1)
    scheduler.finish("r1", 0.1)
    assert scheduler.process_queue(0.1) == ()
    assert (scheduler.running_count, scheduler.queued_count) == (0, 0)


def test_a_displaced_request_is_refused():
    """One team fills the queue, and a request of another team displaces its newest one.

    If the displaced request were not refused, its caller would wait until the deadline although
    the request is no longer queued.
    """
    scheduler = make_scheduler(max_waiting=2)
    for name in ("r1", "r2", "r3"):
        request(scheduler, name, prompt=HUGE, team="flood")
    assert isinstance(request(scheduler, "r4", prompt=HUGE, team="quiet"), replicascheduler.Queued)
    decided = answers(scheduler.process_queue(0.0))
    assert decided["r3"].code == "displaced"
    assert decided["r3"].run is outcomes.RunStatus.NOT_RUN


def test_requests_wait_for_a_replica_that_never_reported():
    scheduler = make_scheduler(is_reported=False)
    assert isinstance(request(scheduler, "r1"), replicascheduler.Queued)
    assert scheduler.process_queue(1.0) == ()
    report(scheduler, 2.0)
    assert isinstance(answers(scheduler.process_queue(2.0))["r1"], replicascheduler.Granted)


@pytest.mark.parametrize("age_s", [0.0, 3.0])
def test_a_silent_replica_gives_no_grants(age_s):
    """A replica is told to leave while the connection from its owner is cut.

    The owner does not learn of it. Without a limit on the age of the last report, it would
    send new work for as long as the connection is cut.
    """
    scheduler = make_scheduler()
    report(scheduler, 10.0, age_s=age_s)
    silent_at = 10.0 + replicascheduler.REPORT_LIFE_S - age_s + 0.1
    assert isinstance(
        request(scheduler, "r1", now=silent_at - 0.2, prompt=HUGE), replicascheduler.Granted
    )
    assert isinstance(
        request(scheduler, "r2", now=silent_at - 0.2, prompt=HUGE), replicascheduler.Queued
    )
    assert request(scheduler, "r3", now=silent_at).code == "replica_silent"
    scheduler.finish("r1", silent_at)
    assert scheduler.process_queue(silent_at) == ()
    report(scheduler, silent_at + 1)
    assert isinstance(
        answers(scheduler.process_queue(silent_at + 1))["r2"], replicascheduler.Granted
    )


def test_a_leaving_replica_refuses_queued_and_new_requests():
    scheduler = make_with_a_queue()
    report(scheduler, 1.0, leaving=True)
    scheduler.finish("r1", 1.0)
    assert scheduler.process_queue(1.0) == ()
    successor = make_scheduler(is_reported=False)
    successor.take_over(scheduler, 1.0)
    assert request(successor, "r3", now=1.0).code == "replica_leaving"
    assert answers(scheduler.drain())["r2"].code == "replica_leaving"
    assert request(scheduler, "r3", now=1.0).code == "replica_leaving"
    assert scheduler.drain() == ()
    report(scheduler, 2.0)
    request(scheduler, "r4", now=2.0, prompt=HUGE)
    assert isinstance(request(scheduler, "r2", now=2.0, prompt=HUGE), replicascheduler.Queued)


def test_changed_settings_keep_running_and_queued_requests():
    """An operator changes a pool's margin while its replicas are busy.

    A new scheduler without the former state would treat the engine as empty and overfill it,
    and the queued requests would never be answered.
    """
    former = make_scheduler()
    request(former, "r1", prompt=HUGE)
    former.progress("r1", 100, 0.5)
    for name in ("r2", "r3"):
        request(former, name, prompt=HUGE)
    scheduler = make_scheduler(max_waiting=1, is_reported=False)
    scheduler.take_over(former, 1.0)
    assert (scheduler.running_count, scheduler.queued_count) == (1, 1)
    assert answers(scheduler.process_queue(1.0))["r3"].code in ("queue_full", "team_queue_full")
    scheduler.finish("r1", 2.0)
    assert answers(scheduler.process_queue(2.0)) == {"r2": replicascheduler.Granted("r2", "e1")}


def test_teams_are_charged_for_the_tokens_of_their_answers():
    """Two teams have equal weights, and the answers of one are ten times as long.

    If teams were charged for prompts alone, both would start equally often, and the team with
    long answers would get ten times as many tokens.
    """
    scheduler = make_scheduler()
    request(scheduler, "long", team="long", prompt=HUGE)
    request(scheduler, "long-2", team="long", prompt=HUGE)
    request(scheduler, "short-2", team="short", prompt=HUGE)
    scheduler.progress("long", 250, 1.0)
    scheduler.finish("long", 1.0)
    assert list(answers(scheduler.process_queue(1.0))) == ["short-2"]


def test_an_unreachable_engine_gets_no_requests_until_it_reports():
    """An engine crashes, and its memory appears empty as nothing runs there any more.

    Every request was sent there first, found a closed port and had one attempt less for the
    live engines. The platform still lists a crashed engine for 3.5 s.
    """
    scheduler = make_with_a_queue()
    assert answers(scheduler.mark_unreachable(1.0))["r2"].code == "replica_unreached"
    scheduler.finish("r1", 1.0)
    assert request(scheduler, "r3", now=1.0).code == "replica_unreached"
    assert scheduler.try_grant(work("r4"), 1.0) is None
    assert scheduler.admit_migration(work("r5"), 10, 1.0).code == "replica_unreached"
    assert scheduler.is_unreachable
    report(scheduler, 2.0)
    assert isinstance(request(scheduler, "r3", now=2.0), replicascheduler.Granted)
    assert not scheduler.is_unreachable


def test_a_leaving_engine_that_becomes_unreachable_is_still_leaving():
    scheduler = make_scheduler()
    report(scheduler, 1.0, leaving=True)
    scheduler.mark_unreachable(2.0)
    assert request(scheduler, "r1", now=2.0).code == "replica_leaving"


def test_a_backlog_of_prompts_holds_back_the_next_request():
    """Half of the engines crash, and their requests are retried at the others at once.

    There was memory for all their prompts, but each waited for seconds behind the earlier ones,
    whether these could still be on time or not.
    """
    scheduler = make_scheduler()
    scheduler.admission.ledger.capacity = 100_000
    many = [request(scheduler, f"r{number}", prompt=3000) for number in range(4)]
    kinds = [type(answer) for answer in many]
    granted, queued = replicascheduler.Granted, replicascheduler.Queued
    assert kinds == [granted, granted, queued, queued]
    assert [each.request_id for each in scheduler.process_queue(0.1)] == ["r2"]
    assert [each.request_id for each in scheduler.process_queue(0.5)] == ["r3"]


class LimitedGate(startgate.StartGate):
    """Lets a number of requests start, and refuses the rest."""

    def __init__(self, remaining):
        self.remaining = remaining

    def refusal(self, replica_id, now):
        return (
            None
            if self.remaining
            else outcomes.Refusal("replica_cold", 503, "", retry_after_s=0.1)
        )

    def started(self, replica_id, now):
        self.remaining -= 1


def test_a_request_that_the_gate_holds_back_is_refused_and_not_queued():
    """Requests must not wait for a cold replica while others have headroom."""
    scheduler = make_scheduler()
    scheduler.gate = LimitedGate(1)
    assert request(scheduler, "r1") == replicascheduler.Granted("r1", "e1")
    assert request(scheduler, "r2").code == "replica_cold"
    assert scheduler.admit_migration(work("r3"), 5, 0.0).code == "replica_cold"
    assert (scheduler.running_count, scheduler.queued_count) == (1, 0)


def test_queued_requests_are_refused_when_the_gate_closes():
    scheduler = make_with_a_queue()
    scheduler.gate = LimitedGate(0)
    assert answers(scheduler.process_queue(0.1))["r2"].code == "replica_cold"
    scheduler.finish("r1", 0.2)
    assert (scheduler.running_count, scheduler.queued_count) == (0, 0)


PROMPT = 3000
LONG_DUE = 3.5
SHORT_DUE = 1.2


def priority_work(request_id, priority):
    return outcomes.Work(request_id, "chat", "", priority, PROMPT)


def make_busy(*, is_mixed):
    """Return a scheduler with 0.43 s of queued prompts, and a less urgent request with slack."""
    scheduler = make_scheduler(has_mixed_objectives=is_mixed, memory=100 * PROMPT)
    assert scheduler.try_grant(priority_work("first", 1), 0.0, LONG_DUE)
    return scheduler, priority_work("long", 1)


def test_a_request_with_slack_waits_while_the_backlog_is_over_its_bound():
    """Urgent requests started late behind prompts of requests that had time to spare."""
    scheduler, long = make_busy(is_mixed=True)
    assert scheduler.try_grant(long, 0.0, LONG_DUE) is None
    assert isinstance(
        scheduler.request_grant(long, 1.0, 0.0, 10.0, LONG_DUE), replicascheduler.Queued
    )
    # It neither blocks an urgent request nor adds to the wait that is expected for one.
    assert scheduler.count_ahead(0.0) == 0
    assert scheduler.expected_wait_s(0.0) == scheduler.prompts.wait_s(0.0)
    assert scheduler.process_queue(0.0) == ()
    assert scheduler.try_grant(priority_work("short", 3), 0.0, SHORT_DUE)


def test_an_engine_does_not_idle_while_a_request_with_slack_waits():
    """The queue may next be processed after the backlog has drained."""
    scheduler, long = make_busy(is_mixed=True)
    scheduler.request_grant(long, 1.0, 0.0, 10.0, LONG_DUE)
    delay_s = scheduler.seconds_until_next_start(0.0)
    assert 0.0 < delay_s < scheduler.prompts.wait_s(0.0)
    assert scheduler.process_queue(delay_s - 0.01) == ()
    assert "long" in answers(scheduler.process_queue(delay_s + 0.001))
    assert scheduler.seconds_until_next_start(delay_s + 0.001) is None


@pytest.mark.parametrize(("due", "starts"), [(LONG_DUE, False), (1.4, True), (math.inf, True)])
def test_only_a_known_objective_that_is_far_off_gives_slack(due, starts):
    """A request of unknown objective, or one that has waited, must not wait for others."""
    scheduler, long = make_busy(is_mixed=True)
    assert (scheduler.try_grant(long, 0.0, due) is not None) is starts


def test_a_less_urgent_request_does_not_start_ahead_of_an_urgent_one_that_waits():
    scheduler, long = make_busy(is_mixed=True)
    scheduler.try_grant(priority_work("second", 3), 0.0, SHORT_DUE)
    scheduler.try_grant(priority_work("third", 3), 0.0, SHORT_DUE)
    scheduler.request_grant(priority_work("short", 3), 1.0, 0.0, 10.0, SHORT_DUE)
    scheduler.request_grant(long, 1.0, 0.0, 10.0, 1.9)
    assert scheduler.try_grant(priority_work("new", 1), 0.6, 1.9) is None
    assert list(answers(scheduler.process_queue(0.6))) == ["short"]
    assert list(answers(scheduler.process_queue(1.2))) == ["long"]


def test_a_less_urgent_request_without_slack_leaves_the_backlog_to_urgent_ones():
    """Urgent requests started late behind prompts of others that were themselves nearly late."""
    scheduler, long = make_busy(is_mixed=True)
    scheduler.try_grant(priority_work("urgent", 3), 0.0, SHORT_DUE)
    backlog_s = scheduler.prompts.wait_s(0.0)
    above = backlog_s - replicascheduler.MAX_LESS_URGENT_BACKLOG_S - 0.01
    assert scheduler.try_grant(long, above, above + 1.0) is None
    assert scheduler.try_grant(priority_work("later", 3), above, above + 1.0)


def test_requests_of_one_priority_share_the_whole_backlog():
    scheduler, _ = make_busy(is_mixed=True)
    assert scheduler.try_grant(priority_work("second", 1), 0.0, SHORT_DUE)


def test_without_mixed_objectives_slack_has_no_effect():
    """The other services are served as before: one bound, and no new request passes the queue."""
    scheduler, long = make_busy(is_mixed=False)
    assert scheduler.try_grant(long, 0.0, LONG_DUE)
    scheduler.try_grant(priority_work("third", 1), 0.0, LONG_DUE)
    scheduler.request_grant(priority_work("fourth", 1), 1.0, 0.0, 10.0, LONG_DUE)
    assert scheduler.count_ahead(0.0) == 1
    assert scheduler.seconds_until_next_start(0.0) is None
    assert scheduler.try_grant(priority_work("short", 3), 0.6, 1.8) is None
    assert "fourth" in answers(scheduler.process_queue(0.6))


def make_full():
    """Return a scheduler with room for one long prompt, in which an urgent request has waited."""
    scheduler = make_scheduler(has_mixed_objectives=True, memory=4 * PROMPT)
    for name in ("r1", "r2"):
        scheduler.adopt(priority_work(name, 1), 0, 0.0)
    scheduler.prompts.add(7000, 0.0)
    scheduler.request_grant(priority_work("urgent", 3), 1.0, 0.0, 10.0, SHORT_DUE)
    scheduler.finish("urgent", 0.1)
    return scheduler


@pytest.mark.parametrize(
    ("priority", "now", "due", "starts"),
    [(1, 1.0, 2.4, False), (3, 1.0, 2.4, True), (1, 3.1, 4.5, True), (1, 1.0, 2.1, True)],
    ids=["less_urgent", "urgent", "after_the_surge", "about_to_be_late"],
)
def test_memory_is_reserved_while_urgent_requests_have_to_wait(priority, now, due, starts):
    """Less urgent requests took all memory that was freed, and urgent ones waited again."""
    scheduler = make_full()
    granted = scheduler.try_grant(priority_work("new", priority), now, due)
    assert (granted is not None) is starts


def test_a_reserve_does_not_starve_a_request_that_has_waited():
    scheduler = make_full()
    scheduler.request_grant(priority_work("long", 1), 1.0, 0.1, 20.0)
    for second in range(1, 6):
        scheduler.reserve.waited(priority_work("other", 3), float(second))
        assert scheduler.process_queue(float(second)) == ()
    assert "long" in answers(scheduler.process_queue(5.2))


def make_with_departures(*, is_mixed=True):
    """Return a scheduler that holds half its memory while many of the engines depart."""
    scheduler = make_scheduler(has_mixed_objectives=is_mixed, memory=4 * PROMPT)
    scheduler.adopt(priority_work("r1", 1), 0, 0.0)
    scheduler.adopt(priority_work("r2", 1), 0, 0.0)
    scheduler.departing_share = lambda _now: 0.4
    return scheduler


def test_new_requests_leave_memory_for_runs_of_departing_engines():
    """Runs were cut off because new requests had filled the memory of the other engines."""
    scheduler = make_with_departures()
    assert scheduler.try_grant(priority_work("new", 1), 0.0) is None
    run = priority_work("run", 1)
    assert isinstance(scheduler.admit_migration(run, 100, 0.0), replicascheduler.Granted)
    assert make_with_departures(is_mixed=False).try_grant(priority_work("new", 1), 0.0)


def test_headroom_is_not_kept_from_brief_requests():
    """They end before the next engines depart, so they take no memory from migrated runs."""
    scheduler = make_with_departures()
    for _ in range(200):
        scheduler.admission._lengths.observe("chat", "", 8, censored=False)
    assert scheduler.try_grant(priority_work("new", 1), 0.0)


def test_headroom_does_not_starve_a_request_that_has_waited():
    scheduler = make_with_departures()
    scheduler.request_grant(priority_work("new", 1), 1.0, 0.0, 20.0)
    assert scheduler.process_queue(4.9) == ()
    assert "new" in answers(scheduler.process_queue(5.1))
