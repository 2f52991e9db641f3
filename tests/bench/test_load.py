import json
import random
import threading
import time

import pytest
from cheroot import wsgi
from hypothesis import given, settings
from hypothesis import strategies as st

from hornbeamglade.bench import (
    barerelay,
    load,
    loadcoordinator,
    loaddriver,
    loadplan,
    loadresponses,
    loadtraffic,
)
from hornbeamglade.standins import engine

_TIMEOUT_S = 20.0


def _event(mark, offset):
    return f'id: {offset}\ndata: {{"choices":[{{"text":"{mark}.{offset} "}}]}}\n\n'.encode()


_DONE = b"data: [DONE]\n\n"
_A = "aaaaaaaa"


@pytest.fixture
def serve(request):
    def start(pieces, status="200 OK", content_type="text/event-stream"):
        def application(environ, start_response):
            start_response(status, [("Content-Type", content_type)])
            return pieces() if callable(pieces) else iter(pieces)

        server = wsgi.Server(("127.0.0.1", 0), application, numthreads=4, shutdown_timeout=1)
        server.expiration_interval = 0.05
        server.prepare()
        threading.Thread(target=server.serve, daemon=True).start()
        request.addfinalizer(server.stop)
        return f"127.0.0.1:{server.bind_addr[1]}"

    return start


def _drive(*addresses, answer_tokens=3, stop_at_s=_TIMEOUT_S, requests=1):
    planned = [
        loadplan.PlannedRequest(
            number=number,
            team="lakeside",
            at_s=0.0,
            addresses=addresses,
            header_by_name={"X-Request-Id": f"r-{number}"},
            body=json.dumps(
                {
                    "model": "draft",
                    "prompt": f"letter {number}",
                    "stream": True,
                    "x_answer_tokens": answer_tokens,
                }
            ),
            answer_tokens=answer_tokens,
        )
        for number in range(requests)
    ]
    plan = loadplan.DriverPlan(
        epoch_s=time.monotonic(),
        window_from_s=0.0,
        window_until_s=stop_at_s,
        stop_at_s=stop_at_s,
        requests=planned,
    )
    return loaddriver.Driver(plan).run()


def test_a_whole_response_is_complete(serve):
    report = _drive(serve([b": keep-alive\n\n", *(_event(_A, n) for n in range(3)), _DONE]))
    (result,) = report.results
    assert (result.ending, result.tokens, report.window_tokens) == ("complete", 3, 3)


@pytest.mark.parametrize(
    ("tokens", "code"),
    [
        ([(_A, 0), (_A, 2), (_A, 1)], "order"),
        ([(_A, 0), (_A, 0), (_A, 1)], "order"),
        ([(_A, 0), ("bbbbbbbb", 1), (_A, 2)], "splice"),
        ([(_A, 0), (_A, 1)], "short"),
    ],
)
def test_a_violated_delivery_guarantee_is_detected(serve, tokens, code):
    # Guards against a stream that was resumed at the wrong offset or from another
    # generation, so that the caller received repeated or foreign text, while the
    # benchmark reported a fast and complete response.
    (result,) = _drive(serve([_event(*token) for token in tokens] + [_DONE])).results
    assert (result.ending, result.code) == ("violated", code)


def test_a_refusal_is_reported_with_its_code(serve):
    problem = json.dumps({"code": "queue_full", "run": "not_run", "error": {"code": "x"}}).encode()
    address = serve([problem], "503 Service Unavailable", "application/problem+json")
    (result,) = _drive(address).results
    assert (result.ending, result.status) == ("refused", 503)
    assert (result.code, result.run) == ("queue_full", "not_run")


def test_an_error_event_is_a_failure_with_its_code(serve):
    error = b'data: {"error":{"code":"engine_lost","message":"m","run":"ran"}}\n\n'
    (result,) = _drive(serve([_event(_A, 0), error])).results
    assert (result.ending, result.code, result.run) == ("failed", "engine_lost", "ran")


def test_a_response_without_an_end_is_a_failure(serve):
    (result,) = _drive(serve([_event(_A, 0)])).results
    assert (result.ending, result.code) == ("failed", "closed")


