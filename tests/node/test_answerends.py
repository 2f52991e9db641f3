"""Answers of plain services whose end only the end of a connection shows."""

import contextlib
import socket
import threading
import types

import pytest

from hornbeamglade.backends import loadreports
from hornbeamglade.callers import application, problems, server
from hornbeamglade.configuration import models
from hornbeamglade.core import clocks, outcomes
from hornbeamglade.node import (
    deadlines,
    digestcache,
    endinquiry,
    onceonly,
    plainhandler,
    replicacatalog,
    requestscope,
)
from hornbeamglade.routed import runends
from hornbeamglade.teams import limits
from tests.node import fakeparts

BODY = b"hold"
JOIN_S = 5.0
UNFRAMED = b""
LENGTH = b"Content-Length: 4\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
BODY_BY_FRAMING = {UNFRAMED: b"part", LENGTH: b"part", CHUNKED: b"4\r\npart\r\n0\r\n\r\n"}


class Service:
    """A service that answers one call and closes, as its notice ends or as it always does."""

    def __init__(self, framing, exits, on_request):
        self._framing = framing
        self._exits = exits
        self._on_request = on_request
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self):
        connection, _ = self._listener.accept()
        with connection, contextlib.suppress(OSError):
            request = b""
            while not request.endswith(BODY):
                request += connection.recv(65536)
            request_id = request.lower().split(b"x-request-id: ")[1].split(b"\r\n")[0]
            self._on_request()
            if self._exits:
                self._listener.close()
            fields = b"X-Request-Id: %s\r\nConnection: close\r\n" % request_id
            response = b"HTTP/1.1 200 OK\r\n" + fields + self._framing + b"\r\n"
            connection.sendall(response + BODY_BY_FRAMING[self._framing])

    def close(self):
        self._thread.join(JOIN_S)
        self._listener.close()


class Node(fakeparts.Parts):
    """A node with one service, whose reports it reads."""

    def __init__(self):
        super().__init__()
        self.clock = clocks.SystemClock()
        self.deadlines = deadlines.Deadlines(self.clock)
        self.budgets = types.SimpleNamespace(
            requested=lambda service: None, spend=lambda service, repeatable: True
        )
        self.catalog = replicacatalog.ReplicaCatalog(
            self.clock, digestcache.DigestCache(self.clock)
        )

    def refusal(self, fingerprint):
        return None

    def list(self, address):
        replica = models.Replica(address=address, failure_domain="a")
        self.catalog.configure({"p": models.Pool(replica_by_name={"s1": replica})})

    def report(self, leaving):
        report = loadreports.LoadReport(1, 0.0, 0, 0, 0, 0, 0, leaving, (), self.clock.now())
        self.catalog.reported("s1", report)

    def call(self, dispatch, total_s=60.0):
        service = models.Service(kind="plain", pool="p", total_s=total_s)
        scope = requestscope.RequestScope(
            self,
            "r1",
            "clerks",
            "holds",
            service,
            dispatch,
            limits.Admission("clerks", 1),
            fakeparts.FINGERPRINT,
        )
        request = application.CallerRequest("r1", "POST", "/x", "", {}, BODY, server.CallerLink())
        outstanding = plainhandler.OutstandingCalls()
        try:
            return plainhandler._Attempts(scope, "/x", request, outstanding).run()
        finally:
            dispatch.close()


@contextlib.contextmanager
def site(framing, *, leaves=False, exits=False, moves=False):
    """Yield a node whose service announces its stop, or is replaced, while it answers."""
    node = Node()

    def change():
        node.report(leaving=leaves)
        if moves:
            node.list("127.0.0.1:9")

    service = Service(framing, exits, change)
    node.list(service.address)
    node.report(leaving=False)
    try:
        yield node
    finally:
        service.close()


@pytest.mark.parametrize("changes", [{"leaves": True, "exits": True}, {"moves": True}])
def test_answer_without_length_of_a_server_that_exits_is_not_recorded(changes):
    """A part of an answer was recorded as whole, and replayed to each retry."""
    with site(UNFRAMED, **changes) as node:
        answer = node.call(node.begin())
        retried = node.begin()
    assert isinstance(answer, outcomes.Refusal)
    assert (answer.code, answer.run) == ("backend_lost", outcomes.RunStatus.RAN)
    assert isinstance(retried, outcomes.Refusal)
    assert retried.run is outcomes.RunStatus.UNKNOWN


def test_answer_without_length_that_ends_with_the_time_of_its_request_is_not_recorded():
    with site(UNFRAMED) as node:
        dispatch = node.begin()
        answer = node.call(dispatch, total_s=runends.TIME_MARGIN_S)
        retried = node.begin()
    assert (answer.code, retried.run) == ("backend_lost", outcomes.RunStatus.UNKNOWN)


@pytest.mark.parametrize(
    ("framing", "changes"),
    [
        (UNFRAMED, {}),
        (UNFRAMED, {"leaves": True}),
        (LENGTH, {"leaves": True, "exits": True}),
        (CHUNKED, {"leaves": True, "exits": True}),
        (LENGTH, {"moves": True}),
    ],
)
def test_whole_answer_is_recorded_whatever_its_server_does(framing, changes):
    """A server that still listens, or a stated end, shows that nothing is missing."""
    with site(framing, **changes) as node:
        answer = node.call(node.begin())
        retried = node.begin()
    assert isinstance(answer, problems.Response)
    assert (answer.body, retried.body) == (b"part", b"part")
    assert dict(retried.headers)["Idempotent-Replayed"] == "true"


def test_answer_without_length_costs_no_connection_in_calm(monkeypatch):
    """Each answer of a service without lengths would cost a second connection."""
    asked = []
    with site(UNFRAMED) as node:
        monkeypatch.setattr(endinquiry, "_stays_open", asked.append)
        answer = node.call(onceonly.DispatchPermit(is_repeatable=False))
    assert (answer.body, asked) == (b"part", [])
