"""A request whose answer is passed on when it is whole."""

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

MAX_CONTACTS = 4
"""Replicas that one request turns to, unreachable ones included."""

NO_REPLICA_RETRY_S = 0.4
FULL_RETRY_S = 0.15
TURN_WAIT_SHARE = 0.5
"""Of the time in which an answer is on time; the rest is for the answer."""


class BufferedExchange:
    """Gets a whole answer, at another replica where that is safe.

    Explanation
    ===========

    A request is sent again only when it did not run, or may run twice. Its caller gets
    a replica's own failure as it is, once no further attempt is allowed.

    :param available: the replicas that may get new work.
    :param sender: sends attempts.
    :param loads: chooses among replicas.
    :param budgets: bounds what is sent again.
    :param crashes: finds out which lost runs were ended by a crash.
    :param quarantine: refuses requests that crash their replicas.
    :param turns: requests that wait for a turn at replicas with limits.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        available: availability.Availability,
        sender: sending.Sender,
        loads: replicaload.ReplicaLoads,
        budgets: retrybudget.RetryBudgets,
        crashes: crashdetector.CrashDetector,
        quarantine: requestquarantine.RequestQuarantine,
        turns: ratelimitqueue.RateLimitQueue,
        clock: clocks.Clock,
    ) -> None:
        self._available = available
        self._sender = sender
        self._loads = loads
        self._budgets = budgets
        self._crashes = crashes
        self._quarantine = quarantine
        self._turns = turns
        self._clock = clock

    async def answer(
        self, routed: callrouter.RoutedRequest, log: attemptlog.AttemptLog
    ) -> responses.Response | outcomes.Refusal:
        """Return what the caller gets.

        :param log: takes the attempts, for a caller whose time ends meanwhile.
        """
        best: responses.Response | None = None
        while True:
            replica = self._choose(routed, log)
            if replica is None:
                if best is None and await self._turn_comes(routed, log):
                    continue
                return best or self._none_left(routed, log)
            refusal = self._quarantine.refusal(routed.fingerprint)
            if refusal is not None:
                return best or (_failed(routed, log) if log.may_have_run else refusal)
            if log.sent and not self._budgets.spend(routed.service.name, self._clock.now()):
                return best or _failed(routed, log)
            answer = await self._attempt(routed, replica, log)
            if isinstance(answer, responses.Response):
                if not self._is_worth_another(routed, answer, log):
                    return answer
                best = answer
            elif not self._may_go_on(routed, log):
                return best or _failed(routed, log)

    def _choose(
        self, routed: callrouter.RoutedRequest, log: attemptlog.AttemptLog
    ) -> replicamodels.Replica | None:
        if len(log.tried) >= MAX_CONTACTS:
            return None
        now = self._clock.now()
        usable = [
            replica
            for replica in self._usable(routed)
            if replica.id not in log.tried
            and not self._available.cold_wait_s(replica.id, now)
            and not self._available.limit_wait_s(replica.id)
        ]
        return self._loads.choose(usable)

    async def _turn_comes(
        self, routed: callrouter.RoutedRequest, log: attemptlog.AttemptLog
    ) -> bool:
        """Wait for a turn where all replicas have named limits, while it can be on time."""
        until = routed.call.arrived_at + TURN_WAIT_SHARE * routed.route.goal_s
        return len(log.tried) < MAX_CONTACTS and await self._turns.wait(
            routed.service.name, routed.allowed_regions, log.tried, routed.urgency, until
        )

    def _usable(self, routed: callrouter.RoutedRequest) -> tuple[replicamodels.Replica, ...]:
        return self._available.usable(routed.service.name, routed.allowed_regions)

    def _none_left(
        self, routed: callrouter.RoutedRequest, log: attemptlog.AttemptLog
    ) -> outcomes.Refusal:
        if log.tried:
            return _failed(routed, log)
        now = self._clock.now()
        usable = self._usable(routed)
        if not usable:
            detail = f"no replica of {routed.service.name} that may serve it is in use"
            return outcomes.Refusal("no_replica", 503, detail, retry_after_s=NO_REPLICA_RETRY_S)
        retry_s = min(self._wait_s(replica, now) for replica in usable)
        retry_s = max(retry_s, availability.LEAST_COLD_RETRY_S)
        if any(self._available.limit(replica.id) is not None for replica in usable):
            detail = f"the replicas of {routed.service.name} take no more requests for now"
            return outcomes.Refusal("replicas_limited", 503, detail, retry_after_s=retry_s)
        detail = f"the replicas of {routed.service.name} have just started and take few requests"
        return outcomes.Refusal("replicas_cold", 503, detail, retry_after_s=retry_s)

    def _wait_s(self, replica: replicamodels.Replica, now: float) -> float:
        """Return the seconds until a replica takes a request that comes to any instance."""
        cold_s = self._available.cold_wait_s(replica.id, now)
        return max(cold_s, self._available.limit_retry_s(replica.id))

    async def _attempt(
        self,
        routed: callrouter.RoutedRequest,
        replica: replicamodels.Replica,
        log: attemptlog.AttemptLog,
    ) -> responses.Response | sending.Failed:
        team = None if routed.team is None else routed.team.name
        begun_at = self._clock.now()
        known = self._loads.known(replica)
        dispatch = calls.Dispatch(replica.name, team, routed.ends_at - begun_at)
        outcome: responses.Response | sending.Failed | None = None
        load = None
        self._loads.started(replica.id)
        self._available.started(replica.id, begun_at)
        self._available.request_sent(replica.id)
        log.begin(replica.id, self._available.limit(replica.id))
        try:
            begun = await self._sender.begin(routed, replica, dispatch)
            if isinstance(begun, sending.Begun):
                load = begun.head.load
                if not begun.head.is_misdirected:
                    self._available.limit_reported(replica.id, begun.head.limit)
                outcome = await self._finish(begun)
            else:
                outcome = begun
        finally:
            failed = not isinstance(outcome, responses.Response) or outcome.status >= 500
            self._loads.ended(replica.id, failed, load)
            if outcome is None:
                self._crashes.run_unanswered(routed.fingerprint, replica, begun_at)
        if isinstance(outcome, sending.Failed):
            was_sent = outcome.code != "not_connected"
            log.note(replica.id, outcome.run, was_sent)
            if outcome.run is outcomes.RunStatus.UNKNOWN:
                self._crashes.run_lost(routed.fingerprint, replica, begun_at)
        else:
            log.note(replica.id, outcomes.RunStatus.RAN, True)
        if failed:
            self._tell_failure(routed, replica, known, outcome, begun_at)
        return outcome

    def _tell_failure(
        self,
        routed: callrouter.RoutedRequest,
        replica: replicamodels.Replica,
        known: replicaload.Known,
        outcome: responses.Response | sending.Failed,
        begun_at: float,
    ) -> None:
        """Write the line on an attempt that may lead to another one."""
        now = self._clock.now()
        is_answer = isinstance(outcome, responses.Response)
        logs.decided(
            routed.call.request_id,
            "attempt",
            "replica_error" if is_answer else outcome.code,
            status=outcome.status if is_answer else None,
            replica=replica.id,
            run="ran" if is_answer else outcome.run.value,
            load=round(known.business, 3),
            load_age_s=None if known.age_s is None else round(known.age_s, 3),
            budget=round(self._budgets.remaining(routed.service.name, now), 1),
            seconds=round(now - begun_at, 4),
        )

    async def _finish(self, begun: sending.Begun) -> responses.Response | sending.Failed:
        body = await self._sender.whole_body(begun)
        if isinstance(body, sending.Failed):
            return body
        head = begun.head
        if head.is_not_run:
            return sending.Failed("replica_refused", outcomes.RunStatus.NOT_RUN)
        if not head.is_sealed or head.is_encoded:
            return sending.Failed("answer_not_proved", outcomes.RunStatus.UNKNOWN)
        return responses.Response(head.status, head.fields, body)

    def _is_worth_another(
        self,
        routed: callrouter.RoutedRequest,
        answer: responses.Response,
        log: attemptlog.AttemptLog,
    ) -> bool:
        """Tell whether a replica's own failure is worth another attempt."""
        return answer.status >= 500 and self._may_go_on(routed, log)

    def _may_go_on(self, routed: callrouter.RoutedRequest, log: attemptlog.AttemptLog) -> bool:
        if not log.may_have_run:
            return True
        return routed.route.is_repeatable and log.sent < routed.route.max_attempts


def _failed(routed: callrouter.RoutedRequest, log: attemptlog.AttemptLog) -> outcomes.Refusal:
    if log.may_have_run:
        detail = f"no replica of {routed.service.name} gave a whole answer"
        return outcomes.Refusal("no_answer", 502, detail, outcomes.RunStatus.UNKNOWN)
    detail = f"the replicas of {routed.service.name} that were asked took no work"
    return outcomes.Refusal("replicas_full", 503, detail, retry_after_s=FULL_RETRY_S)
