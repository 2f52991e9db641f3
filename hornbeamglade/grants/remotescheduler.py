"""The owner's decisions on grant requests of other nodes, made by its own schedulers."""

import collections.abc
import dataclasses
import math
import threading

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.exchange import grantserver, hashednames, messages
from hornbeamglade.grants import grantresponses, replicascheduler, schedulerset
from hornbeamglade.speeds import enginespeeds, pacemeter

MILLISECONDS_PER_SECOND = 1000
NONE_LEFT = "none_left"
NONE_LEFT_RETRY_S = 0.5
"""Engines that crashed are removed from the list, or report again, within a few such intervals."""

ADOPTED_PROMPT_TOKENS = 256
"""The prompt size that is assumed for an adopted request: progress reports do not contain it, and
the engine's own load report corrects the sum."""

Push = collections.abc.Callable[[grantserver.GrantKey, messages.GrantResponse], bool]

Alternatives = collections.abc.Callable[[str, outcomes.Work], collections.abc.Sequence[str]]
"""Returns the replicas of a replica's service that this node owns, best first."""

MustAvoid = collections.abc.Callable[[str, outcomes.Work], bool]
"""Returns whether a request that may find another replica must not start at this one."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfiguredNames:
    """The names that grant requests of other nodes may refer to, by this node's configuration.

    :param replicas: names of replicas.
    :param services: names of services.
    :param teams: names of teams.
    """

    replicas: hashednames.HashedNames = dataclasses.field(default_factory=hashednames.HashedNames)
    services: hashednames.HashedNames = dataclasses.field(default_factory=hashednames.HashedNames)
    teams: hashednames.HashedNames = dataclasses.field(default_factory=hashednames.HashedNames)


@dataclasses.dataclass(frozen=True, slots=True)
class _Placement:
    replica: str
    work: outcomes.Work


class RemoteScheduler(grantserver.GrantScheduler):
    """Give other nodes access to this node's schedulers.

    :param schedulers: this node's schedulers.
    :param clock: monotonic time.
    :param names: kept up to date by the caller.
    :param speeds: the paces of this node's engines, or None if they are not recorded.
    """

    def __init__(
        self,
        schedulers: schedulerset.SchedulerSet,
        clock: clocks.Clock,
        names: ConfiguredNames,
        speeds: enginespeeds.EngineSpeeds | None = None,
    ) -> None:
        self._speeds = speeds
        self._schedulers = schedulers
        self._clock = clock
        self._names = names
        self._lock = threading.Lock()
        self._placement_by_key: dict[grantserver.GrantKey, _Placement] = {}
        self._push: Push = lambda _key, _response: False
        self._alternatives: Alternatives = lambda replica, _work: (replica,)
        self._must_avoid: MustAvoid = lambda _replica, _work: False

    def set_push(self, push: Push) -> None:
        """Set the function that sends later responses.

        :param push: :meth:`hornbeamglade.exchange.grantserver.GrantServer.push`.
        """
        self._push = push

    def set_alternatives(
        self, alternatives: Alternatives, must_avoid: MustAvoid | None = None
    ) -> None:
        """Set the function that finds other replicas for requests that let the owner choose.

        :param must_avoid: tells which replicas do not keep the pace that a request needs.
        """
        self._alternatives = alternatives
        if must_avoid is not None:
            self._must_avoid = must_avoid

    def decide(
        self, key: grantserver.GrantKey, request: messages.GrantRequest
    ) -> messages.GrantResponse:
        """Request a grant from the scheduler of the replica, or of each acceptable replica.

        Explanation
        ===========

        The owner knows the present state of its replicas, while the requesting node knows an
        earlier one. If the owner may choose, it grants the best replica with headroom, and
        queues the request at the best replica if none has headroom.
        """
        placement = self._placement(key, request)
        if placement is None:
            return _response(request.grant_id, grantresponses.names_unknown())
        choices: collections.abc.Sequence[str] = ()
        if request.allow_other:
            choices = self._choices(request, placement)
            if not choices:
                return _response(request.grant_id, _none_left())
        avoided = self._avoided(request, placement, choices or (placement.replica,))
        for replica in choices:
            if replica not in avoided and self._try_grant(
                key, request, dataclasses.replace(placement, replica=replica)
            ):
                return _response(
                    request.grant_id,
                    replicascheduler.Granted(placement.work.request_id, replica),
                )
        if request.immediate and not request.produced:
            is_acceptable = not choices and placement.replica not in avoided
            if is_acceptable and self._try_grant(key, request, placement):
                return _response(
                    request.grant_id,
                    replicascheduler.Granted(placement.work.request_id, placement.replica),
                )
            if not self._schedulers.can_admit(placement.replica):
                return _response(request.grant_id, replicascheduler.owner_moved(placement.replica))
            refusal = grantresponses.pace_bound if avoided else grantresponses.no_headroom_now
            return _response(request.grant_id, refusal(placement.replica))
        if choices:
            kept = (each for each in choices if each not in avoided)
            placement = dataclasses.replace(placement, replica=next(kept, choices[0]))
        return self._request_grant(key, request, placement)

    def _avoided(
        self,
        request: messages.GrantRequest,
        placement: "_Placement",
        replicas: collections.abc.Iterable[str],
    ) -> frozenset[str]:
        """Return the replicas at which the request must not start while it may find another."""
        if not request.may_find_other:
            return frozenset()
        return frozenset(each for each in replicas if self._must_avoid(each, placement.work))

    def _choices(self, request: messages.GrantRequest, placement: "_Placement") -> list[str]:
        """Return this node's replicas that are acceptable, the best first."""
        owned = self._alternatives(placement.replica, placement.work) or (placement.replica,)
        choices = [each for each in owned if messages.key_hash(each) not in request.avoid]
        if request.produced:
            # Avoids pauses of streams: if several engines stop at once, the emptiest engine
            # would receive runs of all of them. The last part of one run's KV cache, which is
            # copied while its stream is paused, would then wait behind the whole of another's.
            # Engines that do not keep the pace come last.
            choices.sort(
                key=lambda each: (
                    self._must_avoid(each, placement.work),
                    self._schedulers.recent_migrations(each),
                )
            )
        return choices

    def _try_grant(
        self, key: grantserver.GrantKey, request: messages.GrantRequest, placement: "_Placement"
    ) -> bool:
        if request.produced:
            answer = self._schedulers.admit_migration(
                placement.replica, placement.work, request.produced
            )
        else:
            answer = self._schedulers.try_grant(
                placement.replica, placement.work, self._due(request)
            )
        if not isinstance(answer, replicascheduler.Granted):
            return False
        with self._lock:
            self._placement_by_key[key] = placement
        return True

    def _request_grant(
        self, key: grantserver.GrantKey, request: messages.GrantRequest, placement: "_Placement"
    ) -> messages.GrantResponse:
        with self._lock:
            self._placement_by_key[key] = placement
        if request.produced:
            answer = self._schedulers.admit_migration(
                placement.replica, placement.work, request.produced
            )
        else:
            deadline = self._clock.now() + request.deadline_ms / MILLISECONDS_PER_SECOND
            answer = self._schedulers.request_grant(
                placement.replica,
                placement.work,
                request.weight,
                deadline,
                self._notify(key),
                self._due(request),
            )
        if isinstance(answer, outcomes.Refusal):
            self._forget(key)
        return _response(request.grant_id, answer)

    def _due(self, request: messages.GrantRequest) -> float:
        if request.due_ms is None:
            return math.inf
        return self._clock.now() + request.due_ms / MILLISECONDS_PER_SECOND

    def progress(self, key: grantserver.GrantKey, produced: int) -> None:
        """Record how many tokens a granted request has produced."""
        with self._lock:
            placement = self._placement_by_key.get(key)
        if placement is not None:
            self._schedulers.progress(placement.replica, placement.work.request_id, produced)

    def record_pace(self, key: grantserver.GrantKey, measurement: pacemeter.Measurement) -> None:
        """Record the pace of a granted request's stream."""
        with self._lock:
            placement = self._placement_by_key.get(key)
        if placement is not None and self._speeds is not None:
            self._speeds.observe(placement.replica, measurement)

    def release(self, key: grantserver.GrantKey, produced: int) -> None:
        """Release a grant, and learn from the length of its answer."""
        with self._lock:
            placement = self._placement_by_key.get(key)
        if placement is not None and produced:
            self._schedulers.progress(placement.replica, placement.work.request_id, produced)
        if placement is not None and produced and placement.work.service:
            # Whether the answer was complete is not reported. Most answers are, and the few
            # that were cut off bias the learned lengths only slightly downwards.
            work = placement.work
            self._schedulers.observe_length(work.service, work.team, produced, censored=False)
        self.expire(key)

    def expire(self, key: grantserver.GrantKey) -> None:
        """Release the grant or the queue position of a grant request."""
        placement = self._forget(key)
        if placement is not None:
            self._schedulers.finish(placement.replica, placement.work.request_id)

    def adopt(self, key: grantserver.GrantKey, progress: messages.GrantProgress) -> None:
        """Account for a running request that another owner admitted."""
        replica = self._names.replicas.find(progress.replica)
        if replica is None:
            return
        work = outcomes.Work(_admission_id(key), "", "", 0, ADOPTED_PROMPT_TOKENS)
        with self._lock:
            self._placement_by_key[key] = _Placement(replica, work)
        self._schedulers.apply(
            replica, lambda scheduler, now: scheduler.adopt(work, progress.produced, now)
        )

    def _placement(
        self, key: grantserver.GrantKey, request: messages.GrantRequest
    ) -> _Placement | None:
        replica = self._names.replicas.find(request.replica)
        service = self._names.services.find(request.service)
        team = self._names.teams.find(request.team)
        # Two nodes may have different revisions of the configuration. Without the names,
        # requests would be queued, and lengths learned, for a team or service without a name.
        if replica is None or service is None or team is None:
            return None
        work = outcomes.Work(
            request_id=_admission_id(key),
            service=service,
            team=team,
            priority=request.priority,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            pace=_pace_objective(request),
        )
        return _Placement(replica, work)

    def _notify(self, key: grantserver.GrantKey) -> schedulerset.Notify:
        def notify(outcome: replicascheduler.QueueOutcome) -> None:
            if isinstance(outcome.answer, outcomes.Refusal):
                self._forget(key)
            self._push(key, _response(key.grant_id, outcome.answer))

        return notify

    def _forget(self, key: grantserver.GrantKey) -> _Placement | None:
        with self._lock:
            return self._placement_by_key.pop(key, None)


