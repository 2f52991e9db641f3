"""Events on their way to a caller, each once and in order."""

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.routed import eventrelay
from hornbeamglade.standins import routedruns
from tests import eventloop
from tests.routed import fakes

START = eventrelay.ResponseStart(200, ())


def event(number):
    return routedruns.event("r1", number)


def relay(last_id=None):
    exchange = fakes.FakeExchange()
    return exchange, eventrelay.EventRelay(exchange, clocks.ManualClock(), last_id)


def take(passing, *pieces):
    async def main():
        return [await passing.relay(piece, START) for piece in pieces]

    return eventloop.run(main())


def test_events_pass_as_they_come():
    exchange, passing = relay()
    assert take(passing, event(1) + event(2)[:5], event(2)[5:]) == [True, True]
    assert (exchange.body, passing.last_id, passing.event_count) == (event(1) + event(2), "2", 2)


def test_answer_begins_with_the_first_whole_event():
    """A replica's stream breaks before its first event.

    Until then the caller can still be told the truth by a status.
    """
    exchange, passing = relay()
    take(passing, event(1)[:-1])
    assert not exchange.is_answered


def test_event_that_comes_again_is_dropped():
    """A run goes on elsewhere a little before the event that the caller has last."""
    exchange, passing = relay()
    take(passing, event(1) + event(2))
    passing.start_connection()
    assert take(passing, event(2) + event(3)) == [True]
    assert exchange.body == event(1) + event(2) + event(3)


def test_missing_event_ends_the_stream():
    """A run goes on elsewhere after the event that should follow.

    Passed on, the joined pieces would look like a whole answer.
    """
    exchange, passing = relay()
    take(passing, event(1))
    passing.start_connection()
    assert take(passing, event(3)) == [False]
    assert exchange.body == event(1)


def test_torn_event_is_not_passed_on_by_the_next_connection():
    exchange, passing = relay()
    take(passing, event(1) + event(2)[:7])
    passing.start_connection()
    take(passing, event(2))
    assert exchange.body == event(1) + event(2)


def test_caller_that_resumes_gets_what_follows():
    exchange, passing = relay(last_id="4")
    assert take(passing, event(5)) == [True]
    assert exchange.body == event(5)


@pytest.mark.parametrize(("rest", "is_whole"), [(b"", True), (b"\n", True), (b"id: 2\nda", False)])
def test_end_with_a_torn_event_is_not_whole(rest, is_whole):
    async def main():
        exchange, passing = relay()
        await passing.relay(event(1) + rest, START)
        return await passing.finish(START), exchange.is_finished

    assert eventloop.run(main()) == (is_whole, is_whole)
