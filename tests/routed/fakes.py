"""Fakes and sample values for tests of routed requests."""

from hornbeamglade.core import clocks
from hornbeamglade.http1 import callerrequests
from hornbeamglade.platform import requestdialect
from hornbeamglade.routed import callrouter, calls, sending
from hornbeamglade.routes import models

ENGINE = models.EngineTraits(8, 30_000, 1000, 3e9, True, True, 1, 5.0)
HOST = "mail.example"


class FakeExchange:
    """An exchange with a caller that records the response."""

    def __init__(self):
        self.status = None
        self.fields = ()
        self.body = b""
        self.is_answered = False
        self.is_finished = False
        self.is_aborted = False

    async def begin(self, status, fields):
        self.status, self.fields, self.is_answered = status, fields, True

    async def send(self, data):
        self.body += data

    async def finish(self):
        self.is_finished = True

    def abort(self):
        self.is_aborted = True

    async def answer(self, status, fields=(), body=b""):
        await self.begin(status, fields)
        self.body = body
        self.is_finished = True


def route(kind=models.RouteKind.IDEMPOTENT, **changes):
    defaults = {
        "name": "r",
        "host": HOST,
        "prefix": "/r/",
        "kind": kind,
        "splits": (models.Split("s", 1),),
        "timeout_s": 30.0,
        "goal_s": 10.0,
        "urgency": 1,
        "max_attempts": 2,
    }
    return models.Route(**(defaults | changes))


def request(request_id="r1", target=b"/r/1", *more):
    fields = ((b"Host", HOST.encode()), (b"Attempt-Id", request_id.encode()), *more)
    return callerrequests.Request(b"POST", target, fields, b"body", 0.0)


def routed_request(
    clock, matched_route, service=None, request_id="r1", generation=None, last_event_id=None
):
    service = service or models.Service("s", "/healthz", 100, None)
    call = calls.Call(
        request_id,
        HOST,
        b"POST",
        b"/r/1",
        ((b"Host", HOST.encode()), (b"Attempt-Id", request_id.encode())),
        b"body",
        clock.now(),
        clock.now() + matched_route.timeout_s,
        None,
        generation,
        last_event_id,
    )
    return callrouter.RoutedRequest(call, matched_route, service, None, 1)


def plain_request(arrived_at=0.0, **changes):
    """Return a request to a plain service, which needs no grant."""
    return routed_request(clocks.ManualClock(arrived_at), route(**changes))


def streaming_request(max_tokens=4000, arrived_at=0.0, **changes):
    """Return a streaming request of the route ``draft``."""
    service = models.Service("s", "/healthz", 100, ENGINE)
    matched_route = route(models.RouteKind.STREAM, name="draft", goal_s=1.0, **changes)
    generation = calls.Generation("m", 3000, max_tokens)
    clock = clocks.ManualClock(arrived_at)
    return routed_request(clock, matched_route, service, generation=generation)


def sender(pool, clock, **options):
    """Return a sender to replicas that accept everything and state nothing."""
    return sending.Sender(
        pool,
        requestdialect.PlatformDialect(),
        lambda _replica_id: True,
        lambda _replica, _advisory: None,
        clock,
        **options,
    )
