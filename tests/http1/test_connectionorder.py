"""Which connection is closed for another one."""

from hornbeamglade.core import clocks
from hornbeamglade.http1 import connectionorder


class FakeConnection(connectionorder.Connection):
    def __init__(self, unsent=0):
        self.unsent = unsent

    def unsent_bytes(self):
        return self.unsent


def make(count):
    clock = clocks.ManualClock(100.0)
    order = connectionorder.ConnectionOrder(clock)
    return clock, order, [FakeConnection() for _ in range(count)]


def test_longest_idle_connection_is_closed_first():
    _, order, (first, second, third) = make(3)
    for connection in (first, second, third):
        order.set_idle(connection)
    order.remove(first)
    order.set_idle(first)
    assert [order.next_to_close() for _ in range(4)] == [second, third, first, None]


def test_connection_whose_request_was_refused_is_closed_before_an_idle_one():
    """An idle one may be used again; of a refused one only its refusal is left to be read."""
    _, order, (idle, unsent, refused) = make(3)
    unsent.unsent = 1
    order.set_idle(idle)
    for connection in (unsent, refused):
        order.set_refused(connection)
    assert [order.next_to_close() for _ in range(3)] == [refused, idle, None]


def test_connection_with_an_unsent_response_is_not_closed():
    """A caller that reads slowly would lose the end of its response."""
    _, order, (unsent, idle) = make(2)
    unsent.unsent = 1
    for connection in (unsent, idle):
        order.set_idle(connection)
    assert [order.next_to_close() for _ in range(2)] == [idle, None]


def test_many_unsent_responses_do_not_hide_an_idle_connection():
    _, order, connections = make(3 * connectionorder.MAX_CHECKED)
    for connection in connections[:-1]:
        connection.unsent = 1
    for connection in connections:
        order.set_idle(connection)
    found = [order.next_to_close() for _ in range(3)]
    assert found == [None, None, connections[-1]]


def test_partial_request_is_dropped_only_once_its_caller_has_stopped():
    """Callers that never complete their requests occupied all connections for seconds."""
    clock, order, (stopped, sending, busy) = make(3)
    for connection in (busy, stopped, sending):
        order.set_receiving(connection)
    order.remove(busy)
    assert order.next_to_close() is None
    clock.advance(connectionorder.STALLED_S)
    order.set_receiving(sending)
    assert [order.next_to_close() for _ in range(2)] == [stopped, None]
