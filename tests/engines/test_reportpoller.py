"""Reading reports, and noticing an engine that gives none."""

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
    """Answers in turn as told, the last answer for ever."""

    def __init__(self, *answers):
        self.answers = list(answers)

    async def report(self, address):
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]

    async def copy_kv_cache(self, address, request_id, to, *, is_last, timeout_s):
        raise NotImplementedError

    async def drop_copy(self, address, name):
        raise NotImplementedError


def told(monkeypatch, *answers, engine=ENGINE):
    """Return what the poller tells for a row of answers."""
    monkeypatch.setattr(reportpoller, "PERIOD_S", 0.001)
    heard = []

    async def main():
        poller = reportpoller.ReportPoller(
            Engines(*answers),
            lambda: (engine,),
            lambda _, it: heard.append(it),
            clocks.SystemClock(),
        )
        while len(heard) < len(answers):
            poller.tick()
            await asyncio.sleep(0.001)

    eventloop.run(main())
    return [
        "lost" if isinstance(each, reportpoller.EngineLost) else each
        for each in heard[: len(answers)]
    ]


def test_a_closed_port_is_the_end_of_an_engine_at_once(monkeypatch):
    assert told(monkeypatch, REPORT, REFUSED, REPORT) == [REPORT, "lost", REPORT]


def test_one_report_that_does_not_come_is_no_end(monkeypatch):
    """A link loses a datagram, or an engine is slow: others rely on it all the same."""
    assert told(monkeypatch, SILENT, REPORT, SILENT, SILENT) == [None, REPORT, None, "lost"]


def test_report_of_another_start_is_not_the_engines_word(monkeypatch):
    """An engine has crashed and started again under its name; the list does not tell yet.

    Its report would free the memory that runs of its former start are thought to hold, and
    a late one of the former start would fill that of the new one.
    """
    former, present, next_one = (
        dataclasses.replace(REPORT, started_ms=started) for started in (4, 5, 6)
    )
    engine = dataclasses.replace(ENGINE, id="e1@5", name="e1", started_ms=5)
    heard = told(monkeypatch, former, present, next_one, REPORT, present, engine=engine)
    assert heard == [None, present, "lost", None, present]
