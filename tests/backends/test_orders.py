"""What may come of an order, with a stand-in engine and with answers no engine gives."""

import socket

import pytest

from hornbeamglade.backends import orders
from hornbeamglade.configuration import models
from hornbeamglade.core import clocks
from tests.backends import scripted

WANTED = orders.EngineState(frozenset({"draft@2", "tags"}), frozenset({"clinic"}), "mixed")
PATIENT = orders.OrderTimeouts(connect_s=10.0, response_s=10.0)
IMPATIENT = orders.OrderTimeouts(connect_s=10.0, response_s=0.2)


def client(address, timeouts=PATIENT, clock=None):
    return orders.OrderClient(address, clock or clocks.ManualClock(), timeouts)


def send(address, fencing=1, may_send=lambda: True):
    return client(address).send(fencing, WANTED, may_send)


def test_engine_takes_an_order_and_reads_it_back(start_engine):
    address = start_engine().address
    assert client(address).read().present.models == {"draft"}
    assert send(address) == orders.Accepted(WANTED)
    assert client(address).read() == orders.Accepted(WANTED)


@pytest.mark.parametrize(
    ("checks", "outcome"), [(True, orders.Outdated(7)), (False, orders.Accepted(WANTED))]
)
def test_old_number_is_refused_by_an_engine_that_checks(start_engine, checks, outcome):
    address = start_engine(checks_fencing=checks).address
    send(address, fencing=7)
    assert send(address, fencing=6) == outcome


def test_order_without_the_right_to_send_is_not_sent(start_engine):
    backend = start_engine()
    assert isinstance(send(backend.address, may_send=lambda: False), orders.NotSent)
    assert backend.ledger()["orders"] == []


def test_order_to_nobody_is_not_sent():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
    outcome = send(address)
    assert isinstance(outcome, orders.NotSent)
    assert outcome.is_unreachable


@pytest.mark.parametrize(
    ("answer", "kind"),
    [
        (b"", orders.Lost),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", orders.Lost),
        (b"HTTP/1.1 500 Oops\r\n\r\n", orders.Lost),
        (b"HTTP/1.1 200 OK\r\n\r\n" + b" " * (1 << 19), orders.Lost),
        (b"HTTP/1.1 400 Bad\r\n\r\nno such model", orders.Refused),
        (b"HTTP/1.1 409 Conflict\r\n\r\n{}", orders.Malformed),
        (b'HTTP/1.1 200 OK\r\n\r\n{"present":{"models":"draft"}}', orders.Malformed),
        (b'HTTP/1.1 200 OK\r\n\r\n{"present":{}}', orders.Malformed),
    ],
)
def test_answers_no_sound_engine_gives(answer, kind):
    with scripted.server(answer) as address:
        assert isinstance(send(address), kind)


def test_engine_that_does_not_answer_is_given_up():
    with scripted.server(b"", hold=True) as address:
        outcome = client(address, IMPATIENT).send(1, WANTED, lambda: True)
    assert isinstance(outcome, orders.Lost)


def test_engine_that_trickles_its_answer_is_given_up():
    """One engine answers a few bytes at a time; the pool's other engines get no orders."""
    with scripted.server(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{", hold=True) as address:
        outcome = client(address, clock=_Jumping()).send(1, WANTED, lambda: True)
    assert outcome == orders.Lost("the answer is too long or too slow")


class _Jumping(clocks.ManualClock):
    def now(self):
        self.advance(30.0)
        return super().now()


def test_wanted_of_the_configuration():
    wanted = models.Wanted(models=("tags", "draft@2"), adapters=("clinic",))
    assert orders.EngineState.from_configuration(wanted) == WANTED
