"""Measurement of a stream's pace from the times of its events."""

import pytest

from hornbeamglade.speeds import pacemeter


def meter_of(*times):
    meter = pacemeter.PaceMeter(tokens_per_event=4)
    for now in times:
        meter.record(now)
    return meter


def test_events_of_one_piece_share_its_gap():
    """A busy network delivers events together, and the engine seemed infinitely fast."""
    assert meter_of(0.0, 0.08, 0.08, 0.16, 0.16).take().token_us == 10_000


def test_prefill_of_other_requests_does_not_change_the_pace():
    """A fast engine that reads many prompts seemed slow."""
    assert meter_of(0.0, 0.02, 0.06, 0.1, 0.12, 0.18, 0.24).take().token_us == 5_000


@pytest.mark.parametrize(
    ("times", "is_ready"),
    [
        (tuple(number / 100 for number in range(8)), True),
        (tuple(number / 100 for number in range(7)), False),
        ((0.0, 0.3, 0.6), True),
        ((0.0, 0.6), False),
    ],
)
def test_first_report_is_due_after_a_few_events(times, is_ready):
    """An engine is replaced before the first regular report of its pace."""
    assert meter_of(*times).is_ready is is_ready


def test_two_events_give_no_pace():
    """The only gap of a stream may be that of a busy machine."""
    assert meter_of(0.0, 0.4).take() == pacemeter.Measurement(0, 400)
