"""Orders under the lease: paused processes, lost responses, outages and two placers."""

import random

import pytest

from hornbeamglade import leases, placement
from hornbeamglade.core import clocks
from hornbeamglade.placement import virtualengines
from hornbeamglade.store import memory
from tests.placement import fakes

OLD = fakes.state("draft@1")
NEW = fakes.state("draft@2")
NEWER = fakes.state("draft@3")
SETTINGS = placement.PlacerSettings()


class Site:
    """Two nodes and a pool of simulated engines, in virtual time."""

    def __init__(self, checks=True, present=OLD, count=3):
        self.clock = clocks.ManualClock(1000.0)
        self.platform = memory.MemoryPlatform(self.clock)
        self.engines = {f"e{n}": fakes.engine(n, present, checks) for n in range(count)}
        self.client = virtualengines.VirtualEngineClient(self.clock, self.engines.values())
        self.head = 1
        self.candidates = {"n1"}
        self.placers = {name: self.placer(name) for name in ("n1", "n2")}

    def placer(self, name):
        lease = leases.LeaseHolder(
            self.platform, self.clock, "pool", name, SETTINGS.term_s, SETTINGS.flight_s
        )
        desired = fakes.desired_state(1, NEW, self.engines)
        decisions = placement.Rollout(
            desired, placement.PlacementSettings(), SETTINGS.flight_s, random.Random(1), 1000.0
        )
        return placement.Placer(
            lease,
            decisions,
            self.client,
            lambda: name in self.candidates,
            lambda: None if self.platform.faults.down else self.head,
            SETTINGS,
            self.clock,
        )

    def set_desired(self, revision, wanted, names=("n1", "n2")):
        self.head = revision
        for name in names:
            self.placers[name].set_desired(fakes.desired_state(revision, wanted, self.engines))

    def break_engines(self, fault):
        for engine in self.engines.values():
            engine.fault = fault

    def steps(self, count, *names):
        for _ in range(count):
            self.clock.advance(1.0)
            for name in names or self.placers:
                self.placers[name].step()

    def steps_until(self, is_reached, *names):
        for _ in range(300):
            if is_reached():
                return
            self.steps(1, *names)
        raise AssertionError("condition not reached within 300 steps")

    def present(self):
        return [engine.present for engine in self.engines.values()]

    def reasons(self, name="n1"):
        return {status.reason for status in self.placers[name].statuses().values()}


@pytest.fixture
def site():
    return Site()


def test_engines_reach_the_desired_state_one_after_another(site):
    fewest = 3
    while site.present() != [NEW] * 3:
        site.steps(1)
        fewest = min(fewest, 3 - len(site.placers["n1"].closed()))
    assert fewest == 2
    assert site.clock.now() < 1060
    site.steps(1)
    assert site.reasons() == {placement.Reason.AS_WANTED}


def test_nothing_is_written_while_there_is_no_work(site):
    site.steps(120)
    before = site.platform.transaction_count
    ordered = site.client.orders_sent
    site.steps(600)
    assert (site.platform.transaction_count, site.client.orders_sent) == (before, ordered)
    assert before <= 120 / SETTINGS.renew_s


def test_engine_that_restarted_is_ordered_again(site):
    site.steps(120)
    site.engines["e1"].restart(fakes.state())
    site.steps(40)
    assert site.present() == [NEW] * 3


@pytest.mark.parametrize("checks", [True, False])
@pytest.mark.parametrize("paused", ["before_read", "before_permission"])
def test_holder_paused_past_its_lease_sends_nothing(checks, paused):
    """A process is paused between planning an order and sending it.

    Meanwhile another node holds the lease and a newer revision is active. The late
    order would load the older models again.
    """
    site = Site(checks)
    site.engines["e0"].streams = 1
    site.steps(20, "n1")
    site.engines["e0"].streams = 0
    setattr(site.client, paused, lambda: _pause_while_other_node_runs(site))
    site.steps_until(lambda: site.head == 2, "n1")
    assert site.present() == [NEWER] * 3
    assert all(NEW not in engine.applied_states for engine in site.engines.values())


