"""Each event is relayed to the caller once and in order."""

import hypothesis
import pytest
from hypothesis import strategies

from hornbeamglade.core import clocks
from hornbeamglade.routed import eventrelay
from hornbeamglade.speeds import pacemeter
from hornbeamglade.standins import routedruns
from tests import eventloop
from tests.routed import fakes

START = eventrelay.ResponseStart(200, ())


def event(number):
    return routedruns.event("r1", number)


def relay(last_id=None):
    exchange = fakes.FakeExchange()
    return exchange, eventrelay.EventRelay(exchange, clocks.ManualClock(), last_id)


async def relay_pieces(event_relay, *pieces):
    return [await event_relay.relay(piece, START) for piece in pieces]


async def test_events_are_relayed_unchanged():
    exchange, event_relay = relay()
    assert await relay_pieces(event_relay, event(1) + event(2)[:5], event(2)[5:]) == [True, True]
    assert exchange.body == event(1) + event(2)
    assert event_relay.last_id == "2"
    assert event_relay.event_count == 2


async def test_response_starts_with_the_first_complete_event():
    """A replica's stream breaks before its first event.

    Until then the caller can still get an error status.
    """
    exchange, event_relay = relay()
    await relay_pieces(event_relay, event(1)[:-1])
    assert not exchange.is_answered


async def test_repeated_event_is_dropped():
    """A run resumes elsewhere slightly before the last event that the caller received."""
    exchange, event_relay = relay()
    await relay_pieces(event_relay, event(1) + event(2))
    event_relay.start_connection()
    assert await relay_pieces(event_relay, event(2) + event(3)) == [True]
    assert exchange.body == event(1) + event(2) + event(3)


async def test_missing_event_aborts_the_stream():
    """A run resumes elsewhere after the event that should follow.

    If its events were relayed, the joined pieces would look like a complete response.
    """
    exchange, event_relay = relay()
    await relay_pieces(event_relay, event(1))
    event_relay.start_connection()
    assert await relay_pieces(event_relay, event(3)) == [False]
    assert exchange.body == event(1)


async def test_incomplete_event_is_discarded_with_its_connection():
    exchange, event_relay = relay()
    await relay_pieces(event_relay, event(1) + event(2)[:7])
    event_relay.start_connection()
    await relay_pieces(event_relay, event(2))
    assert exchange.body == event(1) + event(2)


async def test_resuming_caller_gets_the_following_events():
    exchange, event_relay = relay(last_id="4")
    assert await relay_pieces(event_relay, event(5)) == [True]
    assert exchange.body == event(5)


@pytest.mark.parametrize(
    ("rest", "is_complete"), [(b"", True), (b"\n", True), (b"id: 2\nda", False)]
)
async def test_stream_ending_in_an_incomplete_event_is_not_complete(rest, is_complete):
    exchange, event_relay = relay()
    await event_relay.relay(event(1) + rest, START)
    assert (await event_relay.finish(START), exchange.is_finished) == (is_complete, is_complete)


async def test_pause_between_two_replicas_counts_for_neither():
    """The pause of a migration would make the destination seem slow."""
    clock = clocks.ManualClock()
    event_relay = eventrelay.EventRelay(fakes.FakeExchange(), clock, None)
    for number in (1, 2):
        meter = pacemeter.PaceMeter(tokens_per_event=4)
        event_relay.start_connection(meter)
        await relay_pieces(event_relay, event(number))
        clock.advance(0.5)
        assert meter.take() == pacemeter.Measurement()
    assert event_relay.longest_gap_s == 0.5


@hypothesis.given(strategies.text(alphabet="0123456789²٣५+-_ ", min_size=1))
@hypothesis.example("²")
@hypothesis.example("9" * 5000)
def test_any_event_id_of_a_caller_is_accepted(last_id):
    """An id with a digit that is no decimal number closed the connection unanswered."""

    async def test():
        exchange, event_relay = relay(last_id=last_id)
        await event_relay.relay(b"id: x1\ndata: a\n\n", START)
        return exchange.body

    assert eventloop.run(test()) == b"id: x1\ndata: a\n\n"


async def test_withheld_response_is_sent_only_once_it_is_complete():
    """A stream that began just before its instance ended reached its caller without its end."""
    exchange, event_relay = relay()
    event_relay.withhold()
    await relay_pieces(event_relay, event(1), event(2))
    assert exchange.is_answered is False
    assert event_relay.has_started is False
    assert event_relay.event_count == 2
    assert await event_relay.finish(START)
    assert (exchange.status, exchange.is_finished) == (200, True)
    assert exchange.body == event(1) + event(2)


async def test_what_cannot_be_sent_yet_is_held_until_it_is_discarded():
    """What is withheld during a stop was not counted."""
    _, event_relay = relay()
    event_relay.withhold()
    await relay_pieces(event_relay, event(1) + event(2)[:5])
    held = event_relay.held_bytes
    event_relay.discard()
    assert (held, event_relay.held_bytes) == (len(event(1)) + 5, 0)
