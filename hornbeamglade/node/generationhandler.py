"""Answer generation requests: admit, dispatch, try again where that is safe."""

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
CONNECT_S = 1.0
EXPECTED_ANSWER_TOKENS = 300
GRANT_LIFE_S = 2.0
"""A grant counts for so long after the end of the wait in which it was asked for."""


class GenerationHandler:
    """Answers ``/v1/chat/completions`` and ``/v1/completions``.

    :param parts: the node's parts.
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
        bad = _out_of_bounds(call, service, len(request.body))
        if bad is not None:
            return onceonly.before_claim(bad, request)
        # The claim comes before the limits: a key whose request has run must never
        # be told "not run" because its team is at its limit just now.
        dispatch = self._parts.once.begin(team, name, service, request)
        if not isinstance(dispatch, onceonly.OneDispatch):
            return dispatch
        try:
            scope = self._enter(request, view, team, name, service, call, dispatch)
        except BaseException:
            dispatch.ended()
            raise
        if isinstance(scope, outcomes.Refusal):
            dispatch.ended()
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
        dispatch: onceonly.OneDispatch,
    ) -> requestscope.RequestScope | outcomes.Refusal:
        tokens = call.prompt_tokens + (call.max_tokens or EXPECTED_ANSWER_TOKENS)
        entered = self._parts.in_flight.enter(team, tokens, view.site.node.max_streams)
        if not isinstance(entered, limits.Admission):
            return entered
        return requestscope.RequestScope(
            self._parts,
            request.request_id,
            team,
            name,
            service,
            dispatch,
            entered,
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
    """The attempts of one request, one after the other."""

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

    def _attempt(self, number: int) -> application.Answer | attempts.Failed:
        grant = self._find(number)
        if isinstance(grant, outcomes.Refusal):
            return grant
        self._scope.grant = grant
        answer = self._use(grant)
        if isinstance(answer, attempts.Failed):
            self._scope.release_grant()
            self._excluded.add(grant.replica)
        return answer

    def _find(self, attempt: int) -> grantacquirer.Grant | outcomes.Refusal:
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
            work, team.weight, self._queue_ends, self._request.link.is_gone, attempt
        )
        return self._parts.acquirer.acquire(placement, self._candidates)

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

    def _use(self, grant: grantacquirer.Grant) -> application.Answer | attempts.Failed:
        known = self._parts.catalog.known_by_name.get(grant.replica)
        if known is None:
            return attempts.Failed(
                attempts.unanswered_refusal("replica_gone", "the replica was removed"),
                may_repeat=True,
            )
        # A node that was paused after its ask would send work to a replica that has
        # begun to leave since; the owner's answer may be that old too.
        if self._parts.clock.now() > self._queue_ends + GRANT_LIFE_S:
            return attempts.Failed(
                attempts.unanswered_refusal("grant_expired", "the grant came too late"),
                may_repeat=False,
            )
        if self._request.link.is_gone():
            return attempts.Failed(
                attempts.unanswered_refusal("caller_left", "the caller left"), may_repeat=False
            )
        if not self._scope.dispatch.may_dispatch():
            return attempts.Failed(onceonly.barred(), may_repeat=False)
        service = self._scope.service
        target = generationsource.Target(
            grant.replica,
            known.replica.address,
            grant.request_id,
            httpexchange.Timeouts(CONNECT_S, service.first_token_s, service.progress_s),
        )
        opened = self._open(target)
        if isinstance(opened, generations.Opened):
            self._parts.catalog.expect_prefix(grant.replica, self._prefix)
            return self._first_event(target, opened.stream)
        return self._not_opened(target, opened)

    def _open(self, target: generationsource.Target) -> generations.OpenOutcome:
        team = self._view.site.team_by_name[self._scope.team]
        self._scope.run_sent()
        cancellation = httpexchange.Cancellation()
        self._scope.end_in_time(cancellation.cancel)
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
    ) -> application.Answer | attempts.Failed:
        if isinstance(outcome, backendoutcomes.NotRun):
            self._scope.dispatch.not_run()
            if not outcome.refused_by_server:
                self._parts.catalog.failed(target.replica)
            return attempts.Failed(
                attempts.unanswered_refusal("backend_refused", outcome.reason), may_repeat=True
            )
        if isinstance(outcome, backendoutcomes.Rejected):
            self._note_run(outcomes.RunStatus.UNKNOWN)
            detail = outcome.body.decode("utf-8", "replace")[:500]
            refusal = outcomes.Refusal("backend_rejected", outcome.status, detail)
            return attempts.Failed(refusal, may_repeat=False)
        self._parts.catalog.failed(target.replica)
        if isinstance(outcome, backendoutcomes.MismatchedResponse):
            return self._maybe_ran("answer_crossed", "the answer carried another request's id")
        self._scope.run_lost(target.replica, target.address)
        return self._maybe_ran("backend_lost", outcome.reason)

    def _first_event(
        self, target: generationsource.Target, stream: generations.Stream
    ) -> application.Answer | attempts.Failed:
        service = self._scope.service
        state = generationstream.GenerationStream(
            self._scope.dispatch.is_repeatable, service.resume
        )
        state.begin(target.generation)
        source = generationsource.GenerationSource(
            target, stream, state, self._parts.clock, self._note_resume
        )
        self._scope.end_in_time(source.cancel)
        events = iter(source)
        first = self._await_first(events)
        if not isinstance(first, eventparser.Token | eventparser.Finished):
            source.cancel()
            return self._no_first(target, first)
        self._run = outcomes.RunStatus.RAN
        answer = delivery.Delivery(
            self._scope, source, itertools.chain((first,), events), state, self._call.path
        )
        if self._call.stream:
            return answer
        return self._whole(target, answer)

    def _note_resume(self, outcome: str) -> None:
        self._parts.metrics.resumes.add(labels=(self._scope.service_name, outcome))

    def _await_first(
        self, events: collections.abc.Iterator[eventparser.Event]
    ) -> eventparser.Event | None:
        """Return the first event that says something, or None when time is over."""
        ends_at = self._parts.clock.now() + self._scope.service.first_token_s
        for event in events:
            if not isinstance(event, eventparser.KeepAlive):
                return event
            if self._parts.clock.now() >= ends_at or self._is_abandoned():
                return None
        return None

    def _is_abandoned(self) -> bool:
        return not self._scope.dispatch.is_recorded and self._request.link.is_gone()

    def _no_first(
        self, target: generationsource.Target, event: eventparser.Event | None
    ) -> attempts.Failed:
        if event is None:
            self._note_run(outcomes.RunStatus.UNKNOWN)
            detail = f"no token came within {self._scope.service.first_token_s:g} s"
            refusal = outcomes.Refusal(
                "first_token_timeout", 504, detail, retry_after_s=attempts.FAILED_RETRY_S
            )
            return attempts.Failed(refusal, may_repeat=False)
        self._parts.catalog.failed(target.replica)
        self._scope.run_lost(target.replica, target.address)
        return self._maybe_ran("backend_lost", str(event))

    def _whole(
        self, target: generationsource.Target, answer: delivery.Delivery
    ) -> application.Answer | attempts.Failed:
        """Read a generation for a caller who does not stream.

        Nothing was delivered yet when it is cut, so a repeatable one may run again.
        """
        whole = answer.whole(self._request.link.is_gone)
        if isinstance(whole, problems.Response):
            answer.close()
            return whole
        if whole.refusal.code == "caller_left":
            answer.close()
            return whole.refusal
        answer.abandon()
        self._parts.catalog.failed(target.replica)
        return attempts.Failed(whole.refusal, may_repeat=self._scope.dispatch.is_repeatable)
