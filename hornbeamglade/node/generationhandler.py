"""Answers generation requests: admits them, dispatches them, retries where that is safe."""

import collections.abc
import dataclasses
import itertools

from hornbeamglade.backends import eventparser, generations, httpexchange
from hornbeamglade.backends import outcomes as backendoutcomes
from hornbeamglade.callers import application, generationcalls, problems
from hornbeamglade.configuration import models
from hornbeamglade.core import outcomes
from hornbeamglade.grants import grantacquirer
from hornbeamglade.node import (
    attempts,
    delivery,
    generationsource,
    onceonly,
    requestscope,
    runtime,
    siteview,
)
from hornbeamglade.routing import prefixes
from hornbeamglade.streams import generationstream
from hornbeamglade.teams import limits

MAX_ATTEMPTS = 4
CONNECT_TIMEOUT_S = 1.0
EXPECTED_ANSWER_TOKENS = 300
GRANT_VALIDITY_S = 2.0
"""A grant stays valid this long after the end of the queueing time of its request."""


class GenerationHandler:
    """Answers ``/v1/chat/completions`` and ``/v1/completions``.

    :param parts: the node's components.
    """

    def __init__(self, parts: runtime.Runtime) -> None:
        self._parts = parts

    def handle(self, request: application.CallerRequest) -> application.Answer:
        """Answer one request."""
        view = self._parts.views.current()
        if isinstance(view, outcomes.Refusal):
            return onceonly.before_claim(view, request)
        team = view.directory.identify(request.header_by_name.get("authorization"))
        if isinstance(team, outcomes.Refusal):
            return onceonly.before_claim(team, request)
        call = generationcalls.parse(request.path, request.body)
        if isinstance(call, outcomes.Refusal):
            return call
        return self._handle_checked(request, view, team, call)

    def _handle_checked(
        self,
        request: application.CallerRequest,
        view: siteview.SiteView,
        team: str,
        call: generationcalls.GenerationCall,
    ) -> application.Answer:
        name = view.service_by_model.get(call.model)
        if name is None:
            refusal = outcomes.Refusal("model_unknown", 404, f"there is no model {call.model!r}")
            return onceonly.before_claim(refusal, request)
        service = view.permitted(team, name)
        if isinstance(service, outcomes.Refusal):
            return onceonly.before_claim(service, request)
        bounds_refusal = _out_of_bounds(call, service, len(request.body))
        if bounds_refusal is not None:
            return onceonly.before_claim(bounds_refusal, request)
        # The claim is made before the limits are checked: a retry of a request that has run
        # must never be answered with "not run" because its team is at its limit.
        dispatch = self._parts.once.begin(team, name, service, request)
        if not isinstance(dispatch, onceonly.DispatchPermit):
            return dispatch
        try:
            scope = self._enter(request, view, team, name, service, call, dispatch)
        except BaseException:
            dispatch.close()
            raise
        if isinstance(scope, outcomes.Refusal):
            dispatch.close()
            return scope
        try:
            answer = _Attempts(scope, view, call, request).run()
        except BaseException:
            scope.end("failed")
            raise
        if not isinstance(answer, delivery.Delivery):
            scope.end("finished" if isinstance(answer, problems.Response) else "refused")
        return answer

    def _enter(
        self,
        request: application.CallerRequest,
        view: siteview.SiteView,
        team: str,
        name: str,
        service: models.Service,
        call: generationcalls.GenerationCall,
        dispatch: onceonly.DispatchPermit,
    ) -> requestscope.RequestScope | outcomes.Refusal:
        tokens = call.prompt_tokens + (call.max_tokens or EXPECTED_ANSWER_TOKENS)
        admission = self._parts.in_flight.enter(team, tokens, view.site.node.max_streams)
        if not isinstance(admission, limits.Admission):
            return admission
        return requestscope.RequestScope(
            self._parts,
            request.request_id,
            team,
            name,
            service,
            dispatch,
            admission,
            attempts.fingerprint(team, request),
        )


def _out_of_bounds(
    call: generationcalls.GenerationCall, service: models.Service, body_bytes: int
) -> outcomes.Refusal | None:
    if body_bytes > service.max_body_bytes:
        detail = f"the body is larger than {service.max_body_bytes} bytes"
        return outcomes.Refusal("body_too_large", 413, detail)
    if call.prompt_tokens > service.max_prompt_tokens:
        detail = f"the prompt is longer than {service.max_prompt_tokens} tokens"
        return outcomes.Refusal("prompt_too_long", 413, detail)
    return None


