import pytest

from hornbeamglade.admission import replicaadmission, tokenledger
from hornbeamglade.core import outcomes
from hornbeamglade.fairness import queuesettings, waiting
from hornbeamglade.grants import replicadesk
from hornbeamglade.lengths import lengthmodel
from hornbeamglade.replicas import startgate

MEMORY = 2000
SMALL = 20
HUGE = 1700


def make_desk(max_waiting=8, is_reported=True):
    desk = replicadesk.ReplicaDesk(
        "e1",
        replicaadmission.ReplicaAdmission(MEMORY, lengthmodel.LengthModel()),
        waiting.WaitingQueue(queuesettings.WaitingSettings(max_waiting, team_share=1.0)),
    )
    if is_reported:
        report(desk, 0.0)
    return desk


def report(desk, now, leaving=False, age_s=0.0):
    view = tokenledger.LoadView(int(now * 10) + 1, age_s, MEMORY, 0)
    desk.reported(view, leaving, now)


def work(request_id, prompt=SMALL, team="clerks"):
    return outcomes.Work(request_id, "chat", team, 0, prompt)


def ask(desk, request_id, now=0.0, prompt=SMALL, team="clerks", weight=1.0, deadline=60.0):
    return desk.ask(work(request_id, prompt, team), weight, now, deadline)


def answers(settled):
    return {each.request_id: each.answer for each in settled}


def test_an_ask_is_answered_alike_when_it_comes_again():
    desk = make_desk()
    for _ in range(2):
        assert ask(desk, "r1", prompt=HUGE) == replicadesk.Granted("r1", "e1")
        assert ask(desk, "r2", prompt=HUGE) == replicadesk.Waiting("r2", "e1")
    assert (desk.running_count, desk.waiting_count) == (1, 1)


def test_the_end_of_a_request_lets_the_next_one_start():
    desk = make_desk()
    ask(desk, "r1", prompt=HUGE)
    ask(desk, "r2", prompt=HUGE)
    assert desk.settle(0.1) == ()
    desk.finish("r1", 0.2)
    desk.finish("r1", 0.2)
    assert answers(desk.settle(0.2)) == {"r2": replicadesk.Granted("r2", "e1")}


def test_nobody_overtakes_those_that_wait():
    desk = make_desk()
    ask(desk, "r1", prompt=HUGE)
    ask(desk, "r2", prompt=HUGE)
    desk.finish("r1", 0.1)
    assert isinstance(ask(desk, "r3", now=0.1), replicadesk.Waiting)
    assert next(iter(answers(desk.settle(0.1)))) == "r2"


def test_a_caller_that_gives_up_leaves_no_place_behind():
    desk = make_desk()
    ask(desk, "r1", prompt=HUGE)
    ask(desk, "r2", prompt=HUGE)
    desk.finish("r2", 0.1)
    desk.finish("r1", 0.1)
    assert desk.settle(0.1) == ()
    assert (desk.running_count, desk.waiting_count) == (0, 0)


def test_one_that_gives_way_is_told():
    """A flood of one team fills the queue; a newcomer of another displaces its last.

    Were that one not told, its caller would wait until its deadline for a place that
    it no longer has.
    """
    desk = make_desk(max_waiting=2)
    for name in ("r1", "r2", "r3"):
        ask(desk, name, prompt=HUGE, team="flood")
    assert isinstance(ask(desk, "r4", prompt=HUGE, team="quiet"), replicadesk.Waiting)
    told = answers(desk.settle(0.0))
    assert told["r3"].code == "displaced"
    assert told["r3"].run is outcomes.RunStatus.NOT_RUN


def test_a_replica_that_never_reported_is_waited_for():
    desk = make_desk(is_reported=False)
    assert isinstance(ask(desk, "r1"), replicadesk.Waiting)
    assert desk.settle(1.0) == ()
    report(desk, 2.0)
    assert isinstance(answers(desk.settle(2.0))["r1"], replicadesk.Granted)


@pytest.mark.parametrize("age_s", [0.0, 3.0])
def test_a_silent_replica_gives_no_grants(age_s):
    """A replica is told to leave while the link from its owner is cut.

    The owner never hears of it: without a bound on the silence, it would send new
    work for as long as the cut lasts.
    """
    desk = make_desk()
    report(desk, 10.0, age_s=age_s)
    silent_at = 10.0 + replicadesk.REPORT_LIFE_S - age_s + 0.1
    assert isinstance(ask(desk, "r1", now=silent_at - 0.2, prompt=HUGE), replicadesk.Granted)
    assert isinstance(ask(desk, "r2", now=silent_at - 0.2, prompt=HUGE), replicadesk.Waiting)
    assert ask(desk, "r3", now=silent_at).code == "replica_silent"
    desk.finish("r1", silent_at)
    assert desk.settle(silent_at) == ()
    report(desk, silent_at + 1)
    assert isinstance(answers(desk.settle(silent_at + 1))["r2"], replicadesk.Granted)


