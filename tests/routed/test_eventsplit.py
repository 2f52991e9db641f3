"""Events are split correctly from bytes received in any pieces."""

import hypothesis
from hypothesis import strategies

from hornbeamglade.routed import eventsplit

_LINES = strategies.lists(
    strategies.sampled_from([b"data: a", b"id: 7", b"event: x", b"data: b c"]), min_size=1
)
_ENDS = strategies.sampled_from([b"\n", b"\r\n"])


@hypothesis.given(strategies.lists(_LINES, max_size=5), _ENDS, strategies.data())
def test_result_does_not_depend_on_the_pieces(events, end, data):
    whole = b"".join(end.join(lines) + end + end for lines in events)
    cuts = sorted(data.draw(strategies.sets(strategies.integers(0, len(whole)), max_size=6)))
    bounds = [0, *cuts, len(whole)]
    splitter = eventsplit.EventSplitter()
    found = []
    for start, stop in zip(bounds, bounds[1:], strict=False):
        found += splitter.feed(whole[start:stop])
    assert b"".join(event.data for event in found) == whole
    assert len(found) == len(events)
    assert splitter.remainder == b""


def test_id_is_read_at_any_position_in_an_event():
    splitter = eventsplit.EventSplitter()
    events = splitter.feed(b"weight-versions: 2\nid:12\ndata: id: 5\n\ndata: x\n\n")
    assert [event.id for event in events] == ["12", None]
