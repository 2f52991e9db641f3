"""Decisions of a rollout: floor, draining, load rate, newer revisions and failures."""

import random

import pytest

from hornbeamglade import placement
from hornbeamglade.backends import orders
from tests.placement import fakes

OLD = fakes.state("draft@1")
NEW = fakes.state("draft@2")
NEWER = fakes.state("draft@3")
SETTINGS = placement.PlacementSettings(
    load_rate=placement.LoadRateSettings(loads_per_s=1.0, burst=100.0, max_loading=100),
    propagation_s=5.0,
)


class Driver:
    def __init__(self, count=9, present=OLD, wanted=NEW, settings=SETTINGS, checks=True):
        self.engines = {f"e{n}": fakes.engine(n, present, checks) for n in range(count)}
        self.wanted = wanted
        self.now = 1000.0
        rng = random.Random(1)
        desired = fakes.desired_state(1, wanted, self.engines)
        self.rollout = placement.Rollout(desired, settings, 10.0, rng, self.now)
        for name in self.engines:
            self.rollout.on_read(name, present, self.now)

    def set_desired(self, revision, wanted):
        self.rollout.set_desired(fakes.desired_state(revision, wanted, self.engines))

    def plan(self, after_s=0.0, idle=(), fencing=1):
        self.now += after_s
        for name in idle:
            self.rollout.on_load_report(name, 0, self.now)
        return self.rollout.plan(fencing, self.now)

    def record_outcome(self, order, outcome):
        self.rollout.on_order_outcome(order, outcome, 1, self.now)

    def load(self, after_s=1.0):
        """Plan, and accept the orders, so that the engines begin to load."""
        planned = self.plan(after_s)
        for order in planned:
            self.record_outcome(order, orders.Accepted(fakes.state()))
        return planned

    def drain_and_plan(self):
        """Close the replicas that may be closed, drain them, and return the orders."""
        self.plan(after_s=200)
        return self.plan(after_s=6, idle=self.rollout.closed())

    def reason(self, name="e0"):
        return self.rollout.statuses(None)[name].reason


def test_two_thirds_of_the_replicas_keep_the_old_models():
    """A change of the model would take the whole pool out of service for minutes.

    If all replicas were ordered at once, each would unload the old model first, and the
    weight store needs minutes to deliver the new one. Two thirds must stay in service.
    """
    driver = Driver()
    assert [order.replica for order in driver.drain_and_plan()] == ["e0", "e1", "e2"]
    assert driver.reason("e3") is placement.Reason.FLOOR
    driver.rollout.on_read("e0", NEW, driver.now)
    driver.plan()
    assert driver.rollout.closed() == {"e1", "e2", "e3"}


def test_unreachable_replicas_count_against_the_floor():
    driver = Driver()
    for name in ("e4", "e5", "e6"):
        driver.rollout.on_unreachable(name, driver.now)
    assert "e4" not in driver.rollout.replicas.reads_due(9, driver.now)
    driver.plan()
    assert not driver.rollout.closed()
    assert driver.reason("e4") is placement.Reason.NO_ANSWER
    assert driver.reason("e0") is placement.Reason.FLOOR


def test_replica_loading_for_a_former_holder_counts_against_the_floor():
    """A holder dies while three engines load, and the next one could close three more.

    It reads the three engines with only a part of the wanted models loaded.
    """
    both = fakes.state("draft@2", "tags@1")
    driver = Driver(present=fakes.state("draft@1", "tags@1"), wanted=both)
    for name in ("e0", "e1", "e2"):
        driver.rollout.on_read(name, fakes.state("tags@1"), driver.now)
    assert [order.replica for order in driver.plan(after_s=200)] == ["e0", "e1", "e2"]
    assert not driver.rollout.closed()


def test_streams_end_before_their_model_is_unloaded():
    """Unloading a model during a rollout would break off its running generations."""
    driver = Driver(count=1)
    driver.plan(after_s=200)
    driver.now += 6
    driver.rollout.on_load_report("e0", 1, driver.now)
    assert driver.plan() == ()
    assert driver.rollout.statuses(None)["e0"].condition.value == "waiting_for_streams"
    assert driver.plan(after_s=1, idle=["e0"])


def test_report_from_before_all_nodes_know_of_the_closing_does_not_count():
    """A node that does not know yet that the replica is closed starts a stream there.

    By a load report from just before, which shows no streams, the model would be
    unloaded.
    """
    driver = Driver(count=1)
    driver.plan(after_s=200)
    assert driver.plan(after_s=4.9, idle=["e0"]) == ()
    assert driver.plan(after_s=0.2, idle=["e0"])


