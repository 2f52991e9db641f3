import collections
import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from hornbeamglade.admission import replicaadmission, tokenledger
from hornbeamglade.core import clocks, outcomes
from hornbeamglade.fairness import queuesettings
from hornbeamglade.grants import replicascheduler, schedulerset
from hornbeamglade.lengths import lengthmodel

REPLICAS = ("e1", "e2")
MEMORY = 2000


def spec(max_waiting=4, max_running=3):
    return schedulerset.SchedulerSpec(
        MEMORY,
        replicaadmission.AdmissionSettings(max_running=max_running),
        queuesettings.QueueSettings(max_waiting, team_share=1.0),
    )


class Requester:
    """Requests grants at a scheduler set and keeps every later outcome."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.schedulers = schedulerset.SchedulerSet(self.clock, lengthmodel.LengthModel())
        self.schedulers.configure(dict.fromkeys(REPLICAS, spec()))
        self.schedulers.set_owned(frozenset(REPLICAS))
        self.outcomes_by_id = collections.defaultdict(list)
        self.sequence = 0

    def report(self, replica, leaving=False):
        self.sequence += 1
        view = tokenledger.LoadView(self.sequence, 0.0, MEMORY, 0)
        self.schedulers.apply(
            replica, lambda scheduler, now: scheduler.apply_report(view, leaving, now)
        )
        if leaving:
            self.schedulers.drain(replica)

    def request(self, replica, request_id, team="clerks", prompt=20, patience_s=60.0):
        work = outcomes.Work(request_id, "chat", team, 0, prompt)
        deadline = self.clock.now() + patience_s
        return self.schedulers.request_grant(
            replica, work, 1.0, deadline, self.outcomes_by_id[request_id].append
        )


class SchedulerSetMachine(stateful.RuleBasedStateMachine):
    """Every request ends exactly once as refused or finished; no grant is lost."""

    def __init__(self):
        super().__init__()
        self.requester = Requester()
        self.count = 0
        self.replica_by_queued = {}
        self.replica_by_running = {}
        self.configured = set(REPLICAS)
        for replica in REPLICAS:
            self.requester.report(replica)

    @stateful.rule(
        replica=st.sampled_from(REPLICAS),
        team=st.sampled_from(["a", "b"]),
        prompt=st.sampled_from([20, 900]),
        patience_s=st.sampled_from([0.5, 3.0, 60.0]),
    )
    def request(self, replica, team, prompt, patience_s):
        self.count += 1
        name = f"r{self.count}"
        answer = self.requester.request(replica, name, team, prompt, patience_s)
        if isinstance(answer, replicascheduler.Granted):
            self.replica_by_running[name] = replica
        elif isinstance(answer, replicascheduler.Queued):
            self.replica_by_queued[name] = replica
        else:
            assert answer.run is outcomes.RunStatus.NOT_RUN

    @stateful.precondition(lambda self: self.replica_by_queued or self.replica_by_running)
    @stateful.rule(data=st.data())
    def request_again(self, data):
        known = self.replica_by_queued | self.replica_by_running
        name = data.draw(st.sampled_from(sorted(known)))
        if known[name] not in self.configured:
            return
        answer = self.requester.request(known[name], name)
        is_running = name in self.replica_by_running
        assert isinstance(
            answer, replicascheduler.Granted if is_running else replicascheduler.Queued
        )

    @stateful.precondition(lambda self: self.replica_by_queued or self.replica_by_running)
    @stateful.rule(data=st.data(), times=st.integers(1, 2))
    def finish(self, data, times):
        known = self.replica_by_queued | self.replica_by_running
        name = data.draw(st.sampled_from(sorted(known)))
        self.replica_by_queued.pop(name, None)
        self.replica_by_running.pop(name, None)
        for _ in range(times):
            self.requester.schedulers.finish(known[name], name)
        self.requester.outcomes_by_id[name].clear()

    @stateful.rule(produced=st.integers(0, 600))
    def progress(self, produced):
        for name, replica in self.replica_by_running.items():
            self.requester.schedulers.progress(replica, name, produced)

    @stateful.rule(
        replica=st.sampled_from(REPLICAS), leaving=st.sampled_from([False, False, True])
    )
    def report(self, replica, leaving):
        self.requester.report(replica, leaving)

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 6.0]))
    def advance(self, seconds):
        self.requester.clock.advance(seconds)

    @stateful.rule(
        names=st.sampled_from([REPLICAS, REPLICAS, ("e1",)]), max_waiting=st.integers(1, 4)
    )
    def configure(self, names, max_waiting):
        self.requester.schedulers.configure(dict.fromkeys(names, spec(max_waiting)))
        self.configured = set(names)
        removed = [n for n, r in self.replica_by_running.items() if r not in self.configured]
        for name in removed:
            del self.replica_by_running[name]

    @stateful.invariant()
    def no_request_is_lost_or_answered_twice(self):
        self.requester.schedulers.process_queues()
        for name, received in self.requester.outcomes_by_id.items():
            assert len(received) <= 1, name
            if received and name in self.replica_by_queued:
                replica = self.replica_by_queued.pop(name)
                if isinstance(received[0].answer, replicascheduler.Granted):
                    self.replica_by_running[name] = replica
                else:
                    assert received[0].answer.run is outcomes.RunStatus.NOT_RUN
        states = self.requester.schedulers.states()
        running = collections.Counter(self.replica_by_running.values())
        queued = collections.Counter(self.replica_by_queued.values())
        for replica in REPLICAS:
            state = states.get(replica)
            assert (state.running if state else 0) == running[replica]
            assert (state.waiting if state else 0) == queued[replica]

    def teardown(self):
        for name, replica in (self.replica_by_queued | self.replica_by_running).items():
            self.requester.schedulers.finish(replica, name)
        states = self.requester.schedulers.states().values()
        assert all(state.running == state.waiting == 0 for state in states)


SchedulerSetMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=80, stateful_step_count=30
)
TestSchedulerSet = SchedulerSetMachine.TestCase


def test_an_unknown_replica_is_refused_as_not_run():
    answer = Requester().request("e9", "r1")
    assert (answer.code, answer.run) == ("replica_unknown", outcomes.RunStatus.NOT_RUN)


def test_requests_queued_at_a_removed_replica_are_refused():
    """An operator removes a replica from the configuration while requests wait for it."""
    requester = Requester()
    requester.request("e2", "r1")
    requester.schedulers.configure({"e1": spec()})
    assert [each.answer.code for each in requester.outcomes_by_id["r1"]] == ["replica_leaving"]


def test_queued_requests_are_refused_when_the_replica_gets_another_owner():
    """A request waits at a node that has just started, for a replica with another owner.

    The node receives no load reports of that replica, so its queue would never be served. The
    caller would be refused at its deadline while the engine is idle.
    """
    node = Requester()
    node.request("e1", "r1")
    node.schedulers.set_owned(frozenset())
    assert [outcome.answer.code for outcome in node.outcomes_by_id["r1"]] == ["owner_moved"]
    assert node.request("e1", "r2").code == "owner_moved"


def test_a_replica_that_never_reported_has_no_headroom():
    """A failure domain is lost, and a node owns replicas that it cannot reach.

    If these appeared empty, requests would wait there while other engines have headroom.
    """
    node = Requester()
    node.report("e2")
    headroom_by_replica = {
        name: state.headroom_tokens for name, state in node.schedulers.states().items()
    }
    assert headroom_by_replica["e1"] == 0
    assert headroom_by_replica["e2"] > 0


def test_a_replica_whose_reports_have_stopped_has_no_headroom():
    """The connection to an engine stalls after a report of an empty engine.

    New requests would be sent there until that report is too old to be valid.
    """
    node = Requester()
    node.report("e1")
    node.clock.advance(replicascheduler.REPORT_OVERDUE_S + 0.1)
    assert node.schedulers.states()["e1"].headroom_tokens == 0
    node.report("e1")
    assert node.schedulers.states()["e1"].headroom_tokens > 0


def test_an_urgent_request_that_waits_has_memory_reserved_at_all_replicas_of_its_service():
    """Less urgent requests filled the other replicas, so the next urgent one waited there."""
    requester = Requester()
    mixed = queuesettings.QueueSettings(has_mixed_objectives=True)
    requester.schedulers.configure(
        {
            name: dataclasses.replace(spec(), queue=mixed, service=service)
            for name, service in (("e1", "chat"), ("e2", "chat"), ("e3", "other"))
        }
    )
    requester.schedulers.set_owned(frozenset(("e1", "e2", "e3")))
    for replica in ("e1", "e2", "e3"):
        requester.report(replica)
        requester.schedulers.apply(
            replica,
            lambda scheduler, now: scheduler.adopt(
                outcomes.Work("running", "chat", "", 1, MEMORY - 700), 0, now
            ),
        )
    urgent = outcomes.Work("urgent", "chat", "", 9, 900)
    requester.schedulers.request_grant("e1", urgent, 1.0, 60.0, lambda _: None, due=1.0)
    reserved = requester.schedulers.reserved_memory
    assert [reserved([each]).urgent for each in ("e1", "e2", "e3")] == [900, 900, 0]
