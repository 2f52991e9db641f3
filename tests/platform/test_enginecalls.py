"""Calls to engines apart from streams, against the stand-in and raw responses."""

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
from tests import eventloop
from tests.http1 import oddstatuslines, raw


def calls():
    return enginecalls.EngineCalls(clientpool.ClientPool(clocks.SystemClock()))


def with_engines(test):
    async def main():
        source, target = routed.RoutedStandin("e1", events=9), routed.RoutedStandin("e2")
        await source.start()
        await target.start()
        source.run_by_id["r1"] = routedruns.StandinRun("r1", 9, made=4)
        try:
            return await test(source, target, calls())
        finally:
            await source.stop()
            await target.stop()

    return eventloop.run(main())


def copy(source, target, control, *, is_last):
    return control.copy_kv_cache(
        source.address, "r1", target.address, is_last=is_last, timeout_s=5.0
    )


def test_report_contains_memory_and_runs():
    async def test(source, _target, control):
        first = await control.report(source.address)
        left_at = time.monotonic()
        source.is_leaving = True
        second = await control.report(source.address)
        return first, second, time.monotonic() - left_at

    first, second, elapsed_s = with_engines(test)
    assert first == models.EngineReport(30_000, 104, 0, (models.ReportedRun("r1", 104, 4),), False)
    assert second.is_leaving
    assert routed.NOTICE_S - elapsed_s <= second.leaves_in_s <= routed.NOTICE_S


@pytest.mark.parametrize("followed_by", ["", "answer_other", "refusal"])
def test_report_that_breaks_off_at_any_byte_is_none(followed_by):
    """A report that is wrong moves runs, or sends requests to an engine without room."""

    async def test(source, _target, control):
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
        return [each for each in reports if each not in (sound, models.ReportFailed(False))]

    assert with_engines(test) == []


def test_run_continues_until_the_last_copy():
    async def test(source, target, control):
        first = await copy(source, target, control, is_last=False)
        continues = not source.run_by_id["r1"].is_stopped
        last = await copy(source, target, control, is_last=True)
        return first, continues, last, source.run_by_id["r1"].is_stopped

    made = models.CopySucceeded("copy-r1", 4)
    assert with_engines(test) == (made, True, made, True)


def test_failed_copy_reports_the_cause_and_what_the_source_keeps():
    async def test(source, target, control):
        target.faults = routedfaults.RoutedFaults(no_room=True)
        first = await copy(source, target, control, is_last=False)
        last = await copy(source, target, control, is_last=True)
        del source.run_by_id["r1"]
        return first, last, await copy(source, target, control, is_last=False)

    assert with_engines(test) == (
        models.CopyFailed("no_room"),
        models.CopyFailed("no_room", "copy-r1"),
        models.CopyFailed("no_run"),
    )


def test_calls_to_a_stopped_engine_fail():
    async def test(source, target, control):
        await source.stop()
        return (
            await control.report(source.address),
            await copy(source, target, control, is_last=False),
        )

    refused = models.ReportFailed(is_refused=True)
    assert with_engines(test) == (refused, models.CopyFailed("not_listening"))


@pytest.mark.parametrize(
    "body", [b"", b"{", b'{"kv_used":1}', b'{"kv_used":1,"kv_total":2,"runs":[["a"]]}']
)
def test_malformed_report_fails(body):
    async def main():
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        server = raw.ScriptedServer(head + body)
        address = await server.start()
        got = await calls().report(address)
        server.stop()
        return got

    assert eventloop.run(main()) == models.ReportFailed(is_refused=False)


def test_late_response_to_a_report_is_not_taken_for_the_response_to_an_order():
    """A stop would count as confirmed, and the run would go on at two engines."""

    async def report_and_late_response(reader, writer):
        body = b'{"kv_used":1,"kv_total":2}'
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        if await reader.read(1):
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()

    async def main():
        body = b'{"handle":"copy-1","created":7}'
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        server = raw.ScriptedServer(report_and_late_response, head + body)
        address = await server.start()
        control = calls()
        await control.report(address)
        got = await control.copy_kv_cache(address, "r1", "10.0.0.2:1", is_last=True, timeout_s=1.0)
        server.stop()
        return got

    assert eventloop.run(main()) == models.CopySucceeded("copy-1", 7)