def test_old_report_without_streams_does_not_count():
    driver = Driver(count=1)
    driver.plan(after_s=200)
    driver.now += 6
    driver.rollout.on_load_report("e0", 0, driver.now)
    assert driver.plan(after_s=5.1) == ()


@pytest.mark.parametrize(
    ("wanted", "closes"),
    [
        (fakes.state("draft@1", "tags@1"), False),
        (fakes.state("draft@1", role="decode"), True),
        (fakes.state("draft@1", adapters=["clinic"]), False),
    ],
)
def test_only_changes_that_may_end_streams_close_a_replica(wanted, closes):
    driver = Driver(count=3, wanted=wanted)
    assert bool(driver.plan(after_s=200)) != closes
    assert bool(driver.rollout.closed()) == closes


def test_loads_keep_to_the_rate_of_the_weight_store():
    load_rate = placement.LoadRateSettings(
        loads_per_s=0.5, burst=2.0, max_loading=9, bytes_by_name={"draft@2": 32e9}
    )
    settings = placement.PlacementSettings(load_rate=load_rate)
    driver = Driver(present=fakes.state(), settings=settings)
    ordered = [len(driver.load()) for _ in range(12)]
    assert ordered == [0, 0, 0, 1] * 3
    assert driver.reason("e8") is placement.Reason.LOAD_RATE


def test_concurrent_loads_are_bounded():
    load_rate = placement.LoadRateSettings(loads_per_s=9.0, burst=9.0, max_loading=2)
    settings = placement.PlacementSettings(load_rate=load_rate)
    driver = Driver(present=fakes.state(), settings=settings)
    first = driver.load(after_s=9)
    assert len(first) == 2
    assert driver.load(after_s=9) == ()
    driver.record_outcome(first[0], orders.Accepted(NEW))
    assert len(driver.load(after_s=9)) == 1


def test_no_more_replicas_are_closed_than_can_be_loaded():
    """Two hundred drained engines would be idle for an hour, waiting for the weight store."""
    load_rate = placement.LoadRateSettings(loads_per_s=0.1, max_loading=100)
    driver = Driver(count=600, settings=placement.PlacementSettings(load_rate, first_drain_s=60.0))
    driver.plan(after_s=9)
    assert len(driver.rollout.closed()) == 7
    assert driver.reason("e599") is placement.Reason.DRAINS_AT_ONCE


def test_newer_desired_state_replaces_the_older_at_once():
    driver = Driver(count=3)
    (order,) = driver.drain_and_plan()
    driver.record_outcome(order, orders.Accepted(fakes.state()))
    driver.set_desired(2, NEWER)
    (order,) = driver.plan(after_s=1, idle=driver.rollout.closed())
    assert (order.replica, order.wanted) == ("e0", NEWER)
    driver.set_desired(1, OLD)
    assert driver.rollout.desired.wanted == NEWER


def test_withdrawn_change_reopens_what_was_closed():
    driver = Driver(count=3)
    driver.plan(after_s=200)
    assert driver.rollout.closed() == {"e0"}
    driver.set_desired(2, OLD)
    driver.plan()
    assert not driver.rollout.closed()


def test_withdrawn_order_that_is_pending_is_replaced():
    """An operator withdraws a change, and minutes later it would take effect after all.

    The engine is still loading, so the state that is read equals the desired one, and
    without this rule the engine would get no new order.
    """
    driver = Driver(count=3, present=OLD, wanted=fakes.state("draft@1", "tags@1"))
    first, *_ = driver.plan(after_s=200)
    driver.record_outcome(first, orders.Accepted(OLD))
    driver.set_desired(2, OLD)
    assert driver.rollout.replicas.has_work(OLD)
    driver.plan()
    assert driver.rollout.closed() == {first.replica}


def test_lost_order_is_repeated_after_a_delay():
    driver = Driver(count=1, present=fakes.state())
    (order,) = driver.plan(after_s=200)
    driver.record_outcome(order, orders.Lost("reset"))
    assert driver.plan() == ()
    assert driver.plan(after_s=2) == (order,)
    driver.record_outcome(order, orders.Accepted(fakes.state()))
    assert driver.plan(after_s=2) == ()
    driver.rollout.on_read("e0", NEW, driver.now)
    driver.plan()
    assert driver.reason() is placement.Reason.AS_WANTED


def test_refused_order_reopens_the_replica_and_backs_off():
    driver = Driver(count=1)
    waits = []
    for _ in range(6):
        (order,) = driver.drain_and_plan()
        driver.record_outcome(order, orders.Refused(400, "no such model"))
        assert not driver.rollout.closed()
        refused_at = driver.now
        while driver.reason() is not placement.Reason.STREAMS_RUNNING:
            driver.plan(after_s=0.25)
        waits.append(driver.now - refused_at)
    assert waits[-1] > 8 * waits[0]


