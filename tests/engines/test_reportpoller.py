"""Polling of reports, and detection of engines that stop responding."""

import asyncio
import dataclasses

from hornbeamglade.core import clocks
from hornbeamglade.engines import control, models, reportpoller
from hornbeamglade.replicas import models as replicamodels
from tests import eventloop

ENGINE = replicamodels.Replica("e1", "llm", "127.0.0.1:1", "a", 8)
REPORT = models.EngineReport(1000, 0, 0, (), False)
REFUSED = models.ReportFailed(is_refused=True)
SILENT = models.ReportFailed(is_refused=False)


class Engines(control.EngineControl):
    """Returns the given reports in turn, and then the last one forever."""

    def __init__(self, *reports):
        self.reports = list(reports)

    async def report(self, address, *, new_only=False):
        return self.reports.pop(0) if len(self.reports) > 1 else self.reports[0]

    async def copy_kv_cache(self, address, request_id, to, *, is_last, timeout_s):
        raise NotImplementedError

    async def drop_copy(self, address, name):
        raise NotImplementedError


def poll(monkeypatch, *reports, engine=ENGINE):
    """Return what the poller passes to its callback for a sequence of reports."""
    monkeypatch.setattr(reportpoller, "PERIOD_S", 0.001)
    received = []

    async def main():
        poller = reportpoller.ReportPoller(
            Engines(*reports),
            lambda: (engine,),
            lambda _, it: received.append(it),
            clocks.SystemClock(),
        )
        while len(received) < len(reports):
            poller.tick()
            await asyncio.sleep(0.001)

    eventloop.run(main())
    return [
        "lost" if isinstance(each, reportpoller.EngineLost) else each
        for each in received[: len(reports)]
    ]


def test_engine_that_refuses_connections_is_lost_at_once(monkeypatch):
    assert poll(monkeypatch, REPORT, REFUSED, REPORT) == [REPORT, "lost", REPORT]


def test_engine_is_not_lost_after_one_missed_report(monkeypatch):
    """One lost packet or one slow response must not take an engine out of use."""
    assert poll(monkeypatch, SILENT, REPORT, SILENT, SILENT) == [None, REPORT, None, "lost"]


def test_report_of_another_incarnation_is_not_used(monkeypatch):
    """An engine crashed and restarted, and the replica list does not show it yet.

    A report of the new incarnation would free memory that runs of the former one are
    believed to hold. A late report of the former one would fill memory of the new one.
    """
    former, present, next_one = (
        dataclasses.replace(REPORT, started_ms=started) for started in (4, 5, 6)
    )
    engine = dataclasses.replace(ENGINE, id="e1@5", name="e1", started_ms=5)
    received = poll(monkeypatch, former, present, next_one, REPORT, present, engine=engine)
    assert received == [None, present, "lost", None, present]
