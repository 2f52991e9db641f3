"""Acquiring, renewing and losing a lease."""

import pytest

from hornbeamglade import leases
from hornbeamglade.core import clocks
from hornbeamglade.store import contract, memory

TERM_S = 10.0


@pytest.fixture
def clock():
    return clocks.ManualClock(1000.0)


@pytest.fixture
def table(clock):
    return memory.MemoryPlatform(clock)


@pytest.fixture
def holders(table, clock):
    return [leases.LeaseHolder(table, clock, "pool", n, TERM_S, 4.0) for n in ("n1", "n2")]


def test_renewed_lease_is_not_lost(holders, clock):
    holders[0].acquire()
    for _ in range(5):
        assert isinstance(holders[1].acquire(), leases.HeldElsewhere)
        clock.advance(TERM_S / 2)
        assert holders[0].renew() == leases.Held(1)
    assert holders[0].may_act(TERM_S - 1)
    assert not holders[0].may_act(TERM_S)


def test_expired_lease_is_acquired_with_a_larger_number(holders, clock):
    holders[0].acquire()
    waiting = holders[1].acquire()
    clock.advance(waiting.wait_s)
    assert holders[1].acquire() == leases.Held(2)
    assert not holders[0].may_act(0.0)
    assert isinstance(holders[0].renew(), leases.HeldElsewhere)
    assert holders[0].fencing is None


def test_released_lease_is_acquired_at_once(holders):
    holders[0].acquire()
    assert holders[0].release()
    assert holders[1].acquire() == leases.Held(2)


def test_new_holder_waits_for_orders_in_flight(holders, clock):
    holders[0].acquire()
    holders[0].release()
    holders[1].acquire()
    assert holders[1].may_act(0.0)
    assert not holders[1].may_act(0.0, engine_checks_fencing=False)
    clock.advance(4.0)
    assert holders[1].may_act(0.0, engine_checks_fencing=False)


def test_acquisition_with_a_lost_response_is_read_back(holders, table):
    table.set_faults(memory.Faults(lose_answers=True))
    assert holders[0].acquire() == leases.Held(1)


def test_lease_is_held_through_an_outage_until_its_deadline(holders, table, clock):
    holders[0].acquire()
    table.set_faults(memory.Faults(down=True))
    clock.advance(TERM_S - 1)
    assert isinstance(holders[0].renew(), leases.LeaseUnavailable)
    assert holders[0].may_act(0.0)
    clock.advance(1)
    assert not holders[0].may_act(0.0)


def test_late_renewal_is_recognized(holders, table, clock):
    """The store confirms no writes for a while, then all of them take effect.

    The holder would mistake its own late renewal for another holder's and give up the lease:
    the pool would then get no orders for a whole term.
    """
    holders[0].acquire()
    table.set_faults(memory.Faults(stall_writes=True))
    clock.advance(1)
    assert holders[0].renew() == leases.Held(1)
    table.set_faults(memory.Faults())
    table.deliver_stalled()
    assert holders[0].renew() == leases.Held(1)


def test_unreadable_row_is_not_overwritten(holders, table):
    table.transact((), (contract.Put("leases/pool", "{}"),))
    assert isinstance(holders[0].acquire(), leases.LeaseUnavailable)


def test_late_release_never_ends_a_new_holding(holders, table):
    """A node releases the lease, the write stalls, and the node wants the lease back.

    Its own row is still there. If that counted as holding the lease, the late release would
    let another node acquire it at once, and two nodes would send orders to the same engines.
    """
    holders[0].acquire()
    table.set_faults(memory.Faults(stall_writes=True))
    assert not holders[0].release()
    table.set_faults(memory.Faults())
    holders[0].acquire()
    table.deliver_stalled()
    holders[1].acquire()
    assert [holder.may_act(0.0) for holder in holders] == [False, True]


def test_holder_after_a_restore_has_a_larger_number_than_all_before(holders, table, clock):
    """A restored store reuses numbers; engines must not accept orders of an earlier holder."""
    holders[0].acquire()
    holders[0].release()
    backup = table.backup()
    assert holders[1].acquire() == leases.Held(2)
    table.restore(backup)
    outcome = holders[0].acquire()
    assert isinstance(outcome, leases.Held)
    assert outcome.fencing > 2
    clock.advance(1.0)
    assert not isinstance(holders[1].renew(), leases.Held)
