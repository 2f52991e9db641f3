"""Outcomes of generations are truthful under each failure of engine and link."""

import json
import threading

import hypothesis
import hypothesis.strategies as st
import pytest

from hornbeamglade.backends import eventparser, generations, links, outcomes
from hornbeamglade.core import outcomes as core_outcomes
from tests.backends import scripted

UNKNOWN = core_outcomes.RunStatus.UNKNOWN
PATIENT = links.Timeouts(connect_s=5.0, response_s=10.0, progress_s=10.0)
BRIEF_HEAD = links.Timeouts(connect_s=5.0, response_s=0.4, progress_s=600.0)
BRIEF_PROGRESS = links.Timeouts(connect_s=5.0, response_s=600.0, progress_s=0.4)


def open_stream(address, tokens=20, timeouts=PATIENT, headers=None, cancellation=None, **body):
    body = {"model": "draft", "stream": True, "prompt": "hi", "x_answer_tokens": tokens} | body
    return generations.open_stream(
        address,
        "/v1/completions",
        json.dumps(body).encode(),
        headers or {"Content-Type": "application/json"},
        "r1",
        1,
        timeouts,
        cancellation,
    )


def read(outcome):
    assert isinstance(outcome, generations.Opened), outcome
    return [e for e in outcome.stream if not isinstance(e, eventparser.KeepAlive)]


def offsets(events):
    return [e.offset for e in events if isinstance(e, eventparser.Token)]


def test_a_whole_stream(start_engine):
    backend = start_engine()
    events = read(open_stream(backend.address, tokens=30))
    assert offsets(events) == list(range(30))
    assert (events[-1].finish_reason, events[-1].completion_tokens) == ("stop", 30)
    assert json.loads(events[0].data.removeprefix(b"data: "))["choices"][0]["text"]


def test_no_connection_is_not_run():
    # A caller gets "not run" when an engine's process is gone. No connection could be
    # made, so no byte of the request was offered to anybody.
    with scripted.server(b"") as address:
        pass
    outcome = open_stream(address)
    assert isinstance(outcome, outcomes.NotRun) and not outcome.refused_by_server


def test_a_request_that_cannot_be_encoded_is_not_run(start_engine):
    backend = start_engine()
    outcome = open_stream(backend.address, headers={"X-A": "a\r\nb: c"})
    assert isinstance(outcome, outcomes.NotRun)
    assert backend.ledger()["runs"] == []


def test_a_refusal_is_not_run(start_engine):
    backend = start_engine()
    backend.faults(refuse=True)
    outcome = open_stream(backend.address)
    assert isinstance(outcome, outcomes.NotRun) and outcome.refused_by_server


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 500 Oops\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n",
        b"garbage\r\n\r\n",
    ],
)
def test_after_the_first_byte_a_failure_is_unknown(answer):
    # A caller repeats a reservation that was told to be "not run" and gets two.
    # The engine took the request, then died or answered 503 without saying that it
    # didn't run it: whether it ran can't be known.
    with scripted.server(answer) as address:
        outcome = open_stream(address)
    assert isinstance(outcome, outcomes.Lost) and outcome.run is UNKNOWN


def test_silence_before_the_head_is_unknown(start_engine):
    backend = start_engine()
    backend.faults(stall=True)
    outcome = open_stream(backend.address, timeouts=BRIEF_HEAD)
    assert isinstance(outcome, outcomes.Lost) and outcome.run is UNKNOWN
    assert backend.state() != []


@pytest.mark.parametrize("refuse", [False, True])
def test_an_answer_of_another_request_is_not_used(start_engine, refuse):
    # A clerk reads a draft for another citizen, or is told "not run" of a reply that
    # was sent. The engine mixes up two answers; each bears the other's request id.
    backend = start_engine()
    backend.faults(wrong_request_id=True, refuse=refuse)
    assert open_stream(backend.address) == outcomes.MismatchedResponse("crossed-r1")


def test_an_answer_without_an_id_is_crossed():
    with scripted.server(b"HTTP/1.1 200 OK\r\n\r\n") as address:
        assert open_stream(address) == outcomes.MismatchedResponse(None)


def test_a_wrong_request_is_rejected(start_engine):
    outcome = open_stream(start_engine().address, model="other")
    assert (outcome.status, json.loads(outcome.body)["error"]["code"]) == (404, "model_not_found")


@pytest.mark.parametrize("after", [0, 5])
def test_an_engine_that_dies_is_a_lost_link(start_engine, after):
    # A draft stops in the middle. The engine's process ends before its first token or
    # after some; the answer ends without its last chunk, which mustn't pass for an end.
    backend = start_engine(resume=False)
    backend.faults(die_after_tokens=after)
    events = read(open_stream(backend.address))
    assert offsets(events) == list(range(after))
    assert isinstance(events[-1], eventparser.ConnectionLost)


def test_an_orderly_end_without_a_finish_is_a_lost_link():
    with scripted.server(scripted.HEAD + b"id: 0\ndata: {}\n\n") as address:
        events = read(open_stream(address))
    assert offsets(events) == [0] and isinstance(events[-1], eventparser.ConnectionLost)


