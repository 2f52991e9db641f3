"""Runs several driver processes for one benchmark and merges their reports."""

import collections.abc
import concurrent.futures
import dataclasses
import pathlib
import time

from hornbeamglade.bench import loaddriver, loadplan, loadprocesses

STARTUP_S = 2.0  # time for the drivers to start and read their plans
_EXIT_GRACE_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """When a benchmark measures and when it ends, in seconds after its epoch.

    :param window_from_s: start of the window in which gaps and tokens are measured.
    :param window_until_s: end of that window.
    :param stop_at_s: when streams that are still open are closed.
    """

    window_from_s: float
    window_until_s: float
    stop_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Gaps:
    """Percentiles of the gaps between tokens that callers saw, in milliseconds."""

    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Merged measurements of all drivers.

    :param results: result of every request, ordered by number.
    :param window_tokens: tokens that callers received in the window.
    :param driver_cpu_s: CPU time of all drivers.
    """

    results: tuple[loadplan.StreamResult, ...]
    window_tokens: int
    gaps: Gaps
    driver_cpu_s: float


def run_drivers(
    requests: collections.abc.Sequence[loadplan.PlannedRequest],
    schedule: Schedule,
    drivers: int,
    folder: pathlib.Path,
    at_window_start: collections.abc.Callable[[], None] = lambda: None,
    at_window_end: collections.abc.Callable[[], None] = lambda: None,
) -> LoadReport:
    """Send ``requests`` from ``drivers`` processes and merge their reports.

    :param at_window_start: called in this process when the window begins.
    :param at_window_end: called when it ends.
    """
    epoch_s = time.monotonic() + STARTUP_S
    plans = [
        loadplan.DriverPlan(
            epoch_s=epoch_s,
            window_from_s=schedule.window_from_s,
            window_until_s=schedule.window_until_s,
            stop_at_s=schedule.stop_at_s,
            requests=tuple(requests[number::drivers]),
        )
        for number in range(drivers)
    ]
    with concurrent.futures.ThreadPoolExecutor(drivers) as executor:
        futures = [
            executor.submit(_drive, number, plan, folder) for number, plan in enumerate(plans)
        ]
        _sleep_until(epoch_s + schedule.window_from_s)
        at_window_start()
        _sleep_until(epoch_s + schedule.window_until_s)
        at_window_end()
        reports = [future.result() for future in futures]
    return _merge_reports(reports)


def _drive(number: int, plan: loadplan.DriverPlan, folder: pathlib.Path) -> loadplan.DriverReport:
    module = ("hornbeamglade.bench.loaddriver",)
    child = loadprocesses.Child(f"driver-{number}", module, folder)
    try:
        output = child.communicate(
            plan.model_dump_json(), STARTUP_S + plan.stop_at_s + _EXIT_GRACE_S
        )
    finally:
        child.stop()
    return loadplan.DriverReport.model_validate_json(output)


def _sleep_until(until: float) -> None:
    time.sleep(max(0.0, until - time.monotonic()))


def _merge_reports(reports: list[loadplan.DriverReport]) -> LoadReport:
    gaps = loaddriver.merged_gaps(reports)
    quantiles_ms = [gaps.get_value_at_percentile(percent) / 1000 for percent in (50, 95, 99)]
    results = [result for report in reports for result in report.results]
    return LoadReport(
        tuple(sorted(results, key=lambda result: result.number)),
        sum(report.window_tokens for report in reports),
        Gaps(*quantiles_ms, gaps.get_max_value() / 1000),
        sum(report.cpu_s for report in reports),
    )
