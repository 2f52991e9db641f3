"""Outcomes of generations are exact under failures of the engine and of the network."""

import json
import socket
import threading

import hypothesis
import hypothesis.strategies as st
import pytest

from hornbeamglade.backends import eventparser, generations, httpexchange, outcomes
from hornbeamglade.core import outcomes as core_outcomes
from tests import reservedports
from tests.backends import scripted
from tests.http1 import oddstatuslines

UNKNOWN = core_outcomes.RunStatus.UNKNOWN
LONG_TIMEOUTS = httpexchange.Timeouts(connect_s=5.0, response_s=10.0, progress_s=10.0)
SHORT_HEAD_TIMEOUT = httpexchange.Timeouts(connect_s=5.0, response_s=0.4, progress_s=600.0)
SHORT_PROGRESS_TIMEOUT = httpexchange.Timeouts(connect_s=5.0, response_s=600.0, progress_s=0.4)


def open_stream(
    address, tokens=20, timeouts=LONG_TIMEOUTS, headers=None, cancellation=None, **body
):
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
    # The engine's process has ended. No connection was established, so no byte of the
    # request was sent.
    with reservedports.closed_port() as address:
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
    "response",
    [
        b"",
        b"HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 500 Oops\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n",
        b"garbage\r\n\r\n",
    ],
)
def test_a_failure_after_the_first_byte_is_unknown(response):
    # The engine received the request, then died or returned 503 without stating that it
    # didn't run it. Reported as "not run", the caller would repeat a request that may have
    # run, such as a reservation.
    with scripted.server(response) as address:
        outcome = open_stream(address)
    assert isinstance(outcome, outcomes.Lost) and outcome.run is UNKNOWN


def test_a_timeout_before_the_response_head_is_unknown(start_engine):
    backend = start_engine()
    backend.faults(stall=True)
    outcome = open_stream(backend.address, timeouts=SHORT_HEAD_TIMEOUT)
    assert isinstance(outcome, outcomes.Lost) and outcome.run is UNKNOWN
    assert backend.state() != []


@pytest.mark.parametrize("refuse", [False, True])
def test_a_response_to_another_request_is_not_used(start_engine, refuse):
    # The engine mixes up two responses, each with the other's request id. A caller would
    # read another caller's text, or get "not run" for a request that ran.
    backend = start_engine()
    backend.faults(wrong_request_id=True, refuse=refuse)
    assert open_stream(backend.address) == outcomes.MismatchedResponse("crossed-r1")


def test_a_response_without_an_id_is_mismatched():
    with scripted.server(b"HTTP/1.1 200 OK\r\n\r\n") as address:
        assert open_stream(address) == outcomes.MismatchedResponse(None)


def test_an_invalid_request_is_rejected(start_engine):
    outcome = open_stream(start_engine().address, model="other")
    assert (outcome.status, json.loads(outcome.body)["error"]["code"]) == (404, "model_not_found")


@pytest.mark.parametrize("after", [0, 5])
def test_an_engine_that_dies_is_a_lost_connection(start_engine, after):
    # The engine's process ends before the first token or after some. The response ends
    # without its last chunk, which mustn't be taken for the end of the generation.
    backend = start_engine(resume=False)
    backend.faults(die_after_tokens=after)
    events = read(open_stream(backend.address))
    assert offsets(events) == list(range(after))
    assert isinstance(events[-1], eventparser.ConnectionLost)


def test_an_orderly_end_without_a_finish_reason_is_a_lost_connection():
    with scripted.server(scripted.HEAD + b"id: 0\ndata: {}\n\n") as address:
        events = read(open_stream(address))
    assert offsets(events) == [0] and isinstance(events[-1], eventparser.ConnectionLost)


def test_a_stalled_connection_is_detected_and_its_stream_can_be_resumed(start_engine):
    # The network delivers nothing any more, without an error, while the engine continues.
    # The progress timeout ends the wait, and the generation is resumed on another
    # connection.
    backend = start_engine(step_s=0.01)
    stream = open_stream(backend.address, 40, SHORT_PROGRESS_TIMEOUT).stream
    events = []
    for event in stream:
        events.append(event)
        if offsets(events) == [0, 1, 2]:
            backend.faults(stall=True)
    assert isinstance(events[-1], eventparser.Stalled)
    backend.faults()
    last = offsets(events)[-1]
    rest = read(generations.resume(backend.address, "r1", last, LONG_TIMEOUTS))
    assert offsets(events) + offsets(rest) == list(range(40))
    assert isinstance(rest[-1], eventparser.Finished)