def test_a_stalled_link_is_told_and_its_stream_can_be_resumed(start_engine):
    # A draft freezes. The link delivers nothing any more, without an error; the engine
    # goes on. The silence ends the wait, the same generation is continued elsewhere.
    backend = start_engine(step_s=0.01)
    stream = open_stream(backend.address, 40, BRIEF_PROGRESS).stream
    events = []
    for event in stream:
        events.append(event)
        if offsets(events) == [0, 1, 2]:
            backend.faults(stall=True)
    assert isinstance(events[-1], eventparser.Stalled)
    backend.faults()
    last = offsets(events)[-1]
    rest = read(generations.resume(backend.address, "r1", last, PATIENT))
    assert offsets(events) + offsets(rest) == list(range(40))
    assert isinstance(rest[-1], eventparser.Finished)


def test_an_engine_that_keeps_alive_is_not_stalled(start_engine):
    # Two drafts fill the memory and one waits for longer than the progress timeout. Its
    # keep-alives tell it from a stalled link; taken for one, it would be run again.
    backend = start_engine(max_running=1, step_s=0.01)
    first = open_stream(backend.address, 100, cancellation=links.Cancellation())
    second = generations.open_stream(
        backend.address,
        "/v1/completions",
        b'{"model":"draft","stream":true,"x_answer_tokens":3}',
        {},
        "r2",
        0,
        BRIEF_PROGRESS,
    )
    events = list(second.stream)
    assert events.count(eventparser.KeepAlive()) > 8
    assert isinstance(events[-1], eventparser.Finished)
    first.stream.cancel()


def test_cancel_from_another_thread_ends_the_wait_and_the_generation(start_engine):
    backend = start_engine()
    stream = open_stream(backend.address, tokens=4000).stream
    timer = threading.Timer(0.1, stream.cancel)
    timer.start()
    events = list(stream)
    assert isinstance(events[-1], eventparser.ConnectionLost)
    backend.wait_for_state("cancelled")


def test_cancel_while_the_head_is_awaited():
    cancellation = links.Cancellation()
    with scripted.server(b"", hold=True) as address:
        threading.Timer(0.1, cancellation.cancel).start()
        outcome = open_stream(address, cancellation=cancellation)
        assert isinstance(outcome, outcomes.Lost) and outcome.run is UNKNOWN
        again = open_stream(address, cancellation=cancellation)
    assert isinstance(again, outcomes.NotRun)


def test_leaving_the_iteration_cancels_with_bytes_unread(start_engine):
    # Drafts for clerks who hung up fill an engine's memory. Their connections were
    # closed with tokens unread, which sends a reset, and the engine held the streams.
    backend = start_engine()
    for event in open_stream(backend.address, tokens=4000).stream:
        if isinstance(event, eventparser.Token) and event.offset == 3:
            backend.wait_for_tokens(100)
            break
    backend.wait_for_state("cancelled")


def test_resume_of_a_stream_that_is_gone(start_engine):
    backend = start_engine()
    assert generations.resume(backend.address, "r9", 3, PATIENT) == outcomes.StreamGone()
    backend.server.stop()
    assert generations.resume(backend.address, "r1", 3, PATIENT) == outcomes.PortClosed()


def test_resume_whose_connection_closes_without_an_answer_is_lost():
    # A clerk's draft stops with "internal error" and its run unknown. Order: the engine
    # is killed, and the resuming connection is taken from its queue before its port
    # closes. Cause: such a loss was read as if no connection had been made.
    with scripted.server(b"") as address:
        outcome = generations.resume(address, "r1", 3, PATIENT)
    assert isinstance(outcome, outcomes.Lost)
    assert outcome.run is core_outcomes.RunStatus.RAN


def test_remote_cancel_of_a_stream_whose_link_is_lost(start_engine):
    backend = start_engine()
    backend.faults(die_after_tokens=2)
    read(open_stream(backend.address, tokens=4000))
    assert backend.state() == ["running"]
    assert generations.cancel_remote(backend.address, "r1", PATIENT)
    assert backend.state() == ["cancelled"]


@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=60)
@hypothesis.given(
    st.sampled_from(
        [b"", b"HTTP/1.1 ", b"HTTP/1.1 200 OK\r\n", scripted.HEAD]
        + [scripted.HEAD[:-2] + b"Transfer-Encoding: chunked\r\n\r\n"]
        + [scripted.HEAD[:-2] + b"Content-Length: 99\r\n\r\n"]
    ),
    st.lists(
        st.sampled_from([b"id: 0\ndata: {}\n\n", b"5\r\n", b"-1\r\n", b"ffffffffff\r\n", b"\r\n"])
        | st.binary(max_size=12),
        max_size=5,
    ),
)
def test_garbage_on_the_wire_is_an_outcome(head, parts):
    with scripted.server(head + b"".join(parts)) as address:
        outcome = open_stream(address)
        if isinstance(outcome, generations.Opened):
            last = list(outcome.stream)[-1]
            assert isinstance(last, eventparser.ConnectionLost | eventparser.Failed)
        else:
            assert isinstance(outcome, outcomes.Lost | outcomes.MismatchedResponse)