def test_a_leaving_replica_refuses_whoever_waits_and_comes():
    desk = make_desk()
    ask(desk, "r1", prompt=HUGE)
    ask(desk, "r2", prompt=HUGE)
    report(desk, 1.0, leaving=True)
    desk.finish("r1", 1.0)
    assert desk.settle(1.0) == ()
    successor = make_desk(is_reported=False)
    successor.take_over(desk, 1.0)
    assert ask(successor, "r3", now=1.0).code == "replica_leaving"
    assert answers(desk.leave())["r2"].code == "replica_leaving"
    assert ask(desk, "r3", now=1.0).code == "replica_leaving"
    assert desk.leave() == ()
    report(desk, 2.0)
    ask(desk, "r4", now=2.0, prompt=HUGE)
    assert isinstance(ask(desk, "r2", now=2.0, prompt=HUGE), replicadesk.Waiting)


def test_other_settings_keep_what_runs_and_waits():
    """An operator changes a pool's margin while its replicas are busy.

    A desk made anew would take the engine for empty and overfill it, and callers
    that wait would never be answered.
    """
    former = make_desk()
    ask(former, "r1", prompt=HUGE)
    former.progress("r1", 100, 0.5)
    for name in ("r2", "r3"):
        ask(former, name, prompt=HUGE)
    desk = make_desk(max_waiting=1, is_reported=False)
    desk.take_over(former, 1.0)
    assert (desk.running_count, desk.waiting_count) == (1, 1)
    assert answers(desk.settle(1.0))["r3"].code in ("queue_full", "team_queue_full")
    desk.finish("r1", 2.0)
    assert answers(desk.settle(2.0)) == {"r2": replicadesk.Granted("r2", "e1")}


def test_teams_are_charged_for_the_tokens_of_their_answers():
    """Two teams of equal weight take turns; one of them gets answers ten times as long.

    Charged for prompts alone, both would start as often, and the team of long answers
    would get ten times the tokens.
    """
    desk = make_desk()
    ask(desk, "long", team="long", prompt=HUGE)
    ask(desk, "long-2", team="long", prompt=HUGE)
    ask(desk, "short-2", team="short", prompt=HUGE)
    desk.progress("long", 250, 1.0)
    desk.finish("long", 1.0)
    assert list(answers(desk.settle(1.0))) == ["short-2"]


def test_an_engine_that_cannot_be_reached_gets_nothing_until_it_reports():
    """An engine crashes and its memory looks empty: nothing of it is in use any more.

    Every request went there first, met a closed port, and had one try less for the
    engines that live. For three and a half seconds the platform lists it as before.
    """
    desk = make_desk()
    ask(desk, "r1", prompt=HUGE)
    ask(desk, "r2", prompt=HUGE)
    assert answers(desk.lost(1.0))["r2"].code == "replica_unreached"
    desk.finish("r1", 1.0)
    assert ask(desk, "r3", now=1.0).code == "replica_unreached"
    assert desk.ask_at_once(work("r4"), 1.0) is None
    assert desk.take_in(work("r5"), 10, 1.0).code == "replica_unreached"
    assert desk.is_lost
    report(desk, 2.0)
    assert isinstance(ask(desk, "r3", now=2.0), replicadesk.Granted)
    assert not desk.is_lost


def test_an_engine_that_leaves_and_ends_stays_one_that_leaves():
    desk = make_desk()
    report(desk, 1.0, leaving=True)
    desk.lost(2.0)
    assert ask(desk, "r1", now=2.0).code == "replica_leaving"


def test_prompts_that_wait_to_be_read_hold_the_next_one_back():
    """Half of the engines crash, and their callers come back to the others at once.

    Memory took all their prompts in, and each stood for seconds behind those that had
    come before, whether they could still be on time or not.
    """
    desk = make_desk()
    desk.admission.ledger.capacity = 100_000
    many = [ask(desk, f"r{number}", prompt=3000) for number in range(4)]
    kinds = [type(answer) for answer in many]
    granted, waits = replicadesk.Granted, replicadesk.Waiting
    assert kinds == [granted, granted, waits, waits]
    assert [each.request_id for each in desk.settle(0.1)] == ["r2"]
    assert [each.request_id for each in desk.settle(0.5)] == ["r3"]


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
    desk = make_desk()
    desk.gate = PacedGate(1)
    assert ask(desk, "r1") == replicadesk.Granted("r1", "e1")
    assert ask(desk, "r2").code == "replica_cold"
    assert desk.take_in(work("r3"), 5, 0.0).code == "replica_cold"
    assert (desk.running_count, desk.waiting_count) == (1, 0)


def test_those_that_wait_when_the_gate_closes_are_refused():
    desk = make_desk()
    ask(desk, "r1", prompt=HUGE)
    ask(desk, "r2", prompt=HUGE)
    desk.gate = PacedGate(0)
    assert answers(desk.settle(0.1))["r2"].code == "replica_cold"
    desk.finish("r1", 0.2)
    assert (desk.running_count, desk.waiting_count) == (0, 0)
