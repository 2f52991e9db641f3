"""A load driver: an open loop of many streams on one thread.

Explanation
===========

Requests are sent when they are due, however many are still open: a closed loop would
send fewer requests exactly when the system is slow and would thereby hide its stalls.
One thread polls all sockets, so each token costs the driver one read and one clock
reading, and no thread switch adds to the measured gaps.

Run as ``python -m hornbeamglade.bench.loaddriver``, with the plan as JSON on standard
input; the report is written as JSON to standard output.
"""

import selectors
import sys
import time

from hdrh import histogram as hdrhistogram

from hornbeamglade.bench import loadplan, loadstream
from hornbeamglade.core import codederrors

_MAX_GAP_US = 600_000_000
_SIGNIFICANT_DIGITS = 3
_MICROSECONDS = 1_000_000
_MAX_SELECT_S = 0.5


class Driver:
    """Executes one plan.

    :param plan: what to send and when.
    """

    def __init__(self, plan: loadplan.DriverPlan) -> None:
        self._plan = plan
        self._pending = sorted(plan.requests, key=lambda planned: -planned.at_s)
        self._selector = selectors.DefaultSelector()
        self._open: set[loadstream.CallerStream] = set()
        self._results: list[loadplan.StreamResult] = []
        self._gaps_s: list[float] = []
        self._window_tokens = 0
        self._window_from = plan.epoch_s + plan.window_from_s
        self._window_until = plan.epoch_s + plan.window_until_s

    def run(self) -> loadplan.DriverReport:
        """Send requests and measure their streams until all have ended or time is up."""
        stop_at = self._plan.epoch_s + self._plan.stop_at_s
        while (self._pending or self._open) and time.monotonic() < stop_at:
            self._send_due(time.monotonic())
            for key, _ in self._selector.select(self._select_timeout_s(stop_at)):
                self._handle_ready(key.data)
        for stream in list(self._open):
            stream.cut_off()
            self._close(stream, time.monotonic())
        self._selector.close()
        return self._report()

    def _select_timeout_s(self, stop_at: float) -> float:
        until = stop_at
        if self._pending:
            until = min(until, self._plan.epoch_s + self._pending[-1].at_s)
        return min(_MAX_SELECT_S, max(0.0, until - time.monotonic()))

    def _send_due(self, now: float) -> None:
        while self._pending:
            due_at = self._plan.epoch_s + self._pending[-1].at_s
            if due_at > now:
                return
            planned = self._pending.pop()
            stream = loadstream.CallerStream(planned, now, due_at, self._plan.stall_threshold_s)
            self._open.add(stream)
            self._selector.register(stream.connection, selectors.EVENT_WRITE, stream)

    def _handle_ready(self, stream: loadstream.CallerStream) -> None:
        connection = stream.connection
        try:
            if self._selector.get_key(connection).events & selectors.EVENT_WRITE:
                if stream.write():
                    self._selector.modify(connection, selectors.EVENT_READ, stream)
                return
            previous_token_at = stream.last_token_at
            now = time.monotonic()
            self._record_tokens(stream.read(now), previous_token_at, now)
        except BlockingIOError:
            return
        except (OSError, codederrors.CodedError, ValueError) as error:
            self._selector.unregister(connection)
            if stream.connection_failed(error):
                self._selector.register(stream.connection, selectors.EVENT_WRITE, stream)
                return
            self._finish(stream, time.monotonic())
            return
        if stream.ending is not None:
            self._close(stream, now)

    def _record_tokens(self, tokens: int, previous_token_at: float | None, now: float) -> None:
        if not tokens or not self._window_from <= now < self._window_until:
            return
        self._window_tokens += tokens
        if previous_token_at is not None and previous_token_at >= self._window_from:
            self._gaps_s.append(now - previous_token_at)
        # Tokens of one read reached the caller at the same time.
        self._gaps_s.extend([0.0] * (tokens - 1))

    def _close(self, stream: loadstream.CallerStream, now: float) -> None:
        self._selector.unregister(stream.connection)
        stream.connection.close()
        self._finish(stream, now)

    def _finish(self, stream: loadstream.CallerStream, now: float) -> None:
        self._open.discard(stream)
        self._results.append(stream.result(now))

    def _report(self) -> loadplan.DriverReport:
        histogram = new_gap_histogram()
        for gap_s in self._gaps_s:
            histogram.record_value(min(int(gap_s * _MICROSECONDS), _MAX_GAP_US))
        return loadplan.DriverReport(
            results=tuple(self._results),
            window_tokens=self._window_tokens,
            gaps=histogram.encode().decode(),
            cpu_s=time.process_time(),
        )


def new_gap_histogram() -> hdrhistogram.HdrHistogram:
    """Return an empty histogram of gaps in microseconds, precise to 0.1 %."""
    return hdrhistogram.HdrHistogram(1, _MAX_GAP_US, _SIGNIFICANT_DIGITS)


def merged_gaps(reports: list[loadplan.DriverReport]) -> hdrhistogram.HdrHistogram:
    """Merge the gap histograms of several drivers."""
    merged = new_gap_histogram()
    for report in reports:
        merged.decode_and_add(report.gaps.encode())
    return merged


def main() -> None:
    """Read a plan from standard input and write the report to standard output."""
    plan = loadplan.DriverPlan.model_validate_json(sys.stdin.buffer.read())
    sys.stdout.write(Driver(plan).run().model_dump_json())


if __name__ == "__main__":
    main()
