"""Failed and late requests are attributed to causes, from log lines of several instances."""

import json

import pytest

from hornbeamglade.observability import losses, lossesplot, requesttimeline

Cause = losses.Cause


def line(at, node, message_type, **fields):
    return json.dumps(fields | {"timestamp": at, "logged_by": node, "message_type": message_type})


def decided(at, decision, outcome, *, node="n1", request_id="r1", **fields):
    fields |= {"request_id": request_id, "decision": decision, "outcome": outcome}
    return line(at, node, requesttimeline.DECISION_TYPE, **fields)


def leaving(at, node="n1"):
    fields = {"subject": "engine", "before": "serving", "after": "leaving", "replica": "e1"}
    return line(at, node, requesttimeline.STATE_TYPE, **fields)


def answer(at, outcome, **fields):
    return decided(at, "answer", outcome, **({"route": "draft", "goal_s": 1.8} | fields))


def find_losses(*lines):
    return losses.find(requesttimeline.parse(lines))


def causes(*lines):
    return [loss.cause for loss in find_losses(*lines).lost]


PLACED = decided(1.0, "placed", "granted", replica="e1", tokens=3000, service="draft")
LOST = decided(9.0, "stream_lost", "closed", replica="e1")
BROKEN = answer(9.1, "broken_off", status=200, events=80, seconds=8.1)


@pytest.mark.parametrize(
    ("end", "cause"),
    [
        (answer(9.0, "cut_by_stop", status=0), Cause.INSTANCE_STOPPED),
        (answer(9.0, "caller_left", status=0), Cause.CALLER_LEFT),
        (answer(9.0, "no_answer", status=502), Cause.REPLICA_FAILED),
        (answer(9.0, "answered", status=500, seconds=0.1), Cause.REPLICA_FAILED),
        (answer(9.0, "answer_too_late", status=504), Cause.DEADLINE_PASSED),
        (answer(9.0, "queue_timeout", status=503), Cause.REFUSED),
        (answer(9.0, "streamed", status=200, first_s=1.9), Cause.LATE_START),
        (
            answer(9.0, "streamed", status=200, first_s=0.4, gap_s=0.3, gap_goal_s=0.18),
            Cause.LATE_TOKEN,
        ),
        (answer(9.0, "answered", status=200, seconds=1.9), Cause.LATE_RESPONSE),
        (answer(9.0, "of_tomorrow", status=200), Cause.UNKNOWN),
    ],
)
def test_last_line_determines_the_cause(end, cause):
    assert causes(PLACED, end) == [cause]


@pytest.mark.parametrize(
    ("placed", "code", "cause"),
    [
        ("refused_by_forecast", "refused_by_forecast", Cause.REFUSED_BY_FORECAST),
        ("queue_timeout", "pace_bound", Cause.PACE_BOUND),
        ("pace_bound", "no_room_now", Cause.PACE_BOUND),
        ("pace_bound", "team_queue_full", Cause.REFUSED),
        ("no_room_now", "no_room_now", Cause.REFUSED),
    ],
)
def test_refusal_for_want_of_pace_or_by_forecast_has_its_own_cause(placed, code, cause):
    """In a surge, all refusals had one cause, and operators saw no reason to add engines.

    A request that several owners refused ends with the code of only one of them.
    """
    end = answer(9.0, code, status=503)
    (loss,) = find_losses(PLACED, decided(1.1, "placed", placed), end).lost
    assert (loss.cause, loss.code) == (cause, code)


@pytest.mark.parametrize(
    ("slow_factor", "cause"), [(2.4, Cause.SLOW_ENGINE), (1.0, Cause.LATE_TOKEN)]
)
def test_pause_at_an_engine_known_to_be_slow_has_its_own_cause(slow_factor, cause):
    """Operators looked for network faults though too few engines kept the pace."""
    placed = decided(1.1, "placed", "granted", replica="e1", slow_factor=slow_factor)
    end = answer(9.0, "streamed", status=200, first_s=0.4, gap_s=0.3, gap_goal_s=0.18)
    assert causes(placed, end) == [cause]


@pytest.mark.parametrize(
    "end",
    [
        answer(9.0, "streamed", status=200, first_s=0.4, gap_s=0.1, gap_goal_s=0.18),
        answer(9.0, "answered", status=404, seconds=0.1),
    ],
)
def test_complete_and_timely_response_is_no_loss(end):
    found = find_losses(PLACED, end)
    assert (found.requests, found.lost) == (1, ())


def moved(**fields):
    return decided(9.05, "handover", "no_answer", replica="e1", **fields)


@pytest.mark.parametrize(
    ("lines", "cause"),
    [
        ((), Cause.ENGINE_LOST),
        ((leaving(7.5),), Cause.NOT_MIGRATED),
        ((leaving(7.5), moved(room_s=1.2, wait_s=0.2, copy_s=0.1)), Cause.NO_CAPACITY),
        ((leaving(7.5), moved(room_s=0.1, wait_s=1.2, copy_s=0.2)), Cause.NO_MIGRATION_SLOT),
        ((leaving(7.5), moved(room_s=0.1, wait_s=0.2, copy_s=1.2)), Cause.COPY_LATE),
        ((leaving(7.0, "n2"), leaving(8.7), moved(room_s=0.1, wait_s=0.2)), Cause.LEARNED_LATE),
    ],
)
def test_run_lost_with_its_engine_is_attributed_to_the_longest_step(lines, cause):
    """An engine stops, and one of its runs is not migrated in time.

    The cause names what took the time: learning that the engine stops, finding capacity,
    waiting for a migration slot, or the copy.
    """
    assert causes(PLACED, *lines, LOST, BROKEN) == [cause]


def test_stream_without_an_end_is_attributed_to_a_vanished_instance():
    lost = find_losses(PLACED).lost
    assert [(loss.cause, loss.tokens, loss.service) for loss in lost] == [
        (Cause.INSTANCE_VANISHED, 3000, "draft")
    ]


def test_groups_sum_to_the_total():
    other = answer(12.0, "queue_timeout", status=503, route="tag", seconds=2.0)
    begun = line(
        0.5, "n1", requesttimeline.STATE_TYPE, subject="node", after="serving", domain="d1"
    )
    found = find_losses(begun, PLACED, LOST, BROKEN, other.replace("r1", "r2"))
    groups = {
        "cause": losses.by_cause(found.lost),
        "service": losses.by_service(found.lost),
        "domain": losses.by_domain(found),
        "window": losses.by_window(found),
    }
    for rows in groups.values():
        assert sum(row.count for row in rows) == len(found.lost) == 2
        assert sum(row.seconds for row in rows) == pytest.approx(10.1)
    assert {row.key for row in groups["domain"]} == {"d1"}
    assert [row.key for row in groups["window"]] == ["0008.0", "0010.0"]


@pytest.mark.parametrize("lines", [(), (PLACED, LOST, BROKEN)])
def test_plot_is_drawn(lines, tmp_path):
    lossesplot.plot(find_losses(*lines), tmp_path / "losses.png")
    assert (tmp_path / "losses.png").stat().st_size


def test_fields_that_are_no_numbers_count_as_zero():
    end = answer(9.0, "streamed", status=200, first_s="soon", gap_s=True, goal_s=None)
    assert causes(PLACED, end) == []