def _pause_while_other_node_runs(site):
    site.client.before_read = site.client.before_permission = lambda: None
    site.candidates = {"n1", "n2"}
    site.set_desired(2, NEWER, ["n2"])
    site.steps_until(lambda: site.present() == [NEWER] * 3, "n2")


def test_order_delayed_in_flight_is_refused_and_its_sender_stops():
    """The pause comes after the last check of the lease, so the order is sent.

    By then the engine has seen the next holder's fencing number and refuses the order.
    """
    site = Site(present=fakes.state())
    site.client.after_permission = lambda engine: _pause_once_while_other_node_runs(site)
    site.steps_until(lambda: site.head == 2, "n1")
    assert site.present() == [NEWER] * 3
    assert site.reasons() == {placement.Reason.NEWER_FENCING_SEEN}
    ordered = site.client.orders_sent
    site.steps(9, "n1")
    assert site.client.orders_sent == ordered


def _pause_once_while_other_node_runs(site):
    site.client.after_permission = lambda engine: None
    _pause_while_other_node_runs(site)


def test_new_holder_waits_for_orders_in_flight_to_engines_without_fencing_checks():
    site = Site(checks=False, present=fakes.state())
    site.steps_until(lambda: site.reasons() == {placement.Reason.OLD_ORDERS_UNDER_WAY}, "n1")
    held_at = site.clock.now()
    site.steps_until(lambda: site.client.orders_sent > 0, "n1")
    assert site.clock.now() - held_at >= SETTINGS.flight_s


def test_order_whose_response_was_lost_is_resolved_by_reading_the_engine(site):
    site.break_engines(fakes.Fault.LOSES_ANSWER)
    site.steps(90)
    assert site.present() == [NEW] * 3


@pytest.mark.parametrize("is_repeated", [False, True])
def test_lost_order_never_overtakes_a_newer_one(is_repeated):
    """An order is lost, the next one is accepted, and then the lost one arrives.

    It has the same fencing number as the newer one, so the engine would accept it and go
    back to the older models.
    """
    site = Site(present=fakes.state())
    site.break_engines(fakes.Fault.DELAYS_ORDER)
    site.steps_until(lambda: site.client.delayed, "n1")
    site.break_engines(fakes.Fault.NONE)
    site.steps(20 if is_repeated else 0, "n1")
    site.set_desired(2, NEWER)
    site.steps_until(lambda: site.present() == [NEWER] * 3, "n1")
    site.client.deliver(lambda _: True)
    assert site.present() == [NEWER] * 3


@pytest.mark.parametrize("was_candidate", [False, True])
def test_late_order_of_a_dead_holder_is_refused_by_an_engine_in_sync(was_candidate):
    """A holder dies with an order in flight, and the engine is in the next desired state.

    Without an order of the next holder, the engine would accept the late one.
    """
    site = Site(present=fakes.state())
    site.candidates = {"n2"} if was_candidate else set()
    site.steps(90, "n2")
    site.candidates = {"n1"}
    site.break_engines(fakes.Fault.DELAYS_ORDER)
    site.steps_until(lambda: site.client.delayed, "n2", "n1")
    for engine in site.engines.values():
        engine.restart(NEWER)
        engine.fault = fakes.Fault.NONE
    site.candidates = {"n2"}
    site.set_desired(2, NEWER, ["n2"])
    site.steps(90, "n2")
    site.client.deliver(lambda _: True)
    assert site.present() == [NEWER] * 3


