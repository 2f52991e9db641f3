"""The event parser returns events and never raises, for arbitrary bytes."""

import hypothesis
import hypothesis.strategies as st
import pytest

from hornbeamglade.backends import eventparser

SETTINGS = hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=200)
FINISH = b'data: {"choices":[{"finish_reason":"stop"}],"usage":{"completion_tokens":1}}'
COMPLETE_STREAM = b': keep-alive\n\nid: 0\ndata: {"t":"a"}\n\n' + FINISH + b"\n\ndata: [DONE]\n\n"
PIECES = st.sampled_from(
    [b"id: ", b"0", b"-1", b"\n", b"\n\n", b"data: ", b"{}", b"[DONE]", b'{"error":1}', b":"]
    + [b'{"choices":[]}', b'{"error":{"code":"c","message":"m"}}', b"9" * 5000, b"[" * 3000]
)


@SETTINGS
@hypothesis.given(st.lists(st.integers(0, len(COMPLETE_STREAM)), max_size=8))
def test_chunk_boundaries_do_not_change_the_events(cuts):
    edges = [0, *sorted(cuts), len(COMPLETE_STREAM)]
    parts = [COMPLETE_STREAM[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    parser = eventparser.EventParser()
    events = [event for part in parts if not parser.ended for event in parser.feed(part)]
    assert events == [
        eventparser.KeepAlive(),
        eventparser.Token(0, b'data: {"t":"a"}'),
        eventparser.Finished(FINISH, "stop", 1),
    ]


@SETTINGS
@hypothesis.given(st.lists(st.one_of(PIECES, st.binary(max_size=20)), max_size=20))
def test_arbitrary_bytes_result_in_events(parts):
    parser = eventparser.EventParser()
    events = [event for part in parts if not parser.ended for event in parser.feed(part)]
    assert all(isinstance(event, eventparser.Event) for event in events)
    assert not any(isinstance(e, eventparser.Failed) for e in events[:-1])


@pytest.mark.parametrize(
    "event",
    [
        b"id: -1\ndata: {}",
        b"id: 1_0\ndata: {}",
        b"id: " + b"9" * 5000 + b"\ndata: {}",
        b"id: 1",
        b"id: 1\ndata: {}\nevent: x",
        b'data: {"choices":[{"finish_reason":null}],"usage":{"completion_tokens":1}}',
        b'data: {"choices":[{"finish_reason":"stop"}]}',
        b'data: {"error":1}',
        b"data: [" + b"[" * 100_000,
        b"data: 7",
        b"",
    ],
)
def test_malformed_events_end_the_stream(event):
    parser = eventparser.EventParser()
    (found,) = parser.feed(event + b"\n\n" + COMPLETE_STREAM)
    assert (found.code, parser.ended) == ("event_malformed", True)


def test_an_engines_error_keeps_its_code():
    parser = eventparser.EventParser()
    found = parser.feed(b'data: {"error":{"code":"c","message":"m"}}\n\n')
    assert found == [eventparser.Failed("c", "m")]


def test_an_end_without_a_finish_reason_is_a_failure():
    parser = eventparser.EventParser()
    assert parser.feed(b"data: [DONE]\n\n")[0].code == "end_without_finish"


def test_the_length_of_an_unfinished_event_is_bounded():
    parser = eventparser.EventParser()
    assert parser.feed(b"x" * (2 << 20))[0].code == "event_too_long"
