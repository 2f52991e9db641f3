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


def make_scheduler(max_waiting=8, is_reported=True):
    scheduler = replicascheduler.ReplicaScheduler(
        "e1",
        replicaadmission.ReplicaAdmission(MEMORY, lengthmodel.LengthModel()),
        fairqueue.FairQueue(queuesettings.QueueSettings(max_waiting, team_share=1.0)),
    )
    if is_reported:
        report(scheduler, 0.0)
    return scheduler


def report(scheduler, now, leaving=False, age_s=0.0):
    view = tokenledger.LoadView(int(now * 10) + 1, age_s, MEMORY, 0)
    scheduler.apply_report(view, leaving, now)


def work(request_id, prompt=SMALL, team="clerks"):
    return outcomes.Work(request_id, "chat", team, 0, prompt)


def ask(scheduler, request_id, now=0.0, prompt=SMALL, team="clerks", weight=1.0, deadline=60.0):
    return scheduler.request_grant(work(request_id, prompt, team), weight, now, deadline)


def answers(settled):
    return {each.request_id: each.answer for each in settled}


def test_an_ask_is_answered_alike_when_it_comes_again():
    scheduler = make_scheduler()
    for _ in range(2):
        assert ask(scheduler, "r1", prompt=HUGE) == replicascheduler.Granted("r1", "e1")
        assert ask(scheduler, "r2", prompt=HUGE) == replicascheduler.Queued("r2", "e1")
    assert (scheduler.running_count, scheduler.queued_count) == (1, 1)


def test_the_end_of_a_request_lets_the_next_one_start():
    scheduler = make_scheduler()
    ask(scheduler, "r1", prompt=HUGE)
    ask(scheduler, "r2", prompt=HUGE)
    assert scheduler.process_queue(0.1) == ()
    scheduler.finish("r1", 0.2)
    scheduler.finish("r1", 0.2)
    assert answers(scheduler.process_queue(0.2)) == {"r2": replicascheduler.Granted("r2", "e1")}


def test_nobody_overtakes_those_that_wait():
    scheduler = make_scheduler()
    ask(scheduler, "r1", prompt=HUGE)
    ask(scheduler, "r2", prompt=HUGE)
    scheduler.finish("r1", 0.1)
    assert isinstance(ask(scheduler, "r3", now=0.1), replicascheduler.Queued)
    assert next(iter(answers(scheduler.process_queue(0.1)))) == "r2"


def test_a_caller_that_gives_up_leaves_no_place_behind():
    scheduler = make_scheduler()
    ask(scheduler, "r1", prompt=HUGE)
    ask(scheduler, "r2", prompt=HUGE)
    scheduler.finish("r2", 0.1)
    scheduler.finish("r1", 0.1)
    assert scheduler.process_queue(0.1) == ()
    assert (scheduler.running_count, scheduler.queued_count) == (0, 0)


def test_one_that_gives_way_is_told():
    """A flood of one team fills the queue; a newcomer of another displaces its last.

    Were that one not told, its caller would wait until its deadline for a place that
    it no longer has.
    """
    scheduler = make_scheduler(max_waiting=2)
    for name in ("r1", "r2", "r3"):
        ask(scheduler, name, prompt=HUGE, team="flood")
    assert isinstance(ask(scheduler, "r4", prompt=HUGE, team="quiet"), replicascheduler.Queued)
    told = answers(scheduler.process_queue(0.0))
    assert told["r3"].code == "displaced"
    assert told["r3"].run is outcomes.RunStatus.NOT_RUN


def test_a_replica_that_never_reported_is_waited_for():
    scheduler = make_scheduler(is_reported=False)
    assert isinstance(ask(scheduler, "r1"), replicascheduler.Queued)
    assert scheduler.process_queue(1.0) == ()
    report(scheduler, 2.0)
    assert isinstance(answers(scheduler.process_queue(2.0))["r1"], replicascheduler.Granted)


@pytest.mark.parametrize("age_s", [0.0, 3.0])
def test_a_silent_replica_gives_no_grants(age_s):
    """A replica is told to leave while the link from its owner is cut.

    The owner never hears of it: without a bound on the silence, it would send new
    work for as long as the cut lasts.
    """
    scheduler = make_scheduler()
    report(scheduler, 10.0, age_s=age_s)
    silent_at = 10.0 + replicascheduler.REPORT_LIFE_S - age_s + 0.1
    assert isinstance(
        ask(scheduler, "r1", now=silent_at - 0.2, prompt=HUGE), replicascheduler.Granted
    )
    assert isinstance(
        ask(scheduler, "r2", now=silent_at - 0.2, prompt=HUGE), replicascheduler.Queued
    )
    assert ask(scheduler, "r3", now=silent_at).code == "replica_silent"
    scheduler.finish("r1", silent_at)
    assert scheduler.process_queue(silent_at) == ()
    report(scheduler, silent_at + 1)
    assert isinstance(
        answers(scheduler.process_queue(silent_at + 1))["r2"], replicascheduler.Granted
    )