def test_outage_of_the_store_stops_orders_and_closes_nothing(site):
    """The store is down during a rollout, so the lease expires.

    A replica that stayed closed would be idle for the whole outage.
    """
    site.engines["e0"].streams = 1
    site.steps_until(lambda: site.placers["n1"].closed(), "n1")
    site.platform.set_faults(memory.Faults(down=True))
    site.steps(40, "n1")
    ordered = site.client.orders_sent
    assert site.reasons() == {placement.Reason.TABLE_UNAVAILABLE}
    assert not site.placers["n1"].closed()
    site.engines["e0"].streams = 0
    site.steps(600, "n1")
    assert site.client.orders_sent == ordered
    site.platform.set_faults(memory.Faults())
    site.steps_until(lambda: site.present() == [NEW] * 3, "n1")


def test_replica_reopened_by_an_outage_is_drained_again(site):
    """A replica is open during an outage, so a stream may have begun there.

    Without another drain, the stream's model would be unloaded.
    """
    site.engines["e0"].streams = 1
    site.steps_until(lambda: site.placers["n1"].closed(), "n1")
    site.platform.set_faults(memory.Faults(down=True))
    site.steps(40, "n1")
    site.engines["e0"].streams = 0
    site.platform.set_faults(memory.Faults())
    site.steps(1, "n1")
    propagation_s = placement.PlacementSettings().propagation_s
    site.steps(int(propagation_s) - 1, "n1")
    assert site.client.orders_sent == 0


def test_node_behind_the_newest_revision_sends_no_orders(site):
    """The node that acquires the lease does not have the newest revision yet.

    It would order the models of an older revision with the larger fencing number.
    """
    site.head = 2
    site.steps(60, "n1")
    assert site.reasons() == {placement.Reason.CONFIGURATION_BEHIND}
    assert site.present() == [OLD] * 3
    site.set_desired(2, NEWER)
    site.steps(60, "n1")
    assert site.present() == [NEWER] * 3


def test_node_that_held_the_lease_before_reads_the_newest_revision_again(site):
    site.steps(90)
    site.candidates = {"n2"}
    site.set_desired(2, NEWER, ["n2"])
    site.steps(90)
    site.candidates = {"n1"}
    site.steps(90)
    assert site.present() == [NEWER] * 3


def test_no_orders_while_the_newest_revision_cannot_be_read():
    site = Site(present=NEW)
    site.head = None
    site.steps(60)
    assert site.client.orders_sent == 0
    site.head = 1
    site.steps(1)
    assert site.client.orders_sent == 3


def test_first_refusal_for_an_outdated_fencing_number_stops_the_other_orders(site):
    site.steps(90)
    site.engines["e0"].apply_order(99, NEW, site.clock.now())
    site.candidates = {"n2"}
    ordered = site.client.orders_sent
    site.steps_until(lambda: site.client.orders_sent > ordered, "n2")
    assert site.client.orders_sent == ordered + 1


def test_node_that_is_no_longer_candidate_releases_its_lease_at_once(site):
    site.steps_until(lambda: site.placers["n1"].closed(), "n1")
    site.candidates = {"n2"}
    site.steps(1)
    assert site.reasons("n1") == {placement.Reason.NOT_CANDIDATE}
    assert not site.placers["n1"].closed()
    site.steps_until(lambda: site.present() == [NEW] * 3)


def test_half_the_pool_unreachable_leaves_the_rest_serving():
    """Half of the engines are unreachable, so the others must not be closed as well."""
    site = Site(count=6)
    for name in ("e0", "e2", "e4"):
        site.engines[name].fault = fakes.Fault.DOWN
    site.steps(60)
    assert site.present() == [OLD] * 6
    reasons = {placement.Reason.NO_ANSWER, placement.Reason.FLOOR}
    assert site.reasons() == reasons
    site.break_engines(fakes.Fault.NONE)
    site.steps_until(lambda: site.present() == [NEW] * 6)


def test_orders_of_an_old_plan_are_not_sent(site):
    """A process is paused for less than its lease after planning.

    Meanwhile the replica's owner may have reopened it, and new streams may run there.
    """
    site.client.before_permission = lambda: site.clock.advance(SETTINGS.plan_max_age_s + 0.1)
    site.steps(60, "n1")
    assert site.client.orders_sent == 0
