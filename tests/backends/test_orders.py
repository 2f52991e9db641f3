"""Outcomes of orders, with a stand-in engine and with malformed responses."""

import socket

import pytest

from hornbeamglade.backends import orders
from hornbeamglade.configuration import models
from hornbeamglade.core import clocks
from tests.backends import scripted
from tests.http1 import oddstatuslines

WANTED = orders.EngineState(frozenset({"draft@2", "tags"}), frozenset({"clinic"}), "mixed")
LONG_TIMEOUTS = orders.OrderTimeouts(connect_s=10.0, response_s=10.0)
SHORT_TIMEOUTS = orders.OrderTimeouts(connect_s=10.0, response_s=0.2)


def client(address, timeouts=LONG_TIMEOUTS, clock=None):
    return orders.OrderClient(address, clock or clocks.ManualClock(), timeouts)


def send(address, fencing=1, may_send=lambda: True):
    return client(address).send(fencing, WANTED, may_send)


def test_engine_accepts_an_order_and_reports_its_state(start_engine):
    address = start_engine().address
    assert client(address).read().present.models == {"draft"}
    assert send(address) == orders.Accepted(WANTED)
    assert client(address).read() == orders.Accepted(WANTED)


@pytest.mark.parametrize(
    ("checks", "outcome"), [(True, orders.Outdated(7)), (False, orders.Accepted(WANTED))]
)
def test_outdated_fencing_number_is_refused_by_an_engine_that_checks(
    start_engine, checks, outcome
):
    address = start_engine(checks_fencing=checks).address
    send(address, fencing=7)
    assert send(address, fencing=6) == outcome


def test_order_is_not_sent_when_sending_is_not_permitted(start_engine):
    backend = start_engine()
    assert isinstance(send(backend.address, may_send=lambda: False), orders.NotSent)
    assert backend.ledger()["orders"] == []


def test_order_to_a_closed_port_is_not_sent():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
    outcome = send(address)
    assert isinstance(outcome, orders.NotSent)
    assert outcome.is_unreachable


@pytest.mark.parametrize(
    ("response", "kind"),
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
def test_invalid_responses_result_in_an_outcome(response, kind):
    with scripted.server(response) as address:
        assert isinstance(send(address), kind)


def test_order_whose_refusal_breaks_off_is_lost():
    """A refusal states that the order had no effect."""
    head = b"HTTP/1.1 400 Bad\r\nX-A: 1\r\nContent-Length: 2\r\n\r\nab"
    for at in range(len(head)):
        with scripted.server(head[:at]) as address:
            assert isinstance(send(address), orders.Lost), at


@pytest.mark.parametrize("line", oddstatuslines.MALFORMED)
def test_order_whose_answer_has_a_malformed_status_line_is_lost(line):
    """An order counted as accepted by an answer that was none."""
    present = b'{"present":{"models":["draft@2"],"adapters":[],"role":"mixed"}}'
    with scripted.server(line + b"\r\nContent-Length: %d\r\n\r\n" % len(present) + present) as at:
        assert isinstance(send(at), orders.Lost)


def test_order_to_an_engine_that_does_not_respond_is_lost():
    with scripted.server(b"", hold=True) as address:
        outcome = client(address, SHORT_TIMEOUTS).send(1, WANTED, lambda: True)
    assert isinstance(outcome, orders.Lost)


def test_order_to_an_engine_that_responds_too_slowly_is_lost():
    """An engine that responds a few bytes at a time would delay orders to the others."""
    with scripted.server(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{", hold=True) as address:
        outcome = client(address, clock=_JumpingClock()).send(1, WANTED, lambda: True)
    assert outcome == orders.Lost("the response is too long or too slow")


class _JumpingClock(clocks.ManualClock):
    def now(self):
        self.advance(30.0)
        return super().now()


def test_state_wanted_by_the_configuration():
    wanted = models.Wanted(models=("tags", "draft@2"), adapters=("clinic",))
    assert orders.EngineState.from_configuration(wanted) == WANTED
