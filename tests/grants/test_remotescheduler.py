import dataclasses

import pytest

from hornbeamglade.admission import replicaadmission, tokenledger
from hornbeamglade.core import clocks
from hornbeamglade.exchange import grantserver, messages
from hornbeamglade.fairness import queuesettings
from hornbeamglade.grants import grantresponses, remotescheduler, replicascheduler, schedulerset
from hornbeamglade.lengths import lengthmodel
from tests.exchange import lossynetwork

KIND = messages.GrantKind
KEY = grantserver.GrantKey("n2", 1, 1)


class Owner:
    """A node with one scheduler, whose configuration names one of each."""

    def __init__(self):
        clock = clocks.ManualClock(100.0)
        self.schedulers = schedulerset.SchedulerSet(clock, lengthmodel.LengthModel())
        spec = schedulerset.SchedulerSpec(
            100_000, replicaadmission.AdmissionSettings(), queuesettings.QueueSettings()
        )
        self.schedulers.configure({"engine-1": spec})
        self.schedulers.set_owned(frozenset({"engine-1"}))
        self.names = remotescheduler.ConfiguredNames()
        self.names.replicas.replace(["engine-1"])
        self.names.services.replace(["chat"])
        self.names.teams.replace(["clerks"])
        self.remote = remotescheduler.RemoteScheduler(self.schedulers, clock, self.names)

    def held(self):
        state = self.schedulers.states().get("engine-1")
        return 0 if state is None else state.running + state.waiting


def test_an_ask_by_hashes_reaches_the_scheduler_of_the_name():
    owner = Owner()
    assert owner.remote.decide(KEY, lossynetwork.make_ask(1)).kind is not KIND.REFUSED
    assert owner.held() == 1


@pytest.mark.parametrize("unknown", ["replicas", "services", "teams"])
def test_an_ask_with_a_hash_of_no_configured_name_is_refused(unknown):
    # An operator adds a team; the asking node has the new revision and the owner has
    # not. Taken, its requests would be queued as those of a team of no name.
    owner = Owner()
    getattr(owner.names, unknown).replace([])
    answer = owner.remote.decide(KEY, lossynetwork.make_ask(1))
    assert (answer.kind, answer.code) == (KIND.REFUSED, grantresponses.NAMES_UNKNOWN)
    assert answer.retry_after_ms > 0
    assert owner.held() == 0


def test_an_ask_that_may_only_start_now_is_refused_and_not_queued():
    """In a crowd each request asks several owners; queued, it would have to take each back."""
    owner = Owner()
    schedulers = owner.schedulers
    now = dataclasses.replace(lossynetwork.make_ask(1), at_once=True)
    assert not schedulers.states()["engine-1"].headroom_tokens
    answer = owner.remote.decide(KEY, now)
    assert (answer.kind, answer.code) == (KIND.REFUSED, grantresponses.NO_ROOM_NOW)
    assert owner.held() == 0
    report = tokenledger.LoadView(1, 0.0, 100_000, 0)
    schedulers.apply("engine-1", lambda scheduler, at: scheduler.apply_report(report, False, at))
    assert owner.remote.decide(KEY, now).kind is KIND.GRANTED


def test_an_ask_that_may_only_start_now_learns_that_the_owner_has_changed():
    owner = Owner()
    owner.schedulers.set_owned(frozenset())
    now = dataclasses.replace(lossynetwork.make_ask(1), at_once=True)
    assert owner.remote.decide(KEY, now).code == replicascheduler.OWNER_MOVED


def test_a_returned_ask_frees_its_place():
    owner = Owner()
    owner.remote.decide(KEY, lossynetwork.make_ask(1))
    owner.remote.release(KEY, 0)
    assert owner.held() == 0


def test_a_running_request_is_adopted_if_its_replica_is_configured():
    owner = Owner()
    progress = messages.GrantProgress(1, lossynetwork.REPLICA, 40)
    owner.remote.adopt(KEY, progress)
    assert owner.held() == 1
    owner.names.replicas.replace([])
    owner.remote.adopt(grantserver.GrantKey("n2", 1, 2), progress)
    assert owner.held() == 1


class ChoosingOwner(Owner):
    """An owner of two engines that is left the choice between them."""

    def __init__(self, first, second):
        super().__init__()
        spec = schedulerset.SchedulerSpec(
            1000,
            replicaadmission.AdmissionSettings(max_running=1),
            queuesettings.QueueSettings(),
        )
        self.schedulers.configure(dict.fromkeys(("engine-1", "engine-2"), spec))
        self.schedulers.set_owned(frozenset(("engine-1", "engine-2")))
        self.names.replicas.replace(["engine-1", "engine-2"])
        self.remote.set_alternatives(lambda replica, work: (first, second))
        for name in ("engine-1", "engine-2"):
            self.report(name)

    def report(self, name):
        view = tokenledger.LoadView(1, 0.0, 1000, 0)
        self.schedulers.apply(
            name, lambda scheduler, now: scheduler.apply_report(view, False, now)
        )

    def ask(self, number, **changes):
        key = grantserver.GrantKey("n2", 1, number)
        ask = dataclasses.replace(lossynetwork.make_ask(number), or_other=True, **changes)
        return key, self.remote.decide(key, ask)

    def running(self):
        return {name: state.running for name, state in self.schedulers.states().items()}


def test_an_owner_that_may_choose_grants_its_best_engine_with_room():
    # The asking node heard of the engines some time ago, and asks for the one that
    # looked emptiest then. All nodes would do so.
    owner = ChoosingOwner("engine-2", "engine-1")
    answers = [owner.ask(number)[1] for number in (1, 2)]
    assert [answer.kind for answer in answers] == [KIND.GRANTED, KIND.GRANTED]
    assert [answer.replica for answer in answers] == [
        messages.key_hash("engine-2"),
        messages.key_hash("engine-1"),
    ]


def test_what_another_engine_was_granted_for_is_freed_there():
    owner = ChoosingOwner("engine-2", "engine-1")
    key, _ = owner.ask(1)
    owner.remote.progress(key, 5)
    assert owner.running() == {"engine-1": 0, "engine-2": 1}
    owner.remote.release(key, 9)
    assert owner.running() == {"engine-1": 0, "engine-2": 0}


def test_with_no_room_anywhere_the_request_waits_at_the_best_engine():
    owner = ChoosingOwner("engine-2", "engine-1")
    for number in (1, 2):
        owner.ask(number)
    _, answer = owner.ask(3)
    assert answer.kind is KIND.QUEUED
    assert answer.replica == messages.key_hash("engine-2")


def test_a_run_that_goes_on_is_taken_in_by_an_engine_with_room():
    owner = ChoosingOwner("engine-2", "engine-1")
    owner.ask(1)
    _, answer = owner.ask(2, produced=40)
    assert answer.replica == messages.key_hash("engine-1")
    _, none = owner.ask(3, produced=40)
    assert (none.kind, none.code) == (KIND.REFUSED, "no_room")


def test_an_engine_that_will_not_do_is_not_granted():
    """A request was turned away by an engine that has died, and asks its owner again.

    The owner does not know yet. It granted the same engine, as the emptiest of all, until
    the request had no tries left.
    """
    owner = ChoosingOwner("engine-2", "engine-1")
    _, answer = owner.ask(1, avoid=(messages.key_hash("engine-2"),))
    assert answer.replica == messages.key_hash("engine-1")
    _, none = owner.ask(2, avoid=(messages.key_hash("engine-1"), messages.key_hash("engine-2")))
    assert (none.kind, none.code) == (KIND.REFUSED, remotescheduler.NONE_LEFT)