def test_a_stall_is_measured(serve):
    def pieces():
        yield _event(_A, 0)
        time.sleep(1.0)
        yield _event(_A, 1)
        yield _event(_A, 2)
        yield _DONE

    report = _drive(serve(pieces))
    assert report.results[0].stall_s >= 0.25
    assert loaddriver.merged_gaps([report]).get_max_value() >= 500_000


def test_the_driver_stops_at_its_stop_time(serve):
    def pieces():
        yield _event(_A, 0)
        time.sleep(1.2)
        yield _DONE

    (result,) = _drive(serve(pieces), stop_at_s=0.5).results
    assert result.ending == "cut"


def test_the_next_address_is_tried_when_one_is_unreachable(serve):
    alive = serve([*(_event(_A, n) for n in range(3)), _DONE])
    (result,) = _drive("127.0.0.1:9", alive).results
    assert result.ending == "complete"


def test_the_bare_relay_forwards_complete_responses():
    backend = engine.serve(engine.EngineSettings(step_s=0.002))
    backend.start()
    relay = barerelay.RelayServer([backend.address])
    relay.start()
    try:
        report = _drive(relay.address, answer_tokens=20, requests=8)
    finally:
        relay.stop()
        backend.stop()
    assert [result.ending for result in report.results] == ["complete"] * 8
    assert report.window_tokens == 160


@settings(derandomize=True, database=None, deadline=None, max_examples=60)
@given(st.lists(st.integers(1, 40), min_size=1, max_size=40))
def test_reading_does_not_depend_on_how_bytes_arrive(sizes):
    body = b"".join([b": keep-alive\n\n", *(_event(_A, n) for n in range(5)), _DONE])
    chunks = [body[i : i + 17] for i in range(0, len(body), 17)] + [b""]
    framed = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    head = (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    expected_parser = loadresponses.ResponseParser()
    expected = expected_parser.feed(head + framed)
    reader = loadresponses.ResponseParser()
    rest = head + framed
    events = []
    for size in sizes:
        events += reader.feed(rest[:size])
        rest = rest[size:]
    events += reader.feed(rest)
    assert events == expected
    assert len(events) == 7
    assert reader.complete


def _traffic(seed):
    traffic = loadtraffic.Traffic(1.0, 50.0, {"a": 3.0, "b": 1.0}, seed=seed)
    addresses = {"a": ("127.0.0.1:1",), "b": ("127.0.0.1:2",)}
    return loadtraffic.requests(traffic, 20.0, addresses, {"a": "ka", "b": "kb"})


def test_traffic_is_drawn_from_its_seed():
    assert _traffic(1) == _traffic(1) != _traffic(2)


def test_teams_send_by_weight_at_the_requested_rate():
    planned = _traffic(3)
    share = sum(request.team == "a" for request in planned) / len(planned)
    assert 850 < len(planned) < 1150
    assert 0.7 < share < 0.8


def test_lengths_are_clamped():
    lengths = loadtraffic.Lengths(median=100, sigma=2.0, longest=300)
    drawn = [lengths.draw(random.Random(seed)) for seed in range(300)]
    assert (min(drawn) >= 1, max(drawn)) == (True, 300)


def test_the_summary_counts_what_was_due_after_the_warm_up():
    def result(number, at_s, ending, tokens=0, code="", stall_s=0.0):
        return loadplan.StreamResult(
            number=number,
            team="a",
            at_s=at_s,
            late_s=0.0,
            ending=ending,
            code=code,
            tokens=tokens,
            stall_s=stall_s,
            time_to_first_token_s=0.1 if tokens else None,
        )

    results = (
        result(0, 1.0, "complete", 1000),
        result(1, 6.0, "complete", 50, stall_s=1.0),
        result(2, 7.0, "refused", code="queue_full"),
        result(3, 8.0, "violated", 50),
    )
    report = loadcoordinator.LoadReport(results, 0, loadcoordinator.Gaps(1, 1, 1, 1), 0.0)
    summary = load.summarize("p", load.LoadShape(seconds=15.0, warmup_s=5.0), report, 4)
    assert (summary.offered, summary.goodput, summary.violated) == (3, 5.0, 1)
    assert summary.refusals_by_code == {"queue_full": 1}
    assert (summary.stalled, summary.stall_s_per_1000_tokens) == (0.5, 10.0)
    assert summary.refused_share_by_team == {"a": pytest.approx(1 / 3)}
