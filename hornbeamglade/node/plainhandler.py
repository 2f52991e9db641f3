"""Forwards calls to plain services."""

import collections
import collections.abc
import threading

from hornbeamglade.backends import httpexchange, plaincalls
from hornbeamglade.backends import outcomes as backendoutcomes
from hornbeamglade.callers import application, problems
from hornbeamglade.configuration import models
from hornbeamglade.core import outcomes
from hornbeamglade.node import (
    attempts,
    endinquiry,
    onceonly,
    replicacatalog,
    requestscope,
    runtime,
    siteview,
)
from hornbeamglade.teams import limits

MAX_ATTEMPTS = 3
CONNECT_TIMEOUT_S = 1.0
CALL_TOKENS = 1
NO_REPLICA_RETRY_S = 2.0
NOT_FORWARDED = frozenset(("authorization", "x-team"))
"""A team's key is only meant for hornbeamglade; backend servers get the team's name."""

TEAM_HEADER = "X-Team"


class OutstandingCalls:
    """Calls in progress per replica; the replica with the fewest gets the next one."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count_by_replica: collections.Counter[str] = collections.Counter()

    def begin(self, replicas: collections.abc.Sequence[str]) -> str:
        """Choose the replica with the fewest calls and add one call to it."""
        with self._lock:
            chosen = min(replicas, key=lambda each: self._count_by_replica[each])
            self._count_by_replica[chosen] += 1
            return chosen

    def end(self, replica: str) -> None:
        """Remove a call."""
        with self._lock:
            self._count_by_replica[replica] -= 1

    def count(self, replica: str) -> int:
        """Return the number of calls in progress at a replica."""
        return self._count_by_replica[replica]


class PlainHandler:
    """Answers ``/services/{service}/{path}``.

    :param parts: the node's components.
    """

    def __init__(self, parts: runtime.Runtime) -> None:
        self._parts = parts
        self.outstanding = OutstandingCalls()

    def handle(
        self, name: str, path: str, request: application.CallerRequest
    ) -> application.Answer:
        """Answer one call.

        :param name: the service's name.
        :param path: the path at the service.
        """
        view = self._parts.views.current()
        if isinstance(view, outcomes.Refusal):
            return onceonly.before_claim(view, request)
        team = view.directory.identify(request.header_by_name.get("authorization"))
        if isinstance(team, outcomes.Refusal):
            return onceonly.before_claim(team, request)
        service = _plain_service(view, team, name)
        if isinstance(service, outcomes.Refusal):
            return onceonly.before_claim(service, request)
        if len(request.body) > service.max_body_bytes:
            detail = f"the body is larger than {service.max_body_bytes} bytes"
            refusal = outcomes.Refusal("body_too_large", 413, detail)
            return onceonly.before_claim(refusal, request)
        dispatch = self._parts.once.begin(team, name, service, request)
        if not isinstance(dispatch, onceonly.DispatchPermit):
            return dispatch
        try:
            admission = self._parts.in_flight.enter(team, CALL_TOKENS, view.site.node.max_streams)
        except BaseException:
            dispatch.close()
            raise
        if not isinstance(admission, limits.Admission):
            dispatch.close()
            return admission
        scope = requestscope.RequestScope(
            self._parts,
            request.request_id,
            team,
            name,
            service,
            dispatch,
            admission,
            attempts.fingerprint(team, request),
        )
        return self._run(scope, path, request)

    def _run(
        self, scope: requestscope.RequestScope, path: str, request: application.CallerRequest
    ) -> application.Answer:
        outcome = "failed"
        try:
            answer = _Attempts(scope, path, request, self.outstanding).run()
            outcome = "finished" if isinstance(answer, problems.Response) else "refused"
            return answer
        finally:
            duration_s = self._parts.clock.now() - scope.started
            self._parts.metrics.call_s.record(duration_s, (scope.service_name,))
            scope.end(outcome)


def _plain_service(
    view: siteview.SiteView, team: str, name: str
) -> models.Service | outcomes.Refusal:
    service = view.permitted(team, name)
    if isinstance(service, models.Service) and service.kind != "plain":
        detail = f"service {name!r} generates; call it by its model"
        return outcomes.Refusal("service_not_plain", 404, detail)
    return service


class _Attempts(attempts.Attempts):
    """The consecutive attempts of one call."""

    def __init__(
        self,
        scope: requestscope.RequestScope,
        path: str,
        request: application.CallerRequest,
        outstanding: OutstandingCalls,
    ) -> None:
        super().__init__(scope, MAX_ATTEMPTS)
        self._call = _plain_call(scope.team, path, request)
        self._outstanding = outstanding
        self._excluded: set[str] = set()

    def _attempt(self, number: int) -> application.Answer | attempts.FailedAttempt:
        known = self._choose()
        if known is None:
            return _no_replica(self._scope.service_name)
        self._excluded.add(known.name)
        try:
            if not self._scope.dispatch.may_dispatch():
                return attempts.FailedAttempt(onceonly.dispatch_barred_refusal(), may_retry=False)
            return self._dispatch(known, number)
        finally:
            self._outstanding.end(known.name)

    def _choose(self) -> replicacatalog.KnownReplica | None:
        catalog = self._parts.catalog
        pool = [
            known
            for known in catalog.known_by_name.values()
            if known.pool == self._scope.service.pool
            and known.name not in self._excluded
            and catalog.takes_new_work(known.name)
        ]
        usable = [known for known in pool if not catalog.is_ejected(known.name)] or pool
        if self._scope.dispatch.is_repeatable:
            probe = catalog.probe_due(self._scope.service.pool)
            usable = [known for known in pool if known.name == probe] or usable
        if not usable:
            return None
        known_by_name = {known.name: known for known in usable}
        return known_by_name[self._outstanding.begin(tuple(known_by_name))]

    def _dispatch(
        self, known: replicacatalog.KnownReplica, attempt: int
    ) -> problems.Response | attempts.FailedAttempt:
        service = self._scope.service
        started = self._parts.clock.now()
        self._scope.mark_sent()
        cancellation = httpexchange.Cancellation()
        self._scope.cancel_at_deadline(cancellation.cancel)
        outcome = plaincalls.call(
            known.replica.address,
            self._call,
            f"{self._scope.request_id}.{attempt}",
            httpexchange.Timeouts(CONNECT_TIMEOUT_S, service.first_token_s, service.progress_s),
            cancellation=cancellation,
        )
        if isinstance(outcome, plaincalls.PlainResponse) and not self._has_ended(known, outcome):
            ran = outcomes.RunStatus.RAN
            outcome = backendoutcomes.Lost("the answer's connection may have ended early", ran)
        if isinstance(outcome, plaincalls.PlainResponse):
            self._parts.catalog.succeeded(known.name, self._parts.clock.now() - started)
            answer = problems.Response(outcome.status, outcome.headers, outcome.body)
            self._scope.dispatch.record_response(answer)
            return answer
        if isinstance(outcome, backendoutcomes.NotRun):
            self._scope.dispatch.mark_not_run()
            if not outcome.refused_by_server:
                self._parts.catalog.failed(known.name)
            return attempts.FailedAttempt(
                attempts.failed_attempt_refusal("backend_refused", outcome.reason), may_retry=True
            )
        self._parts.catalog.failed(known.name)
        if isinstance(outcome, backendoutcomes.MismatchedResponse):
            return self._outcome_unknown(
                "answer_crossed", "the answer carried another request's id"
            )
        self._record_run(outcome.run)
        self._scope.report_lost_run(known.name, known.replica.address)
        return self._outcome_unknown("backend_lost", outcome.reason)

    def _has_ended(
        self, known: replicacatalog.KnownReplica, response: plaincalls.PlainResponse
    ) -> bool:
        """Return whether a response is the whole one."""
        remaining_s = self._scope.ends_at - self._parts.clock.now()
        return response.is_end_stated or endinquiry.is_complete(
            self._scope.request_id, known, self._parts.catalog, remaining_s
        )


def _plain_call(team: str, path: str, request: application.CallerRequest) -> plaincalls.PlainCall:
    headers = tuple(
        (name, value)
        for name, value in request.header_by_name.items()
        if name not in NOT_FORWARDED
    )
    return plaincalls.PlainCall(
        request.method, path, request.query, (*headers, (TEAM_HEADER, team)), request.body
    )


def _no_replica(service: str) -> outcomes.Refusal:
    detail = f"no backend server of {service} is in use"
    return outcomes.Refusal("no_replica", 503, detail, retry_after_s=NO_REPLICA_RETRY_S)
