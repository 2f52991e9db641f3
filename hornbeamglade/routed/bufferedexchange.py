"""Buffered responses: a replica's response is forwarded once it is complete."""

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.observability import logs
from hornbeamglade.quarantine import crashdetector, requestquarantine
from hornbeamglade.replicas import availability
from hornbeamglade.replicas import models as replicamodels
from hornbeamglade.routed import (
    attemptlog,
    callrouter,
    calls,
    ratelimitqueue,
    replicaload,
    responses,
    retrybudget,
    sending,
)

MAX_REPLICAS = 4
"""Most replicas that are tried for one request, including unreachable ones."""

NO_REPLICA_RETRY_S = 0.4
FULL_RETRY_S = 0.15
RATE_LIMIT_WAIT_SHARE = 0.5
"""Share of the route's goal that a request may wait for a send slot; the rest is left for the
response."""


class BufferedExchange:
    """Gets a complete response, retrying at another replica where that is safe.

    Explanation
    ===========

    A request is retried only if it did not run or may run more than once. When no further
    attempt is allowed, an error response of a replica is forwarded unchanged.

    :param available: the replicas that accept new work.
    :param sender: sends attempts.
    :param loads: chooses replicas by load.
    :param budgets: retry budgets by service.
    :param crash_detector: decides which lost runs were ended by a crash.
    :param quarantine: refuses requests that crash their replicas.
    :param rate_limit_queue: requests that wait for replicas with rate limits.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        available: availability.Availability,
        sender: sending.Sender,
        loads: replicaload.ReplicaLoads,
        budgets: retrybudget.RetryBudgets,
        crash_detector: crashdetector.CrashDetector,
        quarantine: requestquarantine.RequestQuarantine,
        rate_limit_queue: ratelimitqueue.RateLimitQueue,
        clock: clocks.Clock,
    ) -> None:
        self._available = available
        self._sender = sender
        self._loads = loads
        self._budgets = budgets
        self._crash_detector = crash_detector
        self._quarantine = quarantine
        self._rate_limit_queue = rate_limit_queue
        self._clock = clock

    async def answer(
        self, routed: callrouter.RoutedRequest, log: attemptlog.AttemptLog
    ) -> responses.Response | outcomes.Refusal:
        """Return the response for the caller.

        :param log: records the attempts, also for a call that is cancelled by a timeout.
        """
        last_response: responses.Response | None = None
        while True:
            replica = self._choose(routed, log)
            if replica is None:
                if last_response is None and await self._wait_for_send_slot(routed, log):
                    continue
                return last_response or self._no_replica_refusal(routed, log)
            refusal = self._quarantine.refusal(routed.fingerprint, routed.prompt)
            if refusal is not None:
                return last_response or (
                    _failure_refusal(routed, log) if log.may_have_run else refusal
                )
            if log.sent and not self._budgets.spend(routed.service.name, self._clock.now()):
                return last_response or _failure_refusal(routed, log)
            answer = await self._attempt(routed, replica, log)
            if isinstance(answer, responses.Response):
                if not self._should_retry(routed, answer, log):
                    return answer
                last_response = answer
            elif not self._may_retry(routed, log):
                return last_response or _failure_refusal(routed, log)

    def _choose(
        self, routed: callrouter.RoutedRequest, log: attemptlog.AttemptLog
    ) -> replicamodels.Replica | None:
        if len(log.tried) >= MAX_REPLICAS:
            return None
        now = self._clock.now()
        usable = [
            replica
            for replica in self._usable_replicas(routed)
            if replica.id not in log.tried
            and not self._available.cold_wait_s(replica.id, now)
            and not self._available.send_wait_s(replica.id)
        ]
        tried = (self._available.replicas.by_id.get(each) for each in log.tried)
        domains = frozenset(each.failure_domain for each in tried if each is not None)
        return self._loads.choose(usable, domains)

    async def _wait_for_send_slot(
        self, routed: callrouter.RoutedRequest, log: attemptlog.AttemptLog
    ) -> bool:
        """Wait for a send slot if all replicas are restricted; return whether there is one."""
        deadline = routed.call.arrived_at + RATE_LIMIT_WAIT_SHARE * routed.route.goal_s
        return len(log.tried) < MAX_REPLICAS and await self._rate_limit_queue.wait(
            routed.service.name, routed.allowed_regions, log.tried, routed.urgency, deadline
        )

    def _usable_replicas(
        self, routed: callrouter.RoutedRequest
    ) -> tuple[replicamodels.Replica, ...]:
        return self._available.usable(routed.service.name, routed.allowed_regions)

    def _no_replica_refusal(
        self, routed: callrouter.RoutedRequest, log: attemptlog.AttemptLog
    ) -> outcomes.Refusal:
        now = self._clock.now()
        usable = self._usable_replicas(routed)
        if log.tried:
            waits_s = [self._wait_s(replica, now) for replica in usable]
            return _failure_refusal(routed, log, min(waits_s, default=0.0))
        if not usable:
            detail = f"no replica of {routed.service.name} that may serve it is in use"
            return outcomes.Refusal("no_replica", 503, detail, retry_after_s=NO_REPLICA_RETRY_S)
        retry_s = min(self._wait_s(replica, now) for replica in usable)
        retry_s = max(retry_s, availability.MIN_COLD_RETRY_S)
        if any(self._available.is_restricted(replica.id) for replica in usable):
            detail = f"the replicas of {routed.service.name} take no more requests for now"
            return outcomes.Refusal("replicas_limited", 503, detail, retry_after_s=retry_s)
        detail = f"the replicas of {routed.service.name} have just started and take few requests"
        return outcomes.Refusal("replicas_cold", 503, detail, retry_after_s=retry_s)

    def _wait_s(self, replica: replicamodels.Replica, now: float) -> float:
        """Return the seconds until a replica accepts a request from any instance."""
        cold_s = self._available.cold_wait_s(replica.id, now)
        return max(cold_s, self._available.retry_s(replica.id))

    async def _attempt(
        self,
        routed: callrouter.RoutedRequest,
        replica: replicamodels.Replica,
        log: attemptlog.AttemptLog,
    ) -> responses.Response | sending.FailedAttempt:
        team = None if routed.team is None else routed.team.name
        sent_at = self._clock.now()
        estimate = self._loads.estimate(replica)
        dispatch = calls.Dispatch(replica.name, team, routed.ends_at - sent_at)
        outcome: responses.Response | sending.FailedAttempt | None = None
        load = None
        self._loads.started(replica.id)
        self._available.started(replica.id, sent_at)
        self._available.request_sent(replica.id)
        self._available.exchange_began(replica.id)
        log.log_resend(routed.call.request_id, replica, sent_at, has_copy=False)
        log.start(replica, self._available.limit(replica.id), sent_at)
        try:
            started = await self._sender.send(routed, replica, dispatch, log)
            if isinstance(started, sending.StartedResponse):
                load = started.head.load
                outcome = await self._read_response(started)
            else:
                outcome = started
                load = started.load
        finally:
            failed = not isinstance(outcome, responses.Response) or outcome.status >= 500
            self._loads.ended(replica.id, failed, load, self._clock.now() - sent_at)
            self._available.exchange_ended(replica.id)
            if outcome is None:
                self._crash_detector.run_unanswered(
                    routed.fingerprint, replica, sent_at, routed.prompt
                )
        if isinstance(outcome, sending.FailedAttempt):
            log.record_end(
                replica.id, outcome.run, outcome.was_sent, self._clock.now(), outcome.code
            )
            if outcome.is_lost:
                self._crash_detector.run_lost(routed.fingerprint, replica, sent_at, routed.prompt)
        else:
            code = "replica_error" if failed else "-"
            log.record_end(replica.id, outcomes.RunStatus.RAN, True, self._clock.now(), code)
        if failed:
            self._log_failure(routed, replica, estimate, outcome, log)
        return outcome

    def _log_failure(
        self,
        routed: callrouter.RoutedRequest,
        replica: replicamodels.Replica,
        estimate: replicaload.LoadEstimate,
        outcome: responses.Response | sending.FailedAttempt,
        log: attemptlog.AttemptLog,
    ) -> None:
        """Log a failed attempt, which may be followed by a retry."""
        now = self._clock.now()
        is_answer = isinstance(outcome, responses.Response)
        logs.decided(
            routed.call.request_id,
            "attempt",
            "replica_error" if is_answer else outcome.code,
            status=outcome.status,
            replica=replica.id,
            address=log.address,
            run="ran" if is_answer else outcome.run.value,
            connection=log.connection,
            idle_s=log.idle_s,
            names_request=True if is_answer else outcome.names_request,
            load=round(estimate.utilization, 3),
            load_age_s=None if estimate.age_s is None else round(estimate.age_s, 3),
            budget=round(self._budgets.remaining(routed.service.name, now), 1),
            seconds=round(now - log.sent_at, 4),
        )

    async def _read_response(
        self, started: sending.StartedResponse
    ) -> responses.Response | sending.FailedAttempt:
        body = await self._sender.read_body(started)
        if isinstance(body, sending.FailedAttempt):
            return body
        head = started.head
        if not head.is_sealed or head.is_encoded:
            return sending.FailedAttempt("answer_not_proved", outcomes.RunStatus.UNKNOWN)
        if not head.may_be_forwarded:
            return sending.FailedAttempt("refusal_unmarked", outcomes.RunStatus.RAN)
        return responses.Response(head.status, head.fields, body)

    def _should_retry(
        self,
        routed: callrouter.RoutedRequest,
        answer: responses.Response,
        log: attemptlog.AttemptLog,
    ) -> bool:
        """Return whether a replica's response is an error that may be retried."""
        return answer.status >= 500 and self._may_retry(routed, log)

    def _may_retry(self, routed: callrouter.RoutedRequest, log: attemptlog.AttemptLog) -> bool:
        if not log.may_have_run:
            return True
        return routed.route.is_repeatable and log.sent < routed.route.max_attempts


def _failure_refusal(
    routed: callrouter.RoutedRequest, log: attemptlog.AttemptLog, wait_s: float = 0.0
) -> outcomes.Refusal:
    """Return the refusal after failed attempts.

    :param wait_s: seconds until some replica accepts a request.
    """
    if log.may_have_run:
        detail = f"no replica of {routed.service.name} gave a whole answer"
        return outcomes.Refusal("no_answer", 502, detail, outcomes.RunStatus.UNKNOWN)
    detail = f"the replicas of {routed.service.name} that were asked took no work"
    retry_s = max(wait_s, FULL_RETRY_S)
    return outcomes.Refusal("replicas_full", 503, detail, retry_after_s=retry_s)