@pytest.mark.parametrize("part", endlessresponses.PARTS)
def test_report_without_end_fails_in_time(part):
    """An engine in trouble would keep its owner from asking the others."""

    async def main():
        server = raw.ScriptedServer(endlessresponses.step(part))
        address = await server.start()
        started_at = time.monotonic()
        got = await calls().report(address)
        server.stop()
        return got, time.monotonic() - started_at

    got, seconds = eventloop.run(main())
    assert got == models.ReportFailed(is_refused=False)
    assert seconds < 2 * enginecalls.REPORT_TIMEOUT_S


@pytest.mark.parametrize("line", oddstatuslines.MALFORMED)
def test_answer_with_a_malformed_status_line_is_none_to_any_call(line):
    """An answer that was none reported room, and counted as a move and as a copy that is freed."""

    async def test(source, target, control):
        source.wrap_writer = oddstatuslines.replacing(line)
        return (
            await control.report(source.address),
            await copy(source, target, control, is_last=True),
            await control.drop_copy(source.address, "copy-r1"),
        )

    assert with_engines(test) == (
        models.ReportFailed(is_refused=False),
        models.CopyFailed("no_answer"),
        False,
    )


@pytest.mark.parametrize(
    ("status", "is_freed"), [(200, True), (204, True), (404, True), (409, False), (503, False)]
)
def test_copy_counts_as_freed_only_if_its_engine_says_so(status, is_freed):
    """An engine that failed to free a copy kept it, as the other one was not asked."""

    async def main():
        server = raw.ScriptedServer(b"HTTP/1.1 %d Status\r\nContent-Length: 0\r\n\r\n" % status)
        freed = await calls().drop_copy(await server.start(), "copy-r1")
        server.stop()
        return freed

    assert eventloop.run(main()) is is_freed


def responses_cut(*responses):
    """Answer orders with each response, cut off at any byte; return what it counts as."""

    async def main():
        results = []
        for response in responses:
            for at in range(response.index(b"\r\n\r\n") + 4, len(response) + 1):

                async def answer(_reader, writer, data=response[:at]):
                    writer.write(data)
                    await writer.drain()
                    writer.close()

                server = raw.ScriptedServer(answer)
                address = await server.start()
                results.append(
                    await calls().copy_kv_cache(
                        address, "r1", "10.0.0.2:1", is_last=True, timeout_s=5.0
                    )
                )
                server.stop()
        return results

    return eventloop.run(main())


@pytest.mark.parametrize(
    ("status", "body", "result"),
    [
        (200, b'{"handle":"copy-1","created":12}', models.CopySucceeded("copy-1", 12)),
        (503, b'{"handle":"copy-1"}', models.CopyFailed("no_room", "copy-1")),
        (503, b"{}", models.CopyFailed("no_room")),
        (404, b"{}", models.CopyFailed("no_run")),
    ],
)
def test_answer_to_an_order_that_ends_early_with_its_connection_is_none(status, body, result):
    """A run counted as not stopped, as its engine's handle for the rest was cut off."""
    *cut, whole = responses_cut(b"HTTP/1.1 %d Status\r\n\r\n%b" % (status, body))
    assert set(cut) == {models.CopyFailed("no_answer")}
    assert whole == result


def test_answer_to_an_order_without_a_body_is_one_if_it_states_its_end():
    (result,) = responses_cut(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
    assert result == models.CopyFailed("no_run")


def test_report_that_ends_early_with_its_connection_is_none():
    """A report that is wrong moves runs, or sends requests to an engine without room."""
    body = b'{"kv_used":10,"kv_total":30,"queued":1,"state":"draining","leaves_ms":1500}'

    async def main():
        reports = []
        for at in range(len(body)):

            async def answer(_reader, writer, data=body[:at]):
                writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + data)
                await writer.drain()
                writer.close()

            server = raw.ScriptedServer(answer)
            reports.append(await calls().report(await server.start()))
            server.stop()
        return reports

    assert set(eventloop.run(main())) == {models.ReportFailed(is_refused=False)}