class _Attempts(attempts.Attempts):
    """The consecutive attempts of one request."""

    def __init__(
        self,
        scope: requestscope.RequestScope,
        view: siteview.SiteView,
        call: generationcalls.GenerationCall,
        request: application.CallerRequest,
    ) -> None:
        super().__init__(scope, MAX_ATTEMPTS)
        self._view = view
        self._call = call
        self._request = request
        self._excluded: set[str] = set()
        self._prefix = prefixes.prefix_hashes(call.prompt)
        self._queue_ends = scope.started + scope.service.queue_s

    def _attempt(self, number: int) -> application.Answer | attempts.FailedAttempt:
        grant = self._acquire_grant(number)
        if isinstance(grant, outcomes.Refusal):
            return grant
        self._scope.grant = grant
        answer = self._use_grant(grant)
        if isinstance(answer, attempts.FailedAttempt):
            self._scope.release_grant()
            self._excluded.add(grant.replica)
        return answer

    def _acquire_grant(self, attempt: int) -> grantacquirer.Grant | outcomes.Refusal:
        team = self._view.site.team_by_name[self._scope.team]
        work = outcomes.Work(
            request_id=self._scope.request_id,
            service=self._scope.service_name,
            team=self._scope.team,
            priority=team.priority,
            prompt_tokens=self._call.prompt_tokens,
            max_tokens=self._call.max_tokens,
            prefix=self._prefix,
        )
        placement = grantacquirer.PlacementRequest(
            work, team.weight, self._queue_ends, self._is_given_up, attempt
        )
        return self._parts.acquirer.acquire(placement, self._candidates)

    def _is_given_up(self) -> bool:
        return self._parts.deadlines.have_all_passed or self._request.link.is_gone()

    def _candidates(self) -> tuple:
        pool = self._scope.service.pool
        states = {
            name: state
            for name, state in self._parts.schedulers.states().items()
            if self._parts.acquirer.is_local(name)
        }
        known = self._parts.catalog.candidates(
            pool, self._prefix, frozenset(self._excluded), states
        )
        probe = None
        if self._scope.dispatch.is_repeatable:
            probe = self._parts.catalog.probe_due(pool)
        if probe is None:
            return known
        return tuple(
            dataclasses.replace(each, ejected=False) if each.replica == probe else each
            for each in known
        )

    def _use_grant(
        self, grant: grantacquirer.Grant
    ) -> application.Answer | attempts.FailedAttempt:
        known = self._parts.catalog.known_by_name.get(grant.replica)
        if known is None:
            return attempts.FailedAttempt(
                attempts.failed_attempt_refusal("replica_gone", "the replica was removed"),
                may_retry=True,
            )
        # A node that was paused after its grant request would send work to a replica that has
        # begun to leave since; the owner's response may be as old.
        if self._parts.clock.now() > self._queue_ends + GRANT_VALIDITY_S:
            return attempts.FailedAttempt(
                attempts.failed_attempt_refusal("grant_expired", "the grant came too late"),
                may_retry=False,
            )
        if self._request.link.is_gone():
            return attempts.FailedAttempt(
                attempts.failed_attempt_refusal("caller_left", "the caller left"), may_retry=False
            )
        if not self._scope.dispatch.may_dispatch():
            return attempts.FailedAttempt(onceonly.dispatch_barred_refusal(), may_retry=False)
        service = self._scope.service
        target = generationsource.Target(
            grant.replica,
            known.replica.address,
            grant.request_id,
            httpexchange.Timeouts(CONNECT_TIMEOUT_S, service.first_token_s, service.progress_s),
        )
        opened = self._open(target)
        if isinstance(opened, generations.Opened):
            self._parts.catalog.expect_prefix(grant.replica, self._prefix)
            return self._first_event(target, opened.stream)
        return self._not_opened(target, opened)

    def _open(self, target: generationsource.Target) -> generations.OpenOutcome:
        team = self._view.site.team_by_name[self._scope.team]
        self._scope.mark_sent()
        cancellation = httpexchange.Cancellation()
        self._scope.cancel_at_deadline(cancellation.cancel)
        return generations.open_stream(
            target.address,
            self._call.path,
            self._call.body,
            self._headers(),
            target.generation,
            team.priority,
            target.timeouts,
            cancellation,
        )

    def _headers(self) -> dict[str, str]:
        headers = {"Content-Type": "application/json"}
        key = self._request.header_by_name.get(onceonly.KEY_HEADER)
        if key is not None:
            headers["Idempotency-Key"] = key
        return headers

    def _not_opened(
        self, target: generationsource.Target, outcome: generations.OpenOutcome
    ) -> application.Answer | attempts.FailedAttempt:
        if isinstance(outcome, backendoutcomes.NotRun):
            self._scope.dispatch.mark_not_run()
            if not outcome.refused_by_server:
                self._parts.catalog.failed(target.replica)
            return attempts.FailedAttempt(
                attempts.failed_attempt_refusal("backend_refused", outcome.reason), may_retry=True
            )
        if isinstance(outcome, backendoutcomes.Rejected):
            self._record_run(outcomes.RunStatus.UNKNOWN)
            detail = outcome.body.decode("utf-8", "replace")[:500]
            refusal = outcomes.Refusal("backend_rejected", outcome.status, detail)
            return attempts.FailedAttempt(refusal, may_retry=False)
        self._parts.catalog.failed(target.replica)
        if isinstance(outcome, backendoutcomes.MismatchedResponse):
            return self._outcome_unknown(
                "answer_crossed", "the answer carried another request's id"
            )
        self._scope.report_lost_run(target.replica, target.address)
        return self._outcome_unknown("backend_lost", outcome.reason)

    def _first_event(
        self, target: generationsource.Target, stream: generations.Stream
    ) -> application.Answer | attempts.FailedAttempt:
        service = self._scope.service
        state = generationstream.GenerationStream(
            self._scope.dispatch.is_repeatable, service.resume
        )
        state.begin(target.generation)
        source = generationsource.GenerationSource(
            target, stream, state, self._parts.clock, self._count_resume
        )
        self._scope.cancel_at_deadline(source.cancel)
        events = iter(source)
        first = self._await_first_event(events)
        if not isinstance(first, eventparser.Token | eventparser.Finished):
            source.cancel()
            return self._without_first_event(target, first)
        self._run = outcomes.RunStatus.RAN
        answer = delivery.Delivery(
            self._scope, source, itertools.chain((first,), events), state, self._call.path
        )
        if self._call.stream:
            return answer
        return self._answer_whole(target, answer)

    def _count_resume(self, outcome: str) -> None:
        self._parts.metrics.resumes.add(labels=(self._scope.service_name, outcome))

    def _await_first_event(
        self, events: collections.abc.Iterator[eventparser.Event]
    ) -> eventparser.Event | None:
        """Return the first event other than a keep-alive, or None after the timeout."""
        ends_at = self._parts.clock.now() + self._scope.service.first_token_s
        for event in events:
            if not isinstance(event, eventparser.KeepAlive):
                return event
            if self._parts.clock.now() >= ends_at or self._is_abandoned():
                return None
        return None

    def _is_abandoned(self) -> bool:
        return not self._scope.dispatch.is_recorded and self._request.link.is_gone()

    def _without_first_event(
        self, target: generationsource.Target, event: eventparser.Event | None
    ) -> attempts.FailedAttempt:
        if event is None:
            self._record_run(outcomes.RunStatus.UNKNOWN)
            detail = f"no token came within {self._scope.service.first_token_s:g} s"
            refusal = outcomes.Refusal(
                "first_token_timeout", 504, detail, retry_after_s=attempts.FAILED_RETRY_S
            )
            return attempts.FailedAttempt(refusal, may_retry=False)
        self._parts.catalog.failed(target.replica)
        self._scope.report_lost_run(target.replica, target.address)
        return self._outcome_unknown("backend_lost", str(event))

    def _answer_whole(
        self, target: generationsource.Target, answer: delivery.Delivery
    ) -> application.Answer | attempts.FailedAttempt:
        """Read a generation for a caller that does not stream.

        If it ends early, nothing has been delivered yet, so a repeatable one may be retried.
        """
        result = answer.read_whole(self._request.link.is_gone)
        if isinstance(result, problems.Response):
            answer.close()
            return result
        if result.refusal.code == "caller_left":
            answer.close()
            return result.refusal
        answer.abandon()
        self._parts.catalog.failed(target.replica)
        return attempts.FailedAttempt(result.refusal, may_retry=self._scope.dispatch.is_repeatable)
