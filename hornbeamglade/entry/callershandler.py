"""Handles callers' requests: routes them, sends the response and logs the outcome."""

import asyncio
import collections.abc
import dataclasses
import http

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.entry import startupgate
from hornbeamglade.grants import grantresponses
from hornbeamglade.http1 import callerrequests, exchanges, handlers
from hornbeamglade.observability import logs, metrics
from hornbeamglade.quarantine import fingerprints, requestquarantine
from hornbeamglade.routed import (
    attemptlog,
    bufferedexchange,
    callrouter,
    dialect,
    drainadmission,
    requestsinprogress,
    responses,
    retrybudget,
    rundependencies,
    streamrun,
    views,
)
from hornbeamglade.routes import models
from hornbeamglade.store import positions

NOT_STARTED_RETRY_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class HandlerDependencies:
    """Components that a request handler works with.

    :param request_dialect: parses requests and formats dispatches.
    :param startup: makes callers wait for the first configuration.
    :param current: the configuration in force.
    :param buffered: fetches responses that are not streamed.
    :param runs: dependencies of streamed responses.
    :param quarantine: refuses requests that crash their replicas.
    :param budgets: limits retries.
    :param drain_admission: decides which requests to accept while draining.
    :param in_progress: the requests that are being answered.
    :param staleness: returns the version of the replica list and its staleness.
    :param metrics: the instance's metrics.
    :param clock: monotonic time.
    """

    request_dialect: dialect.Dialect
    startup: startupgate.StartupGate
    current: views.CurrentView
    buffered: bufferedexchange.BufferedExchange
    runs: rundependencies.RunDependencies
    quarantine: requestquarantine.RequestQuarantine
    budgets: retrybudget.RetryBudgets
    drain_admission: drainadmission.DrainAdmission
    in_progress: requestsinprogress.RequestsInProgress
    staleness: collections.abc.Callable[[], views.ListStaleness]
    metrics: metrics.NodeMetrics
    clock: clocks.Clock