def test_a_leaving_replica_refuses_whoever_waits_and_comes():
    scheduler = make_scheduler()
    ask(scheduler, "r1", prompt=HUGE)
    ask(scheduler, "r2", prompt=HUGE)
    report(scheduler, 1.0, leaving=True)
    scheduler.finish("r1", 1.0)
    assert scheduler.process_queue(1.0) == ()
    successor = make_scheduler(is_reported=False)
    successor.take_over(scheduler, 1.0)
    assert ask(successor, "r3", now=1.0).code == "replica_leaving"
    assert answers(scheduler.drain())["r2"].code == "replica_leaving"
    assert ask(scheduler, "r3", now=1.0).code == "replica_leaving"
    assert scheduler.drain() == ()
    report(scheduler, 2.0)
    ask(scheduler, "r4", now=2.0, prompt=HUGE)
    assert isinstance(ask(scheduler, "r2", now=2.0, prompt=HUGE), replicascheduler.Queued)


def test_other_settings_keep_what_runs_and_waits():
    """An operator changes a pool's margin while its replicas are busy.

    A scheduler made anew would take the engine for empty and overfill it, and callers
    that wait would never be answered.
    """
    former = make_scheduler()
    ask(former, "r1", prompt=HUGE)
    former.progress("r1", 100, 0.5)
    for name in ("r2", "r3"):
        ask(former, name, prompt=HUGE)
    scheduler = make_scheduler(max_waiting=1, is_reported=False)
    scheduler.take_over(former, 1.0)
    assert (scheduler.running_count, scheduler.queued_count) == (1, 1)
    assert answers(scheduler.process_queue(1.0))["r3"].code in ("queue_full", "team_queue_full")
    scheduler.finish("r1", 2.0)
    assert answers(scheduler.process_queue(2.0)) == {"r2": replicascheduler.Granted("r2", "e1")}


def test_teams_are_charged_for_the_tokens_of_their_answers():
    """Two teams of equal weight take turns; one of them gets answers ten times as long.

    Charged for prompts alone, both would start as often, and the team of long answers
    would get ten times the tokens.
    """
    scheduler = make_scheduler()
    ask(scheduler, "long", team="long", prompt=HUGE)
    ask(scheduler, "long-2", team="long", prompt=HUGE)
    ask(scheduler, "short-2", team="short", prompt=HUGE)
    scheduler.progress("long", 250, 1.0)
    scheduler.finish("long", 1.0)
    assert list(answers(scheduler.process_queue(1.0))) == ["short-2"]


def test_an_engine_that_cannot_be_reached_gets_nothing_until_it_reports():
    """An engine crashes and its memory looks empty: nothing of it is in use any more.

    Every request went there first, met a closed port, and had one try less for the
    engines that live. For three and a half seconds the platform lists it as before.
    """
    scheduler = make_scheduler()
    ask(scheduler, "r1", prompt=HUGE)
    ask(scheduler, "r2", prompt=HUGE)
    assert answers(scheduler.mark_unreachable(1.0))["r2"].code == "replica_unreached"
    scheduler.finish("r1", 1.0)
    assert ask(scheduler, "r3", now=1.0).code == "replica_unreached"
    assert scheduler.try_grant(work("r4"), 1.0) is None
    assert scheduler.admit_migration(work("r5"), 10, 1.0).code == "replica_unreached"
    assert scheduler.is_unreachable
    report(scheduler, 2.0)
    assert isinstance(ask(scheduler, "r3", now=2.0), replicascheduler.Granted)
    assert not scheduler.is_unreachable


def test_an_engine_that_leaves_and_ends_stays_one_that_leaves():
    scheduler = make_scheduler()
    report(scheduler, 1.0, leaving=True)
    scheduler.mark_unreachable(2.0)
    assert ask(scheduler, "r1", now=2.0).code == "replica_leaving"


def test_prompts_that_wait_to_be_read_hold_the_next_one_back():
    """Half of the engines crash, and their callers come back to the others at once.

    Memory took all their prompts in, and each stood for seconds behind those that had
    come before, whether they could still be on time or not.
    """
    scheduler = make_scheduler()
    scheduler.admission.ledger.capacity = 100_000
    many = [ask(scheduler, f"r{number}", prompt=3000) for number in range(4)]
    kinds = [type(answer) for answer in many]
    granted, waits = replicascheduler.Granted, replicascheduler.Queued
    assert kinds == [granted, granted, waits, waits]
    assert [each.request_id for each in scheduler.process_queue(0.1)] == ["r2"]
    assert [each.request_id for each in scheduler.process_queue(0.5)] == ["r3"]


class PacedGate(startgate.StartGate):
    """Lets so many requests start, and refuses the rest."""

    def __init__(self, left):
        self.left = left

    def refusal(self, replica_id, now):
        return None if self.left else outcomes.Refusal("replica_cold", 503, "", retry_after_s=0.1)

    def started(self, replica_id, now):
        self.left -= 1


def test_what_the_gate_keeps_out_is_refused_and_not_queued():
    """Guards requests against waiting for a cold replica while others have room."""
    scheduler = make_scheduler()
    scheduler.gate = PacedGate(1)
    assert ask(scheduler, "r1") == replicascheduler.Granted("r1", "e1")
    assert ask(scheduler, "r2").code == "replica_cold"
    assert scheduler.admit_migration(work("r3"), 5, 0.0).code == "replica_cold"
    assert (scheduler.running_count, scheduler.queued_count) == (1, 0)


def test_those_that_wait_when_the_gate_closes_are_refused():
    scheduler = make_scheduler()
    ask(scheduler, "r1", prompt=HUGE)
    ask(scheduler, "r2", prompt=HUGE)
    scheduler.gate = PacedGate(0)
    assert answers(scheduler.process_queue(0.1))["r2"].code == "replica_cold"
    scheduler.finish("r1", 0.2)
    assert (scheduler.running_count, scheduler.queued_count) == (0, 0)