def test_replica_that_refuses_orders_does_not_delay_others():
    load_rate = placement.LoadRateSettings(loads_per_s=1.0, burst=1.0, max_loading=9)
    settings = placement.PlacementSettings(load_rate=load_rate)
    driver = Driver(count=2, present=fakes.state(), settings=settings)
    (order,) = driver.plan(after_s=1)
    driver.record_outcome(order, orders.Refused(400, "no such model"))
    assert [order.replica for order in driver.plan(after_s=9)] == ["e1"]


def test_new_fencing_number_starts_over_from_what_is_read():
    driver = Driver(count=3)
    driver.plan(after_s=200)
    driver.rollout.restart(driver.now)
    assert not driver.rollout.closed()
    assert driver.plan(fencing=2) == ()
    assert driver.reason() is placement.Reason.NOT_READ_YET


def test_lost_order_counts_also_under_a_new_fencing_number():
    """A node loses an order and its lease, acquires it again, and the change is withdrawn.

    The engine is in the desired state, but the lost order may make it load an adapter.
    Streams may use the adapter when the engine is ordered to unload it.
    """
    driver = Driver(count=3, present=OLD, wanted=fakes.state("draft@1", adapters=["clinic"]))
    first, *_ = driver.plan(after_s=200)
    driver.record_outcome(first, orders.Lost("timeout"))
    driver.rollout.restart(driver.now)
    driver.set_desired(2, OLD)
    driver.rollout.on_read(first.replica, OLD, driver.now)
    assert driver.rollout.replicas.has_work(OLD)
    driver.rollout.on_read("e1", OLD, driver.now)
    driver.rollout.on_read("e2", OLD, driver.now)
    driver.plan(fencing=2)
    assert driver.rollout.closed() == {first.replica}


def test_load_that_does_not_finish_counts_as_failed():
    driver = Driver(count=1, present=fakes.state())
    (order,) = driver.plan(after_s=200)
    driver.record_outcome(order, orders.Accepted(fakes.state()))
    assert driver.plan(after_s=899) == ()
    driver.plan(after_s=2)
    assert driver.reason() is placement.Reason.LOAD_TIMED_OUT
    assert driver.plan(after_s=2) == (order,)


def test_lost_order_delays_the_next_one_to_an_engine_without_fencing_checks():
    """A change is lost and withdrawn, and would take effect after all.

    The engine does not check fencing numbers, so the next order waits until the lost one
    has arrived or cannot arrive any more, and the engine has been read again.
    """
    driver = Driver(count=1, present=fakes.state(), checks=False)
    (order,) = driver.plan(after_s=200)
    driver.record_outcome(order, orders.Lost("timeout"))
    driver.set_desired(2, NEWER)
    assert driver.plan(after_s=9) == ()
    assert driver.reason() is placement.Reason.OLD_ORDERS_UNDER_WAY
    assert driver.plan(after_s=2) == ()
    assert driver.reason() is placement.Reason.NOT_READ_YET


def test_engine_without_fencing_checks_is_read_again_once_old_orders_have_expired():
    driver = Driver(count=1, present=fakes.state(), checks=False)
    assert driver.rollout.plan(1, driver.now, prior_orders_expired=False) == ()
    driver.rollout.reread_engines_without_fencing()
    assert driver.plan(after_s=200) == ()
    assert driver.reason() is placement.Reason.NOT_READ_YET


def test_replicas_of_one_failure_domain_do_not_change_together():
    engines = {f"e{n}": fakes.engine(n, OLD, domain=f"z{n // 3}") for n in range(9)}
    desired = fakes.desired_state(1, NEW, engines)
    decisions = placement.Rollout(desired, SETTINGS, 10.0, random.Random(1), 0.0)
    names = [progress.name for progress in decisions.replicas]
    assert names[:3] == ["e0", "e3", "e6"]


def test_statuses_without_the_lease_show_the_reason():
    driver = Driver(count=3)
    driver.rollout.on_read("e1", NEW, driver.now)
    driver.rollout.on_unreachable("e2", driver.now)
    statuses = driver.rollout.statuses(placement.Reason.TABLE_UNAVAILABLE)
    conditions = [statuses[name].condition.value for name in ("e0", "e1", "e2")]
    assert conditions == ["no_lease", "in_sync", "unreachable"]
    assert statuses["e0"].reason is placement.Reason.TABLE_UNAVAILABLE
