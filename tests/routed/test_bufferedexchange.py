"""Buffered responses from replicas that respond correctly, incorrectly or not at all."""

import contextlib
import dataclasses
import math
import random

import pytest

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.http1 import clientpool
from hornbeamglade.observability import logs
from hornbeamglade.platform import requestdialect
from hornbeamglade.quarantine import crashdetector, requestquarantine
from hornbeamglade.replicas import models as replicamodels
from hornbeamglade.replicas import replicalist
from hornbeamglade.routed import (
    attemptlog,
    bufferedexchange,
    ratelimitqueue,
    replicaload,
    retrybudget,
    sending,
)
from hornbeamglade.routes import models
from hornbeamglade.standins import routed, routedfaults
from tests.replicas import availabilities
from tests.routed import fakes

SINGLE = models.RouteKind.SINGLE
BUDGET = retrybudget.BudgetSettings(ratio=0.2, slack=10.0, window_s=10.0)


class Site:
    """Stand-in replicas and a buffered exchange that uses them."""

    def __init__(self, count, budget=BUDGET):
        self.servers = [routed.RoutedStandin(f"i{n}") for n in range(count)]
        self.replica_list = replicalist.ReplicaList()
        self.clock = clocks.SystemClock()
        self.log = attemptlog.AttemptLog()
        pool = clientpool.ClientPool(self.clock)
        sender = sending.Sender(
            pool,
            requestdialect.PlatformDialect(),
            lambda replica_id: self.available.still_accepts(replica_id),
            lambda replica, advisory: self.available.apply_advisory(replica.id, advisory),
            self.clock,
        )
        self.quarantine = requestquarantine.RequestQuarantine(
            "n0", tuple, tuple, lambda node, message: None, self.clock
        )
        crash_detector = crashdetector.CrashDetector(
            self.replica_list,
            pool.is_listening,
            lambda replica_id: False,
            lambda replica, lost: self.quarantine.crashed(replica.id, lost),
            self.clock,
        )
        loads = replicaload.ReplicaLoads(self.clock, random.Random(1))
        budgets = retrybudget.RetryBudgets(budget, started_at=-math.inf)
        self.available = availabilities.make(self.replica_list)
        self.exchange = bufferedexchange.BufferedExchange(
            self.available,
            sender,
            loads,
            budgets,
            crash_detector,
            self.quarantine,
            ratelimitqueue.RateLimitQueue(self.available, self.clock),
            self.clock,
        )

    def make_cold(self, replica_id):
        """Make a replica cold, with a slow start of one minute."""
        start = models.SlowStart(requests_per_s=0.25, duration_s=60.0)
        self.available.configure({"s": models.Service("s", "/h", 50, None, start)})
        replica = dataclasses.replace(self.replica_list.by_id[replica_id], warm_in_s=60.0)
        changes = self.replica_list.update([replica], [], self.replica_list.version + 1)
        self.available.list_changed(changes, self.clock.now())

    async def start(self):
        for server in self.servers:
            await server.start()
        self.replica_list.replace(
            [
                replicamodels.Replica(server.replica_id, "s", server.address, "a", 8)
                for server in self.servers
            ],
            1,
        )

    async def answer(self, kind=models.RouteKind.IDEMPOTENT, request_id="r1", log=None):
        call = fakes.routed_request(self.clock, fakes.route(kind), request_id=request_id)
        return await self.exchange.answer(call, log or attemptlog.AttemptLog())

    def run_count(self):
        return sum(len(server.ledger) for server in self.servers)

    async def stop(self):
        for server in self.servers:
            await server.stop()


@contextlib.asynccontextmanager
async def started(count, budget=BUDGET):
    site = Site(count, budget)
    await site.start()
    try:
        yield site
    finally:
        await site.stop()


async def send_request(faults, kind=models.RouteKind.IDEMPOTENT, budget=BUDGET, **changes):
    """Send a request whose first replica has faults; return the answer and the site."""
    async with started(2, budget) as site:
        first = site.exchange._choose(
            fakes.routed_request(site.clock, fakes.route(kind)), site.log
        )
        for server in site.servers:
            if server.replica_id == first.id:
                server.faults = routedfaults.RoutedFaults(**faults)
        # The exchange makes the same choice again, as no requests are outstanding.
        site.exchange._loads._rng = random.Random(1)
        call = fakes.routed_request(site.clock, fakes.route(kind, **changes))
        return await site.exchange.answer(call, site.log), site


async def test_response_is_forwarded_whole_and_unchanged():
    answer, site = await send_request({})
    assert answer.status == 200
    assert b"".join(answer.body).endswith(b":r1")
    assert site.run_count() == 1


@pytest.mark.parametrize(
    "fault", ["torn", "reset", "unproved", "fail"], ids=lambda fault: f"{fault}"
)
async def test_repeatable_request_is_retried_at_another_replica(fault):
    answer, site = await send_request({fault: True})
    assert (answer.status, site.run_count(), site.log.sent) == (200, 2, 2)


@pytest.mark.parametrize("fault", ["torn", "reset", "unproved"])
async def test_single_request_is_never_run_again(fault):
    """A reservation is made, and the response is lost on the way.

    A retry at a second replica would make it twice; so would the caller's retry after a
    refusal that states "not run".
    """
    refusal, site = await send_request({fault: True}, SINGLE)
    assert isinstance(refusal, outcomes.Refusal)
    assert (refusal.http_status, refusal.run) == (502, outcomes.RunStatus.UNKNOWN)
    assert site.run_count() == 1


