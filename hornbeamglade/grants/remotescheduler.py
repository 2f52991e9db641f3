"""The owner's answer to asks of other nodes: its own schedulers behind the exchange."""

import collections.abc
import dataclasses
import math
import threading

from hornbeamglade.core import clocks, outcomes
from hornbeamglade.exchange import grantserver, hashednames, messages
from hornbeamglade.grants import grantresponses, replicascheduler, schedulerset

MILLISECONDS = 1000
NONE_LEFT = "none_left"
NONE_LEFT_RETRY_S = 0.5
"""Engines that died are taken from the list, or report again, within a few of these."""

ADOPTED_PROMPT_TOKENS = 256
"""What an adopted request's prompt counts as: progress reports do not say it, and
the engine's own load report corrects the sum."""

Push = collections.abc.Callable[[grantserver.GrantKey, messages.GrantResponse], bool]

Alternatives = collections.abc.Callable[[str, outcomes.Work], collections.abc.Sequence[str]]
"""Returns the replicas of a replica's service that this node owns, best first."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfiguredNames:
    """The names that asks of other nodes may mean, by this node's configuration.

    :param replicas: names of replicas.
    :param services: names of services.
    :param teams: names of teams.
    """

    replicas: hashednames.HashedNames = dataclasses.field(default_factory=hashednames.HashedNames)
    services: hashednames.HashedNames = dataclasses.field(default_factory=hashednames.HashedNames)
    teams: hashednames.HashedNames = dataclasses.field(default_factory=hashednames.HashedNames)


@dataclasses.dataclass(frozen=True, slots=True)
class _Asked:
    replica: str
    work: outcomes.Work


class RemoteScheduler(grantserver.GrantScheduler):
    """Let other nodes ask at this node's schedulers.

    :param schedulers: this node's schedulers.
    :param clock: monotonic time.
    :param names: kept up to date by the caller.
    """

    def __init__(
        self, schedulers: schedulerset.SchedulerSet, clock: clocks.Clock, names: ConfiguredNames
    ) -> None:
        self._schedulers = schedulers
        self._clock = clock
        self._names = names
        self._lock = threading.Lock()
        self._asked_by_key: dict[grantserver.GrantKey, _Asked] = {}
        self._push: Push = lambda _key, _answer: False
        self._others: Alternatives = lambda replica, _work: (replica,)

    def set_push(self, push: Push) -> None:
        """Take the way by which later answers are sent.

        :param push: :meth:`hornbeamglade.exchange.grantserver.GrantServer.push`.
        """
        self._push = push

    def set_alternatives(self, others: Alternatives) -> None:
        """Take what finds other replicas for asks that leave the choice to the owner."""
        self._others = others

    def decide(
        self, key: grantserver.GrantKey, request: messages.GrantRequest
    ) -> messages.GrantResponse:
        """Ask the scheduler of the replica, or those of all that will do.

        Explanation
        ===========

        The owner knows its replicas as they are, the asking node as they were some time
        ago. Given the choice, it grants the best replica that has room, and has the
        request wait at the best one when none has.
        """
        asked = self._asked(key, request)
        if asked is None:
            return _answer(request.grant_id, grantresponses.names_unknown())
        choices: collections.abc.Sequence[str] = ()
        if request.or_other:
            choices = self._choices(request, asked)
            if not choices:
                return _answer(request.grant_id, _none_left())
        for replica in choices:
            if self._grant_at_once(key, request, dataclasses.replace(asked, replica=replica)):
                return _answer(
                    request.grant_id, replicascheduler.Granted(asked.work.request_id, replica)
                )
        if request.at_once and not request.produced:
            if not choices and self._grant_at_once(key, request, asked):
                return _answer(
                    request.grant_id,
                    replicascheduler.Granted(asked.work.request_id, asked.replica),
                )
            if not self._schedulers.can_admit(asked.replica):
                return _answer(request.grant_id, replicascheduler.owner_moved(asked.replica))
            return _answer(request.grant_id, grantresponses.no_headroom_now(asked.replica))
        if choices:
            asked = dataclasses.replace(asked, replica=choices[0])
        return self._ask_one(key, request, asked)

    def _choices(self, request: messages.GrantRequest, asked: "_Asked") -> list[str]:
        """Return this node's replicas that will do, the best first."""
        others = self._others(asked.replica, asked.work) or (asked.replica,)
        choices = [each for each in others if messages.key_hash(each) not in request.avoid]
        if request.produced:
            # Guards streams against a pause: where several engines stop at once, the emptiest
            # one would take in runs of all, and the last part of one run's memory, copied
            # while its stream stands still, waits there behind the whole of another's.
            choices.sort(key=self._schedulers.recent_migrations)
        return choices

    def _grant_at_once(
        self, key: grantserver.GrantKey, request: messages.GrantRequest, asked: "_Asked"
    ) -> bool:
        if request.produced:
            answer = self._schedulers.admit_migration(asked.replica, asked.work, request.produced)
        else:
            answer = self._schedulers.try_grant(asked.replica, asked.work, self._due(request))
        if not isinstance(answer, replicascheduler.Granted):
            return False
        with self._lock:
            self._asked_by_key[key] = asked
        return True

    def _ask_one(
        self, key: grantserver.GrantKey, request: messages.GrantRequest, asked: "_Asked"
    ) -> messages.GrantResponse:
        with self._lock:
            self._asked_by_key[key] = asked
        if request.produced:
            answer = self._schedulers.admit_migration(asked.replica, asked.work, request.produced)
        else:
            deadline = self._clock.now() + request.deadline_ms / MILLISECONDS
            answer = self._schedulers.request_grant(
                asked.replica,
                asked.work,
                request.weight,
                deadline,
                self._notify(key),
                self._due(request),
            )
        if isinstance(answer, outcomes.Refusal):
            self._forget(key)
        return _answer(request.grant_id, answer)

    def _due(self, request: messages.GrantRequest) -> float:
        if request.due_ms is None:
            return math.inf
        return self._clock.now() + request.due_ms / MILLISECONDS

    def progress(self, key: grantserver.GrantKey, produced: int) -> None:
        """Note progress."""
        with self._lock:
            asked = self._asked_by_key.get(key)
        if asked is not None:
            self._schedulers.progress(asked.replica, asked.work.request_id, produced)

    def release(self, key: grantserver.GrantKey, produced: int) -> None:
        """Take a grant back, and learn from the length of its answer."""
        with self._lock:
            asked = self._asked_by_key.get(key)
        if asked is not None and produced:
            self._schedulers.progress(asked.replica, asked.work.request_id, produced)
        if asked is not None and produced and asked.work.service:
            # Whether the answer was whole is not reported: most are, and the few
            # that were cut make lengths look a little shorter than they are.
            work = asked.work
            self._schedulers.observe_length(work.service, work.team, produced, censored=False)
        self.expire(key)

    def expire(self, key: grantserver.GrantKey) -> None:
        """Free what an ask held or queued for."""
        asked = self._forget(key)
        if asked is not None:
            self._schedulers.finish(asked.replica, asked.work.request_id)

    def adopt(self, key: grantserver.GrantKey, progress: messages.GrantProgress) -> None:
        """Count a running request that another owner admitted."""
        replica = self._names.replicas.find(progress.replica)
        if replica is None:
            return
        work = outcomes.Work(_admission_id(key), "", "", 0, ADOPTED_PROMPT_TOKENS)
        with self._lock:
            self._asked_by_key[key] = _Asked(replica, work)
        self._schedulers.apply(
            replica, lambda scheduler, now: scheduler.adopt(work, progress.produced, now)
        )

    def _asked(self, key: grantserver.GrantKey, request: messages.GrantRequest) -> _Asked | None:
        replica = self._names.replicas.find(request.replica)
        service = self._names.services.find(request.service)
        team = self._names.teams.find(request.team)
        # Guards against two nodes of different revisions: without the names, the wait
        # would be queued, and lengths learned, for a team or service of no name.
        if replica is None or service is None or team is None:
            return None
        work = outcomes.Work(
            request_id=_admission_id(key),
            service=service,
            team=team,
            priority=request.priority,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
        )
        return _Asked(replica, work)

    def _notify(self, key: grantserver.GrantKey) -> schedulerset.Notify:
        def notify(settled: replicascheduler.QueueOutcome) -> None:
            if isinstance(settled.answer, outcomes.Refusal):
                self._forget(key)
            self._push(key, _answer(key.grant_id, settled.answer))

        return notify

    def _forget(self, key: grantserver.GrantKey) -> _Asked | None:
        with self._lock:
            return self._asked_by_key.pop(key, None)


def _admission_id(key: grantserver.GrantKey) -> str:
    return f"{key.holder}/{key.incarnation}/{key.grant_id}"


def _none_left() -> outcomes.Refusal:
    detail = "none of the replicas that this node admits to will do"
    return outcomes.Refusal(NONE_LEFT, 503, detail, retry_after_s=NONE_LEFT_RETRY_S)


def _answer(
    grant_id: int, answer: replicascheduler.Granted | replicascheduler.Queued | outcomes.Refusal
) -> messages.GrantResponse:
    if not isinstance(answer, outcomes.Refusal):
        is_granted = isinstance(answer, replicascheduler.Granted)
        kind = messages.GrantKind.GRANTED if is_granted else messages.GrantKind.QUEUED
        return messages.GrantResponse(grant_id, kind, replica=messages.key_hash(answer.replica))
    retry_after_ms = int((answer.retry_after_s or 0) * MILLISECONDS)
    return messages.GrantResponse(
        grant_id, messages.GrantKind.REFUSED, answer.code, retry_after_ms
    )
