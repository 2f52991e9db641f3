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
    """A node with one scheduler, and one configured replica, service and team."""

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

    def held_count(self):
        state = self.schedulers.states().get("engine-1")
        return 0 if state is None else state.running + state.waiting


def test_a_request_with_name_hashes_reaches_the_scheduler_of_the_replica():
    owner = Owner()
    assert owner.remote.decide(KEY, lossynetwork.make_request(1)).kind is not KIND.REFUSED
    assert owner.held_count() == 1


@pytest.mark.parametrize("unknown", ["replicas", "services", "teams"])
def test_a_request_with_a_hash_of_an_unknown_name_is_refused(unknown):
    # An operator adds a team; the requesting node has the new revision and the owner does
    # not. If accepted, the requests would be queued for a team without a name.
    owner = Owner()
    getattr(owner.names, unknown).replace([])
    answer = owner.remote.decide(KEY, lossynetwork.make_request(1))
    assert (answer.kind, answer.code) == (KIND.REFUSED, grantresponses.NAMES_UNKNOWN)
    assert answer.retry_after_ms > 0
    assert owner.held_count() == 0


def test_an_immediate_request_is_refused_and_not_queued():
    """Under overload a request asks several owners.

    If it were queued there, it would have to be withdrawn from each of them.
    """
    owner = Owner()
    schedulers = owner.schedulers
    now = dataclasses.replace(lossynetwork.make_request(1), immediate=True)
    assert not schedulers.states()["engine-1"].headroom_tokens
    answer = owner.remote.decide(KEY, now)
    assert (answer.kind, answer.code) == (KIND.REFUSED, grantresponses.NO_ROOM_NOW)
    assert owner.held_count() == 0
    report = tokenledger.LoadView(1, 0.0, 100_000, 0)
    schedulers.apply("engine-1", lambda scheduler, at: scheduler.apply_report(report, False, at))
    assert owner.remote.decide(KEY, now).kind is KIND.GRANTED


def test_an_immediate_request_is_told_that_the_owner_has_changed():
    owner = Owner()
    owner.schedulers.set_owned(frozenset())
    now = dataclasses.replace(lossynetwork.make_request(1), immediate=True)
    assert owner.remote.decide(KEY, now).code == replicascheduler.OWNER_MOVED


def test_a_released_request_frees_its_queue_position():
    owner = Owner()
    owner.remote.decide(KEY, lossynetwork.make_request(1))
    owner.remote.release(KEY, 0)
    assert owner.held_count() == 0


def test_a_running_request_is_adopted_if_its_replica_is_configured():
    owner = Owner()
    progress = messages.GrantProgress(1, lossynetwork.REPLICA, 40)
    owner.remote.adopt(KEY, progress)
    assert owner.held_count() == 1
    owner.names.replicas.replace([])
    owner.remote.adopt(grantserver.GrantKey("n2", 1, 2), progress)
    assert owner.held_count() == 1


class ChoosingOwner(Owner):
    """An owner of two engines that may choose between them."""

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

    def request(self, number, **changes):
        key = grantserver.GrantKey("n2", 1, number)
        request = dataclasses.replace(
            lossynetwork.make_request(number), allow_other=True, **changes
        )
        return key, self.remote.decide(key, request)

    def running(self):
        return {name: state.running for name, state in self.schedulers.states().items()}


def test_an_owner_that_may_choose_grants_its_best_engine_with_headroom():
    # The requesting node has an older state of the engines, and requests the one that was
    # emptiest then. All nodes would request the same one.
    owner = ChoosingOwner("engine-2", "engine-1")
    answers = [owner.request(number)[1] for number in (1, 2)]
    assert [answer.kind for answer in answers] == [KIND.GRANTED, KIND.GRANTED]
    assert [answer.replica for answer in answers] == [
        messages.key_hash("engine-2"),
        messages.key_hash("engine-1"),
    ]


def test_a_grant_for_another_engine_is_released_there():
    owner = ChoosingOwner("engine-2", "engine-1")
    key, _ = owner.request(1)
    owner.remote.progress(key, 5)
    assert owner.running() == {"engine-1": 0, "engine-2": 1}
    owner.remote.release(key, 9)
    assert owner.running() == {"engine-1": 0, "engine-2": 0}


def test_without_headroom_the_request_waits_at_the_best_engine():
    owner = ChoosingOwner("engine-2", "engine-1")
    for number in (1, 2):
        owner.request(number)
    _, answer = owner.request(3)
    assert answer.kind is KIND.QUEUED
    assert answer.replica == messages.key_hash("engine-2")


def test_a_migrated_run_is_admitted_by_an_engine_with_headroom():
    owner = ChoosingOwner("engine-2", "engine-1")
    owner.request(1)
    _, answer = owner.request(2, produced=40)
    assert answer.replica == messages.key_hash("engine-1")
    _, none = owner.request(3, produced=40)
    assert (none.kind, none.code) == (KIND.REFUSED, "no_room")


def test_an_engine_that_must_be_avoided_is_not_granted():
    """A request was refused by a crashed engine, and asks the engine's owner again.

    The owner does not know of the crash yet. It granted the same engine, as the emptiest one,
    until the request had no attempts left.
    """
    owner = ChoosingOwner("engine-2", "engine-1")
    _, answer = owner.request(1, avoid=(messages.key_hash("engine-2"),))
    assert answer.replica == messages.key_hash("engine-1")
    _, none = owner.request(
        2, avoid=(messages.key_hash("engine-1"), messages.key_hash("engine-2"))
    )
    assert (none.kind, none.code) == (KIND.REFUSED, remotescheduler.NONE_LEFT)


def avoiding_owner():
    """Return an owner whose best engine by cost does not keep the pace."""
    owner = ChoosingOwner("engine-2", "engine-1")
    owner.remote.set_alternatives(
        lambda replica, work: ("engine-2", "engine-1"),
        lambda replica, work: replica == "engine-2" and work.pace is not None,
    )
    return owner


PACED = {"gap_goal_ms": 180, "goal_ms": 1800, "expected_tokens": 700}


def test_request_that_may_find_another_engine_does_not_start_at_a_slow_one():
    """Long responses started at slow engines, and most of them met a long pause there."""
    owner = avoiding_owner()
    first, second = (
        owner.request(number, immediate=True, may_find_other=True, **PACED)[1] for number in (1, 2)
    )
    assert first.replica == messages.key_hash("engine-1")
    assert (second.kind, second.code) == (KIND.REFUSED, grantresponses.PACE_BOUND)


def test_late_request_starts_at_a_slow_engine():
    """Slow engines would idle while requests wait."""
    owner = avoiding_owner()
    answer = owner.request(1, immediate=True, **PACED)[1]
    assert answer.replica == messages.key_hash("engine-2")


def test_request_that_may_find_another_engine_waits_at_one_that_keeps_the_pace():
    """It would start at the slow engine as soon as it waits in a queue."""
    owner = avoiding_owner()
    answers = [owner.request(each, may_find_other=True, **PACED)[1] for each in (1, 2)]
    assert [answer.kind for answer in answers] == [KIND.GRANTED, KIND.QUEUED]
    assert {answer.replica for answer in answers} == {messages.key_hash("engine-1")}


def test_migrated_run_prefers_an_engine_that_keeps_the_pace():
    """A run of a departing fast engine would continue at a slow one."""
    owner = avoiding_owner()
    answers = [owner.request(each, produced=40, **PACED)[1] for each in (1, 2)]
    assert [answer.replica for answer in answers] == [
        messages.key_hash("engine-1"),
        messages.key_hash("engine-2"),
    ]