class CallersHandler(handlers.Handler):
    """Handles requests of callers.

    :param dependencies: the components it works with.
    """

    def __init__(self, dependencies: HandlerDependencies) -> None:
        self._dependencies = dependencies

    def limits(self) -> callerrequests.ConnectionLimits:
        """Return the connection limits of the configuration in force."""
        view = self._dependencies.current.routes
        return callerrequests.ConnectionLimits() if view is None else view.limits

    def refused(self, status: http.HTTPStatus, reason: str) -> None:
        """Record a request that could not be parsed."""
        self._dependencies.metrics.refusals.add(labels=("request_unreadable", ""))
        logs.decided("-", "read", "refused", status=status.value, reason=logs.slug(reason))

    def body_refused(self, peer: str, byte_count: int, held_bytes: int) -> None:
        """Record a request whose body found no memory."""
        self._dependencies.metrics.routed.refused_bodies.add()
        self._dependencies.metrics.refusals.add(labels=("memory_full", ""))
        self._log_memory("body_refused", peer, byte_count, held_bytes)

    def closed_unread(self, peer: str, byte_count: int, held_bytes: int) -> None:
        """Record a connection that was closed because its caller did not read."""
        self._dependencies.metrics.routed.closed_unread.add()
        self._log_memory("closed_unread", peer, byte_count, held_bytes)

    def truncated(self, peer: str, byte_count: int) -> None:
        """Record a complete response that the end of the process truncates."""
        logs.decided("-", "answer", "unsent_at_stop", address=peer, bytes=byte_count)

    def failed(self, error: Exception) -> None:
        """Record an internal error."""
        self._dependencies.metrics.refusals.add(labels=("internal_error", ""))
        logs.log_internal_error("caller", error)

    @property
    def has_unanswered_requests(self) -> bool:
        """Whether some request has been read but its answer has not begun."""
        return bool(self._dependencies.in_progress.unanswered())

    def refuse_late_requests(self) -> None:
        """Refuse the waiting requests that would be truncated if they were sent now."""
        dependencies = self._dependencies
        for request in dependencies.in_progress.unanswered():
            if not request.is_waiting:
                continue
            refusal = dependencies.drain_admission.refusal(
                request.routed, dependencies.clock.now(), has_waited=True
            )
            if refusal is not None:
                request.end(refusal)

    def refuse_unanswered(self) -> None:
        """Refuse all requests without an answer, as the process ends."""
        for request in self._dependencies.in_progress.unanswered():
            request.end(self._dependencies.drain_admission.final_refusal(request.log))

    async def handle(self, exchange: exchanges.Exchange) -> None:
        """Handle one request."""
        dependencies = self._dependencies
        call = dependencies.request_dialect.parse_request(exchange.request)
        if isinstance(call, outcomes.Refusal):
            await self._refuse_unrouted(exchange, call, "-")
            return
        if not dependencies.startup.is_open:
            await dependencies.startup.wait()
        routed = callrouter.route(call, dependencies.current.routes)
        if isinstance(routed, outcomes.Refusal):
            await self._refuse_unrouted(exchange, routed, call.request_id)
            return
        await self._answer(exchange, routed)

    def _log_memory(self, outcome: str, peer: str, byte_count: int, held_bytes: int) -> None:
        logs.decided("-", "memory", outcome, address=peer, bytes=byte_count, held_bytes=held_bytes)

    async def _answer(
        self, exchange: exchanges.Exchange, routed: callrouter.RoutedRequest
    ) -> None:
        dependencies = self._dependencies
        log = attemptlog.AttemptLog(admitted_at=dependencies.clock.now())
        refusal = dependencies.quarantine.refusal(
            routed.fingerprint, routed.prompt
        ) or dependencies.drain_admission.refusal(routed, log.admitted_at)
        if refusal is not None:
            await self._refuse_routed(exchange, routed, log, refusal)
            return
        self._log_admitted_during_stop(routed, log.admitted_at)
        dependencies.budgets.record_request(routed.service.name, dependencies.clock.now())
        run = self._make_run(exchange, routed, log)
        timeout = asyncio.timeout(max(0.0, routed.ends_at - dependencies.clock.now()))
        request = requestsinprogress.RequestInProgress(routed, log, timeout)
        dependencies.in_progress.add(request)
        answer = None
        try:
            async with timeout:
                answer = await (
                    dependencies.buffered.answer(routed, log) if run is None else run.answer()
                )
        except TimeoutError:
            answer = request.refusal or _timeout_refusal(routed, log)
            if exchange.is_answered:
                exchange.abort()
                answer = run.result(is_complete=False)
        except asyncio.CancelledError:
            self._log_aborted(routed, log, run)
            raise
        finally:
            if isinstance(answer, responses.Response) and log.answer_at is None:
                log.record_answer_started(dependencies.clock.now())
            dependencies.in_progress.remove(request)
        if _is_completed(answer):
            dependencies.quarantine.completed(routed.fingerprint)
            if run is None and routed.prompt is not None:
                dependencies.runs.prompt_parts.went_well(routed.prompt)
        if isinstance(answer, streamrun.StreamResult):
            self._log_stream(routed, log, answer)
        elif isinstance(answer, outcomes.Refusal):
            await self._refuse_routed(exchange, routed, log, answer)
        else:
            self._log_outcome(routed, log, "answered", answer.status)
            await exchange.answer_in_segments(answer.status, answer.fields, answer.body)

    def _log_admitted_during_stop(
        self, routed: callrouter.RoutedRequest, admitted_at: float
    ) -> None:
        """Log a request that is admitted although the instance is stopping."""
        stop = self._dependencies.drain_admission.stop_state(admitted_at)
        if stop is not None:
            logs.decided(
                routed.call.request_id,
                "drain_admission",
                "admitted",
                since_stop_s=round(stop.since_s, 3),
                remaining_s=round(stop.remaining_s, 3),
                is_other_ready=stop.is_other_ready,
                budget_s=round(routed.ends_at - admitted_at, 3),
                is_repeatable=routed.route.is_repeatable,
            )

    async def _refuse_routed(
        self,
        exchange: exchanges.Exchange,
        routed: callrouter.RoutedRequest,
        log: attemptlog.AttemptLog,
        refusal: outcomes.Refusal,
    ) -> None:
        """Refuse a routed request, with a retry delay that fits the caller's deadline."""
        remaining_s = routed.ends_at - self._dependencies.clock.now()
        refusal = truthful(routed, log, refusal)
        refusal = grantresponses.bound_retry_after(remaining_s, refusal)
        team = "" if routed.team is None else routed.team.name
        self._log_outcome(routed, log, refusal.code, refusal.http_status)
        await self._refuse(exchange, refusal, routed.call.request_id, team)

    def _make_run(
        self,
        exchange: exchanges.Exchange,
        routed: callrouter.RoutedRequest,
        log: attemptlog.AttemptLog,
    ) -> streamrun.StreamRun | None:
        """Return the run for an engine stream, or None for a buffered response."""
        if routed.route.kind is models.RouteKind.STREAM and routed.service.engine is not None:
            return streamrun.StreamRun(routed, exchange, log, self._dependencies.runs)
        return None

    async def _refuse_unrouted(
        self, exchange: exchanges.Exchange, refusal: outcomes.Refusal, request_id: str
    ) -> None:
        """Refuse a request that matched no route."""
        logs.decided(request_id, "route", refusal.code, status=refusal.http_status)
        await self._refuse(exchange, refusal, request_id, "")

    async def _refuse(
        self, exchange: exchanges.Exchange, refusal: outcomes.Refusal, request_id: str, team: str
    ) -> None:
        self._dependencies.metrics.refusals.add(labels=(refusal.code, team))
        await responses.refuse(exchange, refusal, request_id)

    def _log_outcome(
        self,
        routed: callrouter.RoutedRequest,
        log: attemptlog.AttemptLog,
        outcome: str,
        status: int,
        **extra_fields: logs.FieldValue,
    ) -> None:
        """Log how a request ended, with the inputs of the routing decision."""
        service = routed.service.name
        staleness = self._dependencies.staleness()
        generation = routed.call.generation
        self._dependencies.metrics.requests.add(labels=(service, outcome))
        arrived_at = routed.call.arrived_at
        seconds = self._dependencies.clock.now() - arrived_at
        is_stream = routed.route.kind is models.RouteKind.STREAM
        histogram = (
            self._dependencies.metrics.routed.stream_s
            if is_stream
            else self._dependencies.metrics.call_s
        )
        histogram.record(seconds, (service,))
        logs.decided(
            routed.call.request_id,
            "answer",
            outcome,
            status=status,
            route=routed.route.name,
            service=service,
            team="-" if routed.team is None else routed.team.name,
            revision=routed.revision,
            attempts=log.sent,
            replica=",".join([*log.tried, *filter(None, (log.in_flight_replica,))])[:100] or "-",
            run=log.run.value,
            list_version=positions.version(staleness.list_version),
            era=positions.era(staleness.list_version),
            belief_age_s=None if staleness.age_s is None else round(staleness.age_s, 3),
            tokens=0 if generation is None else generation.prompt_tokens,
            goal_s=routed.route.goal_s,
            gap_goal_s=routed.route.gap_goal_s,
            seconds=round(seconds, 4),
            budget_s=round(routed.ends_at - arrived_at, 4),
            sent_s=None if log.sent_at is None else round(log.sent_at - arrived_at, 4),
            limit_per_s=log.limit_per_s,
            connection=log.connection,
            via=log.via,
            idle_s=log.idle_s,
            fingerprint=fingerprints.to_hex(routed.fingerprint),
            **extra_fields,
        )

    def _log_aborted(
        self,
        routed: callrouter.RoutedRequest,
        log: attemptlog.AttemptLog,
        run: streamrun.StreamRun | None,
    ) -> None:
        """Log a request that was cancelled by its caller or by the drain time limit."""
        # When draining reaches its time limit, in-flight requests are cancelled just as if
        # the caller had closed the connection. Logging that as the caller's doing would
        # mislead the operator who looks for the cause.
        now = self._dependencies.clock.now()
        is_over = self._dependencies.drain_admission.is_over(now)
        pause_s = None if run is None else run.pause_s(now)
        self._log_outcome(
            routed,
            log,
            "cut_by_stop" if is_over else "caller_left",
            0,
            events=None if run is None else run.result(is_complete=False).events,
            pause_s=None if pause_s is None else round(pause_s, 3),
        )

    def _log_stream(
        self,
        routed: callrouter.RoutedRequest,
        log: attemptlog.AttemptLog,
        streamed: streamrun.StreamResult,
    ) -> None:
        first_s = streamed.first_event_s
        self._log_outcome(
            routed,
            log,
            "streamed" if streamed.is_complete else "broken_off",
            http.HTTPStatus.OK.value,
            events=streamed.events,
            moves=streamed.migrations,
            first_s=None if first_s is None else round(first_s, 4),
            gap_s=round(streamed.longest_gap_s, 4),
            end=streamed.end,
        )