def _admission_id(key: grantserver.GrantKey) -> str:
    return f"{key.holder}/{key.incarnation}/{key.grant_id}"


def _pace_objective(request: messages.GrantRequest) -> outcomes.PaceObjective | None:
    if not request.gap_goal_ms:
        return None
    return outcomes.PaceObjective(
        request.gap_goal_ms / MILLISECONDS_PER_SECOND,
        request.goal_ms / MILLISECONDS_PER_SECOND,
        request.expected_tokens,
    )


def _none_left() -> outcomes.Refusal:
    detail = "none of the replicas that this node admits to will do"
    return outcomes.Refusal(NONE_LEFT, 503, detail, retry_after_s=NONE_LEFT_RETRY_S)


def _response(
    grant_id: int, answer: replicascheduler.Granted | replicascheduler.Queued | outcomes.Refusal
) -> messages.GrantResponse:
    if not isinstance(answer, outcomes.Refusal):
        is_granted = isinstance(answer, replicascheduler.Granted)
        kind = messages.GrantKind.GRANTED if is_granted else messages.GrantKind.QUEUED
        return messages.GrantResponse(grant_id, kind, replica=messages.key_hash(answer.replica))
    retry_after_ms = int((answer.retry_after_s or 0) * MILLISECONDS_PER_SECOND)
    return messages.GrantResponse(
        grant_id, messages.GrantKind.REFUSED, answer.code, retry_after_ms
    )
