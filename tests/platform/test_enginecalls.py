"""Calls to engines apart from streams, against the stand-in and raw responses."""

import contextlib
import functools
import time

import pytest

from hornbeamglade.core import clocks
from hornbeamglade.engines import models
from hornbeamglade.http1 import clientpool
from hornbeamglade.platform import enginecalls
from hornbeamglade.standins import (
    disturbances,
    disturbedwriter,
    endlessresponses,
    routed,
    routedfaults,
    routedruns,
)
from tests.http1 import oddstatuslines, raw


def calls():
    return enginecalls.EngineCalls(clientpool.ClientPool(clocks.SystemClock()))


@contextlib.asynccontextmanager
async def started_engines():
    source, target = routed.RoutedStandin("e1", events=9), routed.RoutedStandin("e2")
    await source.start()
    await target.start()
    source.run_by_id["r1"] = routedruns.StandinRun("r1", 9, made=4)
    try:
        yield source, target, calls()
    finally:
        await source.stop()
        await target.stop()


def copy(source, target, control, *, is_last):
    return control.copy_kv_cache(
        source.address, "r1", target.address, is_last=is_last, timeout_s=5.0
    )


async def test_report_contains_memory_and_runs():
    async with started_engines() as (source, _target, control):
        first = await control.report(source.address)
        left_at = time.monotonic()
        source.is_leaving = True
        second = await control.report(source.address)
        elapsed_s = time.monotonic() - left_at
    assert first == models.EngineReport(30_000, 104, 0, (models.ReportedRun("r1", 104, 4),), False)
    assert second.is_leaving
    assert routed.NOTICE_S - elapsed_s <= second.leaves_in_s <= routed.NOTICE_S


@pytest.mark.parametrize("followed_by", ["", "answer_other", "refusal"])
async def test_report_that_breaks_off_at_any_byte_is_none(followed_by):
    """A report that is wrong moves runs, or sends requests to an engine without room."""
    async with started_engines() as (source, _target, control):

        def break_off(at, request, writer):
            action, stray = disturbances.Action.CLOSE, None
            if followed_by:
                action, stray = disturbances.Action.INSERT, disturbances.Stray(followed_by)
            disturbance = disturbances.Disturbance(action, at, stray)
            return disturbedwriter.DisturbedWriter(writer, disturbance, request.request_id)

        sound, reports = await control.report(source.address), []
        for at in range(1, 150):
            source.wrap_writer = functools.partial(break_off, at)
            reports.append(await control.report(source.address))
        assert [each for each in reports if each not in (sound, models.ReportFailed(False))] == []


async def test_run_continues_until_the_last_copy():
    made = models.CopySucceeded("copy-r1", 4)
    async with started_engines() as (source, target, control):
        first = await copy(source, target, control, is_last=False)
        continues = not source.run_by_id["r1"].is_stopped
        last = await copy(source, target, control, is_last=True)
        assert first == made
        assert continues is True
        assert last == made
        assert source.run_by_id["r1"].is_stopped is True


async def test_failed_copy_reports_the_cause_and_what_the_source_keeps():
    async with started_engines() as (source, target, control):
        target.faults = routedfaults.RoutedFaults(no_room=True)
        first = await copy(source, target, control, is_last=False)
        last = await copy(source, target, control, is_last=True)
        del source.run_by_id["r1"]
        assert first == models.CopyFailed("no_room")
        assert last == models.CopyFailed("no_room", "copy-r1")
        assert await copy(source, target, control, is_last=False) == models.CopyFailed("no_run")


async def test_calls_to_a_stopped_engine_fail():
    refused = models.ReportFailed(is_refused=True)
    async with started_engines() as (source, target, control):
        await source.stop()
        assert (
            await control.report(source.address),
            await copy(source, target, control, is_last=False),
        ) == (refused, models.CopyFailed("not_listening"))


@pytest.mark.parametrize(
    "body", [b"", b"{", b'{"kv_used":1}', b'{"kv_used":1,"kv_total":2,"runs":[["a"]]}']
)
async def test_malformed_report_fails(body):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    server = raw.ScriptedServer(head + body)
    address = await server.start()
    got = await calls().report(address)
    server.stop()
    assert got == models.ReportFailed(is_refused=False)


