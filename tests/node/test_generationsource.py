import pytest

from hornbeamglade.backends import generations, outcomes
from hornbeamglade.core import clocks
from hornbeamglade.node import generationsource
from tests.node import fakeparts
from tests.node.fakeparts import token

LOST = fakeparts.Lost("reset")


@pytest.fixture
def engine(monkeypatch):
    """Fake of the engine's resume; returns the listed outcomes in order."""

    class Engine:
        def __init__(self):
            self.outcomes = []
            self.resume_offsets = []
            self.cancelled = []

        def resume(self, address, generation, offset, timeouts):
            assert generation == fakeparts.GENERATION
            self.resume_offsets.append(offset)
            return self.outcomes.pop(0)

        def submit(self, _action, _address, generation, _timeouts):
            self.cancelled.append(generation)

    fake = Engine()
    monkeypatch.setattr(generations, "resume", fake.resume)
    monkeypatch.setattr(generationsource, "CANCEL_EXECUTOR", fake)
    return fake


def read(source, state):
    """Read events as a delivery does."""
    received = []
    for event in source:
        if hasattr(event, "offset"):
            state.accept(fakeparts.GENERATION, event.offset)
        received.append(event)
    return received


def test_a_lost_connection_is_resumed_after_the_last_token(engine):
    connection = fakeparts.FakeConnection(token(0), token(1), LOST)
    resume_outcomes = []
    source, state = fakeparts.make_source(
        clocks.ManualClock(), connection, on_resume=resume_outcomes.append
    )
    rest = fakeparts.FakeConnection(token(2), fakeparts.finished(3))
    engine.outcomes = [outcomes.Lost("no connection"), generations.Opened(rest)]
    assert read(source, state) == [*connection.events[:2], *rest.events]
    assert engine.resume_offsets == [1, 1]
    assert resume_outcomes == ["resumed"]
    assert engine.cancelled == []


@pytest.mark.parametrize(
    ("repeatable", "resumable", "tokens"), [(True, True, 0), (True, False, 1), (False, False, 0)]
)
def test_generation_that_may_not_be_resumed_ends_with_the_connection(
    engine, repeatable, resumable, tokens
):
    """An engine may keep the lost stream for a resume that never comes.

    The generation is cancelled, as a kept stream would grow although no caller waits for it.
    """
    connection = fakeparts.FakeConnection(*map(token, range(tokens)), LOST)
    source, state = fakeparts.make_source(clocks.ManualClock(), connection, repeatable, resumable)
    assert read(source, state)[-1] is LOST
    assert engine.resume_offsets == []
    assert engine.cancelled == [fakeparts.GENERATION]


def test_a_request_that_runs_once_is_resumed_before_its_first_token(engine):
    source, state = fakeparts.make_source(
        clocks.ManualClock(), fakeparts.FakeConnection(LOST), False
    )
    rest = fakeparts.FakeConnection(token(0), fakeparts.finished(1))
    engine.outcomes = [generations.Opened(rest)]
    assert read(source, state) == list(rest.events)
    assert engine.resume_offsets == [-1]


def test_a_stream_that_is_gone_is_not_resumed_again(engine):
    source, state = fakeparts.make_source(
        clocks.ManualClock(), fakeparts.FakeConnection(token(0), LOST)
    )
    engine.outcomes = [outcomes.StreamGone()]
    assert read(source, state)[-1] is LOST


def test_resume_is_abandoned_after_the_second_refused_connection(engine):
    """An engine ends during a streamed generation.

    Its port is closed and its streams are lost; the caller would wait 3.7 s, for all
    pauses, in vain.
    """
    clock = clocks.ManualClock()
    source, state = fakeparts.make_source(clock, fakeparts.FakeConnection(token(0), LOST))
    engine.outcomes = [outcomes.PortClosed()] * 9
    assert read(source, state)[-1] is LOST
    assert len(engine.resume_offsets) == 2


def test_attempts_to_resume_are_bounded(engine):
    clock = clocks.ManualClock()
    source, state = fakeparts.make_source(clock, fakeparts.FakeConnection(token(0), LOST))
    engine.outcomes = [outcomes.Lost("down")] * 99
    assert read(source, state)[-1] is LOST
    assert len(engine.resume_offsets) == len(generationsource.RESUME_PAUSES_S)
    assert clock.now() == sum(generationsource.RESUME_PAUSES_S)


def test_a_cancelled_generation_is_not_resumed(engine):
    connection = fakeparts.FakeConnection(token(0), LOST)
    source, state = fakeparts.make_source(clocks.ManualClock(), connection)
    events = iter(source)
    state.accept(fakeparts.GENERATION, next(events).offset)
    source.cancel()
    assert list(events) == [LOST]
    assert (engine.resume_offsets, connection.cancels) == ([], 1)
