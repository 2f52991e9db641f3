"""Fakes of a node's components, with records for the tests to inspect."""

import types

from hornbeamglade import claims
from hornbeamglade.backends import eventparser, httpexchange
from hornbeamglade.callers import application, server
from hornbeamglade.configuration import models
from hornbeamglade.core import clocks
from hornbeamglade.node import generationsource, onceonly, requestscope
from hornbeamglade.observability import metrics
from hornbeamglade.store import memory
from hornbeamglade.streams import generationstream
from hornbeamglade.teams import limits

GENERATION = "r1.1"
FINGERPRINT = 7
Finished = eventparser.Finished
KeepAlive = eventparser.KeepAlive
Lost = eventparser.ConnectionLost


def token(offset):
    data = b'data: {"id":"g","choices":[{"index":0,"text":"t%d"}]}' % offset
    return eventparser.Token(offset, data)


def finished(count):
    data = b'data: {"choices":[{"text":"","finish_reason":"stop"}]}'
    return Finished(data, "stop", count)


class FakeConnection:
    """The events of a connection; counts its cancellations."""

    def __init__(self, *events):
        self.events = events
        self.cancels = 0

    def __iter__(self):
        return iter(self.events)

    def cancel(self):
        self.cancels += 1


class Parts:
    """Fake of the node's runtime; ``calls`` records releases and statistics."""

    def __init__(self):
        self.calls = []
        self.clock = clocks.ManualClock()
        self.metrics = metrics.NodeMetrics()
        self.schedulers = self.catalog = self.in_flight = self
        self.crashes = self.quarantine = self
        self.completions = []
        self.lost_runs = []
        platform = memory.MemoryPlatform()
        settings = claims.ClaimSettings()
        self.store = claims.ClaimStore(platform, platform, self.clock, "n1", settings)
        self.once = onceonly.OnceOnly(self.store)

    def observe_length(self, service, team, tokens, *, censored):
        self.calls.append(("observe_length", tokens, censored))

    def succeeded(self, replica, latency_s):
        self.calls.append(("succeeded", replica))

    def leave(self, admission):
        self.calls.append("leave")

    def completed(self, fingerprint):
        self.completions.append(fingerprint)

    def check_lost_run(self, fingerprint, replica, address, began_at):
        self.lost_runs.append((fingerprint, replica))

    def release(self):
        self.calls.append("release")

    def begin(self, key="k1", repeatable=False, method="POST", body=b"hold", **options):
        service = models.Service(kind="plain", pool="p", repeatable=repeatable, **options)
        header_by_name = {onceonly.KEY_HEADER: key} if key else {}
        request = application.CallerRequest(
            "r1", method, "/x", "", header_by_name, body, server.CallerLink()
        )
        return self.once.begin("clerks", "holds", service, request)

    def scope(self, dispatch=None):
        service = models.Service(kind="generation", pool="p", model="m", total_s=60.0)
        scope = requestscope.RequestScope(
            self,
            "r1",
            "clerks",
            "drafts",
            service,
            dispatch or onceonly.DispatchPermit(is_repeatable=True),
            limits.Admission("clerks", 10),
            FINGERPRINT,
        )
        scope.grant = types.SimpleNamespace(release=self.release, produced=0)
        return scope


def make_source(clock, link, repeatable=True, resumable=True, on_resume=lambda _: None):
    state = generationstream.GenerationStream(repeatable, resumable)
    state.begin(GENERATION)
    target = generationsource.Target("e1", "127.0.0.1:1", GENERATION, httpexchange.Timeouts())
    return generationsource.GenerationSource(target, link, state, clock, on_resume), state