async def test_late_response_to_a_report_is_not_taken_for_the_response_to_an_order():
    """A stop would count as confirmed, and the run would go on at two engines."""

    async def report_and_late_response(reader, writer):
        body = b'{"kv_used":1,"kv_total":2}'
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        if await reader.read(1):
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()

    body = b'{"handle":"copy-1","created":7}'
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    server = raw.ScriptedServer(report_and_late_response, head + body)
    address = await server.start()
    control = calls()
    await control.report(address)
    got = await control.copy_kv_cache(address, "r1", "10.0.0.2:1", is_last=True, timeout_s=1.0)
    server.stop()
    assert got == models.CopySucceeded("copy-1", 7)


@pytest.mark.parametrize("part", endlessresponses.PARTS)
async def test_report_without_end_fails_in_time(part):
    """An engine in trouble would keep its owner from asking the others."""
    server = raw.ScriptedServer(endlessresponses.step(part))
    address = await server.start()
    started_at = time.monotonic()
    got = await calls().report(address)
    server.stop()
    seconds = time.monotonic() - started_at
    assert got == models.ReportFailed(is_refused=False)
    assert seconds < 2 * enginecalls.REPORT_TIMEOUT_S


@pytest.mark.parametrize("line", oddstatuslines.MALFORMED)
async def test_answer_with_a_malformed_status_line_is_none_to_any_call(line):
    """An answer that was none reported room, and counted as a move and as a copy that is freed."""
    async with started_engines() as (source, target, control):
        source.wrap_writer = oddstatuslines.replacing(line)
        assert await control.report(source.address) == models.ReportFailed(is_refused=False)
        assert await copy(source, target, control, is_last=True) == models.CopyFailed("no_answer")
        assert await control.drop_copy(source.address, "copy-r1") is False


@pytest.mark.parametrize(
    ("status", "is_freed"), [(200, True), (204, True), (404, True), (409, False), (503, False)]
)
async def test_copy_counts_as_freed_only_if_its_engine_says_so(status, is_freed):
    """An engine that failed to free a copy kept it, as the other one was not asked."""
    server = raw.ScriptedServer(b"HTTP/1.1 %d Status\r\nContent-Length: 0\r\n\r\n" % status)
    assert await calls().drop_copy(await server.start(), "copy-r1") is is_freed
    server.stop()


async def results_with_cut(response, call, ends):
    """Return what a call to an engine yields for the response, cut off at each of the ends."""
    results = []
    for end in ends:

        async def answer(_reader, writer, data=response[:end]):
            writer.write(data)
            await writer.drain()
            writer.close()

        server = raw.ScriptedServer(answer)
        results.append(await call(await server.start()))
        server.stop()
    return results


async def orders_with_cut(response):
    """Return what an order yields for the response, cut off at any byte after its head."""

    def order(address):
        return calls().copy_kv_cache(address, "r1", "10.0.0.2:1", is_last=True, timeout_s=5.0)

    ends = range(response.index(b"\r\n\r\n") + 4, len(response) + 1)
    return await results_with_cut(response, order, ends)


@pytest.mark.parametrize(
    ("status", "body", "result"),
    [
        (200, b'{"handle":"copy-1","created":12}', models.CopySucceeded("copy-1", 12)),
        (503, b'{"handle":"copy-1"}', models.CopyFailed("no_room", "copy-1")),
        (503, b"{}", models.CopyFailed("no_room")),
        (404, b"{}", models.CopyFailed("no_run")),
    ],
)
async def test_answer_to_an_order_that_ends_early_with_its_connection_is_none(
    status, body, result
):
    """A run counted as not stopped, as its engine's handle for the rest was cut off."""
    *cut, whole = await orders_with_cut(b"HTTP/1.1 %d Status\r\n\r\n%b" % (status, body))
    assert set(cut) == {models.CopyFailed("no_answer")}
    assert whole == result


async def test_answer_to_an_order_without_a_body_is_one_if_it_states_its_end():
    (result,) = await orders_with_cut(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
    assert result == models.CopyFailed("no_run")


async def test_report_that_ends_early_with_its_connection_is_none():
    """A report that is wrong moves runs, or sends requests to an engine without room."""
    body = b'{"kv_used":10,"kv_total":30,"queued":1,"state":"draining","leaves_ms":1500}'
    head = b"HTTP/1.1 200 OK\r\n\r\n"
    ends = range(len(head), len(head) + len(body))
    reports = await results_with_cut(head + body, lambda address: calls().report(address), ends)
    assert set(reports) == {models.ReportFailed(is_refused=False)}