def truthful(
    routed: callrouter.RoutedRequest, log: attemptlog.AttemptLog, refusal: outcomes.Refusal
) -> outcomes.Refusal:
    """Return a refusal that does not state "not run" of a request that may have run.

    The components that refuse know only their own part of a request; this check is the last one
    before the caller, so it holds for all of them.
    """
    has_not_run = log.run is outcomes.RunStatus.NOT_RUN
    if has_not_run or refusal.http_status not in outcomes.NOT_RUN_STATUSES:
        return refusal
    logs.decided(
        routed.call.request_id, "refusal", "replaced", code=refusal.code, run=log.run.value
    )
    detail = f"no replica of {routed.service.name} gave a whole answer"
    return outcomes.Refusal("no_answer", 502, detail, outcomes.RunStatus.UNKNOWN)


def _is_completed(answer: streamrun.StreamResult | outcomes.Refusal | responses.Response) -> bool:
    """Return whether a replica ran the request successfully."""
    if isinstance(answer, streamrun.StreamResult):
        return answer.is_complete
    return isinstance(answer, responses.Response) and answer.status < 500


def _timeout_refusal(
    routed: callrouter.RoutedRequest, log: attemptlog.AttemptLog
) -> outcomes.Refusal:
    if log.run is outcomes.RunStatus.NOT_RUN:
        detail = f"no replica of {routed.service.name} could take the request in time"
        return outcomes.Refusal(
            "not_started_in_time", 503, detail, retry_after_s=NOT_STARTED_RETRY_S
        )
    detail = f"the answer took longer than the {routed.route.timeout_s:g} s of its route"
    return outcomes.Refusal("answer_too_late", 504, detail, outcomes.RunStatus.UNKNOWN)
