"""Decisions of a rollout: floor, streams, pace, superseding goals, failures."""

import random

import pytest

from hornbeamglade import placement
from hornbeamglade.backends import orders
from tests.placement import fakes

OLD = fakes.state("draft@1")
NEW = fakes.state("draft@2")
NEWER = fakes.state("draft@3")
SETTINGS = placement.PlacementSettings(
    pace=placement.PaceSettings(loads_per_s=1.0, burst=100.0, max_loading=100),
    spread_s=5.0,
)


class Driver:
    def __init__(self, count=9, present=OLD, wanted=NEW, settings=SETTINGS, checks=True):
        self.engines = {f"e{n}": fakes.engine(n, present, checks) for n in range(count)}
        self.wanted = wanted
        self.now = 1000.0
        rng = random.Random(1)
        goal = fakes.goal(1, wanted, self.engines)
        self.rollout = placement.Rollout(goal, settings, 10.0, rng, self.now)
        for name in self.engines:
            self.rollout.was_read(name, present, self.now)

    def set_desired(self, revision, wanted):
        self.rollout.set_desired(fakes.goal(revision, wanted, self.engines))

    def plan(self, after_s=0.0, idle=(), fencing=1):
        self.now += after_s
        for name in idle:
            self.rollout.had_load(name, 0, self.now)
        return self.rollout.plan(fencing, self.now)

    def answer(self, order, outcome):
        self.rollout.answered(order, outcome, 1, self.now)

    def load(self, after_s=1.0):
        """Plan, and let the engines begin to load."""
        planned = self.plan(after_s)
        for order in planned:
            self.answer(order, orders.Accepted(fakes.state()))
        return planned

    def closed_and_idle(self):
        """Close what may be closed, and let its streams end."""
        self.plan(after_s=200)
        return self.plan(after_s=6, idle=self.rollout.closed())

    def reason(self, name="e0"):
        return self.rollout.statuses(None)[name].reason


def test_floor_of_replicas_keeps_the_old_models():
    """Operators change a pool's model, and for minutes nobody is served.

    All replicas are ordered at once, each unloads the old model first, and the store
    needs minutes for the new one. Two thirds must stay as they are.
    """
    driver = Driver()
    assert [order.replica for order in driver.closed_and_idle()] == ["e0", "e1", "e2"]
    assert driver.reason("e3") is placement.Reason.FLOOR
    driver.rollout.was_read("e0", NEW, driver.now)
    driver.plan()
    assert driver.rollout.closed() == {"e1", "e2", "e3"}


def test_replicas_that_do_not_answer_count_against_the_floor():
    driver = Driver()
    for name in ("e4", "e5", "e6"):
        driver.rollout.had_no_answer(name, driver.now)
    assert "e4" not in driver.rollout.roster.reads_due(9, driver.now)
    driver.plan()
    assert not driver.rollout.closed()
    assert driver.reason("e4") is placement.Reason.NO_ANSWER
    assert driver.reason("e0") is placement.Reason.FLOOR


def test_replica_loading_for_a_former_holder_counts_against_the_floor():
    """A holder dies while three engines load; the next would take three more.

    It reads those three with a part of what is wanted.
    """
    both = fakes.state("draft@2", "tags@1")
    driver = Driver(present=fakes.state("draft@1", "tags@1"), wanted=both)
    for name in ("e0", "e1", "e2"):
        driver.rollout.was_read(name, fakes.state("tags@1"), driver.now)
    assert [order.replica for order in driver.plan(after_s=200)] == ["e0", "e1", "e2"]
    assert not driver.rollout.closed()


def test_streams_end_before_their_model_is_unloaded():
    """A clerk's draft stops midway with an error while a model is replaced.

    The engine was ordered to unload the model that the draft came from.
    """
    driver = Driver(count=1)
    driver.plan(after_s=200)
    driver.now += 6
    driver.rollout.had_load("e0", 1, driver.now)
    assert driver.plan() == ()
    assert driver.rollout.statuses(None)["e0"].condition.value == "waiting_for_streams"
    assert driver.plan(after_s=1, idle=["e0"])


def test_report_from_before_all_nodes_heard_does_not_count():
    """A stream begins at another node, which has not heard yet of the closing.

    The load report from just before shows none, and the model is unloaded under it.
    """
    driver = Driver(count=1)
    driver.plan(after_s=200)
    assert driver.plan(after_s=4.9, idle=["e0"]) == ()
    assert driver.plan(after_s=0.2, idle=["e0"])