async def test_error_response_to_a_single_request_is_forwarded():
    answer, site = await send_request({"fail": True}, SINGLE)
    assert (answer.status, site.run_count()) == (500, 1)
    assert dict(answer.fields)[b"Response-Seal"]


async def test_error_response_is_forwarded_when_no_attempt_is_left():
    answer, site = await send_request({"fail": True}, max_attempts=1)
    assert (answer.status, site.run_count()) == (500, 1)


async def test_single_request_is_retried_after_a_refusal_as_not_run():
    answer, site = await send_request({"refuse": True}, SINGLE)
    assert (answer.status, site.run_count(), site.log.sent) == (200, 1, 2)


@pytest.mark.parametrize(
    ("fault", "kind", "expected"),
    [
        ("refuse", SINGLE, ("not_run", "replica_refused")),
        ("torn", models.RouteKind.IDEMPOTENT, ("may_run_again", "closed")),
        ("fail", models.RouteKind.IDEMPOTENT, ("may_run_again", "replica_error")),
    ],
)
async def test_log_tells_what_allows_a_request_to_be_sent_again(
    monkeypatch, fault, kind, expected
):
    lines = []
    monkeypatch.setattr(logs.eliot, "log_message", lambda **record: lines.append(record))
    await send_request({fault: True}, kind)
    resends = [line for line in lines if line.get("decision") == "resend"]
    assert [(line["outcome"], line["code"]) for line in resends] == [expected]


async def test_refusal_by_all_replicas_is_reported_as_not_run():
    async with started(2) as site:
        for server in site.servers:
            server.faults = routedfaults.RoutedFaults(refuse=True)
        refusal = await site.answer(SINGLE)
    assert (refusal.http_status, refusal.run) == (503, outcomes.RunStatus.NOT_RUN)
    assert refusal.retry_after_s
    assert site.run_count() == 0


async def test_response_to_another_request_is_skipped():
    """A late response to another request comes first on the connection."""
    answer, site = await send_request({"stray": True}, SINGLE)
    assert b"".join(answer.body).endswith(b":r1")
    assert site.run_count() == 1


async def test_duplicate_response_does_not_affect_later_requests():
    async with started(1) as site:
        site.servers[0].faults = routedfaults.RoutedFaults(extra=True)
        answers = [await site.answer(request_id=name) for name in ("r1", "r2", "r3")]
    assert [b"".join(answer.body) for answer in answers] == [b"i0:r1", b"i0:r2", b"i0:r3"]


async def test_refusal_at_a_reused_address_is_retried_at_another_replica():
    """The address of a replica now belongs to another service.

    That server reports that it is not the intended one and runs nothing.
    """
    async with started(2) as site:
        site.servers[0].replica_id = "someone-else"
        answers = [await site.answer(SINGLE, request_id=f"r{n}") for n in (1, 2, 3, 4)]
    assert [b"".join(answer.body) for answer in answers] == [
        f"i1:r{n}".encode() for n in (1, 2, 3, 4)
    ]
    assert not site.servers[0].ledger


async def test_retries_stay_within_the_budget():
    """Every replica of a service fails at once.

    With a retry at every node, the number of requests would double.
    """
    none_left = retrybudget.BudgetSettings(ratio=0.0, slack=0.0, window_s=10.0)
    answer, site = await send_request({"fail": True}, budget=none_left)
    assert (answer.status, site.run_count()) == (500, 1)


async def test_leaving_and_unlisted_replicas_get_no_requests():
    async with started(2) as site:
        replicas = list(site.replica_list.by_id.values())
        leaving = replicamodels.Replica("i0", "s", replicas[0].address, "a", 8, True)
        site.replica_list.update([leaving], ["i1"], 2)
        refusal = await site.answer()
    assert (refusal.code, refusal.http_status, site.run_count()) == ("no_replica", 503, 0)


async def test_unreachable_replica_does_not_count_as_an_attempt():
    async with started(2) as site:
        await site.servers[0].stop()
        answers = [await site.answer(SINGLE, request_id=f"r{n}") for n in range(4)]
    assert [answer.status for answer in answers] == [200] * 4


async def test_cold_replica_gets_few_requests():
    async with started(2) as site:
        site.make_cold("i0")
        answers = [await site.answer() for _ in range(30)]
    cold, warm = [len(each.ledger) for each in site.servers]
    assert [each.status for each in answers] == [200] * 30
    assert cold <= 1
    assert warm >= 29


async def test_refusal_states_when_a_cold_replica_accepts_requests():
    async with started(1) as site:
        site.make_cold("i0")
        refusal = await site.answer()
    assert (refusal.code, refusal.http_status, site.run_count()) == ("replicas_cold", 503, 0)
    assert 0.0 < refusal.retry_after_s <= 60.0


async def test_attempt_log_tells_kept_connections_from_new_ones():
    async with started(1) as site:
        logs = [attemptlog.AttemptLog() for _ in range(2)]
        for log in logs:
            await site.answer(log=log)
    assert [(log.connection, log.idle_s is None) for log in logs] == [
        ("new", True),
        ("kept", False),
    ]


async def test_failed_attempt_states_how_the_connection_failed():
    async with started(1) as site:
        pass
    codes = []
    site.exchange._log_failure = lambda *each: codes.append(each[3].code)
    await site.answer()
    assert codes == ["connect_refused"]
