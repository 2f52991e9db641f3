"""Buffered responses from replicas that respond correctly, incorrectly or not at all."""

import dataclasses
import math
import random

import pytest

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.http1 import clientpool
from hornbeamglade.observability import logs
from hornbeamglade.platform import requestdialect
from hornbeamglade.quarantine import crashdetector, requestquarantine
from hornbeamglade.replicas import (
    availability,
    backoffs,
    ratelimits,
    refusals,
    replicalist,
    slowstart,
)
from hornbeamglade.replicas import models as replicamodels
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
from tests import eventloop
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
        self.available = availability.Availability(
            self.replica_list,
            slowstart.SlowStarts(random.Random(1)),
            ratelimits.RateLimits(clocks.ManualClock()),
            backoffs.Backoffs(clocks.ManualClock(), random.Random(1)),
            refusals.RefusalGuards(clocks.ManualClock(), random.Random(1)),
            slowstart.Bound(),
            {"a": "r", "b": "s"},
        )
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

    def run_count(self):
        return sum(len(server.ledger) for server in self.servers)

    async def stop(self):
        for server in self.servers:
            await server.stop()


def send_request(faults, kind=models.RouteKind.IDEMPOTENT, count=2, budget=BUDGET, **changes):
    """Send a request whose first replica has faults; return the answer and the site."""

    async def main():
        site = Site(count, budget)
        await site.start()
        first = site.exchange._choose(
            fakes.routed_request(site.clock, fakes.route(kind)), site.log
        )
        for server in site.servers:
            if server.replica_id == first.id:
                server.faults = routedfaults.RoutedFaults(**faults)
        # The exchange makes the same choice again, as no requests are outstanding.
        site.exchange._loads._rng = random.Random(1)
        call = fakes.routed_request(site.clock, fakes.route(kind, **changes))
        answer = await site.exchange.answer(call, site.log)
        await site.stop()
        return answer, site

    return eventloop.run(main())


def test_response_is_forwarded_whole_and_unchanged():
    answer, site = send_request({})
    assert answer.status == 200
    assert answer.body.endswith(b":r1")
    assert site.run_count() == 1


@pytest.mark.parametrize(
    "fault", ["torn", "reset", "unproved", "fail"], ids=lambda fault: f"{fault}"
)
def test_repeatable_request_is_retried_at_another_replica(fault):
    answer, site = send_request({fault: True})
    assert (answer.status, site.run_count(), site.log.sent) == (200, 2, 2)


@pytest.mark.parametrize("fault", ["torn", "reset", "unproved"])
def test_single_request_is_never_run_again(fault):
    """A reservation is made, and the response is lost on the way.

    A retry at a second replica would make it twice; so would the caller's retry after a
    refusal that states "not run".
    """
    refusal, site = send_request({fault: True}, SINGLE)
    assert isinstance(refusal, outcomes.Refusal)
    assert (refusal.http_status, refusal.run) == (502, outcomes.RunStatus.UNKNOWN)
    assert site.run_count() == 1


def test_error_response_to_a_single_request_is_forwarded():
    answer, site = send_request({"fail": True}, SINGLE)
    assert (answer.status, site.run_count()) == (500, 1)
    assert dict(answer.fields)[b"Response-Seal"]


def test_error_response_is_forwarded_when_no_attempt_is_left():
    answer, site = send_request({"fail": True}, max_attempts=1)
    assert (answer.status, site.run_count()) == (500, 1)


def test_single_request_is_retried_after_a_refusal_as_not_run():
    answer, site = send_request({"refuse": True}, SINGLE)
    assert (answer.status, site.run_count(), site.log.sent) == (200, 1, 2)


@pytest.mark.parametrize(
    ("fault", "kind", "expected"),
    [
        ("refuse", SINGLE, ("not_run", "replica_refused")),
        ("torn", models.RouteKind.IDEMPOTENT, ("may_run_again", "closed")),
        ("fail", models.RouteKind.IDEMPOTENT, ("may_run_again", "replica_error")),
    ],
)
def test_log_tells_what_allows_a_request_to_be_sent_again(monkeypatch, fault, kind, expected):
    lines = []
    monkeypatch.setattr(logs.eliot, "log_message", lambda **record: lines.append(record))
    send_request({fault: True}, kind)
    resends = [line for line in lines if line.get("decision") == "resend"]
    assert [(line["outcome"], line["code"]) for line in resends] == [expected]


def test_refusal_by_all_replicas_is_reported_as_not_run():
    async def main():
        site = Site(2)
        await site.start()
        for server in site.servers:
            server.faults = routedfaults.RoutedFaults(refuse=True)
        refusal = await site.exchange.answer(
            fakes.routed_request(site.clock, fakes.route(SINGLE)), site.log
        )
        await site.stop()
        return refusal, site.run_count()

    refusal, ran = eventloop.run(main())
    assert (refusal.http_status, refusal.run) == (503, outcomes.RunStatus.NOT_RUN)
    assert refusal.retry_after_s
    assert ran == 0