def test_old_report_without_streams_does_not_count():
    driver = Driver(count=1)
    driver.plan(after_s=200)
    driver.now += 6
    driver.rollout.had_load("e0", 0, driver.now)
    assert driver.plan(after_s=5.1) == ()


@pytest.mark.parametrize(
    ("wanted", "closes"),
    [
        (fakes.state("draft@1", "tags@1"), False),
        (fakes.state("draft@1", role="decode"), True),
        (fakes.state("draft@1", adapters=["clinic"]), False),
    ],
)
def test_only_what_may_end_streams_closes_a_replica(wanted, closes):
    driver = Driver(count=3, wanted=wanted)
    assert bool(driver.plan(after_s=200)) != closes
    assert bool(driver.rollout.closed()) == closes


def test_loads_keep_to_the_rate_of_the_weight_store():
    pace = placement.PaceSettings(
        loads_per_s=0.5, burst=2.0, max_loading=9, bytes_by_name={"draft@2": 32e9}
    )
    settings = placement.PlacementSettings(pace=pace)
    driver = Driver(present=fakes.state(), settings=settings)
    ordered = [len(driver.load()) for _ in range(12)]
    assert ordered == [0, 0, 0, 1] * 3
    assert driver.reason("e8") is placement.Reason.LOAD_RATE


def test_loads_at_once_are_bounded():
    pace = placement.PaceSettings(loads_per_s=9.0, burst=9.0, max_loading=2)
    settings = placement.PlacementSettings(pace=pace)
    driver = Driver(present=fakes.state(), settings=settings)
    first = driver.load(after_s=9)
    assert len(first) == 2
    assert driver.load(after_s=9) == ()
    driver.answer(first[0], orders.Accepted(NEW))
    assert len(driver.load(after_s=9)) == 1


def test_no_more_replicas_are_closed_than_can_be_loaded():
    """Two hundred engines stand idle for an hour, each waiting for the weight store."""
    pace = placement.PaceSettings(loads_per_s=0.1, max_loading=100)
    driver = Driver(count=600, settings=placement.PlacementSettings(pace, first_drain_s=60.0))
    driver.plan(after_s=9)
    assert len(driver.rollout.closed()) == 7
    assert driver.reason("e599") is placement.Reason.DRAINS_AT_ONCE


def test_newer_goal_replaces_the_older_at_once():
    driver = Driver(count=3)
    (order,) = driver.closed_and_idle()
    driver.answer(order, orders.Accepted(fakes.state()))
    driver.set_desired(2, NEWER)
    (order,) = driver.plan(after_s=1, idle=driver.rollout.closed())
    assert (order.replica, order.wanted) == ("e0", NEWER)
    driver.set_desired(1, OLD)
    assert driver.rollout.goal.wanted == NEWER


def test_withdrawn_change_reopens_what_was_closed():
    driver = Driver(count=3)
    driver.plan(after_s=200)
    assert driver.rollout.closed() == {"e0"}
    driver.set_desired(2, OLD)
    driver.plan()
    assert not driver.rollout.closed()


def test_order_under_way_is_not_taken_for_the_goal_it_replaced():
    """An operator takes a change back, and minutes later it comes into force after all.

    The engine was still loading when it was read as wanted, so it got no new order.
    """
    driver = Driver(count=3, present=OLD, wanted=fakes.state("draft@1", "tags@1"))
    first, *_ = driver.plan(after_s=200)
    driver.answer(first, orders.Accepted(OLD))
    driver.set_desired(2, OLD)
    assert driver.rollout.roster.has_work(OLD)
    driver.plan()
    assert driver.rollout.closed() == {first.replica}


def test_lost_order_is_repeated_after_a_wait():
    driver = Driver(count=1, present=fakes.state())
    (order,) = driver.plan(after_s=200)
    driver.answer(order, orders.Lost("reset"))
    assert driver.plan() == ()
    assert driver.plan(after_s=2) == (order,)
    driver.answer(order, orders.Accepted(fakes.state()))
    assert driver.plan(after_s=2) == ()
    driver.rollout.was_read("e0", NEW, driver.now)
    driver.plan()
    assert driver.reason() is placement.Reason.AS_WANTED


def test_refused_order_reopens_the_replica_and_backs_off():
    driver = Driver(count=1)
    waits = []
    for _ in range(6):
        (order,) = driver.closed_and_idle()
        driver.answer(order, orders.Refused(400, "no such model"))
        assert not driver.rollout.closed()
        refused_at = driver.now
        while driver.reason() is not placement.Reason.STREAMS_RUNNING:
            driver.plan(after_s=0.25)
        waits.append(driver.now - refused_at)
    assert waits[-1] > 8 * waits[0]