def test_an_engine_that_keeps_alive_is_not_stalled(start_engine):
    # A request waits at the engine for longer than the progress timeout. Its keep-alives
    # distinguish it from a stalled connection, whose request would be run again.
    backend = start_engine(max_running=1, step_s=0.01)
    first = open_stream(backend.address, 100, cancellation=httpexchange.Cancellation())
    second = generations.open_stream(
        backend.address,
        "/v1/completions",
        b'{"model":"draft","stream":true,"x_answer_tokens":3}',
        {},
        "r2",
        0,
        SHORT_PROGRESS_TIMEOUT,
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
    cancellation = httpexchange.Cancellation()
    with scripted.server(b"", hold=True) as address:
        threading.Timer(0.1, cancellation.cancel).start()
        outcome = open_stream(address, cancellation=cancellation)
        assert isinstance(outcome, outcomes.Lost) and outcome.run is UNKNOWN
        again = open_stream(address, cancellation=cancellation)
    assert isinstance(again, outcomes.NotRun)


def test_leaving_the_iteration_cancels_with_bytes_unread(start_engine):
    # Closing a socket with unread bytes sends a reset, after which the engine keeps the
    # stream. Its memory would fill with generations that nobody reads.
    backend = start_engine()
    for event in open_stream(backend.address, tokens=4000).stream:
        if isinstance(event, eventparser.Token) and event.offset == 3:
            backend.wait_for_tokens(100)
            break
    backend.wait_for_state("cancelled")


def test_resume_of_a_stream_that_is_gone(start_engine):
    backend = start_engine()
    assert generations.resume(backend.address, "r9", 3, LONG_TIMEOUTS) == outcomes.StreamGone()
    backend.server.stop()
    assert generations.resume(backend.address, "r1", 3, LONG_TIMEOUTS) == outcomes.PortClosed()


def test_port_of_a_stopped_engine_is_given_to_nobody_else(start_engine):
    """Guards against another test's server that answers at a stopped engine's port."""
    backend = start_engine()
    backend.server.stop()
    host, _, port = backend.address.rpartition(":")
    with pytest.raises(OSError, match="in use"):
        socket.create_server((host, int(port)))


def test_resume_whose_connection_closes_without_a_response_is_lost():
    # The engine is killed after it accepted the resuming connection and before its port
    # closes. Such a loss was handled as if no connection had been established, so the
    # stream ended with an internal error and an unknown run.
    with scripted.server(b"") as address:
        outcome = generations.resume(address, "r1", 3, LONG_TIMEOUTS)
    assert isinstance(outcome, outcomes.Lost)
    assert outcome.run is core_outcomes.RunStatus.RAN


@pytest.mark.parametrize("line", oddstatuslines.MALFORMED)
def test_a_response_with_a_malformed_status_line_opens_and_resumes_no_stream(line):
    """Events of a response that was none were passed on."""
    with scripted.server(line + scripted.HEAD[scripted.HEAD.index(b"\r\n") :]) as address:
        assert isinstance(open_stream(address), outcomes.Lost)
        assert isinstance(generations.resume(address, "r1", 3, LONG_TIMEOUTS), outcomes.Lost)
        assert not generations.cancel_remote(address, "r1", LONG_TIMEOUTS)


def test_remote_cancel_of_a_stream_whose_connection_is_lost(start_engine):
    backend = start_engine()
    backend.faults(die_after_tokens=2)
    read(open_stream(backend.address, tokens=4000))
    assert backend.state() == ["running"]
    assert generations.cancel_remote(backend.address, "r1", LONG_TIMEOUTS)
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
def test_arbitrary_response_bytes_result_in_an_outcome(head, parts):
    with scripted.server(head + b"".join(parts)) as address:
        outcome = open_stream(address)
        if isinstance(outcome, generations.Opened):
            last = list(outcome.stream)[-1]
            assert isinstance(last, eventparser.ConnectionLost | eventparser.Failed)
        else:
            assert isinstance(outcome, outcomes.Lost | outcomes.MismatchedResponse)