def test_response_to_another_request_is_skipped():
    """A late response to another request comes first on the connection."""
    answer, site = send_request({"stray": True}, SINGLE)
    assert answer.body.endswith(b":r1")
    assert site.run_count() == 1


def test_duplicate_response_does_not_affect_later_requests():
    async def main():
        site = Site(1)
        await site.start()
        site.servers[0].faults = routedfaults.RoutedFaults(extra=True)
        bodies = []
        for name in ("r1", "r2", "r3"):
            call = fakes.routed_request(site.clock, fakes.route(), request_id=name)
            answer = await site.exchange.answer(call, attemptlog.AttemptLog())
            bodies.append(answer.body)
        await site.stop()
        return bodies

    assert eventloop.run(main()) == [b"i0:r1", b"i0:r2", b"i0:r3"]


def test_refusal_at_a_reused_address_is_retried_at_another_replica():
    """The address of a replica now belongs to another service.

    That server reports that it is not the intended one and runs nothing.
    """

    async def main():
        site = Site(2)
        await site.start()
        site.servers[0].replica_id = "someone-else"
        answers = []
        for name in ("r1", "r2", "r3", "r4"):
            call = fakes.routed_request(site.clock, fakes.route(SINGLE), request_id=name)
            answers.append(await site.exchange.answer(call, attemptlog.AttemptLog()))
        await site.stop()
        return [answer.body for answer in answers], len(site.servers[0].ledger)

    bodies, ran = eventloop.run(main())
    assert (bodies, ran) == ([f"i1:r{n}".encode() for n in (1, 2, 3, 4)], 0)


def test_retries_stay_within_the_budget():
    """Every replica of a service fails at once.

    With a retry at every node, the number of requests would double.
    """
    none_left = retrybudget.BudgetSettings(ratio=0.0, slack=0.0, window_s=10.0)
    answer, site = send_request({"fail": True}, budget=none_left)
    assert (answer.status, site.run_count()) == (500, 1)


def test_leaving_and_unlisted_replicas_get_no_requests():
    async def main():
        site = Site(2)
        await site.start()
        replicas = list(site.replica_list.by_id.values())
        leaving = replicamodels.Replica("i0", "s", replicas[0].address, "a", 8, True)
        site.replica_list.update([leaving], ["i1"], 2)
        refusal = await site.exchange.answer(
            fakes.routed_request(site.clock, fakes.route()), site.log
        )
        await site.stop()
        return refusal, site.run_count()

    refusal, ran = eventloop.run(main())
    assert (refusal.code, refusal.http_status, ran) == ("no_replica", 503, 0)


def test_unreachable_replica_does_not_count_as_an_attempt():
    async def main():
        site = Site(2)
        await site.start()
        await site.servers[0].stop()
        answers = [
            await site.exchange.answer(
                fakes.routed_request(site.clock, fakes.route(SINGLE), request_id=f"r{n}"),
                attemptlog.AttemptLog(),
            )
            for n in range(4)
        ]
        await site.stop()
        return [answer.status for answer in answers]

    assert eventloop.run(main()) == [200] * 4


def test_cold_replica_gets_few_requests():
    async def main():
        site = Site(2)
        await site.start()
        site.make_cold("i0")
        routes = [fakes.routed_request(site.clock, fakes.route()) for _ in range(30)]
        answers = [await site.exchange.answer(each, attemptlog.AttemptLog()) for each in routes]
        await site.stop()
        return [each.status for each in answers], [len(each.ledger) for each in site.servers]

    statuses, (cold, warm) = eventloop.run(main())
    assert statuses == [200] * 30
    assert cold <= 1
    assert warm >= 29


def test_refusal_states_when_a_cold_replica_accepts_requests():
    async def main():
        site = Site(1)
        await site.start()
        site.make_cold("i0")
        refusal = await site.exchange.answer(
            fakes.routed_request(site.clock, fakes.route()), site.log
        )
        await site.stop()
        return refusal, site.run_count()

    refusal, ran = eventloop.run(main())
    assert (refusal.code, refusal.http_status, ran) == ("replicas_cold", 503, 0)
    assert 0.0 < refusal.retry_after_s <= 60.0


def test_attempt_log_tells_kept_connections_from_new_ones():
    async def main():
        site = Site(1)
        await site.start()
        logs = [attemptlog.AttemptLog() for _ in range(2)]
        for log in logs:
            await site.exchange.answer(fakes.routed_request(site.clock, fakes.route()), log)
        await site.stop()
        return [(log.connection, log.idle_s is None) for log in logs]

    assert eventloop.run(main()) == [("new", True), ("kept", False)]


def test_failed_attempt_states_how_the_connection_failed():
    async def main():
        site = Site(1)
        await site.start()
        await site.stop()
        codes = []
        site.exchange._log_failure = lambda *each: codes.append(each[3].code)
        await site.exchange.answer(fakes.routed_request(site.clock, fakes.route()), site.log)
        return codes

    assert eventloop.run(main()) == ["connect_refused"]