def test_replica_that_refuses_holds_up_no_other():
    pace = placement.PaceSettings(loads_per_s=1.0, burst=1.0, max_loading=9)
    settings = placement.PlacementSettings(pace=pace)
    driver = Driver(count=2, present=fakes.state(), settings=settings)
    (order,) = driver.plan(after_s=1)
    driver.answer(order, orders.Refused(400, "no such model"))
    assert [order.replica for order in driver.plan(after_s=9)] == ["e1"]


def test_new_number_begins_anew_from_what_is_read_back():
    driver = Driver(count=3)
    driver.plan(after_s=200)
    driver.rollout.restart(driver.now)
    assert not driver.rollout.closed()
    assert driver.plan(fencing=2) == ()
    assert driver.reason() is placement.Reason.NOT_READ_YET


def test_lost_order_counts_also_after_a_new_number():
    """A node loses an order and the lease, gets it back, and the change is withdrawn.

    The engine is read as wanted, yet the lost order may have it load an adapter, and
    streams with that may run when it is told to unload it.
    """
    driver = Driver(count=3, present=OLD, wanted=fakes.state("draft@1", adapters=["clinic"]))
    first, *_ = driver.plan(after_s=200)
    driver.answer(first, orders.Lost("timeout"))
    driver.rollout.restart(driver.now)
    driver.set_desired(2, OLD)
    driver.rollout.was_read(first.replica, OLD, driver.now)
    assert driver.rollout.roster.has_work(OLD)
    driver.rollout.was_read("e1", OLD, driver.now)
    driver.rollout.was_read("e2", OLD, driver.now)
    driver.plan(fencing=2)
    assert driver.rollout.closed() == {first.replica}


def test_load_that_does_not_end_counts_as_failed():
    driver = Driver(count=1, present=fakes.state())
    (order,) = driver.plan(after_s=200)
    driver.answer(order, orders.Accepted(fakes.state()))
    assert driver.plan(after_s=899) == ()
    driver.plan(after_s=2)
    assert driver.reason() is placement.Reason.LOAD_TIMED_OUT
    assert driver.plan(after_s=2) == (order,)


def test_lost_order_keeps_another_from_an_engine_that_does_not_check():
    """A change is lost on its way, is taken back, and comes into force after all.

    The engine checks no numbers, so the next order waits until the lost one has
    arrived or never will, and the engine is read again.
    """
    driver = Driver(count=1, present=fakes.state(), checks=False)
    (order,) = driver.plan(after_s=200)
    driver.answer(order, orders.Lost("timeout"))
    driver.set_desired(2, NEWER)
    assert driver.plan(after_s=9) == ()
    assert driver.reason() is placement.Reason.OLD_ORDERS_UNDER_WAY
    assert driver.plan(after_s=2) == ()
    assert driver.reason() is placement.Reason.NOT_READ_YET


def test_engine_that_does_not_check_is_read_again_once_old_orders_have_arrived():
    driver = Driver(count=1, present=fakes.state(), checks=False)
    assert driver.rollout.plan(1, driver.now, is_settled=False) == ()
    driver.rollout.reread_unchecked()
    assert driver.plan(after_s=200) == ()
    assert driver.reason() is placement.Reason.NOT_READ_YET


def test_replicas_of_one_failure_domain_do_not_change_together():
    engines = {f"e{n}": fakes.engine(n, OLD, domain=f"z{n // 3}") for n in range(9)}
    goal = fakes.goal(1, NEW, engines)
    decisions = placement.Rollout(goal, SETTINGS, 10.0, random.Random(1), 0.0)
    names = [progress.name for progress in decisions.roster]
    assert names[:3] == ["e0", "e3", "e6"]


def test_statuses_say_why_without_the_lease():
    driver = Driver(count=3)
    driver.rollout.was_read("e1", NEW, driver.now)
    driver.rollout.had_no_answer("e2", driver.now)
    statuses = driver.rollout.statuses(placement.Reason.TABLE_UNAVAILABLE)
    conditions = [statuses[name].condition.value for name in ("e0", "e1", "e2")]
    assert conditions == ["no_lease", "in_sync", "unreachable"]
    assert statuses["e0"].reason is placement.Reason.TABLE_UNAVAILABLE
